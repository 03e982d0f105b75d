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

/* What users wait for is written at once, the rest with it or a moment later. */
void ws_job_dirty(struct ws_core *c, struct ws_job *j, bool urgent)
{
	if (urgent && !j->urgent) {
		j->urgent = true;
		ws_writer_wake(c);
	}
	if (j->dirty)
		return;
	j->dirty = true;
	j->dirty_at = c->now;
	DL_APPEND2(c->dirty_jobs, j, dprev, dnext);
}

/* The types of machine that its tasks may run on. */
void ws_job_fits(const struct ws_core *c, struct ws_job *j)
{
	if (j->fits_of == c->types_edition)
		return;
	j->fits_of = c->types_edition;
	j->fits = 0;
	for (size_t i = 0; i < c->ntypes; i++)
		if (ws_type_fits(&c->types[i], &j->spec) &&
		    ws_gang_recordable(c, &j->spec, &c->types[i]))
			j->fits |= 1u << i;
}

int ws_image_id(struct ws_core *c, const char *name)
{
	struct ws_image *i;

	HASH_FIND_STR(c->images, name, i);
	if (i)
		return i->id;
	i = calloc(1, sizeof(*i));
	c->image_names =
	    realloc(c->image_names, (size_t)(c->nimages + 1) * sizeof(*c->image_names));
	if (!i || !c->image_names)
		abort();
	snprintf(i->name, sizeof(i->name), "%s", name);
	c->image_names[c->nimages] = i->name;
	i->id = c->nimages++;
	HASH_ADD_STR(c->images, name, i);
	return i->id;
}

int ws_zone_id(struct ws_core *c, const char *name)
{
	if (!name[0])
		return -1;
	for (int i = 0; i < c->nzones; i++)
		if (!strcmp(c->zones[i], name))
			return i;
	if (c->nzones == WS_MAX_ZONES)
		return -1;
	snprintf(c->zones[c->nzones], WS_NAME_MAX, "%s", name);
	return c->nzones++;
}

void ws_job_free(struct ws_core *c, struct ws_job *j)
{
	while (j->attempts) {
		struct ws_attempt *s = j->attempts;
		bool alive = s->state == WS_ATTEMPT_RECORDED;

		if (s->state != WS_ATTEMPT_GONE)
			ws_attempt_count(c, s, -1);
		DL_DELETE2(j->attempts, s, jprev, jnext);
		s->job = NULL;
		ws_kept_drop(c, s);
		if (alive) { /* its record is gone, the attempt may live on: it is told to stop */
			s->stop = s->orphan = true;
			ws_attempt_count(c, s, 1);
		} else {
			ws_attempt_free(s);
		}
	}
	if (j->dirty)
		DL_DELETE2(c->dirty_jobs, j, dprev, dnext);
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
		ws_job_dirty(c, j, true);
	}
	if (ws_job_over(j) && !j->attempt_count)
		ws_job_dirty(c, j, true);
}

void ws_job_task_done(struct ws_core *c, struct ws_job *j, uint32_t task)
{
	uint32_t from = task, to = task + 1;

	if (task >= j->spec.tasks || j->tasks[task].done || j->spec.service)
		return;
	if (j->spec.gang) { /* its tasks complete together */
		from = 0;
		to = j->spec.tasks;
	}
	for (uint32_t t = from; t < to; t++) {
		if (j->tasks[t].done)
			continue;
		if (!j->tasks[t].attempts)
			j->waiting--;
		j->tasks[t].done = true;
		j->ndone++;
	}
	j->errors = 0;
	ws_job_dirty(c, j, false);
	ws_job_check_end(c, j);
}

static void ws_job_cancelled(struct ws_core *c, struct ws_job *j)
{
	struct ws_attempt *s, *n;

	j->phase = WS_CANCELLED;
	ws_log(c, WS_LOG_INFO, "job %s cancelled by its user, %u tasks to stop", j->spec.id,
	       j->attempt_count);
	DL_FOREACH_SAFE2 (j->attempts, s, n, jnext)
		if (s->state != WS_ATTEMPT_GONE) {
			s->machine->push = true;
			ws_attempt_stop(c, s, 0, NULL);
		}
	ws_job_push(c, j);
	ws_job_check_end(c, j);
}

/*
 * A peer told a user that this job is cancelled, and we can't read its record. Its tasks end now:
 * that takes no write. The stamp stays as it was, so that the watch brings the record once the
 * state service is back, and a write of ours before that fails.
 */
void ws_job_withdrawn(struct ws_core *c, const struct ws_withdrawal *w)
{
	struct ws_job *j = ws_job_find(c, w->job);

	if (j && w->stamp > j->stamp && j->phase != WS_CANCELLED)
		ws_job_cancelled(c, j);
}

/* CPUs of a machine of middling size; 0 while no type is known. */
double ws_mean_cpus(const struct ws_core *c)
{
	double size = 0;

	for (size_t i = 0; i < c->ntypes; i++)
		size += c->types[i].cpus / (double)c->ntypes;
	return size;
}

/* A task as a share of one machine of middling size. */
double ws_load_of(const struct ws_core *c, const struct ws_spec *s)
{
	double size = ws_mean_cpus(c);

	return size > 0 ? s->cpus / size : 0;
}

/* One command to each machine marked for it, with all that is to start or end there. */
void ws_job_push(struct ws_core *c, struct ws_job *j)
{
	struct ws_attempt *s;

	DL_FOREACH2 (j->attempts, s, jnext)
		if (s->machine->push) {
			s->machine->push = false;
			ws_fleet_push(c, s->machine);
		}
}

/* A job record as read at the election or seen by the watch. */
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
	if (j) { /* of what others may write only its user's cancelling matters here */
		enum ws_phase phase;
		uint32_t done, running;

		j->stamp = stamp;
		j->stale = false;
		ws_writer_wake(c);
		j->pieces = ws_record_pieces(value);
		if (!ws_record_read_phase(value, &phase, &done, &running))
			return;
		if (phase == WS_CANCELLED && !ws_job_over(j)) {
			ws_job_cancelled(c, j);
		} else if (phase == WS_CANCELLED && j->phase == WS_DONE) {
			/* the user was told "cancelled" before we could record "done": that stands
			 */
			j->phase = WS_CANCELLED;
			ws_job_check_end(c, j);
		}
		return;
	}
	if (ws_tombstone_holds(c, &c->ended, id))
		return; /* written before we archived it */
	n = ws_record_read_job(id, value);
	if (!n) {
		ws_log(c, WS_LOG_ERROR, "job %s: its record can't be read, left alone", id);
		return;
	}
	n->stamp = stamp;
	n->pieces = ws_record_pieces(value);
	n->team = ws_team_of(c, n->spec.team);
	n->zone = ws_zone_id(c, n->spec.zone);
	n->image = ws_image_id(c, n->spec.image);
	n->fits_of = -1;
	n->waiting = n->spec.tasks - n->ndone;
	n->known_at = c->now;
	HASH_ADD_STR(c->jobs, spec.id, n);
	ws_kept_link(c, n);
	if (c->role == WS_LEADER) {
		ws_log(c, WS_LOG_DEBUG, "job %s known: %u tasks of %s %s", id, n->spec.tasks,
		       n->spec.team, n->spec.job_class);
		if (n->phase == WS_CANCELLED)
			ws_job_check_end(c, n);
		else if (!n->spec.service)
			c->work_arrived += n->spec.tasks * ws_load_of(c, &n->spec);
	}
	c->place_wanted = true;
}
