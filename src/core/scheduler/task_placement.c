/*
 * Places tasks on one machine by planning attempts, as many as fit into the job's record, and logs
 * why jobs wait.
 */
#include "pass.h"

/* Bytes of a job's record for the job's description, excluding the names in it. */
#define WS_RECORD_DESCRIPTION_BYTES 640
/* Bytes of a gang's record for its completed tasks. All tasks of a gang complete together, so a
 * single range lists them. */
#define WS_RECORD_GANG_TASKS_BYTES 64

/* In the record of an array, attempts may use three quarters of the space that the description
 * leaves; the rest is for the list of completed tasks. */
size_t ws_record_bytes_left(const struct ws_core *core, const struct ws_job *job)
{
	size_t names =
	    strlen(job->spec.image) + strlen(job->spec.team) + strlen(job->spec.job_class);
	double limit = core->writer.value_bytes_max - WS_RECORD_DESCRIPTION_BYTES - (double)names -
		       WS_NAME_MAX / 4.0 * (double)job->spec.type_count;
	double used = 0;
	const struct ws_attempt *attempt, *previous = NULL;

	limit = job->spec.gang ? limit - WS_RECORD_GANG_TASKS_BYTES : limit * 3 / 4;
	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (attempt->state != WS_ATTEMPT_RELEASED && !attempt->unrecorded) {
			used += (double)ws_record_attempt_size(core, previous, attempt);
			previous = attempt;
		}
	return limit > used ? (size_t)(limit - used) : 0;
}

/* Returns the first waiting task, or the job's number of tasks if none is waiting. */
static uint32_t ws_next_waiting_task(struct ws_job *job)
{
	uint32_t task = job->lowest_waiting_task;

	while (task < job->spec.tasks && (job->tasks[task].done || job->tasks[task].live_attempts))
		task++;
	job->lowest_waiting_task = task;
	return task;
}

/* Logs that a job's record has no space for a further attempt, at most once per lease duration. */
static void ws_log_record_full(struct ws_core *core, struct ws_job *job, size_t attempt_bytes,
			       size_t bytes_left)
{
	if (ws_wait_log_is_due(core, job))
		ws_log(core, WS_LOG_INFO,
		       "job waiting job=%s reason=\"record full\" tasks=%u waiting=%u attempts=%u "
		       "attempt_bytes=%zu bytes_left=%zu value_limit_bytes=%.0f",
		       job->spec.id, job->spec.tasks, job->waiting, job->attempt_count,
		       attempt_bytes, bytes_left, core->writer.value_bytes_max);
}

/* Plans an attempt of a task. Returns false and plans nothing if the job's record has no space. */
static bool ws_place_task(struct ws_core *core, struct ws_job *job, struct ws_machine *machine,
			  uint32_t task, uint64_t attempt_number, size_t *record_bytes_left)
{
	struct ws_attempt *attempt =
	    ws_attempt_add(core, machine, job->spec.id, task, attempt_number);
	size_t size = ws_record_attempt_size(
	    core, attempt->job_prev != attempt ? attempt->job_prev : NULL, attempt);

	if (size > *record_bytes_left) {
		ws_attempt_account(core, attempt, -1);
		ws_attempt_free(attempt);
		ws_log_record_full(core, job, size, *record_bytes_left);
		*record_bytes_left = 0;
		return false;
	}
	*record_bytes_left -= size;
	attempt->starved = job->starved;
	ws_planned_capacity_reserve(job, machine);
	core->scheduler.steps++;
	ws_log(core, WS_LOG_DEBUG, "task placed job=%s task=%u attempt=%llu machine=%s",
	       job->spec.id, task, (unsigned long long)attempt_number, machine->name);
	return true;
}

uint32_t ws_place_on_machine(struct ws_core *core, struct ws_job *job, struct ws_machine *machine,
			     uint32_t limit, uint64_t attempt_number, size_t *record_bytes_left)
{
	uint32_t fit = ws_tasks_fit_now(job, machine, limit);
	uint32_t placed = 0;

	while (placed < fit && ws_zone_is_eligible(core, job, machine->zone_index)) {
		uint32_t task = ws_next_waiting_task(job);

		if (task == job->spec.tasks ||
		    !ws_place_task(core, job, machine, task, attempt_number, record_bytes_left))
			break;
		placed++;
	}
	return placed;
}

bool ws_wait_log_is_due(const struct ws_core *core, struct ws_job *job)
{
	if (core->now - job->wait_logged_at <= core->settings->lease_s)
		return false;
	job->wait_logged_at = core->now;
	return true;
}

void ws_log_wait_reason(struct ws_core *core, struct ws_job *job, const char *reason)
{
	if (ws_wait_log_is_due(core, job))
		ws_log(core, WS_LOG_INFO, "job waiting job=%s reason=\"%s\"", job->spec.id, reason);
}
