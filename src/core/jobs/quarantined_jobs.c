/*
 * Counts quarantined attempts by job and by machine, and the attempts that may be running while
 * their job, and therefore their team, is unknown. fleet/quarantine.c decides what is quarantined
 * and for how long.
 */
#include "../core_state.h"

static struct ws_quarantined_job *ws_quarantined_job_find(const struct ws_core *core,
							  const char *job_id)
{
	struct ws_quarantined_job *quarantined_job;

	HASH_FIND_STR(core->jobs.quarantined, job_id, quarantined_job);
	return quarantined_job;
}

static struct ws_quarantined_job *ws_quarantined_job_find_or_add(struct ws_core *core,
								 const char *job_id)
{
	struct ws_quarantined_job *quarantined_job = ws_quarantined_job_find(core, job_id);

	if (quarantined_job)
		return quarantined_job;
	quarantined_job = ws_alloc(1, sizeof(*quarantined_job));
	snprintf(quarantined_job->id, sizeof(quarantined_job->id), "%s", job_id);
	HASH_ADD_STR(core->jobs.quarantined, id, quarantined_job);
	return quarantined_job;
}

bool ws_job_has_quarantined(const struct ws_core *core, const char *job_id)
{
	return ws_quarantined_job_find(core, job_id) != NULL;
}

/* Starts (1) or stops (-1) counting an attempt against the limit of every team. */
static void ws_unknown_team_count(struct ws_core *core, struct ws_attempt *attempt, int sign)
{
	attempt->of_unknown_team = sign > 0;
	attempt->machine->quarantine.of_unknown_team += (uint32_t)sign;
	core->jobs.attempts_of_unknown_teams += (uint32_t)sign;
}

void ws_attempt_clear_unknown_team(struct ws_core *core, struct ws_attempt *attempt)
{
	if (attempt->of_unknown_team)
		ws_unknown_team_count(core, attempt, -1);
}

void ws_quarantine_add(struct ws_core *core, struct ws_attempt *attempt)
{
	ws_quarantined_job_find_or_add(core, attempt->job_id)->count++;
	attempt->quarantined = true;
	attempt->machine->quarantine.count++;
	if (attempt->task_state != WS_TASK_EXITED && !attempt->job)
		ws_unknown_team_count(core, attempt, 1);
}

void ws_quarantine_remove(struct ws_core *core, struct ws_attempt *attempt)
{
	struct ws_quarantined_job *quarantined_job;

	if (!attempt->quarantined)
		return;
	attempt->quarantined = false;
	attempt->machine->quarantine.count--;
	quarantined_job = ws_quarantined_job_find(core, attempt->job_id);
	if (!quarantined_job || --quarantined_job->count)
		return;
	HASH_DEL(core->jobs.quarantined, quarantined_job);
	free(quarantined_job);
}

void ws_quarantine_clear(struct ws_core *core)
{
	struct ws_quarantined_job *quarantined_job = core->jobs.quarantined, *next;

	core->jobs.attempts_of_unknown_teams = 0;
	HASH_CLEAR(hh, core->jobs.quarantined);
	for (; quarantined_job; quarantined_job = next) {
		next = quarantined_job->hh.next;
		free(quarantined_job);
	}
}
