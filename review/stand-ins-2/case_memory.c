/*
 * Jobs of the most tasks that a job may have. Without the disruption 8 come in a minute, with it
 * several times as many. The platform of this case ends a controller whose resident memory exceeds
 * ram_mb and starts it again 5 s later, as the deploy page says.
 */
#include "world.h"

#define SHARDS 100000
#define CALM_JOBS 8
#define RUSH_JOBS 60
#define RAM_MB 72
#define BACK_S 5.0
#define ARRIVALS_S 50
#define WATCHED_S 60
#define CHECK_EACH_S 0.25

const char *const case_name = "memory";

static unsigned ends;
static double back_at[NODES];
static long most_kb;

void case_setup(void)
{
}

static long resident_kb(pid_t pid)
{
	char path[64], line[256];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		sscanf(line, "VmRSS: %ld kB", &kb);
	if (file)
		fclose(file);
	return kb;
}

static void platform_step(void)
{
	for (int i = 0; i < NODES; i++) {
		long kb;

		if (nodes[i].pid <= 0) {
			if (back_at[i] > 0 && ws_now() >= back_at[i])
				node_start(i);
			continue;
		}
		kb = resident_kb(nodes[i].pid);
		if (kb > most_kb)
			most_kb = kb;
		if (kb <= RAM_MB * 1024L)
			continue;
		record("platform: worker-%d holds %ld kB, more than ram_mb = %d: it is ended", i,
		       kb, RAM_MB);
		ends++;
		node_kill(i);
		back_at[i] = ws_now() + BACK_S;
	}
}

static unsigned all_starts(void)
{
	unsigned starts = 0;

	for (int i = 0; i < job_count; i++)
		starts += jobs[i].starts;
	return starts;
}

static void run_with_platform(double seconds)
{
	double end = ws_now() + seconds;

	while (ws_now() < end && world_time() < 116) {
		platform_step();
		run_for(CHECK_EACH_S);
	}
}

void case_run(void)
{
	int count = trouble ? RUSH_JOBS : CALM_JOBS;
	unsigned accepted = 0, starts;

	run_for(5);
	for (int i = 0; i < count; i++) {
		struct job *job = job_new("sweep", SHARDS, 2, 4, 3);

		snprintf(job->team, sizeof(job->team), "ledger-ops-%02d", i % deployment.teams);
		job_submit(job);
		run_with_platform((double)ARRIVALS_S / count);
	}
	for (int i = 0; i < job_count; i++)
		accepted += jobs[i].accepted;
	record("%u of %d jobs were accepted, %u tasks were started, the most that a controller "
	       "held was %ld kB, %u were ended for memory",
	       accepted, count, all_starts(), most_kb, ends);
	starts = all_starts();
	run_with_platform(WATCHED_S);
	record(
	    "in the next %d s %u tasks were started, the most that a controller held was %ld kB, "
	    "%u were ended for memory",
	    WATCHED_S, all_starts() - starts, most_kb, ends);
	if (ends)
		broken("%u times a controller ended for memory", ends);
	if (all_starts() - starts < 20)
		broken(
		    "an accepted job must run: of %u accepted jobs only %u tasks were started in "
		    "%d s on %d machines that are up",
		    accepted, all_starts() - starts, WATCHED_S, deployment.workers);
}
