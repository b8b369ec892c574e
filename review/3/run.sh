#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Run the build of the deploy file and review/build.sh first.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [[ ! -f target/hickorypier.jsa || ! -f target/review/RouteCase.class ]]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
exec java -Xmx256m -XX:+UseSerialGC -cp 'target/review:target/lib/*' RouteCase "$PWD" "$PWD/review/3/record.txt"
