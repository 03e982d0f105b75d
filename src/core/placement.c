/*
 * Placement: first fit, owned machines first, an image already there preferred among equals.
 * Production goes first, then work within its team's guarantee, then by tier, deadline and age.
 */
#include "internal.h"

/*
 * The order in which work is served. What may stop other work must also be served before it, or
 * the two take the same room from each other for ever.
 */
static int ws_rank(const struct ws_job *j)
{
	if (j->spec.tier == WS_PRODUCTION)
		return 100 + j->guaranteed;
	return (j->guaranteed ? 50 : 0) + (int)j->spec.tier;
}

/* How soon a class should start by its aim; 0: it has none. */
static double ws_wait_aim(const struct ws_core *c, const char *job_class)
{
	for (size_t i = 0; i < c->set->nobjectives; i++)
		if (!strcmp(c->set->objectives[i].kind, "wait") &&
		    !strcmp(c->set->objectives[i].job_class, job_class))
			return c->set->objectives[i].within_s;
	return 0;
}

/* How long the fetch of its image takes, on machines of all types alike. */
static double ws_fetch_s(const struct ws_core *c, const struct ws_job *j)
{
	double fetch = 0;

	for (size_t i = 0; i < c->ntypes; i++)
		if (c->types[i].fetch_gb_s > 0)
			fetch += j->spec.image_gb / c->types[i].fetch_gb_s / (double)c->ntypes;
	return fetch;
}

/*
 * No job waits for ever behind those that keep coming: one of which no task was placed for two
 * leases is served before all other arrays until one is. What it then takes, no array may take from
 * it, or the two would do so in turn. Production and the rules of stopping stay as they are. A gang
 * needs more room at once than comes free between others: it ages in a quarter of its promised
 * wait, less the fetch.
 */
static bool ws_aged(const struct ws_core *c, const struct ws_job *j)
{
	double within = j->spec.gang ? ws_wait_aim(c, j->spec.job_class) : 0;

	if (within > 0 && j->unmet_since > 0 &&
	    c->now - j->unmet_since > fmax(0, within - ws_fetch_s(c, j)) / 4)
		return true;
	return c->now - fmax(j->known_at, j->placed_at) > 2 * c->set->lease_s &&
	       j->not_before <= c->now;
}

static int ws_turn(const struct ws_job *j)
{
	int rank = ws_rank(j);

	return j->aged && rank < 99 ? 99 : rank;
}

static int ws_want_cmp(const void *pa, const void *pb)
{
	const struct ws_job *a = *(struct ws_job *const *)pa, *b = *(struct ws_job *const *)pb;

	if (ws_turn(a) != ws_turn(b))
		return ws_turn(a) > ws_turn(b) ? -1 : 1;
	/* those that a subsystem moves, in its order; 0 stands for none and becomes the largest */
	if (a->move_position != b->move_position)
		return a->move_position - 1 < b->move_position - 1 ? -1 : 1;
	double da = a->submitted_wall + (a->spec.deadline_s >= 0 ? a->spec.deadline_s : 1e9);
	double db = b->submitted_wall + (b->spec.deadline_s >= 0 ? b->spec.deadline_s : 1e9);
	if (da != db)
		return da < db ? -1 : 1;
	if (a->submitted_wall != b->submitted_wall)
		return a->submitted_wall < b->submitted_wall ? -1 : 1;
	return strcmp(a->spec.id, b->spec.id);
}

static int ws_machine_cmp(const void *pa, const void *pb)
{
	const struct ws_machine *a = *(struct ws_machine *const *)pa,
				*b = *(struct ws_machine *const *)pb;

	if (a->owned != b->owned)
		return a->owned ? -1 : 1;
	/* spot rentals before ordinary ones, so that the dearer ones empty and go back */
	if (!a->owned && a->spot != b->spot)
		return a->spot ? -1 : 1;
	return strcmp(a->name, b->name);
}

static int ws_job_age_cmp(const void *pa, const void *pb)
{
	const struct ws_job *a = *(struct ws_job *const *)pa, *b = *(struct ws_job *const *)pb;

	if (a->submitted_wall != b->submitted_wall)
		return a->submitted_wall < b->submitted_wall ? -1 : 1;
	return strcmp(a->spec.id, b->spec.id);
}

/* A job is guaranteed while it fits its team's guarantee along with the team's earlier jobs. */
static void ws_mark_guaranteed(struct ws_core *c, struct ws_job **all, size_t n)
{
	double cpus[WS_MAX_TEAMS] = {0}, gpus[WS_MAX_TEAMS] = {0};

	qsort(all, n, sizeof(*all), ws_job_age_cmp);
	for (size_t i = 0; i < n; i++) {
		struct ws_job *j = all[i];
		struct ws_team *t = j->team;

		j->guaranteed = false;
		if (!t)
			continue;
		size_t k = (size_t)(t - c->teams);
		cpus[k] += j->spec.cpus * j->spec.tasks;
		gpus[k] += j->spec.gpus * j->spec.tasks;
		j->guaranteed = cpus[k] <= t->set->cpus + 1e-9 &&
				(gpus[k] <= t->set->gpus + 1e-9 || j->spec.gpus <= 0);
	}
}

/* Whether one more of its attempts may be in a zone, given where others may be alive. */
static bool ws_zone_ok(const struct ws_core *c, const struct ws_job *j, int zone)
{
	if (zone < 0 || (j->zone >= 0 && j->zone != zone))
		return false;
	if (j->spec.one_zone)
		for (int i = 0; i < c->nzones; i++)
			if (i != zone && j->zone_n[i])
				return false;
	return !j->spec.spread || j->zone_n[zone] < (j->spec.tasks + 1) / 2;
}

static uint32_t ws_zones_ok(const struct ws_core *c, const struct ws_job *j)
{
	uint32_t zones = 0;

	for (int i = 0; i < c->nzones; i++)
		if (ws_zone_ok(c, j, i))
			zones |= 1u << i;
	return zones;
}

/*
 * Whether a job may use machines that a subsystem would have avoided: it has found no other room
 * for a lease, or may be nowhere else.
 */
static bool ws_takes_avoided(const struct ws_core *c, const struct ws_job *j)
{
	uint32_t avoided = c->subsystems.zones_avoided;

	if (j->unmet_since > 0 && c->now - j->unmet_since > c->set->lease_s)
		return true;
	return avoided && j->waiting && !(ws_zones_ok(c, j) & ~avoided);
}

static bool ws_kind_ok(const struct ws_job *j, const struct ws_machine *m)
{
	return m->type && (j->fits >> m->ti & 1) && (!m->spot || j->spec.spot) &&
	       (!m->avoided || j->takes_avoided);
}

static bool ws_room(const struct ws_job *j, const struct ws_machine *m)
{
	return m->used_cpus + j->spec.cpus <= m->type->cpus + 1e-9 &&
	       m->used_gpus + j->spec.gpus <= m->type->gpus + 1e-9 &&
	       m->used_mem + j->spec.mem <= m->type->mem + 1e-9;
}

static bool ws_virt_room(const struct ws_job *j, const struct ws_machine *m)
{
	return j->spec.cpus <= m->virt_cpus + 1e-9 && j->spec.gpus <= m->virt_gpus + 1e-9 &&
	       j->spec.mem <= m->virt_mem + 1e-9;
}

static void ws_virt_take(const struct ws_job *j, struct ws_machine *m)
{
	m->virt_cpus -= j->spec.cpus;
	m->virt_gpus -= j->spec.gpus;
	m->virt_mem -= j->spec.mem;
}

static void ws_virt_give(const struct ws_job *j, struct ws_machine *m)
{
	m->virt_cpus += j->spec.cpus;
	m->virt_gpus += j->spec.gpus;
	m->virt_mem += j->spec.mem;
}

static bool ws_cached(const struct ws_machine *m, int image)
{
	for (int i = 0; i < m->ncache; i++)
		if (m->cache[i] == image)
			return true;
	return false;
}

/* The protocol counts a start only if the task is not stopped by command for this long. */
#define WS_START_COUNTS_S 30

static bool ws_may_preempt(const struct ws_core *c, const struct ws_job *j,
			   const struct ws_attempt *v)
{
	if (!v->job || v->stop || v->orphan || v->state == WS_ATTEMPT_GONE)
		return false;
	const struct ws_job *o = v->job;

	if (ws_rank(j) <= ws_rank(o) || (v->aged && j->spec.tier != WS_PRODUCTION) ||
	    !(j->guaranteed || j->prompt || j->spec.tier == WS_PRODUCTION))
		return false;
	/* a gang's start is dear: it is given the time to count, and all of it must be told */
	if (o->spec.gang && (c->now - fmax(v->planned_at, v->running_at) < WS_START_COUNTS_S ||
			     !ws_gang_reachable(c, o)))
		return false;
	return o->spec.tier < j->spec.tier ||
	       (j->guaranteed && !o->guaranteed && o->team != j->team);
}

/* How many such tasks a room takes, up to so many. */
uint32_t ws_tasks_fit(const struct ws_spec *s, double cpus, double gpus, double mem, uint32_t most)
{
	double fit = most;

	if (s->cpus > 0)
		fit = fmin(fit, floor((cpus + 1e-9) / s->cpus));
	if (s->gpus > 0)
		fit = fmin(fit, floor((gpus + 1e-9) / s->gpus));
	if (s->mem > 0)
		fit = fmin(fit, floor((mem + 1e-9) / s->mem));
	return fit > 0 ? (uint32_t)fit : 0;
}

/* Tasks that fit a machine by what it has free and by what it will have. */
static uint32_t ws_fit(const struct ws_job *j, const struct ws_machine *m, uint32_t most, bool now)
{
	double cpus = m->virt_cpus, gpus = m->virt_gpus, mem = m->virt_mem;

	if (now) {
		cpus = fmin(cpus, m->type->cpus - m->used_cpus);
		gpus = fmin(gpus, m->type->gpus - m->used_gpus);
		mem = fmin(mem, m->type->mem - m->used_mem);
	}
	return ws_tasks_fit(&j->spec, cpus, gpus, mem, most);
}

/* More machines than this are not all looked at for work to stop. */
#define WS_VICTIMS 64
/*
 * Steps a pass may spend for each machine. When a full fleet meets hundreds of jobs that wait, each
 * looking for work to stop, a pass took longer than the hold lasts and leaders followed one
 * another. Who comes too late for this pass is served in one of the next.
 */
#define WS_PASS_STEPS 100

/* What one pass goes by. */
struct ws_pass {
	struct ws_core *c;
	struct ws_machine **ms; /* usable ones, in first fit's order */
	size_t n;
	struct ws_machine **open; /* those with room for the smallest task that waits */
	size_t nopen;
	struct ws_machine **ending; /* those on which something was told to stop */
	size_t nending;
	struct ws_machine **fit; /* scratch, of the same size */
	size_t ahead_from;	 /* machines before this one have no room for any task ahead */
	double least_ahead;	 /* CPUs of the smallest of those tasks; 0: not known yet */
	double least;		 /* CPUs of the smallest task that waits */
	uint64_t steps_end;	 /* beyond these nothing more is stopped in this pass */
	struct ws_victim {
		double cost;
		size_t at; /* its place in first fit's order */
		struct ws_machine *m;
	} * victims;
	int lowest; /* rank of what runs */
	/* of the last job for which nothing could be stopped; nothing can for one that asks more */
	bool vain;
	int vain_rank;
	double vain_cpus, vain_gpus, vain_mem;
	bool vain_spot;
	uint32_t vain_types, vain_zones;
};

/*
 * What stopping a task loses. Of a gang all stop, wherever they are: if they save, that is the time
 * until they run again, at most the work since the last checkpoint, and more each time.
 */
static double ws_stop_costs(const struct ws_core *c, const struct ws_attempt *s)
{
	const struct ws_spec *o = &s->job->spec;
	double t = c->now - s->planned_at + 1;

	if (o->gang && o->checkpoint_s > 0)
		t = o->checkpoint_s + o->save_s + c->set->gang_peer_s;
	if (o->gang)
		t *= s->job->attempt_count * (1 + s->job->gang_stops);
	return t * o->cpus * (s->job->guaranteed ? 4 : 1);
}

/* Makes room for one task on a machine; what that would lose, or below 0 if it can't be. */
static double ws_preempt_on(struct ws_core *c, struct ws_job *j, struct ws_machine *m, bool act)
{
	double cpus = m->virt_cpus, gpus = m->virt_gpus, mem = m->virt_mem, cost = 0;

	if (ws_subsystems_hold(c, WS_ORDER_PREEMPT, m->zi))
		return -1;
	c->pass++;
	while (cpus + 1e-9 < j->spec.cpus || gpus + 1e-9 < j->spec.gpus ||
	       mem + 1e-9 < j->spec.mem) {
		struct ws_attempt *v = NULL;
		double least = 0;

		for (struct ws_attempt *s = m->attempts; s; s = s->next) {
			c->steps++;
			if (s->pass == c->pass || !ws_may_preempt(c, j, s))
				continue;
			double lost = ws_stop_costs(c, s);

			if (!v || lost < least) {
				v = s;
				least = lost;
			}
		}
		if (!v)
			return -1;
		cost += least;
		for (struct ws_attempt *s = m->attempts; s; s = s->next) {
			if (s != v && (!v->job->spec.gang || s->job != v->job || s->stop ||
				       s->orphan || s->state == WS_ATTEMPT_GONE))
				continue;
			s->pass = c->pass;
			cpus += s->job->spec.cpus;
			gpus += s->job->spec.gpus;
			mem += s->job->spec.mem;
			if (act)
				ws_virt_give(s->job, m);
		}
		if (act)
			ws_task_stop(
			    c, v, j->guaranteed ? "room for a guarantee" : "room for production");
	}
	return cost;
}

static int ws_victim_cmp(const void *pa, const void *pb)
{
	const struct ws_victim *a = pa, *b = pb;

	if (a->cost != b->cost)
		return a->cost < b->cost ? -1 : 1;
	return a->at < b->at ? -1 : a->at > b->at;
}

/*
 * Stops what loses least to make room on each machine; the number of tasks with room to come. For a
 * gang nothing is stopped unless that makes room for all that it lacks.
 */
static uint32_t ws_preempt(struct ws_pass *p, struct ws_job *j, uint32_t want, uint32_t zones,
			   bool cached)
{
	struct ws_core *c = p->c;
	uint32_t got = 0;
	size_t n = 0;

	if (c->steps > p->steps_end || ws_rank(j) <= p->lowest ||
	    !(j->guaranteed || j->prompt || j->spec.tier == WS_PRODUCTION))
		return 0;
	if (p->vain && !j->takes_avoided && ws_rank(j) <= p->vain_rank &&
	    j->spec.cpus >= p->vain_cpus && j->spec.gpus >= p->vain_gpus &&
	    j->spec.mem >= p->vain_mem && (!j->spec.spot || p->vain_spot) &&
	    !(j->fits & ~p->vain_types) && !(zones & ~p->vain_zones))
		return 0;
	/* the cheapest of some, looked for from another machine on each time */
	for (size_t k = 0, from = p->n > WS_VICTIMS ? c->pass : 0;
	     k < p->n && n < 2 * (size_t)want + WS_VICTIMS && c->steps <= p->steps_end; k++) {
		struct ws_machine *m = p->ms[(k + from) % p->n];
		double cost;

		c->steps++;
		if (!m->attempt_count || !ws_kind_ok(j, m) || m->zi < 0 || !(zones >> m->zi & 1) ||
		    (cached && !ws_cached(m, j->image)))
			continue;
		cost = ws_preempt_on(c, j, m, false);
		if (cost >= 0)
			p->victims[n++] = (struct ws_victim){cost, k, m};
	}
	if (!n && !cached && c->steps <= p->steps_end) {
		p->vain = true;
		p->vain_rank = ws_rank(j);
		p->vain_cpus = j->spec.cpus;
		p->vain_gpus = j->spec.gpus;
		p->vain_mem = j->spec.mem;
		p->vain_spot = j->spec.spot;
		p->vain_types = j->fits;
		p->vain_zones = zones;
	}
	if (j->spec.gang && n < want)
		return 0;
	qsort(p->victims, n, sizeof(*p->victims), ws_victim_cmp);
	for (size_t i = 0; i < n && got < want; i++) {
		struct ws_machine *m = p->victims[i].m;

		if (m->stop_cpus <= 0 && m->stop_mem <= 0 && p->nending < p->n)
			p->ending[p->nending++] = m;
		ws_preempt_on(c, j, m, true);
		/* what is stopped often leaves room for more than one */
		for (uint32_t fit = ws_fit(j, m, want - got, false); fit; fit--) {
			ws_virt_take(j, m);
			got++;
		}
		ws_fleet_push(c, m);
	}
	return got;
}

/* A replica is down while its new machine fetches the image: two report periods at most. */
static bool ws_moves_fast(const struct ws_core *c, const struct ws_machine *to,
			  const struct ws_job *j)
{
	return ws_cached(to, j->image) ||
	       j->spec.image_gb <= to->type->fetch_gb_s * 2 * c->set->report_s;
}

/*
 * With nothing waiting, a rental that holds replicas alone is emptied onto owned machines with
 * room, a replica at a time: the rental would be paid for as long as the service runs.
 */
static void ws_consolidate(struct ws_core *c, struct ws_machine **ms, size_t n)
{
	if (c->now < c->move_next || c->now - c->elected_at < c->set->lease_s)
		return;
	c->move_next = c->now + c->set->report_s;
	for (size_t i = n; i-- > 0;) {
		struct ws_machine *m = ms[i];
		struct ws_attempt *first = NULL, *s;
		bool all = m->attempt_count > 0;

		if (m->owned)
			break; /* owned ones come first in the order */
		for (s = m->attempts; s && all; s = s->next) {
			size_t k;

			if (s->state == WS_ATTEMPT_GONE)
				continue;
			all = s->job && s->job->spec.service && !s->stop && !s->orphan &&
			      s->at == WS_TASK_RUNNING && s->running_at > 0 &&
			      c->now - s->running_at > WS_START_COUNTS_S;
			if (!all)
				break;
			if (m->zi >= 0)
				s->job->zone_n[m->zi]--; /* as if it were gone */
			for (k = 0; k < n && ms[k]->owned; k++)
				if (ws_kind_ok(s->job, ms[k]) && ws_room(s->job, ms[k]) &&
				    ws_virt_room(s->job, ms[k]) &&
				    ws_zone_ok(c, s->job, ms[k]->zi) &&
				    ws_moves_fast(c, ms[k], s->job))
					break;
			if (m->zi >= 0)
				s->job->zone_n[m->zi]++;
			all = k < n && ms[k]->owned;
			if (all)
				ws_virt_take(s->job, ms[k]);
			first = s;
		}
		if (!all || !first)
			continue;
		ws_task_stop(c, first, "moved so that its rental can go back");
		ws_fleet_push(c, m);
		return;
	}
}

/* Once a lease for each job, so that operators can see what it waits for. */
static bool ws_why_waits(struct ws_core *c, struct ws_job *j, const char *why)
{
	if (c->now - j->wait_logged <= c->set->lease_s)
		return false;
	j->wait_logged = c->now;
	ws_log(c, WS_LOG_INFO, "job %s waits: %s", j->spec.id, why);
	return true;
}

/*
 * Half of what is promised, to work within its guarantee or to its class if that is less, once the
 * image's fetch is taken off.
 */
static double ws_patience(const struct ws_core *c, const struct ws_job *j, double within)
{
	double bound = ws_bound(c);

	if (within > 0 && within < bound)
		bound = within;
	return fmax(0, bound - ws_fetch_s(c, j)) / 2;
}

static uint32_t ws_next_waiting(struct ws_job *j)
{
	uint32_t t = j->scan;

	while (t < j->spec.tasks && (j->tasks[t].done || j->tasks[t].attempts))
		t++;
	j->scan = t;
	return t;
}

/* Plans up to 'most' tasks of a job on a machine; how many. */
static uint32_t ws_place_on(struct ws_core *c, struct ws_job *j, struct ws_machine *m,
			    uint32_t most, uint64_t attempt, size_t *room)
{
	uint32_t n = 0;

	for (uint32_t fit = ws_fit(j, m, most, true); n < fit && ws_zone_ok(c, j, m->zi); n++) {
		uint32_t t = ws_next_waiting(j);
		struct ws_attempt *s;
		size_t size;

		if (t == j->spec.tasks)
			break;
		s = ws_attempt_add(c, m, j->spec.id, t, attempt);
		size = ws_record_assign_size(c, s->jprev != s ? s->jprev : NULL, s);
		if (size > *room) { /* the record holds no more: in slices, then */
			ws_attempt_count(c, s, -1);
			ws_attempt_free(s);
			*room = 0;
			break;
		}
		*room -= size;
		s->aged = j->aged;
		ws_virt_take(j, m);
		c->steps++;
		ws_log(c, WS_LOG_DEBUG, "place %s/%u attempt %llu on %s", j->spec.id, t,
		       (unsigned long long)attempt, m->name);
	}
	return n;
}

/* Bytes left for attempts in a job's record: three quarters of what its description leaves. */
static size_t ws_record_room(const struct ws_core *c, const struct ws_job *j)
{
	size_t names = strlen(j->spec.image) + strlen(j->spec.team) + strlen(j->spec.job_class);
	double room =
	    c->value_most - 640 - (double)names - WS_NAME_MAX / 4.0 * (double)j->spec.ntypes;
	double used = 0;
	const struct ws_attempt *s, *before = NULL;

	/* a gang's tasks are done together, in one range */
	room = j->spec.gang ? room - 64 : room * 3 / 4;
	DL_FOREACH2 (j->attempts, s, jnext)
		if (s->state != WS_ATTEMPT_GONE && !s->orphan) {
			used += (double)ws_record_assign_size(c, before, s);
			before = s;
		}
	return room > used ? (size_t)(room - used) : 0;
}

/* How many of a job's waiting tasks its team's limit leaves room for, less what gangs hold of it.
 */
static uint32_t ws_team_fits(const struct ws_job *j)
{
	const struct ws_team *t = j->team;
	const struct ws_spec *s = &j->spec;
	double most = j->waiting;

	if (s->cpus > 0)
		most = fmin(
		    most, floor((t->set->cpus_max + 1e-9 - t->used_cpus - t->held_cpus) / s->cpus));
	if (s->gpus > 0)
		most = fmin(
		    most, floor((t->set->gpus_max + 1e-9 - t->used_gpus - t->held_gpus) / s->gpus));
	return most > 0 ? (uint32_t)most : 0;
}

/* A number for an attempt: none is used twice. */
static uint64_t ws_attempt_number_new(struct ws_core *c)
{
	return ((c->epoch >> WS_EPOCH_SHIFT) << WS_ATTEMPT_SHIFT) + ++c->attempt_seq;
}

/* Machines that a gang may be on: one that is silent would keep the whole waiting. */
static bool ws_gang_ok(const struct ws_core *c, const struct ws_job *j, const struct ws_machine *m,
		       uint32_t zones)
{
	return ws_kind_ok(j, m) && m->zi >= 0 && (zones >> m->zi & 1) && !ws_overdue(c, m->heard);
}

static int ws_gang_cmp(const void *pa, const void *pb)
{
	const struct ws_machine *a = *(struct ws_machine *const *)pa,
				*b = *(struct ws_machine *const *)pb;

	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return strcmp(a->name, b->name);
}

/* Fetches of other images under way on a machine, up to 9: they share its rate. */
static int ws_fetching(const struct ws_machine *m, int image)
{
	int n = 0, last = image;

	for (const struct ws_attempt *s = m->attempts; s && n < 9; s = s->next)
		if (s->job && s->state != WS_ATTEMPT_GONE && s->at == WS_TASK_FETCHING &&
		    s->job->image != last && s->job->image != image &&
		    !ws_cached(m, s->job->image)) {
			last = s->job->image;
			n++;
		}
	return n;
}

/*
 * Plans what a gang lacks, all of it or nothing: where the image is first, or few others are
 * fetched, then where most of it fits on one machine, since it starts with its last fetch and ends
 * with its first loss; on one that failed a task of late only if there is no other.
 */
static bool ws_gang_put(struct ws_pass *p, struct ws_job *j, uint32_t zones, uint64_t attempt)
{
	struct ws_core *c = p->c;
	uint32_t want = j->waiting;
	size_t n = 0, room = ws_record_room(c, j);
	struct ws_attempt *s, *sn;

	for (size_t i = 0; i < p->n; i++) {
		struct ws_machine *m = p->ms[i];
		uint32_t fit;

		if (!ws_virt_room(j, m) || !ws_gang_ok(c, j, m, zones) ||
		    !(fit = ws_fit(j, m, want, true)))
			continue;
		m->rank = (ws_cached(m, j->image) ? 0 : 2000 * (1 + ws_fetching(m, j->image))) +
			  (j->prompt || m->owned ? 0 : 1000) +
			  (m->consecutive_failures ? 50000 : 0) - (int)(fit < 999 ? fit : 999);
		p->fit[n++] = m;
	}
	c->steps += n;
	qsort(p->fit, n, sizeof(*p->fit), ws_gang_cmp);
	for (size_t i = 0; i < n && want && room; i++)
		want -= ws_place_on(c, j, p->fit[i], want, attempt, &room);
	if (!want) {
		j->placed_at = c->now;
		j->unmet_since = j->gang_broke = j->gang_hold = 0;
		ws_job_dirty(c, j, true);
		return true;
	}
	if (!room)
		ws_why_waits(c, j, "its record can't name so many machines");
	DL_FOREACH_SAFE2 (j->attempts, s, sn, jnext)
		if (s->state == WS_ATTEMPT_PLANNED && s->planned_at == c->now && !s->writing) {
			ws_virt_give(j, s->machine);
			ws_attempt_count(c, s, -1);
			ws_attempt_free(s);
		}
	return false;
}

/* The zones in which a gang gathers room: one, if its tasks must share it, and that for long. */
static uint32_t ws_gang_zones(struct ws_pass *p, struct ws_job *j, uint32_t zones,
			      const uint32_t *later)
{
	uint32_t best = 0, want = j->waiting;
	int at = -1;

	if (!j->spec.one_zone)
		return zones;
	for (int z = 0; z < p->c->nzones; z++) {
		uint32_t score;

		if (!(zones >> z & 1))
			continue;
		score = 1 + 2 * (later[z] < want ? later[z] : want) +
			(ws_rentable(p->c, j, z) ? 2 * want : 0) +
			(j->gang_zone == z + 1 ? want : 0);
		if (score > best) {
			best = score;
			at = z;
		}
	}
	if (at < 0)
		return 0;
	j->gang_zone = at + 1;
	return 1u << at;
}

/* Whether room that is not yet enough for a gang is kept for it: half of the time, and when it
 * ages. */
static bool ws_gang_holds(const struct ws_core *c, struct ws_job *j)
{
	double span = c->set->gang_wait_s;

	if (!j->gang_hold || c->now - j->gang_hold >= 2 * span || (j->aged && !j->gang_aged))
		j->gang_hold = c->now;
	j->gang_aged = j->aged;
	return c->now - j->gang_hold < span;
}

/* Others' work ends all the time: it is stopped only when waiting for that takes too long. */
static bool ws_may_stop_others(const struct ws_core *c, const struct ws_job *j, double within)
{
	double since = j->unmet_since > 0 ? j->unmet_since : c->now;

	return j->spec.tier == WS_PRODUCTION || c->now - since >= ws_patience(c, j, within);
}

/* Room for a gang, by zone, in tasks. */
struct ws_gang_room {
	uint32_t now[WS_MAX_ZONES];   /* free */
	uint32_t later[WS_MAX_ZONES]; /* free, or told to end */
	uint32_t have[WS_MAX_ZONES];  /* free, where its image is */
	uint32_t put;		      /* zones in which it can be placed at once; 0: none */
};

static void ws_gang_count_room(struct ws_pass *p, struct ws_job *j, uint32_t zones,
			       struct ws_gang_room *room)
{
	uint32_t want = j->waiting;

	for (size_t i = 0; i < p->n; i++) {
		struct ws_machine *m = p->ms[i];
		uint32_t fit;

		if (!ws_virt_room(j, m) || !ws_gang_ok(p->c, j, m, zones))
			continue;
		room->later[m->zi] += ws_fit(j, m, want, false);
		fit = ws_fit(j, m, want, true);
		room->now[m->zi] += fit;
		if (fit && ws_cached(m, j->image))
			room->have[m->zi] += fit;
	}
	p->c->steps += p->n;
}

/* The zones that hold all of a gang now: the one with most of its image, if it must share one. */
static void ws_gang_choose_zones(const struct ws_core *c, const struct ws_job *j, uint32_t zones,
				 struct ws_gang_room *room)
{
	uint32_t want = j->waiting, all = 0;

	for (int z = 0; z < c->nzones; z++) {
		uint32_t part = j->spec.spread ? (j->spec.tasks + 1) / 2 - j->zone_n[z] : want;

		if (!(zones >> z & 1))
			continue;
		room->now[z] = room->now[z] < part ? room->now[z] : part;
		room->later[z] = room->later[z] < part ? room->later[z] : part;
		all += room->now[z];
		if (j->spec.one_zone && room->now[z] >= want &&
		    (!room->put || room->have[z] > room->have[__builtin_ctz(room->put)]))
			room->put = 1u << z;
	}
	if (!j->spec.one_zone && all >= want)
		room->put = zones;
}

/* Keeps what is free for a gang from those that come after it; how many tasks have no room. */
static uint32_t ws_gang_gather(struct ws_pass *p, struct ws_job *j, uint32_t zones, uint32_t want,
			       bool holds)
{
	struct ws_core *c = p->c;

	for (size_t i = 0; i < p->n && want; i++) {
		struct ws_machine *m = p->ms[i];
		uint32_t n;

		if (!ws_virt_room(j, m) || !ws_gang_ok(c, j, m, zones))
			continue;
		n = ws_fit(j, m, want, false);
		want -= n;
		if (!m->attempt_count && n)
			m->held_until = c->now + c->set->report_s;
		while (holds && n--)
			ws_virt_take(j, m);
	}
	return want;
}

/* A gang for which there is not enough room yet: it is gathered, made or rented. */
static void ws_gang_await(struct ws_pass *p, struct ws_job *j, double within, uint32_t zones,
			  const struct ws_gang_room *room, bool holds)
{
	struct ws_core *c = p->c;
	uint32_t want = j->waiting, coming = 0;
	char why[128];

	zones = ws_gang_zones(p, j, zones, room->later);
	for (int z = 0; z < c->nzones; z++)
		coming += zones >> z & 1 ? room->later[z] : 0;
	if (coming < want && !j->spec.spread && ws_may_stop_others(c, j, within))
		want -= ws_preempt(p, j, want - coming, zones, false);
	holds |= coming >= want;
	want = ws_gang_gather(p, j, zones, want, holds);
	if (want)
		ws_rentals_want(c, j, want, zones);
	snprintf(why, sizeof(why),
		 "a gang, room for %u of %u tasks is there or comes, %u to be rented%s",
		 coming < j->waiting ? coming : j->waiting, j->waiting, want,
		 holds ? ", and is held" : "");
	ws_why_waits(c, j, why);
}

/* Its team is at its limit: what it lacks of that is held for it. */
static void ws_gang_at_limit(struct ws_core *c, struct ws_job *j, bool holds)
{
	ws_why_waits(c, j, "its team is at its limit");
	if (!holds)
		return;
	j->team->held_cpus += j->waiting * j->spec.cpus;
	j->team->held_gpus += j->waiting * j->spec.gpus;
}

/*
 * A gang is placed whole. What it lacks is gathered: what is free in its zone, or will be, is kept
 * from those that come after it, for good if it is enough for the whole and else half of the time,
 * so that neither can starve the other; the rest is rented, or made free if all of it can be.
 */
static void ws_place_gang(struct ws_pass *p, struct ws_job *j, double within)
{
	struct ws_core *c = p->c;
	struct ws_gang_room room = {0};
	uint32_t zones = ws_zones_ok(c, j);
	uint64_t attempt = 0;
	double since = 0;
	bool holds;

	if (j->attempt_count && !ws_gang_gathers(j, &attempt, &since)) {
		j->unmet_since = 0; /* it waits for its last attempt to end, not for room */
		return;
	}
	if (!j->unmet_since)
		j->unmet_since = c->now;
	holds = ws_gang_holds(c, j);
	if (ws_team_fits(j) < j->waiting) {
		ws_gang_at_limit(c, j, holds);
		return;
	}
	ws_gang_count_room(p, j, zones, &room);
	ws_gang_choose_zones(c, j, zones, &room);
	if (!attempt)
		attempt = ws_attempt_number_new(c);
	if (room.put && ws_gang_put(p, j, room.put, attempt))
		return;
	if (j->attempt_count) { /* it lost a task before it ran */
		if (c->now - since > c->set->gang_wait_s / 4)
			ws_gang_stop(c, j, 0, "no room for what it lost before it ran");
	} else if (room.put) { /* on too many machines: nothing is held for it */
		ws_rentals_want(c, j, j->waiting, ws_gang_zones(p, j, zones, room.later));
	} else {
		ws_gang_await(p, j, within, zones, &room, holds);
	}
}

/* A machine that is full for any task that waits need not be looked at again in this pass. */
static void ws_open_tidy(struct ws_pass *p)
{
	size_t kept = 0;

	for (size_t i = 0; i < p->nopen; i++) {
		struct ws_machine *m = p->open[i];

		if (fmin(m->virt_cpus, m->type->cpus - m->used_cpus) + 1e-9 >= p->least)
			p->open[kept++] = m;
	}
	p->nopen = kept;
}

/* Of a job whose tasks are being placed in this pass. */
struct ws_placing {
	struct ws_job *job;
	double within;	  /* how soon its class should start by its aim; 0: it has none */
	uint64_t attempt; /* number of what is placed now */
	uint32_t want;	  /* tasks that have no room yet */
	size_t room;	  /* bytes left in its record */
	size_t nfit;	  /* machines with room, in the pass's scratch */
};

/*
 * Machines with room, those preferred first: ranks 0 to 3 by owner and image, no more than needed.
 */
static void ws_find_room(struct ws_pass *p, struct ws_placing *placing)
{
	struct ws_core *c = p->c;
	struct ws_job *j = placing->job;

	ws_open_tidy(p);
	for (size_t i = 0, sure = 0; i < p->nopen && sure < placing->want; i++) {
		struct ws_machine *m = p->open[i];

		c->steps++;
		if (!ws_kind_ok(j, m) || !ws_virt_room(j, m) || !ws_room(j, m) ||
		    !ws_zone_ok(c, j, m->zi))
			continue;
		m->rank = ws_cached(m, j->image) ? 0 : 1;
		if (!j->prompt && !m->owned)
			m->rank += 2;
		if (!m->rank)
			sure += ws_fit(j, m, placing->want, true);
		p->fit[placing->nfit++] = m;
	}
}

/* Whether on each machine with room the fetch takes longer than the class may wait for its start.
 */
static bool ws_fetches_slow(const struct ws_pass *p, const struct ws_placing *placing)
{
	bool slow = placing->nfit > 0;

	for (size_t i = 0; i < placing->nfit && slow; i++) {
		double rate = p->fit[i]->type->fetch_gb_s;

		slow = rate > 0 && placing->job->spec.image_gb / rate > placing->within;
	}
	return slow;
}

/* Places tasks on the machines found, by rank. */
static void ws_take_room(struct ws_pass *p, struct ws_placing *placing)
{
	struct ws_core *c = p->c;
	struct ws_job *j = placing->job;

	for (int rank = 0; rank < 4 && placing->want && placing->room; rank++) {
		if (rank == 1 && j->prompt && j->spec.tier == WS_PRODUCTION &&
		    ws_fetches_slow(p, placing))
			placing->want -= ws_preempt(p, j, placing->want, ws_zones_ok(c, j), true);
		for (size_t i = 0; i < placing->nfit && placing->want && placing->room; i++)
			if (p->fit[i]->rank == rank)
				placing->want -= ws_place_on(c, j, p->fit[i], placing->want,
							     placing->attempt, &placing->room);
	}
}

/* Counts on room that is being made already. */
static void ws_await_room(struct ws_pass *p, struct ws_placing *placing)
{
	struct ws_job *j = placing->job;

	for (size_t i = 0; i < p->nending && placing->want; i++) {
		struct ws_machine *m = p->ending[i];
		uint32_t n;

		p->c->steps++;
		if (!ws_kind_ok(j, m) || !ws_zone_ok(p->c, j, m->zi))
			continue;
		n = ws_fit(j, m, placing->want, false);
		for (uint32_t k = 0; k < n; k++)
			ws_virt_take(j, m);
		placing->want -= n;
	}
}

static void ws_log_unmet(struct ws_core *c, struct ws_job *j, uint32_t tasks)
{
	if (c->now - j->wait_logged <= c->set->lease_s)
		return;
	j->wait_logged = c->now;
	ws_log(c, WS_LOG_INFO, "job %s: %u tasks wait for room (%s%s)", j->spec.id, tasks,
	       j->guaranteed ? "guaranteed, " : "",
	       j->spec.spot ? "spot allowed" : "ordinary machines only");
}

/* What found no room is waited for, made room for, or rented. */
static void ws_place_unmet(struct ws_pass *p, struct ws_placing *placing)
{
	struct ws_core *c = p->c;
	struct ws_job *j = placing->job;

	ws_await_room(p, placing);
	if (placing->want && ws_may_stop_others(c, j, placing->within))
		placing->want -=
		    ws_preempt(p, j, placing->want, ws_zones_ok(c, j), j->prompt && !j->guaranteed);
	if (!placing->want) {
		j->unmet_since = 0;
		return;
	}
	ws_rentals_want(c, j, placing->want, ws_zones_ok(c, j));
	ws_log_unmet(c, j, placing->want);
}

static void ws_place_array(struct ws_pass *p, struct ws_placing *placing)
{
	struct ws_core *c = p->c;
	struct ws_job *j = placing->job;

	/* no more than the team's limit allows: more machines would not help */
	placing->want = ws_team_fits(j);
	if (placing->want < j->waiting)
		ws_why_waits(c, j, "its team is at its limit");
	if (j->place_most && placing->want > j->place_most)
		placing->want = j->place_most;
	if (!placing->want)
		return;
	placing->room = ws_record_room(c, j);
	placing->attempt = ws_attempt_number_new(c);
	ws_find_room(p, placing);
	ws_take_room(p, placing);
	if (j->waiting < j->waiting_before) {
		j->placed_at = c->now;
		ws_job_dirty(c, j, true);
	}
	if (placing->room) /* else as many as can be on record: the rest when these are over */
		ws_place_unmet(p, placing);
}

static void ws_place_job(struct ws_pass *p, struct ws_job *j)
{
	struct ws_placing placing = {.job = j, .within = ws_wait_aim(p->c, j->spec.job_class)};

	j->prompt = placing.within > 0;
	if (!j->team)
		return;
	if (j->not_before > p->c->now)
		ws_why_waits(p->c, j, "held back after failures");
	else if (j->spec.gang)
		ws_place_gang(p, j, placing.within);
	else
		ws_place_array(p, &placing);
}

/* All machines in the order of first fit. Names change seldom, so neither does the order. */
static void ws_order(struct ws_core *c)
{
	struct ws_machine *m, *mt;

	if (!c->order_stale)
		return;
	c->norder = 0;
	c->order = realloc(c->order, (HASH_COUNT(c->machines) + 1) * sizeof(*c->order));
	if (!c->order)
		abort();
	HASH_ITER (hh, c->machines, m, mt)
		c->order[c->norder++] = m;
	qsort(c->order, c->norder, sizeof(*c->order), ws_machine_cmp);
	c->name_shared = c->norder ? strlen(c->order[0]->name) - 1 : 0;
	for (size_t i = 1; i < c->norder; i++)
		for (size_t k = 0; k < c->name_shared; k++)
			if (c->order[i]->name[k] != c->order[0]->name[k] ||
			    !c->order[i]->name[k + 1])
				c->name_shared = k;
	c->order_stale = false;
}

/*
 * Room for the lists of one pass, which is taken anew only when the fleet or the jobs have outgrown
 * it: taking and clearing it each time was felt.
 */
static void *ws_pass_memory(struct ws_core *c, size_t machines, size_t jobs)
{
	size_t need = (machines + 1) * (sizeof(struct ws_victim) + 4 * sizeof(void *)) +
		      (jobs + 1) * sizeof(void *);

	if (need > c->pass_cap) {
		free(c->pass_memory);
		c->pass_cap = need + need / 2;
		c->pass_memory = malloc(c->pass_cap);
		if (!c->pass_memory)
			abort();
	}
	return c->pass_memory;
}

/* The zones that a job's attempts may move to, as if those in avoided zones were gone. */
static uint32_t ws_zones_ahead(const struct ws_core *c, const struct ws_job *j)
{
	uint32_t open = ~c->subsystems.zones_avoided, zones = 0;
	uint32_t kept = 0; /* zones in which attempts stay */

	for (int z = 0; z < c->nzones; z++)
		if (j->zone_n[z] && (open >> z & 1))
			kept |= 1u << z;
	for (int z = 0; z < c->nzones; z++) {
		bool ok = (open >> z & 1) && (j->zone < 0 || j->zone == z);

		if (j->spec.one_zone && kept && kept != 1u << z)
			ok = false;
		if (j->spec.spread && j->zone_n[z] >= (j->spec.tasks + 1) / 2)
			ok = false;
		if (ok)
			zones |= 1u << z;
	}
	return zones;
}

/*
 * Keeps room for tasks whose attempts will surely end on machines that went silent together, out of
 * what stays free elsewhere; how many found none. Nothing is placed and nothing is stopped.
 */
static uint32_t ws_room_reserve(struct ws_pass *p, struct ws_job *j, uint32_t zones, uint32_t want)
{
	struct ws_core *c = p->c;

	for (size_t i = p->ahead_from; i < p->n && want && zones; i++) {
		struct ws_machine *m = p->ms[i];
		uint32_t fit;

		c->steps++;
		if (i == p->ahead_from && m->virt_cpus + 1e-9 < p->least_ahead)
			p->ahead_from++;
		if (!ws_kind_ok(j, m) || m->zi < 0 || !(zones >> m->zi & 1))
			continue;
		fit = ws_fit(j, m, want, false);
		if (fit && !m->attempt_count) /* it does not go back as empty meanwhile */
			m->held_until = c->now + c->set->report_s;
		want -= fit;
		while (fit--)
			ws_virt_take(j, m);
	}
	return want;
}

/* Whether a replica may be alive on a machine that is not silent. */
static bool ws_has_replica(const struct ws_core *c, const struct ws_job *j)
{
	const struct ws_attempt *s;

	DL_FOREACH2 (j->attempts, s, jnext)
		if (s->state != WS_ATTEMPT_GONE && !s->stop && !ws_overdue(c, s->machine->heard))
			return true;
	return false;
}

/* Services whose replicas may all be alive still, on silent machines: room for one of each. */
static void ws_first_replicas_ahead(struct ws_pass *p)
{
	struct ws_core *c = p->c;
	struct ws_job *j, *next;

	HASH_ITER (hh, c->jobs, j, next)
		if (j->replicas_apart && j->room_ahead && !j->waiting && j->team &&
		    !ws_job_over(j) && !ws_has_replica(c, j))
			j->room_reserved = 1 - ws_room_reserve(p, j, ws_zones_ahead(c, j), 1);
}

/* Whether a service's first replica goes before other replicas of its rank. */
static bool ws_replicas_apart(const struct ws_core *c, const struct ws_job *j)
{
	return j->replicas_apart || (j->spec.service && j->lost_attempts &&
				     ws_subsystems_hold(c, WS_ORDER_SECOND_REPLICA, -1));
}

/*
 * Places what waits, in order. Of a service with its replicas apart the first is placed in its
 * turn, the others after all else of the same rank.
 */
static void ws_place_jobs(struct ws_pass *p, struct ws_job **jobs, size_t n)
{
	bool reserved = false;

	for (size_t from = 0, to; from < n; from = to) {
		for (to = from; to < n && ws_turn(jobs[to]) == ws_turn(jobs[from]); to++) {
			struct ws_job *j = jobs[to];

			j->waiting_before = j->waiting;
			j->place_later = ws_replicas_apart(p->c, j);
			j->place_most = j->place_later;
			if (!j->place_later || !ws_has_replica(p->c, j))
				ws_place_job(p, j);
			j->place_most = 0;
		}
		for (size_t i = from; i < to; i++) {
			if (!jobs[i]->place_later || !jobs[i]->waiting)
				continue;
			if (!reserved)
				ws_first_replicas_ahead(p);
			reserved = true;
			ws_place_job(p, jobs[i]);
		}
	}
}

/*
 * Attempts of a job on silent machines. A subsystem's figure may be a survey old: meanwhile some
 * may be gone, and wait as tasks already, or be heard again.
 */
static uint32_t ws_silent_attempts(const struct ws_core *c, const struct ws_job *j)
{
	const struct ws_attempt *s;
	uint32_t n = 0;

	DL_FOREACH2 (j->attempts, s, jnext)
		n += s->state != WS_ATTEMPT_GONE && !s->stop && ws_overdue(c, s->machine->heard);
	return n;
}

/* Room ahead, and rentals for what has none. */
static void ws_room_ahead(struct ws_pass *p, struct ws_job *j)
{
	uint32_t zones = ws_zones_ahead(p->c, j);
	uint32_t want = ws_silent_attempts(p->c, j);

	if (want > j->room_ahead)
		want = j->room_ahead;
	want = ws_room_reserve(p, j, zones, want > j->room_reserved ? want - j->room_reserved : 0);
	j->room_reserved = 0;
	if (want && zones)
		ws_rentals_want(p->c, j, want, zones);
}

static void ws_place_ahead(struct ws_pass *p, struct ws_job **jobs)
{
	struct ws_job *j, *next;
	size_t n = 0;

	if (!p->c->subsystems.moves)
		return;
	HASH_ITER (hh, p->c->jobs, j, next)
		if (j->room_ahead && j->team && !ws_job_over(j))
			jobs[n++] = j;
	if (!n)
		return;
	qsort(jobs, n, sizeof(*jobs), ws_want_cmp);
	p->least_ahead = jobs[0]->spec.cpus;
	for (size_t i = 1; i < n; i++)
		p->least_ahead = fmin(p->least_ahead, jobs[i]->spec.cpus);
	for (size_t i = 0; i < n; i++)
		ws_room_ahead(p, jobs[i]);
}

/* Memory and figures of a pass; the list for its jobs. */
static struct ws_job **ws_pass_begin(struct ws_core *c, struct ws_pass *p)
{
	double cpus, gpus;

	ws_order(c);
	p->victims = ws_pass_memory(c, c->norder, HASH_COUNT(c->jobs));
	p->ms = (struct ws_machine **)(p->victims + c->norder);
	p->fit = p->ms + c->norder;
	p->open = p->fit + c->norder;
	p->ending = p->open + c->norder;
	p->least = 1e18;
	p->steps_end = c->steps + WS_PASS_STEPS * (uint64_t)(c->norder + WS_VICTIMS);
	c->place_wanted = false;
	c->place_next = c->now + ws_sweep_every(c) / 2;
	c->pass_at = c->now;
	ws_kept_reserve(c, &cpus, &gpus);
	for (size_t i = 0; i < c->set->nteams; i++) {
		c->teams[i].held_cpus = cpus;
		c->teams[i].held_gpus = gpus;
	}
	return (struct ws_job **)(p->ending + c->norder);
}

/* Whether a subsystem holds first starts, and the job's are such. */
static bool ws_first_start_held(const struct ws_core *c, const struct ws_job *j)
{
	return ws_subsystems_hold(c, WS_ORDER_FIRST_START, -1) && j->phase == WS_QUEUED &&
	       !j->attempt_count && !j->ndone;
}

/* Brings a job up to date for a pass; whether tasks of it wait. */
static bool ws_pass_job(struct ws_pass *p, struct ws_job *j)
{
	struct ws_core *c = p->c;

	if (j->spec.gang && j->attempt_count)
		ws_gang_tend(c, j);
	ws_job_fits(c, j); /* also of those that only run: they may have to move */
	if (j->attempt_count && ws_rank(j) < p->lowest)
		p->lowest = ws_rank(j);
	j->aged = j->waiting && ws_aged(c, j);
	j->takes_avoided = ws_takes_avoided(c, j);
	if (ws_first_start_held(c, j))
		return false;
	if (j->waiting)
		p->least = fmin(p->least, j->spec.cpus);
	else
		j->unmet_since = 0;
	return j->waiting > 0;
}

/* The live jobs with tasks that wait, in the order in which they are served. */
static size_t ws_pass_jobs(struct ws_pass *p, struct ws_job **jobs)
{
	struct ws_core *c = p->c;
	struct ws_job *j, *next;
	size_t n = 0, waiting = 0;

	HASH_ITER (hh, c->jobs, j, next)
		if (!ws_job_over(j))
			jobs[n++] = j;
	ws_mark_guaranteed(c, jobs, n);
	ws_subsystems_pass(c);
	for (size_t i = 0; i < n; i++)
		if (ws_pass_job(p, jobs[i]))
			jobs[waiting++] = jobs[i];
	qsort(jobs, waiting, sizeof(*jobs), ws_want_cmp);
	return waiting;
}

/* The machines that can be used, and what each has left. */
static void ws_pass_machines(struct ws_pass *p)
{
	struct ws_core *c = p->c;

	for (size_t i = 0; i < c->norder; i++) {
		struct ws_machine *m = c->order[i];

		if (!m->type)
			ws_machine_place(c, m, m->type_name, m->zone, m->spot);
		if (!ws_machine_usable(c, m))
			continue;
		p->ms[p->n++] = m;
		m->avoided = ws_subsystems_avoided(c, m);
		m->virt_cpus = m->type->cpus - m->used_cpus + m->stop_cpus;
		m->virt_gpus = m->type->gpus - m->used_gpus + m->stop_gpus;
		m->virt_mem = m->type->mem - m->used_mem + m->stop_mem;
		p->open[p->nopen++] = m;
		if (m->stop_cpus > 0 || m->stop_mem > 0)
			p->ending[p->nending++] = m;
	}
}

void ws_place(struct ws_core *c)
{
	struct ws_pass p = {.c = c, .lowest = 1000};
	uint64_t began = c->steps;
	struct ws_job **jobs = ws_pass_begin(c, &p);
	size_t waiting = ws_pass_jobs(&p, jobs);

	ws_pass_machines(&p);
	ws_place_jobs(&p, jobs, waiting);
	ws_place_ahead(&p, jobs);
	ws_rentals_plan(c);
	c->steps_most = c->steps - began > c->steps_most ? c->steps - began : c->steps_most;
	if (!waiting)
		ws_consolidate(c, p.ms, p.n);
}
