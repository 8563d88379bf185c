#!/bin/bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of deploy/balancer.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/sidecar ] || [ ! -x bin/review2 ]; then
	echo "bin/sidecar or bin/review2 is missing"
	exit 2
fi
exec bin/review2 held review/7
