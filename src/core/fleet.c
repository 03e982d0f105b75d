/*
 * The fleet: machines, what may be alive on them, reports and commands.
 *
 * An attempt is one try to run a task on one machine. It counts against machine, team and siblings
 * from the moment it is planned until it is surely gone, and a task is placed anew only when it
 * has no attempt left. Surely gone means: the worker reported the attempt exited, or reported
 * without it when no command for it can still arrive; or a report of a later tenure; or the cloud
 * confirmed the machine's return; or its lease ran out by the longest reckoning.
 */
#include "internal.h"

struct ws_machine *ws_machine_find(struct ws_core *c, const char *name)
{
	struct ws_machine *m;

	HASH_FIND_STR(c->machines, name, m);
	return m;
}

struct ws_machine *ws_machine_get(struct ws_core *c, const char *name)
{
	struct ws_machine *m = ws_machine_find(c, name);

	if (m)
		return m;
	m = calloc(1, sizeof(*m));
	if (!m)
		abort();
	snprintf(m->name, sizeof(m->name), "%s", name);
	m->first_seen = c->now;
	m->empty_since = c->now;
	m->heard = -1e9;
	/* an earlier leader may have answered it, and sent it commands, until we were elected */
	m->alive_until = ws_lease_out(c, c->elected_at);
	m->fence = c->epoch ? c->epoch - 1 : 0;
	m->token = c->epoch;
	m->token_at = c->now;
	m->owned = c->owned_seen && strcmp(name, c->owned_upto) <= 0;
	m->zi = m->chunk = -1;
	m->invalid_name = strpbrk(name, "/#=;,") != NULL;
	HASH_ADD_STR(c->machines, name, m);
	c->order_stale = true;
	return m;
}

/* What a machine is and where. Its attempts are counted for their jobs where it is. */
void ws_machine_place(struct ws_core *c, struct ws_machine *m, const char *type, const char *zone,
		      bool spot)
{
	int zi = ws_zone_id(c, zone);

	if (strcmp(m->type_name, type) || !m->type) {
		snprintf(m->type_name, sizeof(m->type_name), "%s", type);
		m->type = ws_type_find(c, type);
		m->ti = m->type ? (int)(m->type - c->types) : 0;
	}
	if (zi != m->zi || strcmp(m->zone, zone)) {
		for (struct ws_attempt *s = m->attempts; s; s = s->next) {
			if (!s->job || s->state == WS_ATTEMPT_GONE)
				continue;
			if (m->zi >= 0)
				s->job->zone_n[m->zi]--;
			if (zi >= 0)
				s->job->zone_n[zi]++;
		}
		m->zi = zi;
		snprintf(m->zone, sizeof(m->zone), "%s", zone);
	}
	if (m->spot != spot)
		c->order_stale = true;
	m->spot = spot;
}

double ws_lease_length(const struct ws_settings *s)
{
	return s->lease_s * (1 + WS_DRIFT) + s->lease_s / 32;
}

/* The time by which a lease renewed at 'from' has run out on any clock. */
double ws_lease_out(const struct ws_core *c, double from)
{
	return from + ws_lease_length(c->set);
}

/*
 * Machines a record holds: an entry takes less than this many bytes, its images what is left. Not
 * more than the version before gangs had at 16 KiB, which would cut a longer one short.
 */
int ws_chunk_size(const struct ws_core *c)
{
	int n = (int)(c->set->value_kb * 1024 / 112);

	return n < 1 ? 1 : n > 85 ? 85 : n;
}

struct ws_chunk *ws_chunk_at(struct ws_core *c, int i)
{
	if (i >= c->nchunks) {
		c->chunks = realloc(c->chunks, (size_t)(i + 1) * sizeof(*c->chunks));
		if (!c->chunks)
			abort();
		memset(c->chunks + c->nchunks, 0,
		       (size_t)(i + 1 - c->nchunks) * sizeof(*c->chunks));
		c->nchunks = i + 1;
	}
	return &c->chunks[i];
}

void ws_chunk_dirty(struct ws_core *c, int i)
{
	struct ws_chunk *k = ws_chunk_at(c, i);

	if (!k->dirty)
		k->dirty_at = c->now;
	k->dirty = true;
}

/* The record of where machines are is to be written: it serves the next leader for greeting. */
void ws_machine_dirty(struct ws_core *c, struct ws_machine *m)
{
	int i;

	if (m->chunk < 0) {
		for (i = 0; i < c->nchunks && c->chunks[i].n >= ws_chunk_size(c); i++)
			;
		m->chunk = i;
		ws_chunk_at(c, i)->n++;
	}
	ws_chunk_dirty(c, m->chunk);
}

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
static bool ws_attempt_runnable(const struct ws_core *c, const struct ws_attempt *s)
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

/*
 * A report that arrives is no proof that its sender hears us: answers may be cut while reports are
 * not, and a report may be a late copy. The token that we gave it, in its own word, is proof; it
 * is raised whenever a lease ran out or a command got no answer.
 */
bool ws_machine_hears(const struct ws_machine *m)
{
	return m->reported && m->epoch >= m->token;
}

/* Longer ago than a report period with its quarter, and some more. */
bool ws_overdue(const struct ws_core *c, double since)
{
	return c->now - since > 1.3 * c->set->report_s;
}

static void ws_machine_doubt(struct ws_core *c, struct ws_machine *m, uint64_t known)
{
	if (m->token <= known) {
		m->token = known + 1;
		m->token_at = c->now;
		m->probe_next = 0;
	}
}

/*
 * Only answers to reports renew a lease. A machine that can't reach us loses all that is placed on
 * it, however well commands reach it; it is given a while to find a new leader, or us when it is
 * up.
 */
static bool ws_machine_reports(const struct ws_core *c, const struct ws_machine *m)
{
	return c->now - fmax(m->report_at, fmax(m->up_at, c->elected_at)) < 3 * c->set->report_s;
}

bool ws_machine_usable(const struct ws_core *c, const struct ws_machine *m)
{
	return ws_machine_hears(m) && !m->unreachable && !m->invalid_name && m->reported &&
	       m->type && !m->gone && !m->returning && !m->failed && m->tenure &&
	       c->now - m->heard < 3 * c->set->report_s && ws_machine_reports(c, m) &&
	       c->now < m->alive_until && c->now >= m->quarantine_until &&
	       c->now >= m->refused_until && !m->noticed;
}

static void ws_cache_touch(struct ws_core *c, struct ws_machine *m, int image)
{
	int i;

	for (i = 0; i < m->ncache && m->cache[i] != image; i++)
		;
	if (i < m->ncache && i < WS_CACHE_KEPT) {
		memmove(m->cache + 1, m->cache, (size_t)i * sizeof(m->cache[0]));
		m->cache[0] = image;
		return;
	}
	if (i == m->ncache && m->ncache < WS_CACHE_MAX)
		m->ncache++;
	if (i == WS_CACHE_MAX)
		i--;
	memmove(m->cache + 1, m->cache, (size_t)i * sizeof(m->cache[0]));
	m->cache[0] = image;
	if (m->chunk >= 0)
		ws_chunk_at(c, m->chunk)->images = true;
}

/*
 * A task failed. A machine is suspected only when different jobs fail on it in a row, and a job
 * that fails on several machines is held back by itself: a mistake in a job must not condemn the
 * fleet, nor a bad machine the job.
 */
static void ws_task_failed(struct ws_core *c, struct ws_machine *m, struct ws_attempt *s)
{
	struct ws_job *j = s->job;

	/* a job that completed tasks elsewhere is sound: then its failures speak against the
	 * machine */
	if (strcmp(m->last_failed_job, s->job_id) || (j && j->ndone > 0)) {
		m->consecutive_failures++;
		snprintf(m->last_failed_job, sizeof(m->last_failed_job), "%s", s->job_id);
	}
	if (m->consecutive_failures >= 2 && c->now >= m->quarantine_until) {
		double t = c->set->lease_s *
			   (1 << (m->consecutive_failures < 6 ? m->consecutive_failures - 1 : 5));

		m->quarantine_until = c->now + t;
		ws_log(c, WS_LOG_INFO, "machine %s: %d failures in a row, left out for %.0f s",
		       m->name, m->consecutive_failures, t);
	}
	if (!j)
		return;
	j->errors++;
	/* the first failures may be the machine's fault and are tried again at once, elsewhere */
	if (j->errors > 4) {
		double t = c->set->report_s * (1 << (j->errors < 12 ? (j->errors - 4) / 2 : 4));

		j->not_before = c->now + t;
	}
	m->refused_until = c->now + c->set->report_s;
}

static void ws_attempt_exited(struct ws_core *c, struct ws_attempt *s)
{
	struct ws_machine *m = s->machine;
	struct ws_job *j = s->job;

	ws_log(c, WS_LOG_DEBUG, "machine %s: %s/%u attempt %llu exited (%d)", m->name, s->job_id,
	       s->task, (unsigned long long)s->attempt, s->why);
	switch (s->why) {
	case WS_WHY_DONE:
		m->consecutive_failures = 0;
		m->last_failed_job[0] = 0;
		if (j) {
			if (s->running_at > 0)
				c->work_done += ws_load_of(c, &j->spec);
			ws_job_task_done(c, j, s->task);
		}
		break;
	case WS_WHY_ERROR:
		ws_log(c, WS_LOG_INFO, "machine %s: %s/%u failed", m->name, s->job_id, s->task);
		ws_task_failed(c, m, s);
		break;
	case WS_WHY_FULL:
	case WS_WHY_BUSY:
	case WS_WHY_UNKNOWN:
		ws_log(c, WS_LOG_INFO, "machine %s refused %s/%u (%d)", m->name, s->job_id, s->task,
		       s->why);
		m->refused_until = c->now + c->set->report_s;
		if (j && s->why == WS_WHY_UNKNOWN)
			j->not_before = c->now + c->set->report_s;
		break;
	case WS_WHY_NONE:
	case WS_WHY_STOPPED:
	case WS_WHY_MATES:
	case WS_WHY_ALONE:
		/* of a gang that broke up; nobody is to blame for that here */
		if (j && j->spec.gang && !s->orphan)
			j->gang_over = s->attempt;
		break;
	}
	ws_attempt_release(c, s);
}

/* The first word of a machine. */
static void ws_machine_up(struct ws_core *c, struct ws_machine *m)
{
	m->reported = true;
	m->up_at = c->now;
	if (!m->owned && c->now - m->first_seen > c->set->report_s) {
		c->boot_sum += c->now - m->first_seen;
		c->boot_n += 1;
	}
	ws_log(c, WS_LOG_INFO, "machine %s is up: %s in %s%s%s", m->name, m->type_name, m->zone,
	       m->spot ? ", spot" : "", m->owned ? ", owned" : "");
	c->place_wanted = true;
}

/* What a machine is, and where it is reached. */
static void ws_machine_identity(struct ws_core *c, struct ws_machine *m, const struct ws_report *r)
{
	bool address = m->port != r->port || strcmp(m->host, r->host) != 0;
	/* the cloud's list may have told its address before it was ever heard */
	bool moved = !m->reported || address || strcmp(m->zone, r->zone) != 0;

	ws_machine_place(c, m, r->type, r->zone, r->spot);
	if (!m->reported)
		ws_machine_up(c, m);
	m->failed = false;
	if (address) {
		snprintf(m->host, sizeof(m->host), "%s", r->host);
		m->port = r->port;
		ws_machine_dirty(c, m);
	}
	if (moved)
		ws_subsystems_machine(c, m);
}

/* A machine's lease ran out: all that it had before is gone. */
static void ws_machine_new_tenure(struct ws_core *c, struct ws_machine *m,
				  const struct ws_report *r)
{
	if (m->tenure && m->attempt_count)
		ws_log(c, WS_LOG_INFO, "machine %s began tenure %llu, %u tasks lost", m->name,
		       (unsigned long long)r->tenure, m->attempt_count);
	if (m->tenure) /* did it hear our answers? */
		ws_machine_doubt(c, m, r->epoch > m->token ? r->epoch : m->token);
	m->tenure = r->tenure;
	/* the worker's lease counts from the tenure's beginning, also where no answer of ours has
	 * renewed it: we may have heard of it by a command's answer alone */
	m->alive_until = fmax(m->alive_until, ws_lease_out(c, c->now));
	m->fence = 0; /* a command for an earlier tenure is refused */
	ws_machine_dirty(c, m);
}

static void ws_machine_notice(struct ws_core *c, struct ws_machine *m, double notice_s)
{
	m->noticed = true;
	m->notice_until = c->now + notice_s;
	ws_log(c, WS_LOG_INFO, "machine %s will be taken in %.0f s", m->name, notice_s);
	c->place_wanted = true;
}

static struct ws_attempt *ws_attempt_find(const struct ws_machine *m,
					  const struct ws_task_report *t)
{
	struct ws_attempt *s;

	for (s = m->attempts; s; s = s->next)
		if (s->state != WS_ATTEMPT_GONE && s->attempt == t->attempt && s->task == t->task &&
		    !strcmp(s->job_id, t->job))
			break;
	return s;
}

/* An attempt is alive on a machine, though not ours: it counts until it is gone. */
static struct ws_attempt *ws_attempt_foreign(struct ws_core *c, struct ws_machine *m,
					     const struct ws_task_report *t)
{
	struct ws_attempt *s = ws_attempt_add(c, m, t->job, t->task, t->attempt);

	s->orphan = s->seen = s->sent = true;
	s->state = WS_ATTEMPT_RECORDED;
	ws_attempt_stop(c, s, 0, "not in the plan");
	return s;
}

static void ws_attempt_runs(struct ws_core *c, struct ws_machine *m, struct ws_attempt *s)
{
	struct ws_job *j = s->job;

	s->running_at = c->now;
	ws_log(c, WS_LOG_DEBUG, "machine %s: %s/%u attempt %llu runs", m->name, s->job_id, s->task,
	       (unsigned long long)s->attempt);
	if (!j)
		return;
	ws_cache_touch(c, m, j->image);
	if (!j->started && !ws_job_over(j)) {
		j->started = true;
		j->phase = WS_RUNNING;
		ws_job_dirty(c, j, false);
	}
}

/* One task of a machine's newest word. */
static void ws_task_reported(struct ws_core *c, struct ws_machine *m,
			     const struct ws_task_report *t)
{
	struct ws_attempt *s = ws_attempt_find(m, t);

	if (!s && t->state == WS_TASK_EXITED) {
		struct ws_job *j = ws_job_find(c, t->job);

		if (t->why == WS_WHY_DONE && j)
			ws_job_task_done(c, j, t->task);
		return;
	}
	if (!s)
		s = ws_attempt_foreign(c, m, t);
	s->pass = c->pass;
	s->seen = s->sent = true;
	if (t->state == WS_TASK_WAITING && s->at != WS_TASK_WAITING) {
		s->waiting_at = c->now;
		if (s->job) /* it has its image */
			ws_cache_touch(c, m, s->job->image);
	}
	if (s->job && s->job->spec.gang && !s->orphan &&
	    (t->state == WS_TASK_RUNNING || t->state == WS_TASK_SAVING))
		s->job->gang_over = s->attempt;
	if (t->state == WS_TASK_RUNNING && s->at != WS_TASK_RUNNING)
		ws_attempt_runs(c, m, s);
	s->at = t->state;
	s->why = t->why;
	if (t->state == WS_TASK_EXITED)
		ws_attempt_exited(c, s);
}

/* Attempts that a machine's newest word does not name. */
static void ws_attempts_missing(struct ws_core *c, struct ws_machine *m)
{
	for (struct ws_attempt *s = m->attempts, *n; s; s = n) {
		n = s->next;
		if (s->state == WS_ATTEMPT_GONE || s->pass == c->pass || s->tenure != m->tenure)
			continue;
		/* it was there and is no more; or it was told to run, is not there, and no command
		 * is on its way that could bring it */
		if (s->seen || (s->sent && s->stop && !m->fence && !m->commands))
			ws_attempt_release(c, s);
	}
}

/* Takes in the newest word of a worker: a report, or the answer to a direct command. */
static void ws_fleet_read(struct ws_core *c, struct ws_machine *m, const struct ws_report *r)
{
	ws_machine_identity(c, m, r);
	if (r->tenure > m->tenure)
		ws_machine_new_tenure(c, m, r);
	/* also where we did not see the tenure begin: one job's record may name an attempt of a
	 * tenure that another's, or the fleet's, knows to be over */
	for (struct ws_attempt *s = m->attempts, *n; s; s = n) {
		n = s->next;
		if (s->tenure < r->tenure)
			ws_attempt_release(c, s);
	}
	m->counter = r->counter;
	m->epoch = r->epoch;
	if (m->fence && r->epoch > m->fence)
		m->fence = 0;
	if (r->notice_s >= 0 && !m->noticed)
		ws_machine_notice(c, m, r->notice_s);
	c->pass++;
	for (size_t i = 0; i < r->ntasks; i++)
		ws_task_reported(c, m, &r->tasks[i]);
	ws_attempts_missing(c, m);
}

/* Commands in the answer to a report: keeps it under the line limit. */
#define WS_ANSWER_ORDERS 400

static bool ws_reap_ok(struct ws_core *c, struct ws_machine *m, const struct ws_task_report *t)
{
	struct ws_job *j;

	/* a direct run that is still on its way would start the attempt again */
	if (m->fence || m->commands)
		return false;
	for (struct ws_attempt *s = m->attempts; s; s = s->next)
		if (s->attempt == t->attempt && s->task == t->task && !strcmp(s->job_id, t->job))
			return false; /* its job's record still names it */
	j = ws_job_find(c, t->job);
	if (j && t->why == WS_WHY_DONE && !j->spec.service && j->phase != WS_CANCELLED &&
	    t->task < j->spec.tasks && !j->tasks[t->task].saved)
		return false; /* the result is not yet on record */
	return true;
}

/* One more command for a machine, in the core's scratch. */
static struct ws_order *ws_order_add(struct ws_core *c, enum ws_verb verb, const char *job,
				     uint32_t task, uint64_t attempt)
{
	struct ws_order *o;

	if (c->norders == c->orders_cap) {
		c->orders_cap = c->orders_cap ? 2 * c->orders_cap : 64;
		c->orders = realloc(c->orders, c->orders_cap * sizeof(*c->orders));
		if (!c->orders)
			abort();
	}
	o = &c->orders[c->norders++];
	o->verb = verb;
	snprintf(o->job, sizeof(o->job), "%s", job);
	o->task = task;
	o->attempt = attempt;
	o->grace_s = 0;
	return o;
}

/* What is to start or end on a machine, and what of a report may be forgotten there. */
static void ws_orders_collect(struct ws_core *c, struct ws_machine *m, const struct ws_report *r,
			      size_t max, bool direct)
{
	c->norders = 0;
	for (struct ws_attempt *s = m->attempts; s && c->norders < max; s = s->next) {
		bool stop = s->stop && s->state != WS_ATTEMPT_GONE && s->tenure == m->tenure &&
			    (s->sent || s->seen);

		if (!stop && !(ws_attempt_runnable(c, s) && (!direct || !s->sent)))
			continue;
		ws_order_add(c, stop ? WS_STOP : WS_RUN, s->job_id, s->task, s->attempt)->grace_s =
		    s->grace;
		if (stop)
			s->stop_sent = true;
		else
			s->sent = true;
	}
	for (size_t i = 0; r && i < r->ntasks && c->norders < max; i++) {
		const struct ws_task_report *t = &r->tasks[i];

		if (t->state == WS_TASK_EXITED && ws_reap_ok(c, m, t))
			ws_order_add(c, WS_REAP, t->job, t->task, t->attempt);
	}
}

/* The same, as a list of its own; NULL if there is nothing to say. */
static struct ws_order *ws_orders(struct ws_core *c, struct ws_machine *m,
				  const struct ws_report *r, size_t max, bool direct, size_t *n)
{
	struct ws_order *list;

	ws_orders_collect(c, m, r, max, direct);
	*n = c->norders;
	if (!c->norders)
		return NULL;
	list = malloc(c->norders * sizeof(*list));
	if (!list)
		abort();
	memcpy(list, c->orders, c->norders * sizeof(*list));
	return list;
}

static void ws_push_done(struct ws_core *c, struct ws_call *call, const struct ws_result *r);

/* A direct command to a machine, without orders as yet. */
static struct ws_call *ws_orders_call(struct ws_core *c, struct ws_machine *m)
{
	struct ws_call *call = ws_call(c, WS_CALL_ORDERS, ws_push_done);

	snprintf(call->host, sizeof(call->host), "%s", m->host);
	call->port = m->port;
	call->epoch = m->token;
	call->tenure = m->tenure;
	snprintf(call->ctx_name, sizeof(call->ctx_name), "%s", m->name);
	m->commands++;
	return call;
}

/*
 * A machine that did not show yet that it hears this leader is probed: the answer is the machine's
 * report, with the token in it, and ends what the last leader may still have on its way. Waiting
 * for its reports instead costs a report period and a worker's search for the leader. So is one
 * that has not reported for longer than it may take to.
 */
static bool ws_machine_probe(struct ws_core *c, struct ws_machine *m)
{
	if ((ws_machine_hears(m) && !ws_overdue(c, m->heard)) || !m->port || !m->host[0] ||
	    m->gone || m->returning || m->commands || c->now < m->probe_next)
		return false;
	m->probe_next = c->now + c->set->report_s;
	ws_orders_call(c, m);
	return true;
}

void ws_core_report(struct ws_core *c, double now, uint64_t token, const struct ws_report *r,
		    bool relayed)
{
	struct ws_machine *m;
	struct ws_action *a;
	bool newer;

	if (now > c->now)
		c->now = now;
	if (c->role == WS_FOLLOWER || c->role == WS_ASKING) {
		ws_follower_report(c, token, r, relayed);
		return;
	}
	if (c->role != WS_LEADER || !ws_entitled(c) ||
	    ws_tombstone_holds(c, &c->tombstones,
			       r->machine) || /* a report held back since before its return */
	    r->epoch >> WS_EPOCH_SHIFT > c->epoch >> WS_EPOCH_SHIFT) {
		ws_report_answer(c, token, 503, NULL);
		return;
	}
	if (!relayed)
		c->relay_since = 0;
	else if (!c->relay_since)
		c->relay_since = c->now;
	m = ws_machine_get(c, r->machine);
	/*
	 * A copy, or held back since before: nobody waits for the answer, and a 200 would count as
	 * one, its tasks as alive. An answer to a command may have overtaken a report that is new.
	 */
	if (r->tenure < m->least_tenure || r->tenure < m->tenure ||
	    (r->tenure == m->report_tenure && r->counter <= m->report_counter)) {
		ws_report_answer(c, token, 503, NULL);
		return;
	}
	m->report_at = c->now;
	m->report_tenure = r->tenure;
	m->report_counter = r->counter;
	if (r->epoch > m->token)
		m->token = r->epoch;
	newer = r->tenure > m->tenure || r->counter > m->counter || !m->reported;
	m->unreachable = false;
	if (newer) {
		m->heard = c->now;
		ws_fleet_read(c, m, r);
	}
	a = ws_act(c, WS_ACT_ANSWER_REPORT);
	a->token = token;
	a->status = 200;
	a->epoch = m->token;
	if (ws_machine_hears(m))
		ws_subsystems_heartbeat(c, m);
	m->alive_until = ws_lease_out(c, c->now);
	if (r->tenure == m->tenure)
		a->orders = ws_orders(c, m, newer ? r : NULL, WS_ANSWER_ORDERS, false, &a->norders);
	if (!ws_machine_hears(m) && ws_entitled(c) && !c->in_outage)
		ws_machine_probe(c, m); /* now, not with the next sweep's turn */
	ws_core_tick(c, now);
}

/* To be stopped, and no command has said so yet: one was on its way when that was decided. */
static bool ws_attempt_stop_unsent(const struct ws_attempt *s)
{
	return s->stop && !s->stop_sent && s->state != WS_ATTEMPT_GONE &&
	       s->tenure == s->machine->tenure;
}

static void ws_push_done(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_machine *m;

	if (call->generation != c->generation)
		return;
	m = ws_machine_find(c, call->ctx_name);
	if (!m)
		return;
	m->commands--;
	if (r->status < 0)
		return; /* never left us: the next reply carries it */
	ws_subsystems_answered(c, m, r->report != NULL);
	if (r->report && !strcmp(r->report->machine, m->name)) {
		c->relay_since = 0; /* it can be reached from here */
		m->unreachable = false;
		if (r->report->tenure > m->tenure ||
		    (r->report->tenure == m->tenure && r->report->counter > m->counter) ||
		    !m->reported) {
			m->heard = c->now;
			ws_fleet_read(c, m, r->report);
		}
	} else if (!call->norders) {
		if (ws_overdue(c, fmax(m->heard, c->woke_at)))
			m->unreachable = true;
		return; /* a greeting: nothing of it can do harm; its token may be met again */
	} else {
		/* it may arrive later: until the worker knows a higher epoch, nothing of it can be
		 * forgotten or moved */
		if (call->epoch > m->fence)
			m->fence = call->epoch;
		ws_machine_doubt(c, m, call->epoch);
		ws_log(c, WS_LOG_INFO, "machine %s: a direct command got no answer (%d)", m->name,
		       r->status);
		return;
	}
	for (struct ws_attempt *s = m->attempts; s; s = s->next)
		if ((ws_attempt_runnable(c, s) && !s->sent) || ws_attempt_stop_unsent(s)) {
			ws_fleet_push(c, m);
			break;
		}
}

/* Commands straight to a worker that is known to listen, for speed; replies carry them again. */
void ws_fleet_push(struct ws_core *c, struct ws_machine *m)
{
	struct ws_call *call;
	struct ws_attempt *s;

	if (!m->reported || !m->port || m->commands || m->fence || m->gone || m->returning ||
	    !ws_entitled(c) || c->now - m->heard > 1.5 * c->set->report_s)
		return;
	/* while the state service is out nothing is started, but what is withdrawn ends */
	for (s = m->attempts; c->in_outage && s && !ws_attempt_stop_unsent(s); s = s->next)
		;
	if (c->in_outage && !s)
		return;
	call = ws_orders_call(c, m);
	call->orders = ws_orders(c, m, NULL, SIZE_MAX, true, &call->norders);
}

/* So many at a time. */
static void ws_fleet_probe(struct ws_core *c)
{
	struct ws_machine *m, *t;
	int most = 32 + (int)HASH_COUNT(c->machines) / 8;

	HASH_ITER (hh, c->machines, m, t) {
		c->sweep_steps++;
		if (ws_machine_probe(c, m) && --most <= 0)
			break;
	}
}

/* The machine and all on it are surely gone, or its lease is. */
static void ws_machine_clear(struct ws_core *c, struct ws_machine *m)
{
	for (struct ws_attempt *s = m->attempts, *n; s; s = n) {
		n = s->next;
		ws_attempt_release(c, s);
	}
}

void ws_machine_gone(struct ws_core *c, struct ws_machine *m, const char *why)
{
	if (m->gone)
		return;
	ws_log(c, WS_LOG_INFO, "machine %s is gone: %s", m->name, why);
	m->gone = true;
	ws_subsystems_lost(c, m, WS_LOSS_RETURNED);
	ws_tombstone_set(&c->tombstones, m->name,
			 c->now + c->set->lease_s + 4 * c->set->list_lag_s);
	ws_machine_clear(c, m);
	c->rentals_stale = true;
	if (m->chunk >= 0)
		ws_chunk_dirty(c, m->chunk);
}

void ws_tombstone_set(struct ws_tombstone **tombstones, const char *name, double until)
{
	struct ws_tombstone *t;

	HASH_FIND_STR(*tombstones, name, t);
	if (!t) {
		t = calloc(1, sizeof(*t));
		if (!t)
			abort();
		snprintf(t->name, sizeof(t->name), "%s", name);
		HASH_ADD_STR(*tombstones, name, t);
	}
	t->until = until;
}

bool ws_tombstone_holds(struct ws_core *c, struct ws_tombstone *const *tombstones, const char *name)
{
	struct ws_tombstone *t;

	HASH_FIND_STR(*tombstones, name, t);
	return t && c->now < t->until;
}

void ws_tombstones_clear(struct ws_core *c, bool all)
{
	struct ws_tombstone **lists[] = {&c->tombstones, &c->ended, &c->orphaned_parts}, *t, *n;

	for (size_t i = 0; i < 3; i++)
		HASH_ITER (hh, *lists[i], t, n)
			if (all || c->now >= t->until) {
				HASH_DEL(*lists[i], t);
				free(t);
			}
}

void ws_machine_forget(struct ws_core *c, struct ws_machine *m)
{
	if (m->chunk >= 0)
		c->chunks[m->chunk].n--;
	ws_subsystems_machine_removed(c, m);
	HASH_DEL(c->machines, m);
	c->order_stale = true;
	free(m);
}

/* One line of the cloud's list. */
void ws_machine_host(struct ws_core *c, const struct ws_host *h)
{
	struct ws_machine *m = ws_machine_find(c, h->name);

	/* a list as old as its lag still names what was returned: not a machine that boots */
	if (ws_tombstone_holds(c, &c->tombstones, h->name))
		return;
	if (!m) {
		m = ws_machine_get(c, h->name);
		m->first_seen = c->now - h->age_s;
		if (!m->owned)
			ws_log(c, WS_LOG_INFO, "machine %s found in the cloud's list", m->name);
	}
	m->listed = true;
	if (!m->listed_up && h->phase == WS_HOST_RUNNING)
		m->listed_up = c->now;
	if (!m->reported) {
		/* on record by its booking alone: only the list tells since when it boots */
		m->first_seen = fmin(m->first_seen, c->now - h->age_s);
		ws_machine_place(c, m, h->type, h->zone, h->spot);
		if (!m->port && h->port) {
			snprintf(m->host, sizeof(m->host), "%s", h->host);
			m->port = h->port;
		}
	}
	if (h->phase == WS_HOST_FAILED && !m->failed && !m->gone &&
	    c->now > m->heard + c->set->report_s) {
		m->failed = true;
		ws_subsystems_lost(c, m, WS_LOSS_FAILED);
		ws_log(c, WS_LOG_INFO, "machine %s failed, says the cloud", m->name);
		ws_machine_clear(c, m);
	}
}

/* All machines are looked at so often: a fraction of what they are given time for. */
double ws_sweep_every(const struct ws_core *c)
{
	return fmin(c->set->report_s / 20, c->set->lease_s / 160);
}

/*
 * Replicas and what can save move when their machine is about to be taken. A gang saves only if
 * all of it is told at once and has the time; else it goes on and falls back to its checkpoint.
 */
static bool ws_moves_on_notice(const struct ws_core *c, const struct ws_attempt *s)
{
	const struct ws_spec *p = &s->job->spec;

	if (p->gang)
		return p->checkpoint_s > 0 && c->now + p->save_s < s->machine->notice_until &&
		       ws_gang_reachable(c, s->job);
	return p->service || p->checkpoint_s > 0;
}

void ws_fleet_tick(struct ws_core *c)
{
	struct ws_machine *m, *t;

	if (c->now < c->sweep_next)
		return;
	c->sweep_next = c->now + ws_sweep_every(c);
	if (ws_entitled(c) && !c->in_outage)
		ws_fleet_probe(c);
	ws_tombstones_clear(c, false);
	HASH_ITER (hh, c->machines, m, t) {
		c->sweep_steps++;
		if (m->gone) {
			if (!m->attempts)
				ws_machine_forget(c, m);
			continue;
		}
		if (m->attempt_count && c->now > m->alive_until && m->tenure) {
			ws_log(c, WS_LOG_INFO, "machine %s: its lease has surely run out", m->name);
			m->least_tenure = m->tenure + 1;
			ws_subsystems_lost(c, m, WS_LOSS_LEASE);
			ws_machine_clear(c, m);
		}
		if (m->noticed && c->now < m->notice_until + c->set->lease_s) {
			/* replicas move on notice; arrays that can't save run on while they can */
			bool any = false;

			for (struct ws_attempt *s = m->attempts, *n; s; s = n) {
				n = s->next;
				if (s->state != WS_ATTEMPT_GONE && !s->stop && !s->orphan &&
				    s->job && ws_moves_on_notice(c, s)) {
					ws_task_stop(c, s, "spot notice");
					any = true;
				}
			}
			if (any)
				ws_fleet_push(c, m);
		}
	}
}
