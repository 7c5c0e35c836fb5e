#!/bin/sh
# Builds the stand-ins of the second review into bin/review2. The project's own programs are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
exec go build -buildvcs=false -tags review2 -o bin/review2 ./review/standin2
