#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -proc:none -nowarn -Xlint:none --release 17 -d target/review-2 -cp 'target/lib/*' \
  review/standins-2/*.java
