#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review2 ] && [ -x bin/quartzpoint ] && [ -x bin/quartzconfig ] || exit 2
exec bin/review2 lease-tokens review/10
