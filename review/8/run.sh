#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
# Needs the build of deploy/service.toml and review/build-2.sh. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/lower_limits
words=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x "$program" ] && [ -n "$words" ] || { echo "could not run: not built"; exit 2; }
# shellcheck disable=SC2086 # the words of the line are the arguments
exec "$program" review/8/record.txt $words
