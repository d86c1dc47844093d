#!/usr/bin/env bash
# Builds the stand-ins and the scripts of all cases; needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/stand-ins
javac -nowarn -d target/review/stand-ins -cp target/trefoilbarrow.jar review/*.java
for source in review/[1-5]/Case.java; do
  number=$(basename "$(dirname "$source")")
  mkdir -p "target/review/$number"
  javac -nowarn -d "target/review/$number" \
    -cp target/review/stand-ins:target/trefoilbarrow.jar "$source"
done
