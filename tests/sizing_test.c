/*
 * Compares the solution of the queue model with an independent one: the balance equations of all
 * states, derived from the transitions alone and solved by Gaussian elimination.
 */
#include "../src/core/core_state.h"

#define SERVICE_RATE (1 / 60.0)
#define BOOT_RATE (1 / 35.0)
#define TOLERANCE 1e-6

static int passed_checks, failed_checks;

/* The queue's parameters, in the order of ws_queue_solve(). */
struct queue {
	double arrival_rate, service_rate, boot_rate;
	int owned, instances_max, units_max;
};

/* The number of running instances and the number of units in the system. */
struct state {
	int instances, units;
};

struct transition {
	struct state target;
	double rate;
};

/* Each row is an equation; the last column is its right-hand side. */
struct matrix {
	double *cells;
	int size;
};

static double *cell(const struct matrix *matrix, int row, int column)
{
	return &matrix->cells[(size_t)row * (size_t)(matrix->size + 1) + (size_t)column];
}

/* Returns all reachable states of the queue; the caller frees them. */
static struct state *list_states(const struct queue *queue, int *count)
{
	size_t max_states = (size_t)(queue->instances_max + 1) * (size_t)(queue->units_max + 1);
	struct state *states = calloc(max_states, sizeof(*states));

	*count = 0;
	for (int i = 0; i <= queue->instances_max; i++)
		for (int k = i ? queue->owned + i : 0; k <= queue->units_max; k++)
			states[(*count)++] = (struct state){i, k};
	return states;
}

/* Returns the number of booting instances: one for each waiting unit, up to instances_max. */
static double booting(const struct queue *queue, const struct state *state)
{
	int machines = queue->owned + state->instances;

	if (state->units <= machines)
		return 0;
	return fmin(state->units - machines, queue->instances_max - state->instances);
}

/* Lists an arrival, a departure and a completed boot; a rate of 0 means that it cannot occur. */
static void list_transitions(const struct queue *queue, const struct state *state,
			     struct transition transitions[3])
{
	int machines = queue->owned + state->instances;
	/* an instance without work is released at once */
	bool is_scaled_in = state->instances && state->units == machines;

	transitions[0] = (struct transition){
	    {state->instances, state->units + 1},
	    state->units < queue->units_max ? queue->arrival_rate : 0,
	};
	transitions[1] = (struct transition){
	    {is_scaled_in ? state->instances - 1 : state->instances, state->units - 1},
	    fmin(state->units, machines) * queue->service_rate,
	};
	transitions[2] = (struct transition){
	    {state->instances + 1, state->units},
	    booting(queue, state) * queue->boot_rate,
	};
}

static void add_transition(struct matrix *matrix, const struct state *states, int from,
			   const struct transition *transition)
{
	if (transition->rate <= 0)
		return;
	for (int i = 0; i < matrix->size; i++) {
		if (states[i].instances != transition->target.instances ||
		    states[i].units != transition->target.units)
			continue;
		*cell(matrix, i, from) += transition->rate;
		*cell(matrix, from, from) -= transition->rate;
	}
}

/* Returns the balance equation of each state and the condition that the probabilities sum to 1. */
static struct matrix write_equations(const struct queue *queue, const struct state *states,
				     int count)
{
	struct matrix matrix = {
	    .cells = calloc((size_t)count * (size_t)(count + 1), sizeof(*matrix.cells)),
	    .size = count,
	};

	for (int i = 0; i < count; i++) {
		struct transition transitions[3];

		list_transitions(queue, &states[i], transitions);
		for (int k = 0; k < 3; k++)
			add_transition(&matrix, states, i, &transitions[k]);
	}
	/* The balance equations are linearly dependent: the sum of probabilities replaces the last.
	 */
	for (int i = 0; i <= count; i++)
		*cell(&matrix, count - 1, i) = 1;
	return matrix;
}

static void swap_rows(struct matrix *matrix, int row, int other_row)
{
	for (int i = 0; i <= matrix->size; i++) {
		double value = *cell(matrix, row, i);

		*cell(matrix, row, i) = *cell(matrix, other_row, i);
		*cell(matrix, other_row, i) = value;
	}
}

/* Gauss-Jordan elimination with partial pivoting. */
static void eliminate(struct matrix *matrix)
{
	for (int column = 0; column < matrix->size; column++) {
		int pivot = column;

		for (int row = column + 1; row < matrix->size; row++)
			if (fabs(*cell(matrix, row, column)) > fabs(*cell(matrix, pivot, column)))
				pivot = row;
		swap_rows(matrix, column, pivot);
		for (int row = 0; row < matrix->size; row++) {
			double factor = row == column ? 0
						      : *cell(matrix, row, column) /
							    *cell(matrix, column, column);

			for (int i = column; factor != 0 && i <= matrix->size; i++)
				*cell(matrix, row, i) -= factor * *cell(matrix, column, i);
		}
	}
}

static void solve_dense(const struct queue *queue, struct ws_queue_solution *solution)
{
	int count;
	struct state *states = list_states(queue, &count);
	struct matrix matrix = write_equations(queue, states, count);
	double total = 0, units = 0;

	eliminate(&matrix);
	memset(solution, 0, sizeof(*solution));
	for (int i = 0; i < count; i++) {
		double probability = *cell(&matrix, i, count) / *cell(&matrix, i, i);

		total += probability;
		units += probability * states[i].units;
		solution->mean_scaled_out +=
		    probability * (states[i].instances + booting(queue, &states[i]));
		if (states[i].units == queue->units_max)
			solution->blocking_probability += probability;
	}
	solution->mean_wait_s =
	    units / (queue->arrival_rate * (1 - solution->blocking_probability)) -
	    1 / queue->service_rate;
	if (fabs(total - 1) > TOLERANCE)
		failed_checks++;
	free(matrix.cells);
	free(states);
}

static void check_near(const char *what, double actual, double expected)
{
	if (!(fabs(actual - expected) <= TOLERANCE * (1 + fabs(expected)))) {
		printf("FAIL %s: %.9g, expected %.9g\n", what, actual, expected);
		failed_checks++;
	}
}

static bool solve(const struct queue *queue, struct ws_queue_solution *solution)
{
	return ws_queue_solve(queue->arrival_rate, queue->service_rate, queue->boot_rate,
			      queue->owned, queue->instances_max, queue->units_max, solution);
}

static void compare_with_dense(int owned, int instances, int demand)
{
	struct queue queue = {
	    .arrival_rate = SERVICE_RATE * (owned + instances) * demand * 0.4,
	    .service_rate = SERVICE_RATE,
	    .boot_rate = BOOT_RATE,
	    .owned = owned,
	    .instances_max = instances,
	    .units_max = owned + instances + 6,
	};
	struct ws_queue_solution actual = {0}, expected;

	if (!solve(&queue, &actual)) {
		printf("FAIL no solution for owned %d, instances %d, demand %d\n", owned, instances,
		       demand);
		failed_checks++;
		return;
	}
	solve_dense(&queue, &expected);
	check_near("instances", actual.mean_scaled_out, expected.mean_scaled_out);
	check_near("wait", actual.mean_wait_s, expected.mean_wait_s);
	check_near("blocking", actual.blocking_probability, expected.blocking_probability);
	passed_checks++;
}

static void test_small_queues(void)
{
	for (int owned = 0; owned <= 6; owned += 2)
		for (int instances = owned ? 0 : 1; instances <= 5; instances++)
			for (int demand = 1; demand <= 4; demand++)
				compare_with_dense(owned, instances, demand);
}

/* Queues as large as in deployments, and much larger: the solution must be in range, and the wait
 * must not rise as instances are added. */
static void test_large_queues(void)
{
	for (int owned = 1; owned <= 200; owned = owned * 2 + 1) {
		double last_wait_s = 1e300;

		for (int instances = 0; instances <= 100; instances += 5) {
			struct queue queue = {0.02 * (owned + 40), SERVICE_RATE, BOOT_RATE, owned,
					      instances,	   owned + 200};
			struct ws_queue_solution solution = {0};

			if (!solve(&queue, &solution) ||
			    solution.mean_wait_s > last_wait_s * (1 + 1e-9) + 1e-9 ||
			    solution.mean_scaled_out > instances + 1e-9 ||
			    solution.blocking_probability < 0 ||
			    solution.blocking_probability > 1) {
				printf("FAIL owned %d instances %d: wait %g mean %g\n", owned,
				       instances, solution.mean_wait_s, solution.mean_scaled_out);
				failed_checks++;
			}
			last_wait_s = solution.mean_wait_s;
		}
		passed_checks++;
	}
}

/* The limit keeps the wait within the bound; a tighter bound does not lower it, and the ceiling
 * caps it. */
static void test_sizing(void)
{
	struct ws_queue_solution solution;
	struct ws_queue_measurement measurement = {.arrival_rate = 0.2,
						   .service_rate = SERVICE_RATE,
						   .boot_rate = BOOT_RATE,
						   .owned = 6,
						   .ceiling = 20,
						   .waiting_units = 10,
						   .delta = 1,
						   .rentals_max = 20,
						   .wait_max_s = 10,
						   .bound_s = 5};
	int instances = ws_queue_find_limit(&measurement, &solution), tight;

	if (instances < 1 || instances > 20 || (instances < 20 && solution.mean_wait_s > 5)) {
		printf("FAIL limit of %d instances with a wait of %g s\n", instances,
		       solution.mean_wait_s);
		failed_checks++;
	}
	measurement.bound_s = 0.5;
	tight = ws_queue_find_limit(&measurement, &solution);
	if (tight < instances) {
		printf("FAIL limit %d under a tighter bound, %d before\n", tight, instances);
		failed_checks++;
	}
	measurement.arrival_rate = 100;
	if (ws_queue_find_limit(&measurement, &solution) != 20) {
		printf("FAIL the limit is not the ceiling of 20\n");
		failed_checks++;
	}
	passed_checks += 3;
}

static void test_no_solution(void)
{
	struct ws_queue_solution solution;

	if (ws_queue_solve(0, 1, 1, 1, 1, 3, &solution) ||
	    ws_queue_solve(NAN, 1, 1, 1, 1, 3, &solution) ||
	    ws_queue_solve(1, 1, 1, 4, 1, 3, &solution)) {
		printf("FAIL a queue without a solution is solved\n");
		failed_checks++;
	}
	passed_checks++;
}

int main(void)
{
	test_small_queues();
	test_large_queues();
	test_sizing();
	test_no_solution();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
