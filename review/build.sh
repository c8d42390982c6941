#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS="${GOFLAGS:--buildvcs=false}" GOWORK=off go build -trimpath -o ../bin/standins .
