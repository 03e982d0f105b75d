/* Random scenarios: functions shared by the generators. */
#ifndef WS_TEST_RANDOM_PARTS_H
#define WS_TEST_RANDOM_PARTS_H
#include "sim.h"

/* Returns a random number below `below`; the sequence depends only on the seed. */
unsigned random_draw(unsigned below);
/* Returns true with this probability. */
bool random_chance(unsigned percent);
/* Adds a line to the scenario. */
void random_line(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Adds an event; events are sorted by time once the scenario is complete. */
void random_event(double time, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Draws lease, heartbeat interval, zones, machines and a team. */
void random_cluster(unsigned zones);
/* Draws jobs of all kinds, some of which their user cancels. Returns their number. */
unsigned random_jobs(unsigned zones);
/*
 * Draws one scenario; each test defines this function. The main function is in random_parts.c:
 * NAME [-v] [-d] FIRST COUNT runs COUNT scenarios with seeds from FIRST on and prints those that
 * fail. -v prints the scenario and the log, -d the digest of each scenario as the runner does. The
 * simulator checks its invariants at every step.
 */
void random_generate(void);
#endif
