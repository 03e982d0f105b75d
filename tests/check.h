/* Counts what holds and names what does not. */
#ifndef WS_TEST_CHECK_H
#define WS_TEST_CHECK_H
#include <stdbool.h>
#include <stdio.h>

static int good, bad;

static void check(const char *what, bool passed)
{
	if (passed) {
		good++;
	} else {
		bad++;
		printf("FAIL %s\n", what);
	}
}
#endif
