/*
 * Attempts: what may be alive on machines.
 *
 * An attempt is one try to run a task on one machine. It counts against machine, team and siblings
 * from the moment it is planned until it is surely gone, and a task is placed anew only when it
 * has no attempt left. Surely gone means: the worker reported the attempt exited, or reported
 * without it when no command for it can still arrive; or a report of a later tenure; or the cloud
 * confirmed the machine's return; or its lease ran out by the longest reckoning.
 */
#include "internal.h"

/*
 * Array work takes or leaves room: load-seconds held, over which completions give mu. A server of
 * the queue is taken from the plan to the end: by fetches and by work that is lost as well.
 */
static void ws_held(struct ws_core *c, const struct ws_spec *p, int sign)
{
	if (p->service)
		return;
	c->busy_time += c->busy * (c->now - c->busy_at);
	c->busy_at = c->now;
	c->busy = fmax(0, c->busy + sign * ws_load_of(c, p));
}

/* An attempt begins or ceases to count against machine, team, job and task. */
void ws_attempt_count(struct ws_core *c, struct ws_attempt *s, int sign)
{
	struct ws_machine *m = s->machine;
	struct ws_team *t;

	m->attempt_count += (uint32_t)sign;
	if (!s->job)
		return;
	const struct ws_spec *p = &s->job->spec;
	ws_held(c, p, sign);
	m->used_cpus += sign * p->cpus;
	m->used_gpus += sign * p->gpus;
	m->used_mem += sign * p->mem;
	if (s->stop) {
		m->stop_cpus += sign * p->cpus;
		m->stop_gpus += sign * p->gpus;
		m->stop_mem += sign * p->mem;
	}
	if (!m->attempt_count) /* no rounding is left behind */
		m->used_cpus = m->used_gpus = m->used_mem = m->stop_cpus = m->stop_gpus =
		    m->stop_mem = 0;
	t = s->job->team;
	if (t) {
		t->used_cpus += sign * p->cpus;
		t->used_gpus += sign * p->gpus;
	}
	s->job->attempt_count += (uint32_t)sign;
	if (m->zi >= 0)
		s->job->zone_n[m->zi] += (uint32_t)sign;
	if (s->task < p->tasks) {
		struct ws_task *k = &s->job->tasks[s->task];
		bool waited = !k->done && !k->attempts;

		k->attempts = (uint16_t)(k->attempts + sign);
		if (waited)
			s->job->waiting--;
		else if (!k->done && !k->attempts)
			s->job->waiting++;
		if (!k->attempts && s->task < s->job->scan)
			s->job->scan = s->task;
		if (sign > 0 && (!k->newest || k->newest->attempt < s->attempt))
			k->newest = s;
		else if (sign < 0 && k->newest == s)
			k->newest = NULL;
	}
}

struct ws_attempt *ws_attempt_add(struct ws_core *c, struct ws_machine *m, const char *job,
				  uint32_t task, uint64_t attempt)
{
	struct ws_attempt *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->machine = m;
	s->job = ws_job_find(c, job);
	snprintf(s->job_id, sizeof(s->job_id), "%s", job);
	s->task = task;
	s->attempt = attempt;
	s->tenure = m->tenure;
	s->planned_at = c->now;
	s->next = m->attempts;
	m->attempts = s;
	if (s->job)
		DL_APPEND2(s->job->attempts, s, jprev, jnext);
	ws_attempt_count(c, s, 1);
	return s;
}

/* Off its machine's list and its job's; it counts no more. */
void ws_attempt_free(struct ws_attempt *s)
{
	struct ws_attempt **p = &s->machine->attempts;

	while (*p && *p != s)
		p = &(*p)->next;
	if (*p)
		*p = s->next;
	if (s->job)
		DL_DELETE2(s->job->attempts, s, jprev, jnext);
	free(s);
}

/* The attempt is surely gone. Its task may be placed again; the record will name the new one. */
void ws_attempt_release(struct ws_core *c, struct ws_attempt *s)
{
	struct ws_machine *m = s->machine;
	struct ws_job *j = s->job;

	if (s->state == WS_ATTEMPT_GONE)
		return;
	ws_kept_drop(c, s);
	ws_attempt_count(c, s, -1);
	if (!m->attempt_count)
		m->empty_since = c->now;
	c->place_wanted = true;
	if (s->orphan || !j) {
		ws_attempt_free(s);
	} else {
		s->state = WS_ATTEMPT_GONE;
		ws_job_dirty(c, j, false);
	}
	if (j)
		ws_job_check_end(c, j);
}

/* Runs may reach the worker only while nothing else stands against the attempt. */
bool ws_attempt_runnable(const struct ws_core *c, const struct ws_attempt *s)
{
	return s->state == WS_ATTEMPT_RECORDED && !s->stop && !s->seen && !s->orphan &&
	       s->tenure == s->machine->tenure && !c->in_outage && s->job && !ws_job_over(s->job) &&
	       !s->machine->returning;
}

/* It is to end: its room will come free. */
void ws_attempt_ends(struct ws_attempt *s)
{
	if (!s->stop && s->job) {
		s->machine->stop_cpus += s->job->spec.cpus;
		s->machine->stop_gpus += s->job->spec.gpus;
		s->machine->stop_mem += s->job->spec.mem;
	}
	s->stop = true;
}

void ws_attempt_stop(struct ws_core *c, struct ws_attempt *s, double grace, const char *why)
{
	if (s->state == WS_ATTEMPT_GONE)
		return;
	ws_kept_drop(c, s);
	if (!s->stop) {
		if (why)
			ws_log(c, WS_LOG_INFO, "machine %s: stop %s/%u: %s", s->machine->name,
			       s->job_id, s->task, why);
	}
	ws_attempt_ends(s);
	s->grace = grace;
	if (!s->sent && !s->seen)
		ws_attempt_release(c, s);
}
