/*
 * The simulator runs one core per controller node and models the store, the cloud, the workers and
 * the users around them in simulated time. It reads a scenario line by line, runs it, and checks
 * its invariants at every step.
 *
 * Times are in seconds of simulated time since the start of the scenario. In a field whose name
 * ends with _at or _until, 0 means "never" unless its comment says otherwise.
 */
#ifndef WS_SIM_H
#define WS_SIM_H
#include "../src/core/core.h"
#include "../src/core/core_state.h"
#include "../src/cold_start/cold_start.h"
#include "../src/failure_domains/failure_domains.h"

struct sim;

/* Returns a new simulation, which the caller frees with sim_free(). */
struct sim *sim_new(void);
void sim_free(struct sim *sim);

/*
 * Parses one line of a scenario and modifies the buffer in doing so. Returns false and writes a
 * message to `error` if the line is invalid.
 */
bool sim_parse_line(struct sim *sim, char *line, char *error, size_t size);

/* Runs the scenario. Returns false and writes the violated invariant to `error` if it fails. */
bool sim_run(struct sim *sim, char *error, size_t size);

/* Prints the digest of all effects that the cores emitted, see sim_digest.c. */
void sim_print_digest(const struct sim *sim, const char *name);

extern FILE *sim_digest_trace; /* the hashed lines are also written here, unless it is NULL */
extern bool sim_verbose;       /* writes the log to standard error */
/* Enables the subsystem coldstart in every scenario, also in those that do not ask for it. */
extern bool sim_cold_start_always;
#endif
