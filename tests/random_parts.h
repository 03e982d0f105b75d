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
/* A job of any shape, which its user may cancel. */
void random_job(unsigned number, unsigned zones);
/*
 * NAME [-v] [-d] FIRST COUNT: plays so many scenarios, a seed each, and tells which fail; -d: with
 * the digest of each, as the runner; the exit
 * status. The simulator checks the rules at every step; `generate` draws what befalls the cluster.
 */
int random_main(int argc, char **argv, void (*generate)(void));
#endif
