/* Invariants of the loopback cluster, and diagnostics of a violation. */
#include "loopback_parts.h"
#include <stdarg.h>

#define EVENTS_MAX 120
#define EVENT_LENGTH_MAX 160
#define LOG_LINES 60
#define CPU_TOLERANCE 1e-9

static char events[EVENTS_MAX][EVENT_LENGTH_MAX];
static unsigned event_count;
static char first_violation[EVENT_LENGTH_MAX];
static double started_at;

static void event_add(const char *format, va_list arguments)
{
	char *event = events[event_count++ % EVENTS_MAX];
	int length;

	if (!started_at)
		started_at = ws_now();
	length = snprintf(event, EVENT_LENGTH_MAX, "%8.3f ", ws_now() - started_at);
	vsnprintf(event + length, EVENT_LENGTH_MAX - (size_t)length, format, arguments);
}

void loopback_event(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	event_add(format, arguments);
	va_end(arguments);
}

void loopback_violation(const char *format, ...)
{
	va_list arguments;

	if (first_violation[0])
		return;
	va_start(arguments, format);
	event_add(format, arguments);
	va_end(arguments);
	snprintf(first_violation, sizeof(first_violation), "%s",
		 events[(event_count - 1) % EVENTS_MAX]);
}

const char *loopback_first_violation(void)
{
	return first_violation[0] ? first_violation : NULL;
}

static void print_log(const struct loopback_node *node)
{
	char command[120];

	if (!node->log_path[0])
		return;
	printf("---- last lines of %s\n", node->log_path);
	fflush(stdout);
	snprintf(command, sizeof(command), "tail -n %d %s", LOG_LINES, node->log_path);
	if (system(command))
		printf("cannot read %s\n", node->log_path);
}

void loopback_print_diagnostics(void)
{
	unsigned first = event_count > EVENTS_MAX ? event_count - EVENTS_MAX : 0;

	for (unsigned i = first; i < event_count; i++)
		printf("%s\n", events[i % EVENTS_MAX]);
	for (int i = 0; i < LOOPBACK_NODES; i++)
		print_log(&loopback_nodes[i]);
}

/* Returns the CPUs of a team's running tasks. */
static double used_cpus(const struct loopback_team *team)
{
	double cpus = 0;

	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; k < loopback_workers[i].task_count; k++) {
			const struct loopback_task *task = &loopback_workers[i].tasks[k];
			const struct loopback_job *job = loopback_job_find(task->job);

			if (job && job->team == team && task->state == LOOPBACK_RUNNING)
				cpus += job->cpus;
		}
	return cpus;
}

/* Reports a violation if the started task is running on another machine. */
static void check_single_start(const struct loopback_worker *worker,
			       const struct loopback_task *started)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; k < loopback_workers[i].task_count; k++) {
			const struct loopback_task *other = &loopback_workers[i].tasks[k];

			if (other == started || other->state != LOOPBACK_RUNNING ||
			    other->number != started->number || strcmp(other->job, started->job))
				continue;
			loopback_total_counts.duplicate_starts++;
			loopback_violation("%s/%u starts on %s while it runs on %s", started->job,
					   started->number, worker->name, loopback_workers[i].name);
		}
}

void loopback_check_start(const struct loopback_worker *worker, const struct loopback_task *task)
{
	const struct loopback_job *job = loopback_job_find(task->job);
	double cpus_used = used_cpus(job->team);

	loopback_event("%s/%u runs on %s, attempt %llu, team %s uses %.0f of %.0f CPUs", task->job,
		       task->number, worker->name, (unsigned long long)task->attempt,
		       job->team->name, cpus_used, job->team->cpus_max);
	check_single_start(worker, task);
	if (cpus_used > job->team->cpus_max + CPU_TOLERANCE)
		loopback_violation("team %s uses %.0f of %.0f CPUs with %s/%u on %s",
				   job->team->name, cpus_used, job->team->cpus_max, task->job,
				   task->number, worker->name);
}

void loopback_check_cancelled(void)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0; k < loopback_workers[i].task_count; k++) {
			const struct loopback_task *task = &loopback_workers[i].tasks[k];
			const struct loopback_job *job = loopback_job_find(task->job);

			if (task->state == LOOPBACK_RUNNING && job && job->cancelled_at > 0 &&
			    ws_now() > job->cancelled_at + LOOPBACK_CANCEL_S)
				loopback_violation("%s/%u runs on %s %.1f s after it was cancelled",
						   task->job, task->number,
						   loopback_workers[i].name,
						   ws_now() - job->cancelled_at);
		}
}
