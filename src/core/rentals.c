/*
 * Rentals: what is waiting is packed into machine-loads, one machine is rented for each load that
 * owned, active and booting machines don't cover, up to k; empty rentals go back after a wait.
 * A booking's name is on record before the cloud is asked, so that a lost answer is asked for
 * again under the same name, and no name serves twice.
 */
#include "internal.h"

struct ws_bin { /* machines alike that are booting, or that ought to be rented, equally full */
	const struct ws_type *type;
	int zi;
	bool spot;
	uint32_t n;
	double cpus, gpus, mem; /* what each has left */
};

struct ws_bins {
	struct ws_bin *b;
	int n, cap;
	uint32_t same[WS_MAX_TYPES][WS_MAX_ZONES]; /* machines in them, by type and zone */
	double least;				   /* CPUs of the smallest task that waits */
};

static struct ws_bin *ws_bin_add(struct ws_bins *all, struct ws_bin b)
{
	if (all->n == all->cap) {
		all->cap = all->cap ? 2 * all->cap : 64;
		all->b = realloc(all->b, (size_t)all->cap * sizeof(*all->b));
		if (!all->b)
			abort();
	}
	all->b[all->n] = b;
	return &all->b[all->n++];
}

/* Machines that are whole: added to those of the same kind. */
static void ws_bin_whole(struct ws_core *c, struct ws_bins *all, const struct ws_type *t,
			 const char *zone, bool spot, uint32_t n)
{
	int zi = ws_zone_id(c, zone);

	if (zi >= 0)
		all->same[t - c->types][zi] += n;
	for (int i = 0; i < all->n; i++)
		if (all->b[i].type == t && all->b[i].zi == zi && all->b[i].spot == spot) {
			all->b[i].n += n;
			return;
		}
	ws_bin_add(all, (struct ws_bin){t, zi, spot, n, t->cpus, t->gpus, t->mem});
}

bool ws_boot_late(const struct ws_core *c, const struct ws_machine *m)
{
	double boot = m->type ? m->type->boot_s : c->set->lease_s;

	return !m->reported && c->now - m->first_seen > boot * c->pol.boot_patience;
}

/* A machine in machine-loads: its size over that of a middling one. */
static double ws_load_size(const struct ws_core *c, const struct ws_type *t)
{
	double size = ws_mean_cpus(c);

	return t && size > 0 ? t->cpus / size : 1;
}

/* Rentals that count against k, in machine-loads; how many they are and boot is told as well. */
static double ws_rentals_held(struct ws_core *c, int *held, int *booting)
{
	struct ws_machine *m, *mt;
	struct ws_rental *r, *rt;
	double loads = 0;

	*held = *booting = 0;
	HASH_ITER (hh, c->machines, m, mt) {
		if (m->owned || m->gone || m->failed || m->returning || ws_boot_late(c, m))
			continue;
		loads += ws_load_size(c, m->type);
		*held += 1;
		*booting += !m->reported;
	}
	HASH_ITER (hh, c->rentals, r, rt)
		if (r->state == WS_RENTAL_NEW || r->state == WS_RENTAL_RECORDED ||
		    r->state == WS_RENTAL_ASKING) {
			loads += r->count * ws_load_size(c, ws_type_find(c, r->type));
			*held += (int)r->count;
			*booting += (int)r->count;
		}
	return loads;
}

/* The cloud's answers about a kind of machine; NULL for a type or zone that is not known. */
static struct ws_refusal *ws_refusal_of(struct ws_core *c, const char *type, const char *zone,
					bool spot)
{
	const struct ws_type *t = ws_type_find(c, type);
	int zi = ws_zone_id(c, zone);

	return t && zi >= 0 ? &c->refusals[t - c->types][zi][spot] : NULL;
}

static void ws_refuse(struct ws_core *c, const struct ws_rental *r, bool refused)
{
	struct ws_refusal *f = ws_refusal_of(c, r->type, r->zone, r->spot);

	if (!f)
		return;
	f->times = refused ? f->times + 1 : 0;
	f->back = 0;
	/* what the cloud lacks may come back: ask again, at growing intervals, since every request
	 * spent on it is a second that a kind it does have comes later */
	f->until = refused ? c->now + c->set->list_lag_s * (1 << (f->times < 4 ? f->times : 4)) : 0;
}

/*
 * One of this kind that was of use went back, so there is one to be had again; but in a large fleet
 * a request is not worth one machine. What the cloud took, or what died, it need not have again.
 */
static void ws_refusal_lift(struct ws_core *c, const struct ws_machine *m)
{
	struct ws_refusal *f = ws_refusal_of(c, m->type_name, m->zone, m->spot);

	if (!f || m->noticed || m->failed || !ws_machine_hears(m) ||
	    c->now - m->heard > 3 * c->set->report_s)
		return;
	if (++f->back > (int)HASH_COUNT(c->machines) / (2 * WS_RENT_HOSTS))
		memset(f, 0, sizeof(*f));
}

void ws_rentals_want(struct ws_core *c, struct ws_job *j, uint32_t tasks, uint32_t zones)
{
	if (!j->unmet_since)
		j->unmet_since = c->now;
	if (zones && !(zones &= ~c->subsystems.zones_closed))
		return; /* it waits for zones in which nothing is rented now */
	if (c->unmet_count == c->unmet_cap) {
		c->unmet_cap = c->unmet_cap ? c->unmet_cap * 2 : 64;
		c->unmet = realloc(c->unmet, c->unmet_cap * sizeof(*c->unmet));
		if (!c->unmet)
			abort();
	}
	c->unmet[c->unmet_count++] = (struct ws_unmet_demand){j, tasks, zones};
}

/* How many such tasks one of these machines still takes. */
static uint32_t ws_bin_fit(const struct ws_core *c, const struct ws_bin *b,
			   const struct ws_unmet_demand *l)
{
	if (!b->n || b->cpus + 1e-9 < l->job->spec.cpus || (b->spot && !l->job->spec.spot) ||
	    b->zi < 0 || !(l->zones >> b->zi & 1) || !(l->job->fits >> (b->type - c->types) & 1))
		return 0;
	return ws_tasks_fit(&l->job->spec, b->cpus, b->gpus, b->mem, l->tasks);
}

/* Puts tasks on machines of a bin; those touched go to bins of their own. Tasks taken. */
static uint32_t ws_bin_take(const struct ws_core *c, struct ws_bins *all, int i,
			    const struct ws_unmet_demand *l, uint32_t left)
{
	const struct ws_spec *s = &l->job->spec;
	uint32_t fit = ws_bin_fit(c, &all->b[i], l), whole, taken = 0;

	if (!fit)
		return 0;
	whole = left / fit < all->b[i].n ? left / fit : all->b[i].n;
	for (int last = 0; last < 2; last++) {
		uint32_t n = last ? (all->b[i].n && left > taken ? 1 : 0) : whole;
		uint32_t each = last ? (left - taken < fit ? left - taken : fit) : fit;
		struct ws_bin *x;

		if (!n || !each)
			continue;
		if (all->b[i].n == n) {
			x = &all->b[i];
		} else {
			struct ws_bin b = all->b[i];

			b.n = n;
			all->b[i].n -= n;
			x = ws_bin_add(all, b);
		}
		x->cpus -= each * s->cpus;
		x->gpus -= each * s->gpus;
		x->mem -= each * s->mem;
		taken += n * each;
		if (x == &all->b[i])
			break; /* all of them are used */
	}
	return taken;
}

/* The paper's W'q: the wait that users are promised within their guarantee. */
double ws_bound(const struct ws_core *c)
{
	if (c->pol.latency_bound_s > 0)
		return c->pol.latency_bound_s;
	for (size_t i = 0; i < c->set->nobjectives; i++)
		if (!strcmp(c->set->objectives[i].kind, "guarantee") &&
		    c->set->objectives[i].within_s > 0)
			return c->set->objectives[i].within_s;
	return c->set->lease_s / 4;
}

/* The kind of machine that costs least for what waits. */
static bool ws_kind_for(struct ws_core *c, const struct ws_unmet_demand *l, uint32_t tasks,
			const struct ws_bins *bins, struct ws_bin *kind)
{
	const struct ws_spec *s = &l->job->spec;
	double best = 0;
	bool found = false;
	/* work that may use spot machines waits for one as long as it may wait for any */
	bool patient = s->spot && c->now - l->job->unmet_since < ws_bound(c);

	for (size_t i = 0; i < c->ntypes; i++) {
		const struct ws_type *t = &c->types[i];
		double fit;

		if (!(l->job->fits >> i & 1))
			continue;
		fit = fmax(1, ws_tasks_fit(s, t->cpus, t->gpus, t->mem, tasks));
		for (size_t z = 0; z < t->nzones; z++)
			for (int spot = patient; spot < (s->spot ? 2 : 1); spot++) {
				double cost = (spot ? t->spot_price : t->price) / fit;
				int zi = ws_zone_id(c, t->zones[z]);

				if (zi < 0 || !(l->zones >> zi & 1) ||
				    c->refusals[i][zi][spot].until > c->now)
					continue;
				cost *= 1 + bins->same[i][zi] * 1e-4; /* even zones, among equals */
				if (found && cost >= best)
					continue;
				found = true;
				best = cost;
				*kind = (struct ws_bin){t, zi, spot, 1, t->cpus, t->gpus, t->mem};
			}
	}
	return found;
}

/* Whether machines for it can be asked for in a zone, as far as the cloud's answers tell. */
bool ws_rentable(struct ws_core *c, const struct ws_job *j, int zi)
{
	if (c->subsystems.zones_closed >> zi & 1)
		return false;
	for (size_t i = 0; i < c->ntypes; i++) {
		const struct ws_type *t = &c->types[i];

		for (size_t z = 0; j->fits >> i & 1 && z < t->nzones; z++)
			for (int spot = 0; spot < (j->spec.spot ? 2 : 1); spot++)
				if (ws_zone_id(c, t->zones[z]) == zi &&
				    c->refusals[i][zi][spot].until <= c->now)
					return true;
	}
	return false;
}

/*
 * Its room will be there in a moment: it boots, or is up and has yet to show that it hears us.
 * Without the latter each machine that came up would be rented once more.
 */
static bool ws_comes_up(const struct ws_core *c, const struct ws_machine *m)
{
	if (!m->reported)
		return !ws_boot_late(c, m);
	return !m->attempt_count && !m->unreachable && !m->noticed && !ws_machine_hears(m) &&
	       !ws_overdue(c, fmax(m->up_at, m->token_at));
}

/* Machines that are full, for any task that waits, need not be looked at again. */
static void ws_bins_tidy(struct ws_bins *all)
{
	int kept = 0;

	for (int i = 0; i < all->n; i++)
		if (all->b[i].n && all->b[i].cpus + 1e-9 >= all->least)
			all->b[kept++] = all->b[i];
	all->n = kept;
}

/*
 * Whether returns go before the next rental. In a rush there is something to rent every second, and
 * spot machines are taken one by one all the time: those wait for company, at most a report period.
 */
static bool ws_returns_turn(const struct ws_core *c)
{
	return c->returns_wait >= WS_RENT_HOSTS ||
	       (c->returns_wait && c->now - c->returns_since > c->set->report_s);
}

/* Machines of one booking: no more than its record can name. */
static uint32_t ws_rent_most(const struct ws_core *c)
{
	size_t name = c->norder ? strlen(c->order[0]->name) + 4 : 16;
	double n = (c->value_most - 256) / (double)(name + 3);

	return n > WS_RENT_HOSTS ? WS_RENT_HOSTS : n < 1 ? 1 : (uint32_t)n;
}

/* What the plan of one pass goes by. */
struct ws_rental_plan {
	struct ws_bins bins;
	uint32_t wanted[WS_MAX_TYPES][WS_MAX_ZONES][2]; /* machines: ordinary, spot */
	int limit;					/* rentals, in machine-loads */
	double allowed;					/* beyond those held */
	int held, booting;
	int gang; /* loads that the largest waiting gang lacks */
};

/* Machines whose room will be there in a moment: those that come up, and those booked. */
static void ws_plan_coming(struct ws_core *c, struct ws_rental_plan *plan)
{
	struct ws_machine *m, *next_machine;
	struct ws_rental *r, *next_rental;

	if (!c->unmet_count)
		return;
	HASH_ITER (hh, c->machines, m, next_machine)
		if (!m->owned && !m->gone && !m->failed && !m->returning && m->type &&
		    ws_comes_up(c, m))
			ws_bin_whole(c, &plan->bins, m->type, m->zone, m->spot, 1);
	HASH_ITER (hh, c->rentals, r, next_rental) {
		const struct ws_type *t = ws_type_find(c, r->type);

		if (r->state < WS_RENTAL_GOT && t)
			ws_bin_whole(c, &plan->bins, t, r->zone, r->spot, r->count);
	}
}

/* How many rentals are allowed: k, or the ceiling while the wait as it is exceeds the bound. */
static void ws_plan_limit(struct ws_core *c, struct ws_rental_plan *plan)
{
	double waited = 0, tasks = 0;

	for (size_t i = 0; i < c->unmet_count; i++) {
		const struct ws_unmet_demand *l = &c->unmet[i];
		double loads = ws_load_of(c, &l->job->spec) * l->tasks;

		waited += (c->now - l->job->unmet_since) * ws_load_of(c, &l->job->spec) * l->tasks;
		tasks += loads;
		if (!i || l->job->spec.cpus < plan->bins.least)
			plan->bins.least = l->job->spec.cpus;
	}
	plan->limit = c->k < 0 ? c->pol.rental_ceiling : c->k;
	if (tasks > 0 && waited / tasks > ws_bound(c))
		plan->limit = c->pol.rental_ceiling;
	plan->allowed = plan->limit - ws_rentals_held(c, &plan->held, &plan->booting);
}

/* Machines to be rented for what a job's tasks find no room in. */
static void ws_plan_rent(struct ws_core *c, struct ws_rental_plan *plan,
			 const struct ws_unmet_demand *l, uint32_t left)
{
	struct ws_bins *bins = &plan->bins;

	while (left) {
		struct ws_bin kind = {0};
		uint32_t fit;

		if (!ws_kind_for(c, l, left, bins, &kind) || !(fit = ws_bin_fit(c, &kind, l)))
			break;
		/* as many as hold the rest, but few enough for zones to stay even */
		kind.n = (left + fit - 1) / fit / (uint32_t)kind.type->nzones;
		if (kind.n > 8)
			kind.n = 8;
		if (!kind.n)
			kind.n = 1;
		plan->wanted[kind.type - c->types][kind.zi][kind.spot] += kind.n;
		bins->same[kind.type - c->types][kind.zi] += kind.n;
		c->loads += (int)kind.n;
		ws_bin_add(bins, kind);
		left -= ws_bin_take(c, bins, bins->n - 1, l, left);
	}
}

/*
 * Packs what waits into what comes, and into machines to be rented. In a backlog of thousands of
 * loads those that come first decide: no more are packed than the next requests could ask for.
 */
static void ws_plan_pack(struct ws_core *c, struct ws_rental_plan *plan)
{
	int enough = 2 * WS_RENT_HOSTS + (plan->allowed > 0 ? (int)plan->allowed : 0);

	for (size_t i = 0; i < c->unmet_count; i++) {
		const struct ws_unmet_demand *l = &c->unmet[i];
		uint32_t left = l->tasks;
		int before = c->loads;

		if (c->loads >= enough && !l->job->spec.gang)
			continue;
		ws_bins_tidy(&plan->bins);
		c->steps += (uint64_t)plan->bins.n;
		for (int b = 0; b < plan->bins.n && left; b++)
			left -= ws_bin_take(c, &plan->bins, b, l, left);
		ws_plan_rent(c, plan, l, left);
		if (l->job->spec.gang && c->loads - before > plan->gang)
			plan->gang = c->loads - before;
	}
	c->unmet_count = 0;
	if (plan->gang > plan->limit) { /* k is at least what the largest waiting gang lacks */
		int most = c->pol.rental_ceiling;

		plan->allowed += (plan->gang < most ? plan->gang : most) - plan->limit;
	}
}

/* The kind of machine that most are wanted of; false: none is. */
static bool ws_plan_kind(const struct ws_core *c, const struct ws_rental_plan *plan,
			 struct ws_bin *kind)
{
	kind->n = 0;
	for (size_t i = 0; i < c->ntypes; i++)
		for (int z = 0; z < c->nzones; z++)
			for (int spot = 0; spot < 2; spot++)
				if (plan->wanted[i][z][spot] > kind->n)
					*kind = (struct ws_bin){.type = &c->types[i],
								.zi = z,
								.spot = spot,
								.n = plan->wanted[i][z][spot]};
	return kind->n > 0;
}

/* Books as many of one kind as the loads ask for, in one request. */
static void ws_plan_book(struct ws_core *c, const struct ws_rental_plan *plan,
			 const struct ws_bin *kind)
{
	double room = ceil(plan->allowed / ws_load_size(c, kind->type));
	uint32_t count = kind->n;
	struct ws_rental *x;

	if (count > room)
		count = (uint32_t)room;
	if (count > ws_rent_most(c))
		count = ws_rent_most(c);
	x = calloc(1, sizeof(*x));
	if (!x)
		abort();
	snprintf(x->booking, sizeof(x->booking), "r-%llu-%llu",
		 (unsigned long long)(c->epoch >> WS_EPOCH_SHIFT),
		 (unsigned long long)++c->rental_seq);
	snprintf(x->type, sizeof(x->type), "%s", kind->type->name);
	snprintf(x->zone, sizeof(x->zone), "%s", c->zones[kind->zi]);
	x->spot = kind->spot;
	x->count = count;
	x->made = c->now;
	HASH_ADD_STR(c->rentals, booking, x);
	ws_rental_dirty(c, x);
	c->rent_inflight = c->rented_last = true;
	c->cloud_next = c->now + 1;
	ws_log(c, WS_LOG_INFO,
	       "rent %u x %s in %s%s (%s): %d loads wait, %d rentals held, %d booting, k %d", count,
	       x->type, x->zone, x->spot ? ", spot" : "", x->booking, c->loads, plan->held,
	       plan->booting, c->k);
}

/* Called at the end of a placement pass with all that found no room. */
void ws_rentals_plan(struct ws_core *c)
{
	struct ws_rental_plan plan = {0};
	struct ws_bin kind = {0};

	c->loads = 0;
	ws_plan_coming(c, &plan);
	ws_plan_limit(c, &plan);
	ws_plan_pack(c, &plan);
	/* one request a second; machines that are well get a report period to make themselves known
	 * to a new leader */
	if (ws_plan_kind(c, &plan, &kind) && plan.allowed > 0 && !c->rent_inflight &&
	    c->now >= c->cloud_next && !(c->rented_last && ws_returns_turn(c)) &&
	    c->now - c->elected_at > c->set->report_s)
		ws_plan_book(c, &plan, &kind);
	free(plan.bins.b);
}

void ws_rental_dirty(struct ws_core *c, struct ws_rental *r)
{
	if (r->dirty)
		return;
	r->dirty = true;
	ws_writer_wake(c);
	DL_APPEND2(c->dirty_rentals, r, dprev, dnext);
}

void ws_rental_free(struct ws_core *c, struct ws_rental *r)
{
	if (r->dirty)
		DL_DELETE2(c->dirty_rentals, r, dprev, dnext);
	HASH_DEL(c->rentals, r);
	free(r->hosts);
	free(r);
}

static void ws_rent_done(struct ws_core *c, struct ws_call *call, const struct ws_result *res)
{
	struct ws_rental *r;

	if (call->generation != c->generation)
		return;
	c->rent_inflight = false;
	HASH_FIND_STR(c->rentals, call->key, r);
	if (!r)
		return;
	if (res->status == 200) {
		free(r->hosts);
		r->nhosts = 0;
		r->hosts = calloc(res->nhosts + 1, sizeof(*r->hosts));
		if (!r->hosts)
			abort();
		for (size_t i = 0; i < res->nhosts && i < WS_RENT_HOSTS; i++) {
			struct ws_machine *m = ws_machine_get(c, res->hosts[i].name);

			snprintf(r->hosts[r->nhosts++], WS_NAME_MAX, "%s", res->hosts[i].name);
			if (m->reported)
				continue;
			ws_machine_place(c, m, r->type, r->zone, r->spot);
		}
		ws_log(c, WS_LOG_INFO, "booking %s: %u of %u machines", r->booking, r->nhosts,
		       r->count);
		ws_refuse(c, r, r->nhosts < r->count);
		r->state = r->nhosts ? WS_RENTAL_GOT : WS_RENTAL_DROP;
		ws_rental_dirty(c, r);
	} else if (res->status == 503 && res->no_capacity) {
		/* "no capacity": a plain no; the booking is done with */
		ws_log(c, WS_LOG_INFO, "booking %s: no capacity for %s in %s%s", r->booking,
		       r->type, r->zone, r->spot ? ", spot" : "");
		ws_refuse(c, r, true);
		r->state = WS_RENTAL_DROP;
		ws_rental_dirty(c, r);
	} else if (res->status == 400) {
		ws_log(c, WS_LOG_ERROR, "booking %s: the cloud calls it malformed", r->booking);
		ws_refuse(c, r, true);
		r->state = WS_RENTAL_DROP;
		ws_rental_dirty(c, r);
	} else { /* outage, too fast, or no answer: ask again under the same name */
		r->state = WS_RENTAL_RECORDED;
		r->next_try = c->now + 1 + c->set->list_lag_s / 4;
	}
	c->place_wanted = true;
}

void ws_rental_written(struct ws_core *c, struct ws_rental *r, bool deleted)
{
	if (deleted) {
		ws_rental_free(c, r);
		return;
	}
	if (r->state == WS_RENTAL_NEW) {
		r->state = WS_RENTAL_RECORDED;
		r->next_try = c->now;
	}
}

static void ws_return_done(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation)
		return;
	for (size_t i = 0; i < call->nnames; i++) {
		struct ws_machine *m = ws_machine_find(c, call->names[i]);

		if (!m)
			continue;
		m->return_inflight = false;
		m->return_next = c->now + 1 + c->set->list_lag_s / 4;
		if (r->status == 200) {
			ws_refusal_lift(c, m);
			ws_machine_gone(c, m, "returned");
		}
	}
}

/* On record before this leader's election, so that lists as old as twice the lag should name it. */
static bool ws_listed_by_now(const struct ws_core *c, const struct ws_machine *m)
{
	return m->on_record && c->now - c->elected_at > 2 * c->set->list_lag_s;
}

static void ws_hosts_done(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_machine *m, *mt;

	if (call->generation != c->generation)
		return;
	c->hosts_inflight = false;
	c->hosts_next = c->now + c->set->list_lag_s;
	if (r->status != 200) {
		c->hosts_after[0] = 0;
		return;
	}
	/*
	 * The first list ever read, to its last page, names the machines that were here before any
	 * rental. A list that names none is believed only when the cloud's lag can't be why.
	 */
	if (!c->owned_known && !c->owned_seen) {
		if (r->nhosts)
			snprintf(c->owned_upto, sizeof(c->owned_upto), "%s",
				 r->hosts[r->nhosts - 1].name);
		if (!r->more &&
		    (c->owned_upto[0] || c->now - c->elected_at > 2 * c->set->list_lag_s)) {
			c->owned_seen = true;
			c->order_stale = true;
			HASH_ITER (hh, c->machines, m, mt)
				m->owned = strcmp(m->name, c->owned_upto) <= 0;
		}
	}
	for (size_t i = 0; i < r->nhosts; i++) {
		ws_machine_host(c, &r->hosts[i]);
		if ((m = ws_machine_find(c, r->hosts[i].name)))
			m->list_pass = c->list_pass;
	}
	if (r->more && r->nhosts) {
		snprintf(c->hosts_after, sizeof(c->hosts_after), "%s",
			 r->hosts[r->nhosts - 1].name);
		c->hosts_next = c->now;
		return;
	}
	c->hosts_after[0] = 0;
	HASH_ITER (hh, c->machines, m, mt)
		if (!m->owned && (m->listed || ws_listed_by_now(c, m)) &&
		    m->list_pass != c->list_pass && !m->returning &&
		    c->now - m->heard > 2 * c->set->report_s &&
		    c->now - c->elected_at > 2 * c->set->report_s && c->owned_known) {
			/* listed once, listed no more, and silent: have the cloud confirm that it
			 * is gone */
			ws_log(c, WS_LOG_INFO, "machine %s is no longer listed", m->name);
			m->returning = true;
		}
}

static void ws_release_machine(struct ws_core *c, struct ws_machine *m, const char *why)
{
	ws_log(c, WS_LOG_INFO, "return machine %s: %s", m->name, why);
	m->returning = true;
	c->place_wanted = true;
}

static bool ws_return_due(const struct ws_core *c, const struct ws_machine *m)
{
	return m->returning && !m->gone && !m->return_inflight && !m->owned &&
	       c->now >= m->return_next;
}

/*
 * It was up once: heard by us, by the leader that wrote down its tenure, or by the cloud's word. A
 * rental known from its booking alone may well be booting still.
 */
static bool ws_was_up(const struct ws_machine *m)
{
	return m->reported || m->tenure || m->listed_up > 0;
}

/* Whether most machines that are up are heard and hear us: else a cut of our own looks like theirs.
 */
static bool ws_most_heard(struct ws_core *c, size_t *up)
{
	struct ws_machine *m, *next;
	size_t heard = 0;

	*up = 0;
	HASH_ITER (hh, c->machines, m, next) {
		if (!m->reported || m->gone || m->failed)
			continue;
		(*up)++;
		/* within a report period, or a cut of our own would look like theirs for as long as
		 * it takes to return them all */
		heard += !ws_overdue(c, m->heard) && ws_machine_hears(m);
	}
	return heard * 2 >= *up;
}

static bool ws_empty_for_long(const struct ws_core *c, const struct ws_machine *m)
{
	const double wait = c->pol.empty_wait_s;

	return m->reported && !m->attempt_count && !m->noticed && c->now >= m->held_until &&
	       c->now - m->empty_since > wait && c->now - m->up_at > wait &&
	       /* what waits had its time to be placed on it */
	       (!c->loads || c->now - m->empty_since > 2 * wait);
}

/* Why a rental is silent for good; NULL: it is not, or most others are as well. */
static const char *ws_silent_reason(const struct ws_core *c, const struct ws_machine *m, size_t up)
{
	const double base = fmax(m->heard, fmax(c->elected_at, c->woke_at));
	const double silent_s = c->set->lease_s * c->pol.silent_ratio;

	if (m->noticed && c->now > m->notice_until && c->now - m->heard > 1.5 * c->set->report_s)
		return "taken after its notice"; /* to have it confirmed */
	if (m->unreachable && m->reported && ws_overdue(c, base))
		return "silent, and no answer to a call";
	if (ws_was_up(m) && silent_s < c->now - fmax(base, m->listed_up) && up)
		return "silent";
	if (m->reported && !ws_machine_hears(m) && up &&
	    c->now - fmax(fmax(m->token_at, m->up_at), c->elected_at) > silent_s + c->set->report_s)
		return "no answer reaches it";
	return NULL;
}

/* Why a rental should go back now; NULL: it should not. */
static const char *ws_return_reason(const struct ws_core *c, const struct ws_machine *m,
				    bool most_heard, size_t up)
{
	const char *silent = most_heard ? ws_silent_reason(c, m, up) : NULL;

	if (silent && ws_subsystems_hold(c, WS_ORDER_RETURN_SILENT, m->zi))
		silent = NULL;
	if (m->failed)
		return "failed";
	if (ws_boot_late(c, m) && c->now - c->elected_at > c->set->lease_s)
		return "did not come up";
	if (silent)
		return silent;
	if (ws_empty_for_long(c, m) && !ws_subsystems_hold(c, WS_ORDER_RETURN_EMPTY, m->zi))
		return "empty";
	if (m->consecutive_failures >= 3 && !m->attempt_count)
		return "fails its tasks";
	return NULL;
}

/* Asks the cloud to take back what is due, as many as one call takes. */
static void ws_returns_call(struct ws_core *c)
{
	struct ws_machine *m, *next;
	struct ws_call *call = NULL;

	HASH_ITER (hh, c->machines, m, next) {
		if (!ws_return_due(c, m))
			continue;
		if (!call) {
			call = ws_call(c, WS_CALL_RETURN, ws_return_done);
			call->names = calloc(WS_RETURN_HOSTS, sizeof(*call->names));
			if (!call->names)
				abort();
			c->cloud_next = c->now + 1;
			c->rented_last = false;
			c->returns_since = c->now;
		}
		snprintf(call->names[call->nnames++], WS_NAME_MAX, "%s", m->name);
		m->return_inflight = true;
		c->returns_wait--;
		if (call->nnames == WS_RETURN_HOSTS)
			break;
	}
}

static void ws_returns(struct ws_core *c)
{
	struct ws_machine *m, *next;
	size_t up;
	bool most_heard = ws_most_heard(c, &up);

	HASH_ITER (hh, c->machines, m, next) {
		const char *why;

		if (m->owned || m->gone || m->returning)
			continue;
		why = ws_return_reason(c, m, most_heard, up);
		if (why)
			ws_release_machine(c, m, why);
	}
	c->returns_wait = 0;
	HASH_ITER (hh, c->machines, m, next)
		c->returns_wait += ws_return_due(c, m);
	if (!c->returns_wait)
		c->returns_since = c->now;
	if (c->now >= c->cloud_next)
		ws_returns_call(c);
}

/*
 * Enough machines of the middling type to honour every guarantee at once, and a quarter more for
 * what is borrowed in rushes.
 */
static int ws_derived_ceiling(const struct ws_core *c)
{
	double cpus = 0, size = ws_mean_cpus(c);

	for (size_t i = 0; i < c->set->nteams; i++)
		cpus += c->set->teams[i].cpus;
	return size > 0 ? (int)ceil(1.25 * cpus / size) : 1;
}

/* Asks the cloud for a booking that is on record. */
static void ws_rental_ask(struct ws_core *c, struct ws_rental *r)
{
	struct ws_call *call = ws_call(c, WS_CALL_RENT, ws_rent_done);

	snprintf(call->key, sizeof(call->key), "%s", r->booking);
	snprintf(call->type, sizeof(call->type), "%s", r->type);
	snprintf(call->zone, sizeof(call->zone), "%s", r->zone);
	call->spot = r->spot;
	call->count = r->count;
	r->state = WS_RENTAL_ASKING;
	c->rent_inflight = true;
	c->cloud_next = c->now + 1;
}

/* Takes machines that are gone off a booking's record. */
static void ws_rental_tidy(struct ws_core *c, struct ws_rental *r)
{
	uint32_t left = 0;

	for (uint32_t i = 0; i < r->nhosts; i++) {
		const struct ws_machine *m = ws_machine_find(c, r->hosts[i]);

		if (m && !m->gone)
			memmove(r->hosts[left++], r->hosts[i], WS_NAME_MAX);
	}
	if (left == r->nhosts)
		return;
	r->nhosts = left;
	if (!left)
		r->state = WS_RENTAL_DROP;
	ws_rental_dirty(c, r);
}

/* Whether records of rentals are to be brought up to date: no newer than lists of machines are, if
 * changes are short. */
static bool ws_rentals_tidy_due(struct ws_core *c)
{
	bool spare = ws_writer_has_spare_budget(c);

	if (!c->rentals_stale || c->now < c->tidy_next)
		return false;
	c->rentals_stale = false;
	c->tidy_next =
	    c->now + (spare ? fmin(c->set->lease_s / 32, c->set->list_lag_s) : c->set->list_lag_s);
	return true;
}

static void ws_rentals_look(struct ws_core *c, bool tidy)
{
	struct ws_rental *r, *next;

	HASH_ITER (hh, c->rentals, r, next) {
		if (r->state == WS_RENTAL_RECORDED && !r->dirty && !r->writing &&
		    c->now >= r->next_try && c->now >= c->cloud_next - 1) {
			ws_rental_ask(c, r);
			break;
		}
		if (r->state == WS_RENTAL_GOT && tidy && !r->dirty && !r->writing)
			ws_rental_tidy(c, r);
	}
}

/* Rentals and returns go before lists, as long as these don't get too old. */
static void ws_hosts_ask(struct ws_core *c)
{
	struct ws_call *call;

	if (c->hosts_inflight || c->now < c->hosts_next || c->now < c->cloud_next ||
	    (c->loads && c->now < c->hosts_next + c->set->list_lag_s && c->owned_known))
		return;
	call = ws_call(c, WS_CALL_HOSTS, ws_hosts_done);
	snprintf(call->after, sizeof(call->after), "%s", c->hosts_after);
	if (!c->hosts_after[0])
		c->list_pass++;
	c->hosts_inflight = true;
	c->cloud_next = c->now + 1;
}

void ws_rentals_tick(struct ws_core *c)
{
	bool tidy;

	if (c->pol.rental_ceiling < 0 && c->ntypes)
		c->pol.rental_ceiling = ws_derived_ceiling(c);
	if (!ws_entitled(c) || c->in_outage || c->now < c->rent_next)
		return;
	c->rent_next = c->now + ws_sweep_every(c);
	tidy = ws_rentals_tidy_due(c);
	if (c->owned_known) { /* else rentals could not be told from what was here before */
		ws_rentals_look(c, tidy);
		ws_returns(c);
	}
	ws_hosts_ask(c);
}

/* ---- measurements for Algorithm 1 ---- */

bool ws_core_measure(struct ws_core *c, double now, struct ws_measure *m)
{
	struct ws_machine *x, *xt;
	double span, services = 0, size = ws_mean_cpus(c), boot = 0;
	double owned = 0;

	if (c->role != WS_LEADER || c->pol.rental_ceiling < 0 || now < c->size_next || !c->ntypes)
		return false;
	if (!c->measured_at) {
		c->measured_at = now;
		c->size_next = now + c->pol.sizing_period_s;
		return false;
	}
	span = now - c->measured_at;
	for (size_t i = 0; i < c->ntypes; i++)
		boot += c->types[i].boot_s / (double)c->ntypes;
	HASH_ITER (hh, c->machines, x, xt) {
		if (x->owned && ws_machine_hears(x) && c->now - x->heard < 3 * c->set->report_s)
			owned += ws_load_size(c, x->type);
		for (struct ws_attempt *s = x->attempts; s; s = s->next)
			if (s->job && s->job->spec.service)
				services += s->job->spec.cpus / size;
	}
	memset(m, 0, sizeof(*m));
	c->busy_time += c->busy * (c->now - c->busy_at);
	c->busy_at = c->now;
	m->lambda = c->work_arrived / span;
	m->mu = c->busy_time > 0 ? c->work_done / c->busy_time : 0;
	m->alpha = c->boot_n > 0 ? c->boot_n / c->boot_sum : boot > 0 ? 1 / boot : 0;
	m->owned = owned > services ? (int)(owned - services) : 0;
	m->ceiling = c->pol.rental_ceiling;
	m->waiting_loads = c->pol.waiting_loads >= 0 ? c->pol.waiting_loads : m->ceiling / 2 + 1;
	m->delta = c->pol.delta;
	m->rentals_max = c->pol.rentals_max > 0 ? c->pol.rentals_max : m->ceiling;
	m->bound_s = ws_bound(c);
	m->wait_max_s = c->pol.wait_max_s > 0 ? c->pol.wait_max_s : 2 * m->bound_s;
	c->work_arrived = c->work_done = c->busy_time = 0;
	c->measured_at = now;
	c->size_next = now + c->pol.sizing_period_s;
	return m->lambda > 0 && m->mu > 0 && m->alpha > 0;
}

void ws_core_set_k(struct ws_core *c, double now, int k, double s, double wq)
{
	(void)now;
	if (k < 0 || wq <= 0)
		return; /* lacking a wait, k stays */
	if (k != c->k)
		ws_log(c, WS_LOG_INFO, "k %d -> %d (S %.2f, Wq %.2f s)", c->k, k, s, wq);
	c->k = k;
	c->place_wanted = true;
}
