#!/usr/bin/env bash
# Builds the stand-ins and the scripts of all cases; needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/lib
javac -nowarn -d review/target/lib -cp target/trefoilbarrow.jar review/lib/review/*.java
for source in review/[1-5]/Case.java; do
  number=$(basename "$(dirname "$source")")
  mkdir -p "review/target/$number"
  javac -nowarn -d "review/target/$number" -cp review/target/lib:target/trefoilbarrow.jar "$source"
done
