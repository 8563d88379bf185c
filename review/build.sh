#!/bin/bash
# Builds the stand-ins that the cases start, into review/bin. It needs the Go tool chain only: no network, no dependency.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/standin .
