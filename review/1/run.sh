#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
TMPDIR=$(mktemp -d) || exit 2
export RUN TMPDIR
[ -x target/review/release/review-standins ] || { rm -rf "$TMPDIR"; echo "run review/build.sh first"; exit 2; }
# timeout puts the stand-ins and the proxies into a process group of their own, which is ended in any case.
timeout --kill-after=5 110 target/review/release/review-standins spoilt-length review/1/record.txt &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' HUP INT TERM
wait "$group"
code=$?
[ $code -le 1 ] || code=2
exit $code
