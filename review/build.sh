#!/bin/bash
# Builds what the scripts start besides the build of deploy/balancer.toml, into review/bin: the stand-ins, which need the Go
# tool chain only, and the project's own daemon and operators' commands, whose packages go.mod declares. The three cases need
# the stand-ins alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
(cd standin && GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/standin .)
if ! (cd .. && go build -o review/bin/birchmoor ./cmd/birchmoor); then
	echo 'review/unchanged.sh and review/repeat.sh cannot run: cmd/birchmoor was not built' >&2
fi
