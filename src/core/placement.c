/*
 * Placement: first fit, owned machines first, an image already there preferred among equals.
 * Production goes first, then work within its team's guarantee, then by tier, deadline and age.
 */
#include "internal.h"

struct ws_want {
	struct ws_job *job;
	uint32_t waiting;
};

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

static int ws_want_cmp(const void *pa, const void *pb)
{
	const struct ws_job *a = ((const struct ws_want *)pa)->job,
			    *b = ((const struct ws_want *)pb)->job;

	if (ws_rank(a) != ws_rank(b))
		return ws_rank(a) > ws_rank(b) ? -1 : 1;
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
		struct ws_team *t = ws_team_of(c, j->spec.team);

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

struct ws_zone_use {
	char zone[WS_NAME_MAX];
	uint32_t n;
};

/* Where siblings that may be alive are, counted afresh for each job. */
static size_t ws_siblings(struct ws_core *c, const struct ws_job *j, struct ws_zone_use *z)
{
	size_t n = 0;
	struct ws_machine *m, *t;

	HASH_ITER (hh, c->machines, m, t)
		for (struct ws_slot *s = m->slots; s; s = s->next) {
			size_t i;

			if (s->job != j || s->state == WS_SLOT_LEAVING)
				continue;
			for (i = 0; i < n && strcmp(z[i].zone, m->zone); i++)
				;
			if (i == n) {
				if (n == WS_MAX_ZONES)
					continue;
				snprintf(z[n].zone, WS_NAME_MAX, "%s", m->zone);
				z[n++].n = 0;
			}
			z[i].n++;
		}
	return n;
}

static bool ws_zone_ok(const struct ws_job *j, const char *zone, const struct ws_zone_use *z,
		       size_t nz)
{
	if (j->spec.zone[0] && strcmp(j->spec.zone, zone))
		return false;
	for (size_t i = 0; i < nz; i++) {
		bool same = !strcmp(z[i].zone, zone);

		if (j->spec.one_zone && !same && z[i].n)
			return false;
		if (j->spec.spread && same && z[i].n >= (j->spec.tasks + 1) / 2)
			return false;
	}
	return true;
}

static bool ws_kind_ok(const struct ws_job *j, const struct ws_machine *m)
{
	return m->type && ws_type_fits(m->type, &j->spec) && (!m->spot || j->spec.spot);
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

static bool ws_cached(const struct ws_machine *m, const char *image)
{
	for (int i = 0; i < m->ncache; i++)
		if (!strcmp(m->cache[i], image))
			return true;
	return false;
}

/* Attempts a plan record can hold. */
static uint32_t ws_plan_room(const struct ws_core *c)
{
	return (uint32_t)((c->set->value_kb * 1024 - 320 - 36 * WS_CACHE_KEPT) /
			  (WS_ID_MAX / 2 + 24));
}

static bool ws_may_preempt(const struct ws_job *j, const struct ws_slot *v)
{
	if (!v->job || v->stop || v->orphan || v->state == WS_SLOT_LEAVING)
		return false;
	const struct ws_job *o = v->job;

	if (ws_rank(j) <= ws_rank(o) ||
	    !(j->guaranteed || j->prompt || j->spec.tier == WS_PRODUCTION))
		return false;
	return o->spec.tier < j->spec.tier ||
	       (j->guaranteed && !o->guaranteed && strcmp(o->spec.team, j->spec.team));
}

/* Stops what loses least to make room on one machine; true if room will come. */
static bool ws_preempt(struct ws_core *c, struct ws_job *j, struct ws_machine **ms, size_t n,
		       const struct ws_zone_use *z, size_t nz, bool cached)
{
	struct ws_machine *best = NULL;
	double best_cost = 0;

	for (int act = 0; act < 2; act++) {
		for (size_t i = 0; i < n; i++) {
			struct ws_machine *m = ms[i];
			double cpus = m->virt_cpus, gpus = m->virt_gpus, mem = m->virt_mem,
			       cost = 0;

			if (act && m != best)
				continue;
			if (!ws_kind_ok(j, m) || !ws_zone_ok(j, m->zone, z, nz) ||
			    (cached && !ws_cached(m, j->spec.image)))
				continue;
			c->pass++;
			while (cpus + 1e-9 < j->spec.cpus || gpus + 1e-9 < j->spec.gpus ||
			       mem + 1e-9 < j->spec.mem) {
				struct ws_slot *v = NULL;
				double least = 0;

				for (struct ws_slot *s = m->slots; s; s = s->next) {
					if (s->pass == c->pass || !ws_may_preempt(j, s))
						continue;
					double lost =
					    (c->now - s->planned_at + 1) * s->job->spec.cpus;
					lost *= s->job->guaranteed ? 4 : 1;
					if (!v || lost < least) {
						v = s;
						least = lost;
					}
				}
				if (!v)
					break;
				v->pass = c->pass;
				cpus += v->job->spec.cpus;
				gpus += v->job->spec.gpus;
				mem += v->job->spec.mem;
				cost += least;
				if (act) {
					m->virt_cpus += v->job->spec.cpus;
					m->virt_gpus += v->job->spec.gpus;
					m->virt_mem += v->job->spec.mem;
					ws_slot_stop(c, v, v->job->spec.save_s,
						     j->guaranteed ? "room for a guarantee"
								   : "room for production");
				}
			}
			if (cpus + 1e-9 < j->spec.cpus || gpus + 1e-9 < j->spec.gpus ||
			    mem + 1e-9 < j->spec.mem)
				continue;
			if (!act && (!best || cost < best_cost)) {
				best = m;
				best_cost = cost;
			}
		}
		if (!best)
			return false;
	}
	ws_virt_take(j, best);
	ws_fleet_push(c, best);
	return true;
}

/*
 * A gang starts whole or not at all: tried first on what the machines would have left. For a gang
 * that must share a zone, the zone where it fits is handed back.
 */
static bool ws_gang_fits(struct ws_core *c, struct ws_job *j, uint32_t waiting,
			 struct ws_machine **ms, size_t n, const struct ws_zone_use *z, size_t nz,
			 const char **zone)
{
	double(*keep)[3] = calloc(n + 1, sizeof(*keep));
	size_t rounds = j->spec.one_zone ? c->set->nzones : 1;
	bool fits = false;

	if (!keep)
		abort();
	*zone = NULL;
	for (size_t r = 0; r < rounds && !fits; r++) {
		uint32_t placed = 0;

		for (size_t i = 0; i < n; i++) {
			keep[i][0] = ms[i]->virt_cpus;
			keep[i][1] = ms[i]->virt_gpus;
			keep[i][2] = ms[i]->virt_mem;
		}
		for (size_t i = 0; i < n && placed < waiting; i++) {
			double used = ms[i]->used_cpus, gpus = ms[i]->used_gpus,
			       mem = ms[i]->used_mem;

			if (!ws_kind_ok(j, ms[i]) || !ws_zone_ok(j, ms[i]->zone, z, nz) ||
			    (j->spec.one_zone && strcmp(ms[i]->zone, c->set->zones[r])))
				continue;
			while (placed < waiting && ws_virt_room(j, ms[i]) && ws_room(j, ms[i])) {
				ws_virt_take(j, ms[i]);
				ms[i]->used_cpus += j->spec.cpus;
				ms[i]->used_gpus += j->spec.gpus;
				ms[i]->used_mem += j->spec.mem;
				placed++;
			}
			ms[i]->used_cpus = used;
			ms[i]->used_gpus = gpus;
			ms[i]->used_mem = mem;
		}
		for (size_t i = 0; i < n; i++) {
			ms[i]->virt_cpus = keep[i][0];
			ms[i]->virt_gpus = keep[i][1];
			ms[i]->virt_mem = keep[i][2];
		}
		if (placed == waiting) {
			fits = true;
			*zone = j->spec.one_zone ? c->set->zones[r] : NULL;
		}
	}
	free(keep);
	return fits;
}

/* The protocol counts a start only if the task is not stopped by command for this long. */
#define WS_START_COUNTS_S 30

/* A replica is down while its new machine fetches the image: two report periods at most. */
static bool ws_moves_fast(const struct ws_core *c, const struct ws_machine *to,
			  const struct ws_job *j)
{
	return ws_cached(to, j->spec.image) ||
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
		struct ws_slot *first = NULL, *s;
		bool all = m->nslots > 0;

		if (m->owned)
			break; /* owned ones come first in the order */
		for (s = m->slots; s && all; s = s->next) {
			struct ws_zone_use z[WS_MAX_ZONES];
			size_t nz, k;

			if (s->state == WS_SLOT_LEAVING)
				continue;
			all = s->job && s->job->spec.service && !s->stop && !s->orphan &&
			      s->at == WS_TASK_RUNNING && s->running_at > 0 &&
			      c->now - s->running_at > WS_START_COUNTS_S;
			if (!all)
				break;
			nz = ws_siblings(c, s->job, z);
			for (k = 0; k < nz; k++)
				if (!strcmp(z[k].zone, m->zone))
					z[k].n--; /* itself */
			for (k = 0; k < n && ms[k]->owned; k++)
				if (ws_kind_ok(s->job, ms[k]) && ws_room(s->job, ms[k]) &&
				    ws_virt_room(s->job, ms[k]) &&
				    ws_zone_ok(s->job, ms[k]->zone, z, nz) &&
				    ws_moves_fast(c, ms[k], s->job))
					break;
			all = k < n && ms[k]->owned;
			if (all)
				ws_virt_take(s->job, ms[k]);
			first = s;
		}
		if (!all || !first)
			continue;
		ws_slot_stop(c, first, first->job->spec.save_s,
			     "moved so that its rental can go back");
		ws_fleet_push(c, m);
		return;
	}
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

/* Once a lease for each job, so that operators can see what it waits for. */
static bool ws_why_waits(struct ws_core *c, struct ws_job *j, const char *why)
{
	if (c->now - j->wait_logged <= c->set->lease_s)
		return false;
	j->wait_logged = c->now;
	ws_log(c, WS_LOG_INFO, "job %s waits: %s", j->spec.id, why);
	return true;
}

void ws_place(struct ws_core *c)
{
	size_t nj = HASH_COUNT(c->jobs), nm = HASH_COUNT(c->machines), n = 0, nw = 0, nu = 0;
	struct ws_job **all = calloc(nj + 1, sizeof(*all)), *j, *jt;
	struct ws_want *wants = calloc(nj + 1, sizeof(*wants));
	struct ws_machine **ms = calloc(nm + 1, sizeof(*ms)), *m, *mt;

	if (!all || !wants || !ms)
		abort();
	c->place_wanted = false;
	c->place_next = c->now + 1 / c->set->state_write_rps;
	HASH_ITER (hh, c->jobs, j, jt)
		if (!ws_job_over(j))
			all[n++] = j;
	ws_mark_guaranteed(c, all, n);
	for (size_t i = 0; i < n; i++) {
		uint32_t waiting = 0;

		j = all[i];
		for (uint32_t t = 0; t < j->spec.tasks; t++)
			waiting += !j->tasks[t].done && !j->tasks[t].slots;
		if (waiting)
			wants[nw++] = (struct ws_want){j, waiting};
	}
	qsort(wants, nw, sizeof(*wants), ws_want_cmp);
	HASH_ITER (hh, c->machines, m, mt) {
		if (!m->type)
			m->type = ws_type_find(c, m->type_name);
		if (!ws_machine_usable(c, m))
			continue;
		ms[nu++] = m;
		m->virt_cpus = m->type->cpus;
		m->virt_gpus = m->type->gpus;
		m->virt_mem = m->type->mem;
		for (struct ws_slot *s = m->slots; s; s = s->next)
			if (s->job && s->state != WS_SLOT_LEAVING && !s->stop)
				ws_virt_take(s->job, m);
	}
	qsort(ms, nu, sizeof(*ms), ws_machine_cmp);
	for (size_t w = 0; w < nw; w++) {
		struct ws_zone_use z[WS_MAX_ZONES];
		size_t nz;
		uint32_t lack = 0;
		struct ws_team *team;
		bool preempt = true;

		j = wants[w].job;
		team = ws_team_of(c, j->spec.team);
		if (!team)
			continue;
		if (j->not_before > c->now) {
			ws_why_waits(c, j, "held back after failures");
			continue;
		}
		nz = ws_siblings(c, j, z);
		double cpus = team->used_cpus, gpus = team->used_gpus;
		const char *zone = NULL;
		uint32_t shared = 0;
		double prompt = ws_wait_aim(c, j->spec.job_class);

		j->prompt = prompt > 0;

		if (j->spec.gang && !ws_gang_fits(c, j, wants[w].waiting, ms, nu, z, nz, &zone)) {
			uint32_t zones = 0;

			for (size_t i = 0; i < c->set->nzones; i++)
				if (ws_zone_ok(j, c->set->zones[i], z, nz))
					zones |= 1u << i;
			ws_rentals_want(c, j, wants[w].waiting, zones);
			continue;
		}
		for (uint32_t t = 0; t < j->spec.tasks; t++) {
			struct ws_machine *to = NULL;
			bool cached = false;

			if (j->tasks[t].done || j->tasks[t].slots)
				continue;
			if (cpus + j->spec.cpus > team->set->cpus_max + 1e-9 ||
			    gpus + j->spec.gpus > team->set->gpus_max + 1e-9) {
				/* more machines would not help */
				ws_why_waits(c, j, "its team is at its limit");
				break;
			}
			cpus += j->spec.cpus;
			gpus += j->spec.gpus;
			for (size_t i = 0; i < nu; i++) {
				m = ms[i];
				if (zone && strcmp(zone, m->zone))
					continue;
				if (!ws_kind_ok(j, m) || !ws_room(j, m) || !ws_virt_room(j, m) ||
				    !ws_zone_ok(j, m->zone, z, nz) || m->nslots >= ws_plan_room(c))
					continue;
				bool here = ws_cached(m, j->spec.image);

				if (!to ||
				    (here && !cached && (prompt > 0 || m->owned == to->owned))) {
					to = m;
					cached = here;
				}
				if (cached)
					break;
			}
			/* a fetch would take longer than the class may wait for its start */
			if (to && !cached && prompt > 0 && j->spec.tier == WS_PRODUCTION &&
			    to->type->fetch_gb_s > 0 &&
			    j->spec.image_gb / to->type->fetch_gb_s > prompt &&
			    ws_preempt(c, j, ms, nu, z, nz, true))
				continue;
			if (to) {
				struct ws_slot *s;

				/* a gang's tasks know each other by the attempt they share */
				if (!j->spec.gang || !shared++)
					c->attempt_seq++;
				s = ws_slot_add(c, to, j->spec.id, t,
						((c->epoch >> WS_EPOCH_SHIFT) << 24) +
						    c->attempt_seq);
				ws_virt_take(j, to);
				ws_machine_dirty(c, to);
				nz = ws_siblings(c, j, z);
				ws_log(c, WS_LOG_DEBUG, "place %s/%u attempt %llu on %s",
				       j->spec.id, t, (unsigned long long)s->attempt, to->name);
				continue;
			}
			/* room that is being made already, or can be made */
			for (size_t i = 0; i < nu && !to; i++)
				if (ws_kind_ok(j, ms[i]) && ws_virt_room(j, ms[i]) &&
				    ws_zone_ok(j, ms[i]->zone, z, nz))
					to = ms[i];
			if (to) {
				ws_virt_take(j, to);
				continue;
			}
			if (preempt && (preempt = ws_preempt(c, j, ms, nu, z, nz,
							     j->prompt && !j->guaranteed)))
				continue;
			lack++;
		}
		if (lack) {
			uint32_t zones = 0;

			for (size_t i = 0; i < c->set->nzones; i++)
				if (ws_zone_ok(j, c->set->zones[i], z, nz))
					zones |= 1u << i;
			ws_rentals_want(c, j, lack, zones);
			if (c->now - j->wait_logged > c->set->lease_s) {
				j->wait_logged = c->now;
				ws_log(c, WS_LOG_INFO, "job %s: %u tasks wait for room (%s%s)",
				       j->spec.id, lack, j->guaranteed ? "guaranteed, " : "",
				       j->spec.spot ? "spot allowed" : "ordinary machines only");
			}
		}
	}
	ws_rentals_plan(c);
	if (!nw)
		ws_consolidate(c, ms, nu);
	free(all);
	free(wants);
	free(ms);
}
