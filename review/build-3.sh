#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review, after the build of the deploy file. The
# stand-ins that all cases use are in review/11, beside the first case.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp target/trefoilbarrow.jar \
  review/11/*.java review/12/*.java review/13/*.java review/14/*.java review/15/*.java
