#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
if ! [[ -d target/review-2 && -f target/hickorypier.jsa ]]; then
  echo "first run the build of deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
java -Xmx768m -cp 'target/review-2:target/lib/*' LargeSubmission review/6/record.txt 2>/dev/null
code=$?
tail -n 6 review/6/record.txt
[[ $code -le 2 ]] || code=2
exit $code
