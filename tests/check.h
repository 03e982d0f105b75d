/* Counts passed and failed checks and prints the name of each failed one. */
#ifndef WS_TEST_CHECK_H
#define WS_TEST_CHECK_H
#include <stdbool.h>
#include <stdio.h>

static int passed_checks, failed_checks;

static void check(const char *name, bool passed)
{
	if (passed) {
		passed_checks++;
	} else {
		failed_checks++;
		printf("FAIL %s\n", name);
	}
}
#endif
