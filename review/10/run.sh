#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review2 ] && [ -x bin/quartzpoint ] || exit 2
exec timeout -k 5 115 bin/review2 cut-report review/10
