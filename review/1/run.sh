#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
TMPDIR=$(mktemp -d) || exit 2
export RUN TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
[ -x target/review/release/review-standins ] || { echo "run review/build.sh first"; exit 2; }
timeout --kill-after=5 110 target/review/release/review-standins spoilt-length review/1/record.txt
code=$?
[ $code -le 1 ] || code=2
exit $code
