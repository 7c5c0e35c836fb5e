#!/bin/sh
# Builds the stand-ins that the cases start. Needs only the Go standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -tags review -o review/bin/standin ./review/standin
