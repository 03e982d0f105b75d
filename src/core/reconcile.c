/*
 * Reports reconciled with the records: what became of each attempt that was on record at the
 * election, and of each that a worker reports without one.
 *
 * An attempt on no record is stopped at once, unless a subsystem wants it kept apart. Then it is
 * neither stopped nor reaped; its machine takes nothing new, and while its job is unknown it counts
 * as the rest of its machine against the limit of every team. Once its job is known it is adopted:
 * the job's record names it.
 */
#include "internal.h"

/* ---- findings ---- */

static bool ws_finding_loses(enum ws_finding_kind kind)
{
	return kind == WS_FINDING_LEASE_LOST || kind == WS_FINDING_LEASE_OUT ||
	       kind == WS_FINDING_MACHINE_GONE || kind == WS_FINDING_ENDED_FAILED;
}

void ws_attempt_finding(struct ws_core *c, struct ws_attempt *s, enum ws_finding_kind kind)
{
	if (!s->loaded)
		return;
	s->loaded = false;
	if (s->job && ws_finding_loses(kind))
		s->job->lost_attempts = true;
	ws_subsystems_found(c, s, kind);
}

static enum ws_finding_kind ws_finding_of_exit(enum ws_why why)
{
	switch (why) {
	case WS_WHY_DONE: return WS_FINDING_ENDED_DONE;
	case WS_WHY_ERROR:
	case WS_WHY_FULL:
	case WS_WHY_BUSY:
	case WS_WHY_UNKNOWN: return WS_FINDING_ENDED_FAILED;
	case WS_WHY_NONE:
	case WS_WHY_STOPPED:
	case WS_WHY_MATES:
	case WS_WHY_ALONE: break;
	}
	return WS_FINDING_ENDED_STOPPED;
}

/* The job, or the task, needs no attempt any more; also of a task that it does not have. */
static bool ws_task_over(const struct ws_job *j, uint32_t task)
{
	return ws_job_over(j) || task >= j->spec.tasks || j->tasks[task].done;
}

void ws_attempt_reported(struct ws_core *c, struct ws_attempt *s, const struct ws_task_report *t)
{
	enum ws_finding_kind kind = WS_FINDING_AGREED;

	if (!s->loaded)
		return;
	if (t->state == WS_TASK_EXITED)
		kind = ws_finding_of_exit(t->why);
	else if (!s->job || ws_task_over(s->job, s->task))
		kind = WS_FINDING_OVER;
	else if (s->job->tasks[s->task].newest != s)
		kind = WS_FINDING_SUPERSEDED;
	ws_attempt_finding(c, s, kind);
}

/* How an attempt that no record names stands to what the records say of its job and task. */
static enum ws_finding_kind ws_foreign_kind(const struct ws_attempt *s)
{
	const struct ws_attempt *other;

	if (!s->job)
		return WS_FINDING_UNKNOWN_JOB;
	if (ws_task_over(s->job, s->task))
		return WS_FINDING_OVER;
	DL_FOREACH2 (s->job->attempts, other, jnext) {
		if (other == s || other->task != s->task || other->state == WS_ATTEMPT_GONE)
			continue;
		if (other->attempt == s->attempt)
			return WS_FINDING_TWO_MACHINES;
		if (other->attempt > s->attempt)
			return WS_FINDING_SUPERSEDED;
	}
	return WS_FINDING_UNRECORDED;
}

/* ---- kept apart ---- */

static void ws_kept_add(struct ws_core *c, struct ws_attempt *s)
{
	struct ws_kept_job *kept;

	HASH_FIND_STR(c->kept_jobs, s->job_id, kept);
	if (!kept) {
		kept = calloc(1, sizeof(*kept));
		if (!kept)
			abort();
		snprintf(kept->id, sizeof(kept->id), "%s", s->job_id);
		HASH_ADD_STR(c->kept_jobs, id, kept);
	}
	kept->count++;
	s->kept = true;
	s->machine->kept_count++;
	s->machine->kept_running += s->at != WS_TASK_EXITED;
}

/* It is no longer kept apart: adopted, told to stop, or gone. */
void ws_kept_drop(struct ws_core *c, struct ws_attempt *s)
{
	struct ws_kept_job *kept;

	if (!s->kept)
		return;
	s->kept = false;
	s->machine->kept_count--;
	s->machine->kept_running -= s->at != WS_TASK_EXITED;
	HASH_FIND_STR(c->kept_jobs, s->job_id, kept);
	if (!kept || --kept->count)
		return;
	HASH_DEL(c->kept_jobs, kept);
	free(kept);
}

void ws_kept_completed(struct ws_core *c, struct ws_attempt *s)
{
	if (s->at == WS_TASK_EXITED)
		return;
	s->machine->kept_running--;
	s->at = WS_TASK_EXITED;
	s->why = WS_WHY_DONE;
	c->place_wanted = true; /* its machine may be used again */
}

void ws_kept_clear(struct ws_core *c)
{
	struct ws_kept_job *kept = c->kept_jobs, *next;

	HASH_CLEAR(hh, c->kept_jobs);
	for (; kept; kept = next) {
		next = kept->hh.next;
		free(kept);
	}
}

static void ws_kept_stop(struct ws_core *c, struct ws_attempt *s, double grace_s, const char *why)
{
	ws_kept_drop(c, s);
	if (s->at == WS_TASK_EXITED) {
		ws_attempt_release(c, s); /* its machine may forget the result */
		return;
	}
	ws_attempt_stop(c, s, grace_s, why);
	ws_fleet_push(c, s->machine);
}

/* A task that completed, of an attempt that no record names: whether its result is to be kept. */
static bool ws_result_kept(struct ws_core *c, struct ws_machine *m, const struct ws_task_report *t)
{
	struct ws_attempt s = {.machine = m,
			       .task = t->task,
			       .attempt = t->attempt,
			       .tenure = m->tenure,
			       .state = WS_ATTEMPT_RECORDED};
	struct ws_job *j = ws_job_find(c, t->job);

	if (t->why != WS_WHY_DONE)
		return false;
	if (j) {
		ws_job_task_done(c, j, t->task);
		return false;
	}
	if (ws_tombstone_holds(c, &c->ended, t->job))
		return false; /* we archived it ourselves */
	snprintf(s.job_id, sizeof(s.job_id), "%s", t->job);
	return ws_subsystems_found(c, &s, WS_FINDING_UNKNOWN_JOB);
}

/* Whether an attempt on no record is kept apart. A gang's is not, once its job is known. */
static bool ws_foreign_kept(struct ws_core *c, const struct ws_attempt *s)
{
	enum ws_finding_kind kind = ws_foreign_kind(s);
	bool keep = ws_subsystems_found(c, s, kind);

	if (kind == WS_FINDING_UNRECORDED)
		return keep && !s->job->spec.gang;
	return keep && kind == WS_FINDING_UNKNOWN_JOB;
}

struct ws_attempt *ws_attempt_foreign(struct ws_core *c, struct ws_machine *m,
				      const struct ws_task_report *t)
{
	bool exited = t->state == WS_TASK_EXITED;
	struct ws_attempt *s;

	if (exited && !ws_result_kept(c, m, t))
		return NULL;
	s = ws_attempt_add(c, m, t->job, t->task, t->attempt);
	s->orphan = s->seen = s->sent = true;
	s->state = WS_ATTEMPT_RECORDED;
	if (exited) {
		s->at = t->state;
		s->why = t->why;
	} else if (!ws_foreign_kept(c, s)) {
		ws_attempt_stop(c, s, 0, "not in the plan");
		return s;
	}
	ws_kept_add(c, s);
	ws_log(c, WS_LOG_INFO, "machine %s: %s/%u is on no record: kept apart", m->name, s->job_id,
	       s->task);
	return s;
}

/* Its job's record is to name it from now on; older attempts of the task are over. */
static void ws_kept_adopt(struct ws_core *c, struct ws_attempt *s)
{
	struct ws_attempt *other, *next;

	ws_kept_drop(c, s);
	s->orphan = false;
	DL_FOREACH_SAFE2 (s->job->attempts, other, next, jnext)
		if (other != s && other->task == s->task)
			ws_attempt_stop(c, other, 0, "superseded");
	ws_log(c, WS_LOG_INFO, "machine %s: %s/%u is adopted", s->machine->name, s->job_id,
	       s->task);
	ws_job_dirty(c, s->job, true);
	ws_subsystems_adopted(c, s->job_id, 1);
}

void ws_kept_reported(struct ws_core *c, struct ws_attempt *s)
{
	if (ws_foreign_kind(s) == WS_FINDING_UNRECORDED)
		ws_kept_adopt(c, s);
	else
		ws_kept_stop(c, s, 0, "over, or placed anew");
}

/* All tasks of a gang are there, of one attempt: it can go on. */
static bool ws_kept_gang_whole(const struct ws_job *j)
{
	const struct ws_attempt *s;
	uint32_t members = 0;

	DL_FOREACH2 (j->attempts, s, jnext) {
		if (s->attempt != j->attempts->attempt || s->at == WS_TASK_EXITED)
			return false;
		members++;
	}
	return members == j->spec.tasks;
}

/* An attempt that is kept apart counts for its job from now on. */
static void ws_kept_join(struct ws_core *c, struct ws_job *j, struct ws_attempt *s)
{
	ws_attempt_count(c, s, -1);
	s->job = j;
	DL_APPEND2(j->attempts, s, jprev, jnext);
	ws_attempt_count(c, s, 1);
}

/* The results that wait for a job are its own; of a gang, those that can't go on end. */
static void ws_kept_settle(struct ws_core *c, struct ws_job *j)
{
	struct ws_attempt *s, *next;
	bool whole = j->spec.gang && j->attempts && ws_kept_gang_whole(j);

	DL_FOREACH_SAFE2 (j->attempts, s, next, jnext) {
		if (s->at == WS_TASK_EXITED) {
			ws_job_task_done(c, j, s->task);
			ws_attempt_release(c, s);
		} else if (whole) {
			ws_kept_adopt(c, s);
		} else if (j->spec.gang) {
			ws_kept_stop(c, s, 0, "its gang is not whole");
		} else {
			ws_kept_reported(c, s);
		}
	}
	ws_subsystems_adopted(c, j->spec.id, 0); /* it is known, whatever became of them */
}

void ws_kept_link(struct ws_core *c, struct ws_job *j)
{
	struct ws_kept_job *kept;
	struct ws_machine *m, *next;

	HASH_FIND_STR(c->kept_jobs, j->spec.id, kept);
	if (!kept)
		return;
	HASH_ITER (hh, c->machines, m, next)
		for (struct ws_attempt *s = m->kept_count ? m->attempts : NULL; s; s = s->next)
			if (s->kept && !s->job && !strcmp(s->job_id, j->spec.id))
				ws_kept_join(c, j, s);
	ws_kept_settle(c, j);
}

void ws_kept_end(struct ws_core *c, const char *job, double grace_s)
{
	struct ws_kept_job *kept;
	struct ws_machine *m, *next_machine;

	HASH_FIND_STR(c->kept_jobs, job, kept);
	if (!kept)
		return;
	HASH_ITER (hh, c->machines, m, next_machine)
		for (struct ws_attempt *s = m->attempts, *next; s && m->kept_count; s = next) {
			next = s->next;
			if (s->kept && !strcmp(s->job_id, job))
				ws_kept_stop(c, s, grace_s, "on no record");
		}
}

void ws_kept_reserve(struct ws_core *c, double *cpus, double *gpus)
{
	struct ws_machine *m, *next;

	*cpus = *gpus = 0;
	if (!c->kept_jobs)
		return;
	HASH_ITER (hh, c->machines, m, next) {
		bool unknown = false;

		for (struct ws_attempt *s = m->kept_running ? m->attempts : NULL; s; s = s->next)
			unknown |= s->kept && !s->job && s->at != WS_TASK_EXITED;
		if (!unknown || !m->type)
			continue;
		*cpus += m->type->cpus - m->used_cpus;
		*gpus += m->type->gpus - m->used_gpus;
	}
}
