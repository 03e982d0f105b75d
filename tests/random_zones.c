/*
 * Scenarios drawn at random: zones go dark while leaders end, are cut off and refused, answers are
 * lost, and reports come twice. The simulator checks the rules at every step, and in the end every
 * job is answered for. random_zones [-v] FIRST COUNT: a seed each, told where it fails.
 */
#include "sim.h"
#include <stdarg.h>

static uint64_t state;
static struct sim *sim;
static char error[512];

static unsigned draw(unsigned below)
{
	state = state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (unsigned)((state >> 33) % below);
}

static bool chance(unsigned percent)
{
	return draw(100) < percent;
}

static void line(const char *format, ...)
{
	char text[300];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	if (sim_verbose)
		fprintf(stderr, "%s\n", text);
	if (!error[0])
		sim_line(sim, text, error, sizeof(error));
}

struct event {
	double at;
	char text[120];
};
static struct event events[128];
static size_t event_count;

static void event(double at, const char *format, ...)
{
	struct event *e = &events[event_count++];
	va_list arguments;

	e->at = at;
	va_start(arguments, format);
	vsnprintf(e->text, sizeof(e->text), format, arguments);
	va_end(arguments);
}

static int by_time(const void *a, const void *b)
{
	const struct event *x = a, *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

static void draw_cluster(unsigned zones)
{
	bool long_lease = chance(50);

	line("subsystem zones %s", chance(50) ? "" : chance(50) ? "stable=5 ramp=5" : "stable=60");
	line("seed %u", draw(1000000));
	line("lease %d", long_lease ? 45 : 16);
	line("report %d", long_lease ? 3 : 2);
	line("cancel %d", long_lease ? 75 : 46);
	for (unsigned z = 0; z < zones; z++)
		line("zone %c", 'a' + (int)z);
	line("type std 16 128 1.0 %d %s", chance(50) ? 10 : 30,
	     zones == 2	  ? "a b"
	     : zones == 3 ? "a b c"
			  : "a b c d");
	for (unsigned z = 0; z < zones; z++)
		line("owned std %c %u", 'a' + (int)z, 1 + draw(4));
	line("capacity 30");
	if (chance(30))
		line("network rack 10.1.0.0/30");
	line("team t %d 240", chance(50) ? 40 : 200);
}

static void draw_job(unsigned number, unsigned zones)
{
	static const char *const tiers[] = {"urgent", "normal", "best"};
	double at = 5 + draw(80);
	char where[32] = "";

	if (chance(10))
		snprintf(where, sizeof(where), " zone=%c", 'a' + (int)draw(zones));
	else if (chance(20))
		snprintf(where, sizeof(where), " one-zone");
	if (chance(20))
		event(at, "submit job-%06u class=portal service tasks=%u cpus=2 tier=production%s",
		      number, 1 + draw(4), chance(60) ? " spread" : "");
	else if (chance(20))
		event(
		    at,
		    "submit job-%06u class=gang gang tasks=%u cpus=4 run=%u checkpoint=5 save=1%s",
		    number, 2 + draw(4), 5 + draw(25), where);
	else
		event(at, "submit job-%06u class=accrual tasks=%u cpus=4 run=%u tier=%s%s", number,
		      1 + draw(6), 5 + draw(55), tiers[draw(3)], where);
	if (chance(20))
		event(at + 1 + draw(60), "abort job-%06u", number);
}

static void draw_trouble(unsigned zones)
{
	static const int spans[] = {3, 6, 10, 16, 20, 40, 70};
	static const char *const kinds[] = {"", "", "", " only=reports", " only=answers"};
	static const char *const cuts[] = {"all", "workers", "state", "peers"};
	double at = 15 + draw(110);
	int zone = 'a' + (int)draw(zones);

	event(at, "dark %c for=%d%s", zone, spans[draw(7)], kinds[draw(5)]);
	if (chance(40))
		event(at + draw(20), "crash leader for=%d", chance(50) ? 3 : 20);
	if (chance(15))
		event(at + draw(10), "crash all for=4");
	if (chance(20))
		event(at + draw(10), "state-outage for=%d", chance(50) ? 3 : 30);
	if (chance(20))
		event(at + draw(10), "cloud-outage for=20");
	if (chance(20))
		event(at + draw(5), "cut %u %s for=%d", draw(3), cuts[draw(4)],
		      chance(50) ? 5 : 30);
	if (chance(10))
		event(at + 1, "late-writes 0.2 for=20");
	if (chance(20))
		event(at - 8, "copies %d for=30", chance(50) ? 5 : 30);
	if (chance(10))
		event(at + draw(20), "hold-domain %c", zone);
	if (chance(10))
		event(at + draw(40), "release-domain %c", zone);
	if (chance(10))
		event(at + draw(8), "late orders times=3 by=20");
	if (chance(10))
		event(at + draw(8), "lose-answer txn times=2");
	if (chance(10))
		event(at + draw(3), "crash-on txn %sskip=%u for=3", chance(50) ? "after " : "",
		      draw(5));
}

static bool play(unsigned seed)
{
	unsigned zones, jobs, troubles;
	bool ok;

	state = seed * 2654435761ULL + 1;
	event_count = 0;
	error[0] = 0;
	sim = sim_new();
	zones = 2 + draw(3);
	draw_cluster(zones);
	jobs = 4 + draw(10);
	for (unsigned i = 1; i <= jobs; i++)
		draw_job(i, zones);
	troubles = 1 + draw(5);
	for (unsigned i = 0; i < troubles; i++)
		draw_trouble(zones);
	qsort(events, event_count, sizeof(*events), by_time);
	for (size_t i = 0; i < event_count; i++)
		line("at %.2f %s", events[i].at, events[i].text);
	line("at 420 expect leader");
	line("at 420 expect all-answered 75");
	ok = !error[0] && sim_play(sim, error, sizeof(error));
	if (!ok)
		printf("FAIL seed %u: %s\n", seed, error);
	sim_free(sim);
	return ok;
}

int main(int argc, char **argv)
{
	unsigned good = 0, bad = 0;
	int at = 1;

	if (argc > 1 && !strcmp(argv[1], "-v")) {
		sim_verbose = true;
		at = 2;
	}
	if (argc != at + 2)
		return 2;
	for (unsigned i = 0; i < (unsigned)atoi(argv[at + 1]); i++)
		play((unsigned)atoi(argv[at]) + i) ? good++ : bad++;
	printf("%u passed, %u failed\n", good, bad);
	return bad != 0;
}
