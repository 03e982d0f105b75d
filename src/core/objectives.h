/* The service level objectives of the settings and the policy, as waits in seconds. */
#ifndef WS_OBJECTIVES_H
#define WS_OBJECTIVES_H

struct ws_core;

/*
 * The wait that users are promised for work within their team's guarantee; the paper's W'q. The
 * policy's figure goes before that of the settings; without either it is a quarter of the lease.
 */
double ws_latency_bound(const struct ws_core *core);

/* Within how long tasks of a job class should start; 0: the class has no such objective. */
double ws_start_objective(const struct ws_core *core, const char *job_class);
#endif
