#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$folder/../.." && pwd)
RUN=$(sed -n "s/^run = \"\(.*\)\"$/\1/p" "$ROOT/deploy/balancer.toml")
export ROOT RUN
[ -x "$ROOT/review/bin/standin" ] && [ -x "$ROOT/bin/quartzpoint" ] && [ -n "$RUN" ] || exit 2
exec timeout -k 5 110 "$ROOT/review/bin/standin" flood "$folder/record.txt"
