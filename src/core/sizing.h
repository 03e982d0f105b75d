/* The paper's M/M/N/K/Setup queue and Algorithm 1. Pure functions. */
#ifndef WS_SIZING_H
#define WS_SIZING_H
#include "core.h"

/* More states than this are counted in units. */
#define WS_SIZING_STATES 400

struct ws_queue {
	double s;  /* mean rentals active or booting, (38) */
	double wq; /* mean wait in the queue, (35) and (36) */
	double pb; /* share turned away, (37) */
};

bool ws_queue_solve(double lambda, double mu, double alpha, int n0, int k, int kmax,
		    struct ws_queue *q);
/* Algorithm 1: the smallest k that balances S against Wq; k rises on while Wq is over the bound. */
int ws_sizing_run(const struct ws_measure *m, struct ws_queue *at);
#endif
