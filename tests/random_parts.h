/* Scenarios drawn at random: what their generators share. */
#ifndef WS_TEST_RANDOM_PARTS_H
#define WS_TEST_RANDOM_PARTS_H
#include "sim.h"

/* A number below another, and whether something of so many percent happens: by the seed alone. */
unsigned random_draw(unsigned below);
bool random_chance(unsigned percent);
/* A line of the scenario; an event goes in by its time, when all are drawn. */
void random_line(const char *format, ...) __attribute__((format(printf, 1, 2)));
void random_event(double time, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Lease, heartbeat interval, zones, machines and a team. */
void random_cluster(unsigned zones);
/* Some jobs of any shape, each of which its user may cancel; their number. */
unsigned random_jobs(unsigned zones);
/*
 * Draws one scenario: defined by each test. The main function is in random_parts.c:
 * NAME [-v] [-d] FIRST COUNT plays COUNT scenarios from seed FIRST on and prints those that fail;
 * -v: with the log; -d: with the digest of each, as the runner. The simulator checks the rules at
 * every step.
 */
void random_generate(void);
#endif
