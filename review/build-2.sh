#!/bin/bash
# Builds the stand-ins of cases 6 to 8: discovery, slot servers, clients and the platform are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
root=$PWD
cd review/standin-2
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -buildvcs=false -o "$root/bin/review2" .
