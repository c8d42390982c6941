#!/bin/sh
# Runs case 6 and writes record.txt beside this script. See claim.txt.
# TROUBLE=0 leaves the disruption out.
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/rattanlanding ] && [ -x target/review-2/standins-2 ] || { echo "build first: the line build of deploy/system.toml, and review/build-2.sh"; exit 2; }
TROUBLE="${TROUBLE:-1}"
export TROUBLE
# The stand-ins end within 115 s, and end the processes that they started, also on a signal.
exec target/review-2/standins-2 case-6 "$here/record.txt"
