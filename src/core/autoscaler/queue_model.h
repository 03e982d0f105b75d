/*
 * The paper's M/M/N/K/Setup queue and Algorithm 1, which finds the limit on rented machines. Pure
 * functions: they may run on any thread. Rates are per second, sizes in demand units.
 */
#ifndef WS_QUEUE_MODEL_H
#define WS_QUEUE_MODEL_H
#include "../core.h"

/* More states than this are counted in units. */
#define WS_SIZING_STATES 400

struct ws_queue_solution {
	double mean_scaled_out;	     /* mean rented machines active or booting, (38) */
	double mean_wait_s;	     /* mean wait in the queue, (35) and (36) */
	double blocking_probability; /* share turned away, (37) */
};

/*
 * Solves the queue for arrivals (lambda), the service of one machine (mu), boots of one machine
 * (alpha), owned machines (n0), rented machines at most (k) and jobs in the system at most (K).
 * False: the parameters are out of range, or the numbers are too large; the solution is undefined.
 */
bool ws_queue_solve(double arrival_rate, double service_rate, double boot_rate, int owned,
		    int scale_out_limit, int capacity, struct ws_queue_solution *solution);
/*
 * Algorithm 1: the smallest k that balances S against Wq; k rises on while Wq is over the bound.
 * The solution is that of the k returned. -1: the queue can't be solved.
 */
int ws_sizing_run(const struct ws_queue_measurement *measurement,
		  struct ws_queue_solution *solution);
#endif
