/*
 * Computes the stationary distribution of the M/M/N/K/Setup queue as in section V of the paper (see
 * queue_model.h). Row i holds the states with i rented machines active. Within a row each
 * probability is an affine function of the previous one (Lemmas 1 and 2); adjacent rows are linked
 * by the cut equations (10) and (23). Only positive numbers are added and multiplied, and rows are
 * rescaled to avoid overflow.
 *
 * The paper's denominator = lambda + setup + n_i mu - n_i mu b(j+1) contains a subtraction, whose
 * error grows with every step under overload. Writing denominator = d + n_i mu turns (9), (13) and
 * (26) into d(j) = setup(j) + lambda d(j+1) / (d(j+1) + n_i mu), d(K) = setup(K), which has no
 * subtraction.
 *
 * Two misprints in the paper are corrected here: (10) must read min(j - n0, N - n0), as (23) does,
 * and in (4) the case j = n0 belongs to (5).
 */
#include "queue_model.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

static double ws_min(double left, double right)
{
	return left < right ? left : right;
}

/* Probabilities above this value are scaled down. */
#define WS_RESCALE_ABOVE 1e120

struct ws_queue {
	double arrival_rate; /* lambda */
	double service_rate; /* mu, of one machine */
	double boot_rate;    /* alpha: 1 / mean boot time */
	int owned;	     /* n0 */
	int machines;	     /* N: owned machines plus the maximum of rented ones (n0 + k) */
	int capacity;	     /* K: maximum number of jobs in the system */
};

/* Row i of the states. The arrays are indexed by j, the jobs in the system, from 0 to K. */
struct ws_queue_row {
	int scaled_out;		/* i: number of active rented machines */
	int active;		/* n_i = n0 + i: number of active machines */
	double *previous;	/* probabilities of row i - 1 */
	double *probabilities;	/* of this row, not normalized */
	double *constant_terms; /* a(j) of p(j) = a(j) + b(j) p(j - 1) */
	double *factors;	/* b(j) */
};

/* Sums over the states computed so far, weighted by their probabilities. */
struct ws_queue_sums {
	double probability;
	double jobs;
	double scaled_out;  /* rented machines, active or booting */
	double full_system; /* probability of the states with K jobs */
};

static void ws_sums_scale_down(struct ws_queue_sums *sums, double divisor)
{
	sums->probability /= divisor;
	sums->jobs /= divisor;
	sums->scaled_out /= divisor;
	sums->full_system /= divisor;
}

/* Divides all values by p(jobs) if it exceeds WS_RESCALE_ABOVE. Only ratios matter, so the result
 * stays the same. */
static void ws_row_rescale(const struct ws_queue *queue, struct ws_queue_row *row, int jobs,
			   struct ws_queue_sums *sums)
{
	double divisor = row->probabilities[jobs];

	if (!(divisor > WS_RESCALE_ABOVE))
		return;
	for (int j = 0; j <= jobs; j++)
		row->probabilities[j] /= divisor;
	for (int j = jobs + 1; j <= queue->capacity; j++)
		row->constant_terms[j] /= divisor;
	ws_sums_scale_down(sums, divisor);
}

/* Returns the rate at which the state of row i - 1 with this number of jobs changes to row i, that
 * is, at which one of the booting machines becomes active. */
static double ws_rate_into_row(const struct ws_queue *queue, const struct ws_queue_row *row,
			       int jobs)
{
	return ws_min(jobs - row->active + 1, queue->machines - row->active + 1) * queue->boot_rate;
}

/* Starts row `scaled_out` with all values zero. */
static void ws_row_begin(const struct ws_queue *queue, struct ws_queue_row *row, int scaled_out)
{
	size_t bytes = ((size_t)queue->capacity + 2) * sizeof(double);

	row->scaled_out = scaled_out;
	row->active = queue->owned + scaled_out;
	memset(row->probabilities, 0, bytes);
	memset(row->constant_terms, 0, bytes);
	memset(row->factors, 0, bytes);
}

/* Computes a(j) and b(j) by (9), (13) and (26), from K downwards. Returns false if a denominator is
 * not positive. */
static bool ws_row_coefficients(const struct ws_queue *queue, struct ws_queue_row *row)
{
	const double active_service_rate = row->active * queue->service_rate; /* n_i mu */
	double reduced = 0; /* d(j): the denominator less n_i mu, see the file comment */

	for (int j = queue->capacity; j > row->active; j--) {
		double setup =
		    ws_min(j - row->active, queue->machines - row->active) * queue->boot_rate;
		double inflow =
		    row->scaled_out ? ws_rate_into_row(queue, row, j) * row->previous[j] : 0;
		double next_term = j < queue->capacity ? row->constant_terms[j + 1] : 0;
		double denominator;

		reduced =
		    setup + (j < queue->capacity && reduced > 0
				 ? queue->arrival_rate * reduced / (reduced + active_service_rate)
				 : 0);
		denominator = reduced + active_service_rate;
		if (!(denominator > 0))
			return false;
		row->constant_terms[j] = (active_service_rate * next_term + inflow) / denominator;
		row->factors[j] = queue->arrival_rate / denominator;
	}
	return true;
}

/* Computes the probabilities of row 0 as multiples of that of the empty system. */
static void ws_row_fill_first(const struct ws_queue *queue, struct ws_queue_row *row,
			      struct ws_queue_sums *sums)
{
	double *probabilities = row->probabilities;

	probabilities[0] = 1;
	for (int j = 1; j <= queue->capacity; j++) {
		probabilities[j] =
		    probabilities[j - 1] * (j <= queue->owned
						? queue->arrival_rate / (j * queue->service_rate)
						: row->factors[j]);
		ws_row_rescale(queue, row, j, sums);
	}
}

/* Computes the probabilities of a row above 0; the first one comes from the cut equations (10) and
 * (23). */
static void ws_row_fill(const struct ws_queue *queue, struct ws_queue_row *row,
			struct ws_queue_sums *sums)
{
	double *probabilities = row->probabilities;
	double inflow = 0; /* from row i - 1 */

	for (int j = row->active; j <= queue->capacity; j++)
		inflow += ws_rate_into_row(queue, row, j) * row->previous[j];
	probabilities[row->active] = inflow / (row->active * queue->service_rate);
	for (int j = row->active + 1; j <= queue->capacity; j++) {
		probabilities[j] = row->constant_terms[j] + row->factors[j] * probabilities[j - 1];
		ws_row_rescale(queue, row, j, sums);
	}
}

/* Adds the row to the sums. If its largest value exceeds 1, divides the row and the sums by it.
 * Returns false if that value is not finite. */
static bool ws_row_add_to_sums(const struct ws_queue *queue, struct ws_queue_row *row,
			       struct ws_queue_sums *sums)
{
	double *probabilities = row->probabilities;
	double largest = 0;

	for (int j = 0; j <= queue->capacity; j++)
		largest = probabilities[j] > largest ? probabilities[j] : largest;
	if (!isfinite(largest))
		return false;
	for (int j = 0; j <= queue->capacity; j++) {
		if (probabilities[j] == 0)
			continue;
		sums->probability += probabilities[j];
		sums->jobs += probabilities[j] * j;
		sums->scaled_out += probabilities[j] * row->scaled_out;
		if (j > row->active)
			sums->scaled_out += probabilities[j] *
					    ws_min(j - row->active, queue->machines - row->active);
	}
	sums->full_system += probabilities[queue->capacity];
	if (largest > 1) {
		for (int j = 0; j <= queue->capacity; j++)
			probabilities[j] /= largest;
		ws_sums_scale_down(sums, largest);
	}
	return true;
}

/* Computes all rows and their sums. Returns false if a denominator is not positive or a value is
 * not finite. */
static bool ws_queue_sum_rows(const struct ws_queue *queue, struct ws_queue_row *row,
			      struct ws_queue_sums *sums)
{
	for (int i = 0; i <= queue->machines - queue->owned; i++) {
		double *finished;

		ws_row_begin(queue, row, i);
		if (!ws_row_coefficients(queue, row))
			return false;
		if (i == 0)
			ws_row_fill_first(queue, row, sums);
		else
			ws_row_fill(queue, row, sums);
		if (!ws_row_add_to_sums(queue, row, sums))
			return false;
		finished = row->probabilities;
		row->probabilities = row->previous;
		row->previous = finished;
	}
	return true;
}

/* Computes the means by (35) to (38). Returns false if they are undefined or not finite. */
static bool ws_queue_means(const struct ws_queue *queue, const struct ws_queue_sums *sums,
			   struct ws_queue_solution *solution)
{
	double accepted_rate;

	if (!(sums->probability > 0) || !isfinite(sums->probability))
		return false;
	solution->blocking_probability = sums->full_system / sums->probability;
	solution->mean_scaled_out = sums->scaled_out / sums->probability;
	accepted_rate = queue->arrival_rate * (1 - solution->blocking_probability);
	if (!(accepted_rate > 0))
		return false;
	solution->mean_wait_s =
	    sums->jobs / sums->probability / accepted_rate - 1 / queue->service_rate;
	if (solution->mean_wait_s < 0)
		solution->mean_wait_s = 0;
	return isfinite(solution->mean_wait_s) && isfinite(solution->mean_scaled_out);
}

bool ws_queue_solve(double arrival_rate, double service_rate, double boot_rate, int owned,
		    int scale_out_limit, int capacity, struct ws_queue_solution *solution)
{
	const struct ws_queue queue = {.arrival_rate = arrival_rate,
				       .service_rate = service_rate,
				       .boot_rate = boot_rate,
				       .owned = owned,
				       .machines = owned + scale_out_limit,
				       .capacity = capacity};
	struct ws_queue_row row = {0};
	struct ws_queue_sums sums = {0};
	size_t length;
	bool is_solved;

	if (!(arrival_rate > 0) || !(service_rate > 0) || !(boot_rate > 0) || owned < 0 ||
	    scale_out_limit < 0 || capacity < owned + scale_out_limit || capacity < 1 ||
	    !isfinite(arrival_rate + service_rate + boot_rate))
		return false;
	length = (size_t)capacity + 2;
	row.previous = calloc(length, sizeof(double));
	row.probabilities = calloc(length, sizeof(double));
	row.constant_terms = calloc(length, sizeof(double));
	row.factors = calloc(length, sizeof(double));
	is_solved = row.previous && row.probabilities && row.constant_terms && row.factors &&
		    ws_queue_sum_rows(&queue, &row, &sums) &&
		    ws_queue_means(&queue, &sums, solution);
	free(row.previous);
	free(row.probabilities);
	free(row.constant_terms);
	free(row.factors);
	return is_solved;
}

/* Returns K, the maximum number of jobs in the system, in demand units. */
static int ws_measured_capacity(const struct ws_queue_measurement *measurement)
{
	return measurement->owned + measurement->ceiling + measurement->waiting_units;
}

/* Whether Algorithm 1 stops at a given k. */
enum ws_stop_decision { WS_STOP_UNSOLVABLE, WS_STOP_NOT_YET, WS_STOP_HERE };

static enum ws_stop_decision ws_stop_decision_at(const struct ws_queue_measurement *measurement,
						 int scale_out_limit, int unit,
						 struct ws_queue_solution *solution)
{
	int capacity = ws_measured_capacity(measurement);
	double load_ratio, wait_ratio;

	if (!ws_queue_solve(measurement->arrival_rate / unit, measurement->service_rate,
			    measurement->boot_rate, measurement->owned / unit, scale_out_limit,
			    (capacity + unit - 1) / unit, solution))
		return WS_STOP_UNSOLVABLE;
	solution->mean_scaled_out *= unit;
	if (measurement->bound_s > 0 && solution->mean_wait_s > measurement->bound_s)
		return WS_STOP_NOT_YET;
	if (solution->mean_wait_s <= 0)
		return WS_STOP_HERE;
	load_ratio = solution->mean_scaled_out / measurement->rentals_max; /* S' */
	wait_ratio = solution->mean_wait_s / measurement->wait_max_s;	   /* W'q */
	return load_ratio / wait_ratio >= measurement->delta ? WS_STOP_HERE : WS_STOP_NOT_YET;
}

/*
 * Algorithm 1 increases k from 0 until the stop condition holds. With k, S rises and Wq falls, so
 * binary search finds the first such k. The cost grows with the cube of the number of machines, so
 * large numbers are grouped into units of several machines; the modelled wait of such units is
 * slightly longer than that of as many single machines.
 */
int ws_queue_find_limit(const struct ws_queue_measurement *measurement,
			struct ws_queue_solution *solution)
{
	int unit = ws_measured_capacity(measurement) / WS_QUEUE_UNITS_MAX + 1;
	int low = 0;
	int high = (measurement->ceiling + unit - 1) / unit;

	while (low < high) {
		int middle = low + (high - low) / 2;
		enum ws_stop_decision decision =
		    ws_stop_decision_at(measurement, middle, unit, solution);

		if (decision == WS_STOP_UNSOLVABLE)
			return -1;
		if (decision == WS_STOP_HERE)
			high = middle;
		else
			low = middle + 1;
	}
	if (ws_stop_decision_at(measurement, low, unit, solution) == WS_STOP_UNSOLVABLE)
		return -1;
	return low * unit < measurement->ceiling ? low * unit : measurement->ceiling;
}
