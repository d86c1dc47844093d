#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, after the build of the deploy file. The
# stand-ins that all cases use are in review/6, beside the first case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/trefoilbarrow.jar \
  review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
