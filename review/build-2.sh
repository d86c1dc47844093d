#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/trefoilbarrow.jar review/stand-ins-2/*.java
