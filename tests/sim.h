/*
 * The simulator: store, cloud, workers and users in simulated time round one core per node. It
 * plays scenarios, which come line by line, and checks its rules at every step.
 *
 * Times are seconds of simulated time since the start of the scenario; a time of 0 in a field that
 * ends with _at or _until means "never" unless its comment says otherwise.
 */
#ifndef WS_SIM_H
#define WS_SIM_H
#include "../src/core/core.h"
#include "../src/core/core_state.h"
#include "../src/cold_start/cold_start.h"
#include "../src/failure_domains/failure_domains.h"

struct sim;

/* The caller owns the result and frees it with sim_free(). */
struct sim *sim_new(void);
void sim_free(struct sim *sim);

/* Takes one line of a scenario, which it changes; false with a message in `error`. */
bool sim_line(struct sim *sim, char *line, char *error, size_t size);

/* Plays all lines taken; false with the rule that was broken in `error`. */
bool sim_play(struct sim *sim, char *error, size_t size);

/* Prints the digest of all that left the cores, see sim_digest.c. */
void sim_print_digest(const struct sim *sim, const char *name);

extern FILE *sim_trace;	 /* where the lines that the digest hashes are written; NULL: nowhere */
extern bool sim_verbose; /* the log goes to standard error */
/* The subsystem coldstart is on in every scenario, whether it says so or not. */
extern bool sim_cold_start_always;
#endif
