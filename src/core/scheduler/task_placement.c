/*
 * Places tasks on one machine by planning attempts, as many as fit into the job's record, and logs
 * why jobs wait.
 */
#include "pass.h"

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
