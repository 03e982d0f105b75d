/* The paper's M/M/N/K/Setup queue and Algorithm 1. Pure functions. */
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

bool ws_queue_solve(double lambda, double service_rate, double alpha, int owned, int machines,
		    int kmax, struct ws_queue_solution *solution);
/* Algorithm 1: the smallest k that balances S against Wq; k rises on while Wq is over the bound. */
int ws_sizing_run(const struct ws_queue_measurement *measurement,
		  struct ws_queue_solution *solution);
#endif
