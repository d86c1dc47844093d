#!/usr/bin/env bash
# Compiles the stand-ins and cases of this review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp target/trefoilbarrow.jar review/fleet3/*.java
