/* The rules about what runs, and what scenarios expect. */
#include "sim_parts.h"

struct sim_job *sim_job_of(struct sim *s, const char *id)
{
	struct sim_job *j;

	HASH_FIND(hh, s->by_id, id, strlen(id), j);
	return j;
}

bool sim_on_machine(const struct sim_task *t)
{
	return t->state == WS_TASK_RUNNING || t->state == WS_TASK_SAVING ||
	       t->state == WS_TASK_WAITING;
}

void sim_check_start(struct sim *s, struct sim_worker *w, struct sim_task *t)
{
	struct sim_job *j = sim_job_of(s, t->job);
	uint32_t in_zone = 0, other_zone = 0;

	for (int i = 0; i < s->nw; i++)
		for (int k = 0; k < s->w[i].ntasks; k++) {
			struct sim_task *o = &s->w[i].tasks[k];

			if (o == t || s->w[i].dead || s->w[i].deleted || !sim_on_machine(o) ||
			    strcmp(o->job, t->job))
				continue;
			if (o->task == t->task)
				sim_fail(s, "ran_twice: %s/%u starts on %s while on %s", t->job,
					 t->task, w->name, s->w[i].name);
			if (j && j->spec.gang && o->attempt != t->attempt)
				sim_fail(s, "%s/%u: a start beside another attempt of its gang",
					 t->job, t->task);
			if (strcmp(s->w[i].zone, w->zone))
				other_zone++;
			else
				in_zone++;
		}
	if (!j)
		return;
	if (j->spec.one_zone && other_zone)
		sim_fail(s, "wrong_place: %s/%u in zone %s", t->job, t->task, w->zone);
	if (j->spec.spread && in_zone + 1 > (j->spec.tasks + 1) / 2)
		sim_fail(s, "wrong_place: %s/%u makes %u in zone %s", t->job, t->task, in_zone + 1,
			 w->zone);
	if (j->spec.zone[0] && strcmp(j->spec.zone, w->zone))
		sim_fail(s, "wrong_place: %s/%u in zone %s", t->job, t->task, w->zone);
	if (w->spot && !j->spec.spot)
		sim_fail(s, "wrong_place: %s/%u on a spot machine", t->job, t->task);
	if (!ws_type_fits(&s->types[w->type].t, &j->spec))
		sim_fail(s, "wrong_place: %s/%u on type %s", t->job, t->task,
			 s->types[w->type].t.name);
	if (j->told_cancelled > 0 && s->now > j->told_cancelled + s->cancel_s)
		sim_fail(s, "ran_cancelled: %s/%u starts on %s", t->job, t->task, w->name);
	s->starts++;
	sim_zones_started(s, j, t->task);
	sim_coldstart_started(s, j, t->task);
	if (!j->started_at)
		j->started_at = s->now;
}

int sim_running(struct sim *s, const char *id)
{
	int n = 0;

	for (int i = 0; i < s->nw; i++)
		for (int k = 0; k < s->w[i].ntasks; k++)
			n += !s->w[i].dead && !s->w[i].deleted &&
			     sim_on_machine(&s->w[i].tasks[k]) && !strcmp(s->w[i].tasks[k].job, id);
	return n;
}

bool sim_compare(double n, const char *op, const char *m)
{
	if (!op || !m)
		return false;
	return !strcmp(op, "=") ? n == atof(m) : !strcmp(op, ">=") ? n >= atof(m) : n <= atof(m);
}

void sim_expect(struct sim *s, char *p)
{
	const char *what = sim_word(&p), *a = sim_word(&p), *b = sim_word(&p), *c = sim_word(&p);
	struct sim_job *j = a ? sim_job_of(s, a) : NULL;
	int n = 0, m = 0, i;

	if (!what)
		return;
	if (!strcmp(what, "done")) {
		if (!j || !j->done)
			sim_fail(s, "%s is not done (%u tasks are)", a, j ? j->completed : 0);
	} else if (!strcmp(what, "cancelled")) {
		if (!j || !j->cancelled || sim_running(s, a))
			sim_fail(s, "%s is not cancelled, %d run", a, sim_running(s, a));
	} else if (!strcmp(what, "status")) {
		if (!j || j->status != atoi(b))
			sim_fail(s, "%s was answered %d", a, j ? j->status : 0);
	} else if (!strcmp(what, "running") || !strcmp(what, "rented") || !strcmp(what, "held") ||
		   !strcmp(what, "returned") || !strcmp(what, "finishes") ||
		   !strcmp(what, "failures")) {
		const char *op = a, *num = b;

		if (!strcmp(what, "running") || !strcmp(what, "finishes")) {
			op = b;
			num = c;
			n = !strcmp(what, "running") ? sim_running(s, a) : j ? j->finishes : 0;
		} else if (!strcmp(what, "rented")) {
			n = s->rented;
		} else if (!strcmp(what, "returned")) {
			n = s->returned;
		} else if (!strcmp(what, "failures")) {
			n = s->failures;
		} else {
			for (int i = 0; i < s->nw; i++)
				n += !s->w[i].owned && !s->w[i].deleted;
		}
		m = num ? atoi(num) : 0;
		if (!op || !num ||
		    !(!strcmp(op, "=")	  ? n == m
		      : !strcmp(op, ">=") ? n >= m
					  : n <= m))
			sim_fail(s, "%s %s: %d, not %s %d", what, a, n, op, m);
	} else if (!strcmp(what, "alone") || !strcmp(what, "mates") || !strcmp(what, "saved") ||
		   !strcmp(what, "gang-runs") || !strcmp(what, "refused")) {
		n = !strcmp(what, "alone")	 ? s->alone
		    : !strcmp(what, "mates")	 ? s->mates
		    : !strcmp(what, "saved")	 ? s->saved
		    : !strcmp(what, "gang-runs") ? s->gang_runs
						 : s->refused_writes;
		if (!a || !b ||
		    !(!strcmp(a, "=")	 ? n == atoi(b)
		      : !strcmp(a, ">=") ? n >= atoi(b)
					 : n <= atoi(b)))
			sim_fail(s, "%s: %d", what, n);
	} else if (!strcmp(what, "all-done")) {
		for (i = 0; i < s->njobs; i++)
			if (!s->jobs[i].done)
				sim_fail(s, "%s is not done", s->jobs[i].spec.id);
	} else if (!strcmp(what, "all-finished")) { /* arrays, that is */
		for (i = 0; i < s->njobs; i++)
			if (!s->jobs[i].done && !s->jobs[i].spec.service)
				sim_fail(s, "%s is not done", s->jobs[i].spec.id);
	} else if (!strcmp(what, "all-answered")) { /* within so many seconds */
		for (i = 0; i < s->njobs; i++)
			if (s->jobs[i].accepted && s->now - s->jobs[i].answered_at > atof(a))
				sim_fail(s, "forgotten: no answer about %s for %.0f s",
					 s->jobs[i].spec.id, s->now - s->jobs[i].answered_at);
	} else if (!strcmp(what, "gone")) {
		for (i = 0; i < s->nw; i++)
			if (!strcmp(s->w[i].name, a) && !s->w[i].deleted)
				sim_fail(s, "%s is still there", a);
	} else if (!strcmp(what, "healthy-nodes")) {
		for (i = 0; i < s->nnodes; i++)
			n += s->nodes[i].up && s->nodes[i].v->ready(s->nodes[i].core);
		if (n != atoi(a))
			sim_fail(s, "%d healthy nodes", n);
	} else if (!strcmp(what, "elections")) { /* how often the leader's key was written */
		for (size_t h = 0; h < s->nhist; h++)
			n += !strcmp(s->hist[h].key, "leader") && s->hist[h].value;
		if (n != atoi(a))
			sim_fail(s, "%d elections", n);
	} else if (!strcmp(what, "live-jobs")) { /* that the leader keeps in memory */
		n = sim_leader(s) < 0 ? -1 : (int)HASH_COUNT(s->nodes[sim_leader(s)].core->jobs);
		if (n < 0 || n > atoi(a))
			sim_fail(s, "the leader keeps %d jobs", n);
	} else if (!strcmp(what, "leader")) {
		if (sim_leader(s) < 0)
			sim_fail(s, "nobody leads");
	} else if (!strcmp(what, "healthy") || !strcmp(what, "unhealthy")) {
		i = atoi(a) % s->nnodes;
		if (!s->nodes[i].up ||
		    s->nodes[i].v->ready(s->nodes[i].core) != !strcmp(what, "healthy"))
			sim_fail(s, "node %d: not %s", i, what);
	} else if (!strcmp(what, "per-pass")) { /* steps of the longest pass of this leader */
		uint64_t most = s->nodes[sim_leader(s)].core->steps_most;

		if (most > (uint64_t)atoll(b))
			sim_fail(s, "a pass took %llu steps", (unsigned long long)most);
	} else if (!strcmp(what, "per-start") || !strcmp(what, "per-poll")) {
		/* of changes, of commands or of steps in placement; of requests */
		double of = !strcmp(what, "per-poll") ? (double)s->polls : (double)s->starts, v = 0;

		if (!strcmp(a, "requests"))
			v = (double)s->asked;
		else if (!strcmp(a, "changes"))
			v = (double)s->changes;
		else if (!strcmp(a, "commands"))
			v = (double)s->commands;
		else if (!strcmp(a, "watched"))
			v = (double)s->watched;
		else if (!strcmp(a, "bytes-watched"))
			v = (double)s->watched_size;
		else if (!strcmp(a, "bytes-written"))
			v = (double)s->written_size;
		else if (sim_leader(s) < 0)
			sim_fail(s, "nobody leads");
		else if (!strcmp(a, "idle-looks"))
			v = (double)s->nodes[sim_leader(s)].core->writer.empty_passes;
		else if (!strcmp(a, "machines"))
			v = (double)s->nodes[sim_leader(s)].core->sweep_steps;
		else
			v = (double)s->nodes[sim_leader(s)].core->steps;
		if (!of || v / of > atof(b))
			sim_fail(s, "%.3f %s %s", of ? v / of : -1, a, what);
	} else if (!strcmp(what, "started-within")) { /* job seconds */
		if (!j || !j->started_at || j->started_at - j->submit_at > atof(b))
			sim_fail(s, "%s began after %.1f s", a,
				 j && j->started_at ? j->started_at - j->submit_at : -1.0);
	} else if (!strcmp(what, "leader-version")) {
		if (sim_leader(s) < 0 ||
		    (s->nodes[sim_leader(s)].v == &sim_this_version) != !strcmp(a, "new"))
			sim_fail(s, "node %d leads", sim_leader(s));
	} else if (!strcmp(what, "value-of")) { /* KEY <= BYTES; 0: there is none */
		struct sim_kv *k;

		HASH_FIND_STR(s->kv, a, k);
		n = k ? (int)json_dumpb(k->value, NULL, 0, JSON_COMPACT) : 0;
		if (!(!strcmp(b, ">=")	? n >= atoi(c)
		      : !strcmp(b, "=") ? n == atoi(c)
					: n <= atoi(c)))
			sim_fail(s, "%s has %d bytes", a, n);
	} else if (!strcmp(what, "no-leader")) {
		if (sim_leader(s) >= 0)
			sim_fail(s, "node %d leads", sim_leader(s));
	} else if (!strcmp(what, "lost")) { /* tasks that were killed by their lease since start */
		for (int i = 0; i < s->nw; i++)
			n += s->w[i].up && s->w[i].tenure > 1;
		if (n > atoi(a))
			sim_fail(s, "%d machines lost their lease", n);
	} else if (!sim_zones_expect(s, what, a, b, c) && !sim_coldstart_expect(s, what, a, b, c)) {
		sim_fail(s, "expect %s?", what);
	}
}

void sim_check_quota(struct sim *s)
{
	double used[16] = {0};

	for (int i = 0; i < s->nw; i++)
		for (int k = 0; k < s->w[i].ntasks; k++) {
			struct sim_job *j = sim_job_of(s, s->w[i].tasks[k].job);

			if (s->w[i].dead || s->w[i].deleted || !sim_on_machine(&s->w[i].tasks[k]) ||
			    !j)
				continue;
			if (j->told_cancelled > 0 && s->now > j->told_cancelled + s->cancel_s)
				sim_fail(s, "ran_cancelled: %s is on %s", j->spec.id, s->w[i].name);
			for (int t = 0; t < s->nteams; t++)
				if (!strcmp(s->teams[t].name, j->spec.team))
					used[t] += j->spec.cpus;
		}
	for (int t = 0; t < s->nteams; t++)
		if (used[t] > s->teams[t].cpus_max + 1e-9)
			sim_fail(s, "quota: %s uses %.1f", s->teams[t].name, used[t]);
}
