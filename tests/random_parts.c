/*
 * Random scenarios: the random number generator, the parts of a cluster that all scenarios share,
 * and the main function of the tests.
 */
#include "random_parts.h"
#include <stdarg.h>

#define EVENTS_MAX 256
#define SCENARIO_S 420

static uint64_t random_state;
static struct sim *sim;
static char error[512];
static bool print_digests;

unsigned random_draw(unsigned below)
{
	random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (unsigned)((random_state >> 33) % below);
}

bool random_chance(unsigned percent)
{
	return random_draw(100) < percent;
}

void random_line(const char *format, ...)
{
	char text[300];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	if (sim_verbose)
		fprintf(stderr, "%s\n", text);
	if (!error[0])
		sim_parse_line(sim, text, error, sizeof(error));
}

struct event {
	double time;
	char text[120];
};
static struct event events[EVENTS_MAX];
static size_t event_count;

void random_event(double time, const char *format, ...)
{
	struct event *event = &events[event_count++];
	va_list arguments;

	event->time = time;
	va_start(arguments, format);
	vsnprintf(event->text, sizeof(event->text), format, arguments);
	va_end(arguments);
}

static int compare_times(const void *left, const void *right)
{
	const struct event *first = left, *second = right;

	return (first->time > second->time) - (first->time < second->time);
}

void random_cluster(unsigned zones)
{
	bool long_lease = random_chance(50);

	random_line("seed %u", random_draw(1000000));
	random_line("lease %d", long_lease ? 45 : 16);
	random_line("heartbeat %d", long_lease ? 3 : 2);
	random_line("cancel %d", long_lease ? 75 : 46);
	for (unsigned i = 0; i < zones; i++)
		random_line("zone %c", 'a' + (int)i);
	random_line("type std 16 128 1.0 %d %s", random_chance(50) ? 10 : 30,
		    zones == 2	 ? "a b"
		    : zones == 3 ? "a b c"
				 : "a b c d");
	for (unsigned i = 0; i < zones; i++)
		random_line("owned std %c %u", 'a' + (int)i, 1 + random_draw(4));
	random_line("capacity 30");
	if (random_chance(30))
		random_line("network rack 10.1.0.0/30");
	random_line("team t %d 240", random_chance(50) ? 40 : 200);
}

static void random_job(unsigned number, unsigned zones)
{
	static const char *const tiers[] = {"urgent", "normal", "best-effort"};
	double at = 5 + random_draw(80);
	char where[32] = "";

	if (random_chance(10))
		snprintf(where, sizeof(where), " zone=%c", 'a' + (int)random_draw(zones));
	else if (random_chance(20))
		snprintf(where, sizeof(where), " one-zone");
	if (random_chance(20))
		random_event(
		    at,
		    "submit job-%06u class=portal service tasks=%u cpus=2 priority=production%s",
		    number, 1 + random_draw(4), random_chance(60) ? " spread" : "");
	else if (random_chance(20))
		random_event(at,
			     "submit job-%06u class=gang gang tasks=%u cpus=4 run=%u "
			     "checkpoint-interval=5 checkpoint-duration=1%s",
			     number, 2 + random_draw(4), 5 + random_draw(25), where);
	else
		random_event(
		    at, "submit job-%06u class=accrual tasks=%u cpus=4 run=%u priority=%s%s",
		    number, 1 + random_draw(6), 5 + random_draw(55), tiers[random_draw(3)], where);
	if (random_chance(20))
		random_event(at + 1 + random_draw(60), "abort job-%06u", number);
}

unsigned random_jobs(unsigned zones)
{
	unsigned jobs = 4 + random_draw(10);

	for (unsigned i = 1; i <= jobs; i++)
		random_job(i, zones);
	return jobs;
}

static bool run_scenario(unsigned seed)
{
	bool passed;

	random_state = seed * 2654435761ULL + 1;
	event_count = 0;
	error[0] = 0;
	sim = sim_new();
	random_generate();
	qsort(events, event_count, sizeof(*events), compare_times);
	for (size_t i = 0; i < event_count; i++)
		random_line("at %.2f %s", events[i].time, events[i].text);
	random_line("at %d expect leader", SCENARIO_S);
	random_line("at %d expect all-answered-within 75", SCENARIO_S);
	passed = !error[0] && sim_run(sim, error, sizeof(error));
	if (!passed)
		printf("FAIL seed %u: %s\n", seed, error);
	if (print_digests) {
		char name[32];

		snprintf(name, sizeof(name), "seed-%u", seed);
		sim_print_digest(sim, name);
	}
	sim_free(sim);
	return passed;
}

int main(int argc, char **argv)
{
	unsigned passed_count = 0, failed_count = 0;
	int at = 1;

	for (; at < argc && argv[at][0] == '-'; at++) {
		sim_verbose |= !strcmp(argv[at], "-v");
		print_digests |= !strcmp(argv[at], "-d");
	}
	if (argc != at + 2)
		return 2;
	for (unsigned i = 0; i < (unsigned)atoi(argv[at + 1]); i++)
		run_scenario((unsigned)atoi(argv[at]) + i) ? passed_count++ : failed_count++;
	printf("%u passed, %u failed\n", passed_count, failed_count);
	return failed_count != 0;
}
