#!/bin/bash
# Builds the stand-ins of cases 6 to 10: discovery, slot servers, clients, the platform and a relay are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
root=$PWD
cd review/standin-2
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o "$root/bin/review2" .
