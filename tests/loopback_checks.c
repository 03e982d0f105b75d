/* The rules that the loopback cluster is checked by, and the account of a break. */
#include "loopback_parts.h"
#include <stdarg.h>

#define EVENTS 120
#define EVENT_MAX 160
#define LOG_LINES 60
#define CPU_TOLERANCE 1e-9

static char events[EVENTS][EVENT_MAX];
static unsigned event_count;
static char broken[EVENT_MAX];
static double began_at;

static void event_add(const char *format, va_list arguments)
{
	char *event = events[event_count++ % EVENTS];
	int length;

	if (!began_at)
		began_at = ws_now();
	length = snprintf(event, EVENT_MAX, "%8.3f ", ws_now() - began_at);
	vsnprintf(event + length, EVENT_MAX - (size_t)length, format, arguments);
}

void loopback_event(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	event_add(format, arguments);
	va_end(arguments);
}

void loopback_broken(const char *format, ...)
{
	va_list arguments;

	if (broken[0])
		return;
	va_start(arguments, format);
	event_add(format, arguments);
	va_end(arguments);
	snprintf(broken, sizeof(broken), "%s", events[(event_count - 1) % EVENTS]);
}

const char *loopback_break(void)
{
	return broken[0] ? broken : NULL;
}

static void print_log(const struct loopback_node *node)
{
	char command[120];

	if (!node->log[0])
		return;
	printf("---- the last lines of %s\n", node->log);
	fflush(stdout);
	snprintf(command, sizeof(command), "tail -n %d %s", LOG_LINES, node->log);
	if (system(command))
		printf("can't be read\n");
}

void loopback_print_account(void)
{
	unsigned first = event_count > EVENTS ? event_count - EVENTS : 0;

	for (unsigned i = first; i < event_count; i++)
		printf("%s\n", events[i % EVENTS]);
	for (int i = 0; i < LOOPBACK_NODES; i++)
		print_log(&loopback_nodes[i]);
}

/* CPUs of a team's tasks that run. */
static double team_use(const struct loopback_team *team)
{
	double cpus = 0;

	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; k < loopback_workers[i].count; k++) {
			const struct loopback_task *task = &loopback_workers[i].tasks[k];
			const struct loopback_job *job = loopback_job_of(task->job);

			if (job && job->team == team && task->state == LOOPBACK_RUNNING)
				cpus += job->cpus;
		}
	return cpus;
}

/* The rule: a task starts on one machine only. */
static void check_alone(const struct loopback_worker *worker, const struct loopback_task *started)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; k < loopback_workers[i].count; k++) {
			const struct loopback_task *other = &loopback_workers[i].tasks[k];

			if (other == started || other->state != LOOPBACK_RUNNING ||
			    other->number != started->number || strcmp(other->job, started->job))
				continue;
			loopback_count.twice++;
			loopback_broken("%s/%u starts on %s while on %s", started->job,
					started->number, worker->name, loopback_workers[i].name);
		}
}

void loopback_check_start(const struct loopback_worker *worker, const struct loopback_task *task)
{
	const struct loopback_job *job = loopback_job_of(task->job);
	double use = team_use(job->team);

	loopback_event("%s/%u runs on %s, attempt %llu, team %s uses %.0f of %.0f", task->job,
		       task->number, worker->name, (unsigned long long)task->attempt,
		       job->team->name, use, job->team->cpus_max);
	check_alone(worker, task);
	if (use > job->team->cpus_max + CPU_TOLERANCE)
		loopback_broken("team %s uses %.0f of %.0f with %s/%u on %s", job->team->name, use,
				job->team->cpus_max, task->job, task->number, worker->name);
}

void loopback_check_cancelled(void)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; k < loopback_workers[i].count; k++) {
			const struct loopback_task *task = &loopback_workers[i].tasks[k];
			const struct loopback_job *job = loopback_job_of(task->job);

			if (task->state == LOOPBACK_RUNNING && job && job->cancelled_at > 0 &&
			    ws_now() > job->cancelled_at + LOOPBACK_CANCEL_S)
				loopback_broken("%s/%u is on %s %.1f s after it was cancelled",
						task->job, task->number, loopback_workers[i].name,
						ws_now() - job->cancelled_at);
		}
}
