#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs no network: the
# stand-ins use the standard library only.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOFLAGS="${GOFLAGS:-} -buildvcs=false" GOWORK=off go build -o ../../target/review-2/standins-2 .
