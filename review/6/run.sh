#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/magnolialever ] && [ -x target/review-2 ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2 returned target/magnolialever review/6/record.txt
