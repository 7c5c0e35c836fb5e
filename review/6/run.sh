#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review2 ] && [ -x bin/quartzpoint ] || exit 2
exec bin/review2 composed-crash review/6
