/*
 * The queue against an independent solution: the balance equations of all states, written out from
 * the transitions alone and solved by elimination.
 */
#include "../src/core/core_state.h"

static int bad;

static void dense(double l, double m, double a, int n0, int machines, int kmax,
		  struct ws_queue_solution *solution)
{
	int n = 0, (*st)[2] = calloc((size_t)(machines + 1) * (size_t)(kmax + 1), sizeof(*st));
	double *g, total = 0, jobs = 0;

	for (int i = 0; i <= machines; i++)
		for (int j = i ? n0 + i : 0; j <= kmax; j++, n++) {
			st[n][0] = i;
			st[n][1] = j;
		}
	g = calloc((size_t)n * (size_t)(n + 1), sizeof(*g));
#define G(r, c) g[(size_t)(r) * (size_t)(n + 1) + (size_t)(c)]
	for (int s = 0; s < n; s++) {
		int i = st[s][0], j = st[s][1], ni = n0 + i;
		struct {
			int i, j;
			double rate;
		} to[3] = {{i, j + 1, j < kmax ? l : 0},
			   /* a departure; a rented machine without a job is off at once */
			   {i && j == ni ? i - 1 : i, j - 1, j ? fmin(j, ni) * m : 0},
			   {i + 1, j, i < machines && j > ni ? fmin(j - ni, machines - i) * a : 0}};

		for (int x = 0; x < 3; x++) {
			if (to[x].rate <= 0)
				continue;
			for (int t = 0; t < n; t++)
				if (st[t][0] == to[x].i && st[t][1] == to[x].j) {
					G(t, s) += to[x].rate;
					G(s, s) -= to[x].rate;
				}
		}
	}
	for (int s = 0; s <= n; s++)
		G(n - 1, s) = 1; /* one equation is redundant: normalise instead */
	for (int c = 0; c < n; c++) {
		int p = c;

		for (int r = c + 1; r < n; r++)
			if (fabs(G(r, c)) > fabs(G(p, c)))
				p = r;
		for (int x = 0; x <= n; x++) {
			double t = G(c, x);
			G(c, x) = G(p, x);
			G(p, x) = t;
		}
		for (int r = 0; r < n; r++) {
			double f = r == c ? 0 : G(r, c) / G(c, c);

			for (int x = c; f != 0 && x <= n; x++)
				G(r, x) -= f * G(c, x);
		}
	}
	memset(solution, 0, sizeof(*solution));
	for (int s = 0; s < n; s++) {
		double p = G(s, n) / G(s, s);
		int i = st[s][0], j = st[s][1];

		total += p;
		jobs += p * j;
		solution->mean_scaled_out +=
		    p * (i + (j > n0 + i ? fmin(j - n0 - i, machines - i) : 0));
		solution->blocking_probability += j == kmax ? p : 0;
	}
	solution->mean_wait_s = jobs / (l * (1 - solution->blocking_probability)) - 1 / m;
	if (fabs(total - 1) > 1e-6)
		bad++;
	free(g);
	free(st);
}

static void near_to(const char *what, double actual, double expected)
{
	if (!(fabs(actual - expected) <= 1e-6 * (1 + fabs(expected)))) {
		printf("FAIL %s: %.9g, should be %.9g\n", what, actual, expected);
		bad++;
	}
}

int main(void)
{
	int good = 0;

	for (int n0 = 0; n0 <= 6; n0 += 2)
		for (int k = n0 ? 0 : 1; k <= 5; k++)
			for (int load = 1; load <= 4; load++) {
				struct ws_queue_solution a = {0}, b;
				double mu = 1 / 60.0, l = mu * (n0 + k) * load * 0.4;

				if (!ws_queue_solve(l, mu, 1 / 35.0, n0, k, n0 + k + 6, &a)) {
					printf("FAIL no solution for %d %d %d\n", n0, k, load);
					bad++;
					continue;
				}
				dense(l, mu, 1 / 35.0, n0, k, n0 + k + 6, &b);
				near_to("S", a.mean_scaled_out, b.mean_scaled_out);
				near_to("Wq", a.mean_wait_s, b.mean_wait_s);
				near_to("Pb", a.blocking_probability, b.blocking_probability);
				good++;
			}
	/* sizes of the deployments and far beyond: finite, and Wq falls as k rises */
	for (int n0 = 1; n0 <= 200; n0 = n0 * 2 + 1) {
		double last = 1e300;

		for (int k = 0; k <= 100; k += 5) {
			struct ws_queue_solution a = {0};

			if (!ws_queue_solve(0.02 * (n0 + 40), 1 / 60.0, 1 / 35.0, n0, k, n0 + 200,
					    &a) ||
			    a.mean_wait_s > last * (1 + 1e-9) + 1e-9 ||
			    a.mean_scaled_out > k + 1e-9 || a.blocking_probability < 0 ||
			    a.blocking_probability > 1) {
				printf("FAIL n0 %d k %d: Wq %g S %g\n", n0, k, a.mean_wait_s,
				       a.mean_scaled_out);
				bad++;
			}
			last = a.mean_wait_s;
		}
		good++;
	}
	struct ws_queue_solution solution;
	struct ws_queue_measurement measurement = {.arrival_rate = 0.2,
						   .service_rate = 1 / 60.0,
						   .boot_rate = 1 / 35.0,
						   .owned = 6,
						   .ceiling = 20,
						   .waiting_units = 10,
						   .delta = 1,
						   .rentals_max = 20,
						   .wait_max_s = 10,
						   .bound_s = 5};
	int k = ws_sizing_run(&measurement, &solution), tight;

	/* over the bound k rises on, and the ceiling ends it */
	if (k < 1 || k > 20 || (k < 20 && solution.mean_wait_s > 5)) {
		printf("FAIL k %d at Wq %g\n", k, solution.mean_wait_s);
		bad++;
	}
	measurement.bound_s = 0.5;
	tight = ws_sizing_run(&measurement, &solution);
	if (tight < k) {
		printf("FAIL a tighter bound gives %d < %d\n", tight, k);
		bad++;
	}
	measurement.arrival_rate = 100;
	if (ws_sizing_run(&measurement, &solution) != 20) {
		printf("FAIL the ceiling does not hold\n");
		bad++;
	}
	if (ws_queue_solve(0, 1, 1, 1, 1, 3, &solution) ||
	    ws_queue_solve(NAN, 1, 1, 1, 1, 3, &solution) ||
	    ws_queue_solve(1, 1, 1, 4, 1, 3, &solution)) {
		printf("FAIL what has no solution is solved\n");
		bad++;
	}
	good += 4;
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
