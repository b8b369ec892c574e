#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -proc:none -nowarn -encoding UTF-8 -cp 'target/lib/*' -d target/review-3 review/standins-3/*.java
