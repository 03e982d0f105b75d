/*
 * Gangs: jobs whose tasks run all at once or not at all. The tasks of one start share an attempt
 * number and find each other by it on the workers. An attempt
 *
 *  gathers: its tasks fetch, then wait. One that is refused or lost is replaced under the same
 *           number, once it is surely gone (placement.c); where that can't be had in time, all are
 *           stopped, so that no places idle;
 *  runs:    from the first word of a running task on. When one is gone now, the attempt is over:
 *           the others notice that within gang_peer_s and end by themselves;
 *  ends:    all are told to stop at once. The next attempt begins when the last task of this one
 *           is surely gone. When one is done, all are (ws_job_task_done).
 *
 * Nothing of this is on record but the attempts themselves: a new leader learns from reports what
 * its gangs do, and replaces nothing before it has heard of every other task.
 */
#include "internal.h"

/* May be alive, and is of the job's own attempts. */
static bool ws_gang_member(const struct ws_attempt *s)
{
	return s->state != WS_ATTEMPT_GONE && !s->orphan;
}

/* Whether the attempt under way has surely not begun to run and may be completed; since when. */
bool ws_gang_gathers(const struct ws_job *j, uint64_t *attempt, double *since)
{
	const struct ws_attempt *s;

	*attempt = 0;
	*since = 1e18;
	DL_FOREACH2 (j->attempts, s, jnext) {
		if (s->state == WS_ATTEMPT_GONE)
			continue;
		if (s->orphan || s->stop || s->attempt == j->gang_over ||
		    (*attempt && *attempt != s->attempt))
			return false;
		if (s->sent &&
		    (!s->seen || (s->at != WS_TASK_FETCHING && s->at != WS_TASK_WAITING)))
			return false;
		*attempt = s->attempt;
		*since = fmin(*since, s->waiting_at > 0 ? s->waiting_at : s->planned_at);
	}
	return *attempt != 0;
}

/* Whether all of its tasks can be told something at once, as far as we know. */
bool ws_gang_reachable(const struct ws_core *c, const struct ws_job *j)
{
	const struct ws_attempt *s;

	DL_FOREACH2 (j->attempts, s, jnext) {
		const struct ws_machine *m = s->machine;

		if (s->state == WS_ATTEMPT_GONE || (!s->sent && !s->seen))
			continue;
		if (s->orphan || !m->reported || !m->port || m->commands || m->fence || m->gone ||
		    m->returning || m->unreachable || !ws_machine_hears(m) ||
		    ws_overdue(c, m->heard))
			return false;
	}
	return true;
}

/* All of its tasks are told to stop, at once: reports alone may come too seldom for that. */
void ws_gang_stop(struct ws_core *c, struct ws_job *j, double grace, const char *why)
{
	struct ws_attempt *s, *n;
	uint32_t stopped = 0;

	DL_FOREACH_SAFE2 (j->attempts, s, n, jnext)
		if (ws_gang_member(s) && !s->stop) {
			s->machine->push = true;
			ws_attempt_stop(c, s, grace, NULL);
			stopped++;
		}
	if (!stopped)
		return;
	ws_log(c, WS_LOG_INFO, "gang %s: stop all, %u tasks: %s", j->spec.id, stopped, why);
	ws_job_push(c, j);
}

/* A task is to stop in good order: if it is one of a gang, with the whole gang. */
void ws_task_stop(struct ws_core *c, struct ws_attempt *s, const char *why)
{
	const struct ws_spec *p = &s->job->spec;

	if (p->gang) {
		s->job->gang_stops++;
		ws_gang_stop(c, s->job, p->save_s + c->set->gang_peer_s, why);
	} else {
		ws_attempt_stop(c, s, p->save_s, why);
	}
}

/* Looks after an attempt under way: one that can't become complete would wait in vain. */
void ws_gang_tend(struct ws_core *c, struct ws_job *j)
{
	uint64_t attempt = 0;
	double since = 1e18, silent_until = 0;
	uint32_t members = 0, stopping = 0;
	struct ws_attempt *s;

	DL_FOREACH2 (j->attempts, s, jnext) {
		if (!ws_gang_member(s))
			continue;
		members++;
		stopping += s->stop;
		attempt = s->attempt > attempt ? s->attempt : attempt;
		if (s->at == WS_TASK_WAITING && s->waiting_at > 0)
			since = fmin(since, s->waiting_at);
		else if (s->sent && ws_overdue(c, fmax(s->machine->heard, c->woke_at)) &&
			 !ws_subsystems_hold(c, WS_ORDER_STOP_GANG, s->machine->zi))
			silent_until = fmax(silent_until, s->machine->alive_until);
	}
	if (stopping == members)
		return;
	if (stopping) {
		ws_gang_stop(c, j, 0, "others of it are stopped");
	} else if (attempt == j->gang_over && j->waiting) {
		/* they notice and end by themselves; those that did not are told */
		if (!j->gang_broke)
			j->gang_broke = c->now;
		else if (c->now - j->gang_broke > c->set->gang_peer_s + 1.5 * c->set->report_s)
			ws_gang_stop(c, j, 0, "it lost a task");
	} else if (attempt != j->gang_over && silent_until > since + c->set->gang_wait_s * 3 / 4) {
		ws_gang_stop(c, j, 0, "a machine is silent for longer than the others may wait");
	}
}
