/*
 * The queue model: an M/M/N/K/Setup queue, that is, N servers that need a setup (boot) time and at
 * most K jobs in the system, and Algorithm 1, which finds the limit on rented machines. The model,
 * its symbols and the equation numbers are those of the paper that it implements: lambda, mu and
 * alpha are rates, n0 is the number of owned machines, k the limit on rented ones, S the mean
 * number of rented machines and Wq the mean wait. The functions are pure and may run on any thread.
 * Rates are per second, sizes in demand units.
 */
#ifndef WS_QUEUE_MODEL_H
#define WS_QUEUE_MODEL_H
#include "../core.h"

/* Maximum number of demand units in the system (K) that are modelled singly. More are grouped into
 * larger units. */
#define WS_QUEUE_UNITS_MAX 400

struct ws_queue_solution {
	double mean_scaled_out;	     /* mean number of rented machines, active or booting (38) */
	double mean_wait_s;	     /* mean wait in the queue (35), (36) */
	double blocking_probability; /* share of jobs rejected (37) */
};

/*
 * Solves the queue for the arrival rate (lambda), the service rate of one machine (mu), the boot
 * rate of one machine (alpha), the number of owned machines (n0), the maximum number of rented
 * machines (k) and the maximum number of jobs in the system (K). Returns false and leaves the
 * solution undefined if a parameter is out of range, the numbers overflow or memory is exhausted.
 */
bool ws_queue_solve(double arrival_rate, double service_rate, double boot_rate, int owned,
		    int scale_out_limit, int capacity, struct ws_queue_solution *solution);
/*
 * Runs Algorithm 1: returns the smallest k at which the ratio of S to Wq, each divided by its
 * maximum, reaches delta and Wq does not exceed the bound, or the ceiling if there is no such k.
 * Stores the solution for that k. Returns -1 if the queue can't be solved.
 */
int ws_queue_find_limit(const struct ws_queue_measurement *measurement,
			struct ws_queue_solution *solution);
#endif
