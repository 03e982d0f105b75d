#!/bin/sh
# Builds the stand-ins of the review into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/standins/case_*.c; do
	name=$(basename "$case" .c)
	cc -std=gnu17 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o "target/review/$name" "$case" \
		review/standins/cluster.c review/standins/store.c review/standins/workers.c \
		review/standins/proxies.c review/standins/users.c \
		src/io/http_server.c src/io/http_client.c src/io/http_common.c src/io/sockets.c \
		src/io/clock.c -lev -lhttp_parser -ljansson -lm
done
