/*
 * Stationary distribution of the M/M/N/K/Setup queue after the paper's section V: row i holds the
 * states with i rented machines active. Within a row every probability is an affine function of the
 * one before it (Lemmas 1 and 2); rows are joined by the cut equations (10) and (23). Only positive
 * numbers are added and multiplied; rows are rescaled so that nothing overflows.
 *
 * The paper's den = lambda + setup + ni mu - ni mu b(j+1) subtracts after all: under overload its
 * error grows with every step. Writing den = d + ni mu turns (9), (13) and (26) into
 * d(j) = setup(j) + lambda d(j+1) / (d(j+1) + ni mu), d(K) = setup(K), without a difference.
 *
 * Two misprints of the paper are put right here: (10) must read min(j - n0, N - n0), as its
 * sibling (23) does, and in (4) the case j = n0 belongs to (5).
 */
#include "queue_model.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

static double ws_min(double left, double right)
{
	return left < right ? left : right;
}

/* Only ratios matter: what grows too large is scaled down, and all that goes with it. */
static void ws_rescale(double *cur, double *a, int j, int kmax, double *sums)
{
	double f = cur[j];

	if (!(f > 1e120))
		return;
	for (int t = 0; t <= j; t++)
		cur[t] /= f;
	for (int t = j + 1; t <= kmax; t++)
		a[t] /= f;
	for (int x = 0; x < 4; x++)
		sums[x] /= f;
}

bool ws_queue_solve(double lambda, double service_rate, double alpha, int owned, int machines,
		    int kmax, struct ws_queue_solution *solution)
{
	if (!(lambda > 0) || !(service_rate > 0) || !(alpha > 0) || owned < 0 || machines < 0 ||
	    kmax < owned + machines || kmax < 1 || !isfinite(lambda + service_rate + alpha))
		return false;
	int n = owned + machines;
	size_t w = (size_t)kmax + 2;
	double *prev = calloc(w, sizeof(double)), *cur = calloc(w, sizeof(double));
	double *a = calloc(w, sizeof(double)), *b = calloc(w, sizeof(double));
	bool ok = prev && cur && a && b;
	double sums[4] = {0}; /* probability, jobs, rented machines, and what is full */

	for (int i = 0; ok && i <= machines; i++) {
		int ni = owned + i;
		double up = 0; /* flow from row i - 1 into this one */

		memset(cur, 0, w * sizeof(double));
		memset(a, 0, w * sizeof(double));
		memset(b, 0, w * sizeof(double));
		double d = 0; /* den less ni mu: quarantined, see above */
		for (int j = kmax; j > ni; j--) {
			double setup = ws_min(j - ni, n - ni) * alpha;
			double in = i ? ws_min(j - ni + 1, n - ni + 1) * alpha * prev[j] : 0;
			double next_a = j < kmax ? a[j + 1] : 0;
			double den;

			d = setup + (j < kmax && d > 0 ? lambda * d / (d + ni * service_rate) : 0);
			den = d + ni * service_rate;
			if (!(den > 0)) {
				ok = false;
				break;
			}
			a[j] = (ni * service_rate * next_a + in) / den;
			b[j] = lambda / den;
		}
		if (!ok)
			break;
		if (i == 0) {
			cur[0] = 1;
			for (int j = 1; j <= kmax; j++) {
				cur[j] =
				    cur[j - 1] * (j <= owned ? lambda / (j * service_rate) : b[j]);
				ws_rescale(cur, a, j, kmax, sums);
			}
		} else {
			for (int j = ni; j <= kmax; j++)
				up += ws_min(j - ni + 1, n - ni + 1) * alpha * prev[j];
			cur[ni] = up / (ni * service_rate);
			for (int j = ni + 1; j <= kmax; j++) {
				cur[j] = a[j] + b[j] * cur[j - 1];
				ws_rescale(cur, a, j, kmax, sums);
			}
		}
		double peak = 0;
		for (int j = 0; j <= kmax; j++)
			peak = cur[j] > peak ? cur[j] : peak;
		if (!isfinite(peak)) {
			ok = false;
			break;
		}
		for (int j = 0; j <= kmax; j++) {
			if (cur[j] == 0)
				continue;
			sums[0] += cur[j];
			sums[1] += cur[j] * j;
			sums[2] += cur[j] * i;
			if (j > ni)
				sums[2] += cur[j] * ws_min(j - ni, n - ni);
		}
		sums[3] += cur[kmax];
		if (peak > 1) {
			for (int j = 0; j <= kmax; j++)
				cur[j] /= peak;
			for (int x = 0; x < 4; x++)
				sums[x] /= peak;
		}
		double *t = prev;
		prev = cur;
		cur = t;
	}
	free(prev);
	free(cur);
	free(a);
	free(b);
	if (!ok || !(sums[0] > 0) || !isfinite(sums[0]))
		return false;
	solution->blocking_probability = sums[3] / sums[0];
	solution->mean_scaled_out = sums[2] / sums[0];
	double taken = lambda * (1 - solution->blocking_probability);
	if (!(taken > 0))
		return false;
	solution->mean_wait_s = sums[1] / sums[0] / taken - 1 / service_rate;
	if (solution->mean_wait_s < 0)
		solution->mean_wait_s = 0;
	return isfinite(solution->mean_wait_s) && isfinite(solution->mean_scaled_out);
}

/* Whether Algorithm 1 stops at k: 1 yes, 0 not yet, -1 the queue can't be solved. */
static int ws_sizing_stops(const struct ws_queue_measurement *measurement, int machines, int unit,
			   struct ws_queue_solution *solution)
{
	int cap = measurement->owned + measurement->ceiling + measurement->waiting_units;

	if (!ws_queue_solve(measurement->arrival_rate / unit, measurement->service_rate,
			    measurement->boot_rate, measurement->owned / unit, machines,
			    (cap + unit - 1) / unit, solution))
		return -1;
	solution->mean_scaled_out *= unit;
	if (measurement->bound_s > 0 && solution->mean_wait_s > measurement->bound_s)
		return 0;
	return solution->mean_wait_s <= 0 ||
	       (solution->mean_scaled_out / measurement->rentals_max) /
		       (solution->mean_wait_s / measurement->wait_max_s) >=
		   measurement->delta;
}

/*
 * Algorithm 1 raises k from 0 until it stops. As k rises S does and Wq falls, so the first k at
 * which it stops is found by halving. Its cost grows with the cube of the machines: hundreds are
 * counted in units of several, which wait a little longer than as many single ones.
 */
int ws_sizing_run(const struct ws_queue_measurement *measurement,
		  struct ws_queue_solution *solution)
{
	int cap = measurement->owned + measurement->ceiling + measurement->waiting_units;
	int unit = cap / WS_SIZING_STATES + 1, low = 0,
	    high = (measurement->ceiling + unit - 1) / unit;

	while (low < high) {
		int mid = low + (high - low) / 2,
		    stops = ws_sizing_stops(measurement, mid, unit, solution);

		if (stops < 0)
			return -1;
		if (stops)
			high = mid;
		else
			low = mid + 1;
	}
	if (ws_sizing_stops(measurement, low, unit, solution) < 0)
		return -1;
	return low * unit < measurement->ceiling ? low * unit : measurement->ceiling;
}
