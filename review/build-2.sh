#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, one program a case, under target/review-2/.
# Needs what deploy/service.toml declares: a C compiler, libev, http-parser, jansson.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/stand-ins-2/case_*.c; do
	name=$(basename "$source" .c)
	cc -std=gnu17 -O1 -g -Wall -Wextra -D_GNU_SOURCE -include review/stand-ins-2/http_limits.h \
		-o "$out/${name#case_}" "$source" review/stand-ins-2/world.c \
		src/io/http_server.c src/io/http_client.c src/io/http_common.c src/io/sockets.c \
		src/io/clock.c -lev -lhttp_parser -ljansson -lm
done
