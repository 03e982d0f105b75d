/*
 * Checks of the stored records of jobs. The attempts that a job's own record and its continuation
 * records list are decoded again when the store has changed since.
 */
#include "sim_records.h"
#include "sim_checks.h"

#define CONTINUATION_PREFIX WS_KEY_PREFIX_JOB_CONTINUATION

/* Whether a key is that of the job's own record or of one of its continuation records. */
static bool is_record_of(const char *key, const char *job_id)
{
	size_t length = strlen(job_id);

	if (!strncmp(key, WS_KEY_PREFIX_JOB, strlen(WS_KEY_PREFIX_JOB)))
		return !strcmp(key + strlen(WS_KEY_PREFIX_JOB), job_id);
	return !strncmp(key, CONTINUATION_PREFIX, strlen(CONTINUATION_PREFIX)) &&
	       !strncmp(key + strlen(CONTINUATION_PREFIX), job_id, length) &&
	       key[strlen(CONTINUATION_PREFIX) + length] == '/';
}

static int compare_tasks(const void *left, const void *right)
{
	const struct ws_recorded_attempt *first = left, *second = right;

	return (first->task > second->task) - (first->task < second->task);
}

static void append_record(struct sim_listed *listed, json_t *record)
{
	struct ws_recorded_attempt *attempts;
	size_t count = ws_attempt_list_decode(record, &attempts);

	listed->attempts =
	    realloc(listed->attempts, (listed->count + count + 1) * sizeof(*listed->attempts));
	for (size_t i = 0; i < count; i++)
		listed->attempts[listed->count++] = attempts[i];
	free(attempts);
}

static bool has_own_record(struct sim *sim, const char *job_id)
{
	char key[WS_KEY_MAX];
	struct sim_entry *own;

	snprintf(key, sizeof(key), "%s%s", WS_KEY_PREFIX_JOB, job_id);
	HASH_FIND_STR(sim->entries, key, own);
	return own != NULL;
}

/* Without the job's own record the others list nothing: its job is over, and they are deleted. */
static const struct sim_listed *listed_attempts(struct sim *sim, const char *job_id)
{
	struct sim_listed *listed = &sim->listed;
	struct sim_entry *entry, *next;

	if (listed->revision == sim->revision && !strcmp(listed->job, job_id))
		return listed;
	listed->count = 0;
	listed->revision = sim->revision;
	snprintf(listed->job, sizeof(listed->job), "%s", job_id);
	if (!has_own_record(sim, job_id))
		return listed;
	HASH_ITER (hh, sim->entries, entry, next)
		if (is_record_of(entry->key, job_id))
			append_record(listed, entry->value);
	if (listed->count)
		qsort(listed->attempts, listed->count, sizeof(*listed->attempts), compare_tasks);
	return listed;
}

static bool is_listed(struct sim *sim, const struct sim_worker *worker, const struct sim_task *task)
{
	const struct sim_listed *listed = listed_attempts(sim, task->job);
	size_t low = 0, high = listed->count;

	while (low < high) { /* finds the first attempt of the task */
		size_t middle = (low + high) / 2;

		if (listed->attempts[middle].task < task->task)
			low = middle + 1;
		else
			high = middle;
	}
	for (; low < listed->count && listed->attempts[low].task == task->task; low++)
		if (listed->attempts[low].number == task->attempt &&
		    !strcmp(listed->attempts[low].machine, worker->name))
			return true;
	return false;
}

void sim_records_check_start(struct sim *sim, const struct sim_worker *worker,
			     const struct sim_task *task)
{
	if (!is_listed(sim, worker, task))
		sim_fail(sim, "record: %s/%u attempt %llu starts on %s but is on no record",
			 task->job, task->task, (unsigned long long)task->attempt, worker->name);
}

void sim_records_check_reap(struct sim *sim, const struct sim_worker *worker,
			    const struct sim_task *task)
{
	/* the version in production does not know what continuation records list */
	if (sim_acting_leader(sim) && is_listed(sim, worker, task))
		sim_fail(sim, "record: %s/%u attempt %llu on %s is reaped but still on record",
			 task->job, task->task, (unsigned long long)task->attempt, worker->name);
}

void sim_records_check_job(struct sim *sim, const char *job_id)
{
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		for (int k = 0; k < worker->task_count; k++)
			if (!worker->failed && !worker->deleted &&
			    sim_task_started(&worker->tasks[k]) &&
			    !strcmp(worker->tasks[k].job, job_id) &&
			    !is_listed(sim, worker, &worker->tasks[k]))
				sim_fail(sim, "record: %s/%u runs on %s but is on no record",
					 job_id, worker->tasks[k].task, worker->name);
	}
}

void sim_records_check_strays(struct sim *sim)
{
	struct sim_entry *entry, *next;

	HASH_ITER (hh, sim->entries, entry, next) {
		char job_id[WS_ID_MAX];
		const char *name = entry->key + strlen(CONTINUATION_PREFIX);

		if (strncmp(entry->key, CONTINUATION_PREFIX, strlen(CONTINUATION_PREFIX)) != 0)
			continue;
		snprintf(job_id, sizeof(job_id), "%.*s", (int)strcspn(name, "/"), name);
		if (!has_own_record(sim, job_id))
			sim_fail(sim, "record: %s is left of a job that is over", entry->key);
	}
}

double sim_records_count(struct sim *sim, const char *job_id)
{
	struct sim_entry *entry, *next;
	int count = 0;

	HASH_ITER (hh, sim->entries, entry, next)
		count += is_record_of(entry->key, job_id);
	return count;
}

void sim_records_free(struct sim *sim)
{
	free(sim->listed.attempts);
}
