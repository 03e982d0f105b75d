#include "clock.h"
#include <time.h>

#define SECONDS_PER_NANOSECOND 1e-9

static double read_clock(clockid_t clock)
{
	struct timespec time;

	clock_gettime(clock, &time);
	return (double)time.tv_sec + (double)time.tv_nsec * SECONDS_PER_NANOSECOND;
}

double ws_now(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

double ws_wall_time(void)
{
	return read_clock(CLOCK_REALTIME);
}
