#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -d "target/review/$number" ] && [ -f target/trefoilbarrow.jar ] || exit 2
exec java -Xmx1g -Dsun.net.httpserver.nodelay=true \
  -cp "target/review/$number:target/review/stand-ins:target/trefoilbarrow.jar" \
  Case "review/$number" "${TROUBLE:-1}"
