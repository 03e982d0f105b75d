#!/bin/sh
# Builds the stand-ins of the review into target/review, if they are not up to date. It uses the
# packages that deploy/service.toml lists, and the project's own HTTP server and client.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
parts="review/standins/cluster.c review/standins/store.c review/standins/workers.c
	review/standins/proxies.c review/standins/users.c src/io/http_server.c src/io/http_client.c
	src/io/http_common.c src/io/sockets.c src/io/clock.c"
for case in review/standins/case_*.c; do
	program=target/review/$(basename "$case" .c)
	# shellcheck disable=SC2086
	if [ -x "$program" ] && [ -z "$(find "$case" $parts review/standins/*.h -newer "$program")" ]; then
		continue
	fi
	# shellcheck disable=SC2086
	cc -std=gnu17 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o "$program.$$" "$case" $parts \
		-lev -lhttp_parser -ljansson -lm
	mv "$program.$$" "$program"
done
