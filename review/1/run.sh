#!/bin/sh
# Plays the case; needs the build of deploy/system.toml and of review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. With TROUBLE=0 it plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/magnolialever ] || [ ! -x target/review-stand ]; then
    echo "build first: deploy/system.toml, review/build.sh"
    exit 2
fi
exec target/review-stand lost "$folder"
