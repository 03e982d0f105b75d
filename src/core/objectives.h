/* Service level objectives from the settings and the policy, as waiting times in seconds. */
#ifndef WS_OBJECTIVES_H
#define WS_OBJECTIVES_H

struct ws_core;

/*
 * The maximum wait for work within a team's guaranteed capacity; W'q of the paper. The policy's
 * value takes precedence over that of the settings; the default is a quarter of the lease.
 */
double ws_latency_bound(const struct ws_core *core);

/* The time within which tasks of a job class should start; 0 if the class has no objective. */
double ws_start_objective(const struct ws_core *core, const char *job_class);
#endif
