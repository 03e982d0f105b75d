/* Jobs as the leader knows them: a mirror of the job records, changed by watch and by reports. */
#include "internal.h"

struct ws_team *ws_team_of(struct ws_core *c, const char *name)
{
	for (size_t i = 0; i < c->set->nteams; i++)
		if (!strcmp(c->teams[i].set->name, name))
			return &c->teams[i];
	return NULL;
}

struct ws_job *ws_job_find(struct ws_core *c, const char *id)
{
	struct ws_job *j;

	HASH_FIND_STR(c->jobs, id, j);
	return j;
}

bool ws_job_over(const struct ws_job *j)
{
	return j->phase == WS_DONE || j->phase == WS_CANCELLED;
}

void ws_job_dirty(struct ws_core *c, struct ws_job *j)
{
	if (j->dirty)
		return;
	j->dirty = true;
	j->dirty_next = NULL;
	*c->dirty_jobs_tail = j;
	c->dirty_jobs_tail = &j->dirty_next;
}

void ws_job_free(struct ws_core *c, struct ws_job *j)
{
	struct ws_machine *m, *t;

	HASH_ITER (hh, c->machines, m, t)
		for (struct ws_slot *s = m->slots; s; s = s->next)
			if (s->job == j)
				s->job = NULL;
	if (j->dirty) {
		struct ws_job **p = &c->dirty_jobs;

		while (*p && *p != j)
			p = &(*p)->dirty_next;
		if (*p)
			*p = j->dirty_next;
		for (p = &c->dirty_jobs; *p; p = &(*p)->dirty_next)
			;
		c->dirty_jobs_tail = p;
	}
	HASH_DEL(c->jobs, j);
	free(j->tasks);
	free(j);
}

/* Over with nothing left on any machine: its record moves to old/. */
void ws_job_check_end(struct ws_core *c, struct ws_job *j)
{
	if (!j->spec.service && j->phase != WS_CANCELLED && j->ndone == j->spec.tasks &&
	    j->phase != WS_DONE) {
		j->phase = WS_DONE;
		ws_log(c, WS_LOG_INFO, "job %s done", j->spec.id);
		ws_job_dirty(c, j);
	}
	if (ws_job_over(j) && !j->nslots)
		ws_job_dirty(c, j);
}

void ws_job_task_done(struct ws_core *c, struct ws_job *j, uint32_t task)
{
	if (task >= j->spec.tasks || j->tasks[task].done || j->spec.service)
		return;
	j->tasks[task].done = true;
	j->ndone++;
	j->errors = 0;
	ws_job_dirty(c, j);
	ws_job_check_end(c, j);
}

static void ws_job_cancelled(struct ws_core *c, struct ws_job *j)
{
	struct ws_machine *m, *t;

	j->phase = WS_CANCELLED;
	ws_log(c, WS_LOG_INFO, "job %s cancelled by its user, %u tasks to stop", j->spec.id,
	       j->nslots);
	HASH_ITER (hh, c->machines, m, t) {
		bool any = false;

		for (struct ws_slot *s = m->slots, *n; s; s = n) {
			n = s->next;
			if (s->job == j && s->state != WS_SLOT_LEAVING) {
				any = true;
				ws_slot_stop(c, s, 0, "cancelled");
			}
		}
		if (any)
			ws_fleet_push(c, m);
	}
	ws_job_check_end(c, j);
}

/* A task as a share of one machine of middling size. */
double ws_load_of(const struct ws_core *c, const struct ws_spec *s)
{
	double size = 0;

	for (size_t i = 0; i < c->ntypes; i++)
		size += c->types[i].cpus / (double)c->ntypes;
	return size > 0 ? s->cpus / size : 0;
}

/* A job record as read at recovery or seen by the watch. */
void ws_job_event(struct ws_core *c, const char *id, json_t *value, uint64_t stamp)
{
	struct ws_job *j = ws_job_find(c, id), *n;

	if (j && stamp <= j->stamp)
		return;
	if (!value) {
		if (j)
			ws_job_free(c, j);
		return;
	}
	n = ws_record_read_job(id, value);
	if (!n) {
		ws_log(c, WS_LOG_ERROR, "job %s: its record can't be read, left alone", id);
		return;
	}
	n->stamp = stamp;
	if (!j) {
		HASH_ADD_STR(c->jobs, spec.id, n);
		if (c->role == WS_LEADER) {
			ws_log(c, WS_LOG_DEBUG, "job %s known: %u tasks of %s %s", id,
			       n->spec.tasks, n->spec.team, n->spec.job_class);
			if (n->phase == WS_CANCELLED)
				ws_job_check_end(c, n);
			else if (!n->spec.service)
				c->work_arrived += n->spec.tasks * ws_load_of(c, &n->spec);
		}
		c->place_wanted = true;
		return;
	}
	j->stamp = stamp;
	j->stale = false;
	if (n->phase == WS_CANCELLED && !ws_job_over(j))
		ws_job_cancelled(c, j);
	else if (n->phase == WS_CANCELLED && j->phase == WS_DONE) {
		/* the user was told "cancelled" before we could record "done": that stands */
		j->phase = WS_CANCELLED;
		ws_job_check_end(c, j);
	}
	free(n->tasks);
	free(n);
}
