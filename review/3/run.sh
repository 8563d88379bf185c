#!/bin/bash
# Plays this case: 1, the rule was broken; 0, it held; 2, the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if ! [ -x ../bin/standin ] || ! [ -x ../../bin/sidecar ]; then
	echo 'build first: the line build of deploy/balancer.toml, then review/build.sh' >&2
	exit 2
fi
timeout -k 3 110 ../bin/standin hidden .
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
