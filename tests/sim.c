#include "sim_parts.h"

bool sim_verbose;
bool sim_coldstart_always;

const struct sim_version sim_this_version = {
    .create = ws_core_new,
    .destroy = ws_core_free,
    .tick = ws_core_tick,
    .pop = ws_core_pop,
    .complete = ws_core_complete,
    .resign = ws_core_resign,
    .ready = ws_core_ready,
    .leading = ws_core_leading,
    .submit = ws_core_submit,
    .poll = ws_core_poll,
    .abort = ws_core_abort,
    .report = ws_core_report,
    .testify = ws_core_testify,
    .free_action = ws_action_free,
    .free_call = ws_call_free,
};

void sim_fail(struct sim *s, const char *fmt, ...)
{
	va_list ap;
	int n;

	if (s->err[0])
		return;
	n = snprintf(s->err, sizeof(s->err), "at %.2f s: ", s->now);
	va_start(ap, fmt);
	vsnprintf(s->err + n, sizeof(s->err) - (size_t)n, fmt, ap);
	va_end(ap);
}

double sim_rnd(struct sim *s)
{
	s->rnd = s->rnd * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(s->rnd >> 33) / (double)(1ULL << 31);
}

static struct sim *log_sim;
void sim_log(enum ws_log_level level, const char *text)
{
	if (sim_verbose)
		fprintf(stderr, "%9.3f %d %s\n", log_sim ? log_sim->now : 0, level, text);
}

int sim_leader(struct sim *s)
{
	for (int i = 0; i < s->nnodes; i++)
		if (s->nodes[i].up && s->nodes[i].v->leading(s->nodes[i].core))
			return i;
	return -1;
}

/* ---- calls under way ---- */

static void result_clear(struct ws_result *r)
{
	for (size_t i = 0; i < r->nkvs; i++)
		json_decref(r->kvs[i].value);
	free(r->kvs);
	free(r->failed);
	free(r->types);
	free(r->hosts);
	free(r->withdrawn);
	if (r->report)
		free(r->report->tasks);
	free(r->report);
	memset(r, 0, sizeof(*r));
}

static void flight_add(struct sim *s, struct sim_flight *f)
{
	struct sim_flight **p = &s->flights;

	while (*p && (*p)->at <= f->at)
		p = &(*p)->next;
	f->next = *p;
	*p = f;
}

void sim_node_crash(struct sim *s, int i, double back)
{
	struct sim_node *nd = &s->nodes[i];

	if (!nd->up)
		return;
	sim_log(WS_LOG_INFO, "---- a node crashes");
	nd->up = false;
	nd->life++;
	nd->up_at = s->now + back;
	nd->v->destroy(nd->core);
	nd->core = NULL;
}

/* What the leader has to read of what a watch brings. */
static void sim_count_watched(struct sim *s, const struct ws_result *r)
{
	s->watched += r->nkvs;
	for (size_t i = 0; i < r->nkvs; i++)
		if (r->kvs[i].value)
			s->watched_size += json_dumpb(r->kvs[i].value, NULL, 0, JSON_COMPACT);
}

static bool is_state(enum ws_call_kind k)
{
	return k <= WS_CALL_HOLD_DROP;
}

static bool is_cloud(enum ws_call_kind k)
{
	return k >= WS_CALL_TYPES && k <= WS_CALL_RETURN;
}

static void call_start(struct sim *s, int node, struct ws_call *c)
{
	struct sim_flight *f = calloc(1, sizeof(*f));
	struct sim_node *nd = &s->nodes[node];
	bool mine = s->crash != CRASH_NONE && c->kind == s->crash_kind && sim_leader(s) == node &&
		    (c->kind != WS_CALL_TXN || c->nops) && s->crash_skip-- <= 0;

	bool lag =
	    c->kind == WS_CALL_TXN && c->nops && s->now < s->lag_until && sim_rnd(s) < s->lag_share;

	if (mine && s->crash == CRASH_BEFORE) {
		s->crash = CRASH_NONE;
		free(f);
		nd->v->free_call(c);
		sim_node_crash(s, node, s->down_for);
		return;
	}
	f->node = node;
	f->life = nd->life;
	f->call = c;
	f->call_version = nd->v;
	f->at = s->now + (is_cloud(c->kind) ? 0.2 : 0.004);
	if (is_state(c->kind) && s->now < s->state_slow)
		f->at += s->state_slow_by * (0.2 + 0.8 * sim_rnd(s));
	if (is_state(c->kind) && s->now < nd->cut_state) {
		f->stage = 1;
		f->at = s->now + 1;
	} else if (is_state(c->kind) && c->kind != WS_CALL_WATCH &&
		   (s->now < s->state_down || s->now < nd->refused)) {
		f->stage = 1;
		f->res.status = 503;
	} else if (c->kind == WS_CALL_TXN && (lag || (s->late_txn > 0 && sim_leader(s) == node))) {
		/* given up on, and carried out all the same some time later */
		struct sim_flight *g = calloc(1, sizeof(*g));

		s->late_txn -= !lag;
		g->stage = 1;
		g->node = node;
		g->life = nd->life;
		g->at = s->now + 1;
		g->call = c;
		g->call_version = nd->v;
		f->stage = 2;
		f->at = !lag		 ? s->now + s->late_by
			: s->lag_at_once ? s->now + 0.004
					 : s->now + 2 + (s->lag_most - 2) * sim_rnd(s);
		f->call = calloc(1, sizeof(*f->call));
		*f->call = *c;
		f->call->ctx = NULL;
		f->call_version = &sim_this_version; /* a copy that no core knows of */
		f->call->ops = calloc(c->nops + 1, sizeof(*c->ops));
		f->call->conds = calloc(c->nconds + 1, sizeof(*c->conds));
		memcpy(f->call->ops, c->ops, c->nops * sizeof(*c->ops));
		memcpy(f->call->conds, c->conds, c->nconds * sizeof(*c->conds));
		for (size_t i = 0; i < c->nops; i++)
			json_incref(c->ops[i].value);
		flight_add(s, g);
	}
	if (mine) { /* carried out, but its sender is gone */
		s->crash = CRASH_NONE;
		flight_add(s, f);
		sim_node_crash(s, node, s->down_for);
		return;
	}
	flight_add(s, f);
}

static void complete(struct sim *s, struct sim_flight *f)
{
	struct sim_node *nd = &s->nodes[f->node];

	if (nd->up && nd->life == f->life && s->now < nd->frozen) {
		f->at = nd->frozen;
		flight_add(s, f);
		return;
	}
	if (nd->up && nd->life == f->life) {
		if (is_state(f->call->kind) && s->now < nd->cut_state)
			f->res.status = 0;
		nd->v->complete(nd->core, s->now * (1 + nd->skew), f->call, &f->res);
	} else {
		f->call_version->free_call(f->call);
	}
	result_clear(&f->res);
	free(f);
}

static void flight_go(struct sim *s, struct sim_flight *f)
{
	struct ws_call *c = f->call;
	struct sim_node *nd = &s->nodes[f->node];

	if (f->stage == 1) {
		complete(s, f);
		return;
	}
	if (f->stage == 2) {
		if (s->now < s->state_down) { /* waits for the service to be back */
			f->at = s->state_down + 0.1;
			flight_add(s, f);
			return;
		}
		sim_state_do(s, c, &f->res);
		f->call_version->free_call(c);
		result_clear(&f->res);
		free(f);
		return;
	}
	if (c->kind == WS_CALL_WATCH) {
		s->asked += !c->ms;
		bool blind = s->now < s->state_down || s->now < nd->refused ||
			     s->now < nd->cut_state || (c->ms && s->now < nd->blind);

		if ((blind || !sim_watch_ready(s, c, &f->res)) &&
		    s->now < c->made / (1 + nd->skew) + c->ms / 1000.0 && nd->life == f->life) {
			result_clear(&f->res);
			f->at = s->now + STEP / 2;
			flight_add(s, f);
			return;
		}
		if (blind) {
			result_clear(&f->res);
			f->res.status = s->now < nd->cut_state ? 0 : 503;
		}
		if (f->node == sim_leader(s))
			sim_count_watched(s, &f->res);
		if (c->ms && s->now < s->watch_late) { /* one that is not left open overtakes it */
			f->stage = 1;
			f->at = s->now + s->watch_late_by * sim_rnd(s);
			flight_add(s, f);
			return;
		}
	} else if (is_state(c->kind)) {
		sim_state_do(s, c, &f->res);
		if (c->kind == WS_CALL_TXN && s->lose_txn > 0 && sim_leader(s) == f->node) {
			s->lose_txn--;
			result_clear(&f->res);
			f->at = s->now + 1;
			f->stage = 1;
			flight_add(s, f);
			return;
		}
	} else if (is_cloud(c->kind)) {
		sim_cloud_do(s, c, &f->res);
		if (c->kind == WS_CALL_RENT && s->lose_rent > 0) {
			s->lose_rent--;
			result_clear(&f->res);
			f->at = s->now + 2;
			f->stage = 1;
			flight_add(s, f);
			return;
		}
	} else if (c->kind == WS_CALL_ORDERS) {
		int i = sim_worker_at(c->host);
		struct sim_worker *w = &s->w[i];
		bool lost = !sim_worker_live(s, w) || sim_apart(s, w, nd);
		double late = 0;

		s->commands++;

		if (w->dead || w->deleted) { /* nobody answers the attempt to connect */
			f->res.status = -1;
			f->at = s->now + fmin(s->report, s->lease / 16);
			f->stage = 1;
			flight_add(s, f);
			return;
		}
		if (s->now < w->deaf_until) { /* never arrives */
			f->at = s->now + s->report;
			f->stage = 1;
			flight_add(s, f);
			return;
		}
		if (s->late_orders > 0) {
			s->late_orders--;
			late = s->now + s->late_orders_by;
		} else if (lost) {
			late = fmax(fmax(w->cut_until, w->hang_until),
				    fmax(fmax(nd->cut_workers, s->zone_cut), w->pin_until)) +
			       0.05;
		}
		if (late > 0) {
			struct sim_late *l = calloc(1, sizeof(*l));

			l->at = late;
			l->worker = i;
			l->epoch = c->epoch;
			l->tenure = c->tenure;
			l->n = c->norders;
			l->orders = calloc(c->norders + 1, sizeof(*l->orders));
			if (c->norders)
				memcpy(l->orders, c->orders, c->norders * sizeof(*l->orders));
			l->next = s->late;
			s->late = l;
		} else {
			f->res.report = calloc(1, sizeof(*f->res.report));
			f->res.status = sim_worker_command(s, w, c->epoch, c->tenure, c->orders,
							   c->norders, f->res.report);
			if (s->slow_orders > 0) {
				f->at = s->now + s->slow_orders;
				f->stage = 1;
				flight_add(s, f);
				return;
			}
			if (s->lose_orders > 0) {
				s->lose_orders--;
				result_clear(&f->res);
				late = 1;
			}
		}
		if (late > 0) {
			f->at = s->now + s->report;
			f->stage = 1;
			flight_add(s, f);
			return;
		}
	} else if (c->kind == WS_CALL_TESTIFY) {
		int i;

		for (i = 0; i < s->nnodes && strcmp(s->nodes[i].set.node, c->key); i++)
			;
		f->stage = 1;
		if (i < s->nnodes && s->nodes[i].up && s->now >= nd->cut_peers &&
		    s->now >= s->nodes[i].cut_peers && s->now >= s->nodes[i].frozen) {
			/* the answer comes back by the token, see node_drain */
			uint64_t token =
			    ++s->next_token << SIM_TOKEN_SHIFT | (uint64_t)f->node | 1ULL << 61;

			f->token = token;
			f->at = s->now + 0.5;
			flight_add(s, f);
			/* only if both are of this version does what they ask and tell go further
			 */
			if (s->nodes[i].v == &sim_this_version && nd->v == &sim_this_version)
				ws_core_vouch(s->nodes[i].core, s->now * (1 + s->nodes[i].skew),
					      token, c->epoch, c->since, c->after);
			else
				s->nodes[i].v->testify(s->nodes[i].core,
						       s->now * (1 + s->nodes[i].skew), token);
			return;
		}
		f->at = s->now + 0.3;
		flight_add(s, f);
		return;
	}
	f->stage = 1;
	f->at = s->now + 0.004;
	flight_add(s, f);
}

/* ---- nodes ---- */

/* From now on it is of this version, which plans by the lower limits from its start. */
static void node_lower(struct sim *s, int i)
{
	s->nodes[i].v = &sim_this_version;
	s->nodes[i].set.value_kb = fmin(s->value_kb, s->next_value_kb);
	s->nodes[i].set.txn_ops = s->txn_ops < s->next_txn_ops ? s->txn_ops : s->next_txn_ops;
}

static void node_start(struct sim *s, int i)
{
	struct sim_node *nd = &s->nodes[i];

	nd->up = true;
	nd->core = nd->v->create(&nd->set, &s->pol, sim_log, s->now * (1 + nd->skew),
				 nd->life * 977 + (uint64_t)i + 1);
	sim_zones_attach(s, nd);
	sim_coldstart_attach(s, nd);
}

static void relay(struct sim *s, int from, const struct ws_action *a)
{
	struct ws_action no = {.token = a->token, .status = 503, .retry_after = 1};
	int to = -1;

	for (int i = 0; i < s->nnodes; i++)
		if (i != from && s->nodes[i].up && s->now >= s->nodes[i].frozen &&
		    s->now >= s->nodes[from].cut_peers && s->now >= s->nodes[i].cut_peers &&
		    (a->name[0] ? !strcmp(a->name, s->nodes[i].set.node) : to < 0))
			to = i;
	if (to < 0) {
		if (a->token >> 62 & 1)
			sim_worker_answer(s, &no);
		else
			sim_user_answer(s, &no);
		return;
	}
	struct sim_node *nd = &s->nodes[to];
	double t = s->now * (1 + nd->skew);

	if (a->token >> 62 & 1) {
		struct sim_worker *w = &s->w[a->token & (SIM_WORKERS - 1)];
		struct ws_report r;

		if (a->token != w->report_id)
			return;
		sim_worker_report(w, &r, s);
		r.counter = w->counter;
		nd->v->report(nd->core, t, a->token, &r, true);
		free(r.tasks);
	} else {
		struct sim_job *j = &s->jobs[a->token & (SIM_JOBS - 1)];
		int kind = sim_user_asked(s, a->token);

		if (kind)
			sim_ask(s, to, j, kind, a->token, true);
	}
}

static void testified(struct sim *s, const struct sim_node *nd, struct ws_action *a,
		      struct sim_flight *f)
{
	struct sim_flight **p = &s->flights;

	while (*p != f)
		p = &(*p)->next;
	*p = f->next;
	f->at = s->now + 0.002;
	flight_add(s, f);
	f->res.status = a->status;
	if (nd->v != &sim_this_version || s->nodes[f->node].v != &sim_this_version)
		return;
	f->res.vouched = a->vouched;
	f->res.more = a->more;
	f->res.nwithdrawn = a->nwithdrawn;
	f->res.withdrawn = a->withdrawn;
	a->withdrawn = NULL;
}

static void node_drain(struct sim *s, int i)
{
	struct ws_action *a;

	while (s->nodes[i].up && s->now >= s->nodes[i].frozen &&
	       (a = s->nodes[i].v->pop(s->nodes[i].core))) {
		sim_digest_add(s, i, a);
		switch (a->kind) {
		case WS_ACT_CALL: call_start(s, i, a->call); break;
		case WS_ACT_ANSWER_USER: sim_user_answer(s, a); break;
		case WS_ACT_ANSWER_REPORT: sim_worker_answer(s, a); break;
		case WS_ACT_RELAY: relay(s, i, a); break;
		case WS_ACT_ANSWER_TESTIFY:
			for (struct sim_flight *f = s->flights; f; f = f->next)
				if (f->token == a->token) {
					testified(s, &s->nodes[i], a, f);
					break;
				}
			break;
		}
		s->nodes[i].v->free_action(a);
	}
}

/* ---- scenario lines ---- */

const char *sim_word(char **p)
{
	char *w = *p;

	while (*w == ' ' || *w == '\t')
		w++;
	if (!*w)
		return NULL;
	*p = w + strcspn(w, " \t");
	if (**p)
		*(*p)++ = 0;
	return w;
}

double sim_option(const char *text, const char *name, double otherwise)
{
	char key[64];
	const char *p;

	snprintf(key, sizeof(key), " %s=", name);
	p = strstr(text, key);
	return p ? atof(p + strlen(key)) : otherwise;
}

bool sim_option_text(const char *text, const char *name, char *to, size_t n)
{
	char key[64];
	const char *p;

	snprintf(key, sizeof(key), " %s=", name);
	p = strstr(text, key);
	if (!p)
		return false;
	p += strlen(key);
	snprintf(to, n, "%.*s", (int)strcspn(p, " "), p);
	return true;
}

static bool flag(const char *text, const char *name)
{
	char key[64];
	const char *p;
	size_t n;

	n = (size_t)snprintf(key, sizeof(key), " %s", name);
	for (p = text; (p = strstr(p, key)); p += n)
		if (p[n] == 0 || p[n] == ' ')
			return true;
	return false;
}

static void add_job(struct sim *s, const char *id, const char *text, double at)
{
	struct sim_job *j = &s->jobs[s->njobs++];
	struct ws_spec *p = &j->spec;
	char tier[32] = "normal", list[64];

	memset(j, 0, sizeof(*j));
	snprintf(p->id, sizeof(p->id), "%s", id);
	strcpy(p->job_class, "c");
	sim_option_text(text, "class", p->job_class, sizeof(p->job_class));
	strcpy(p->team, "t");
	sim_option_text(text, "team", p->team, sizeof(p->team));
	p->service = flag(text, "service");
	p->gang = flag(text, "gang");
	p->spread = flag(text, "spread");
	p->one_zone = flag(text, "one-zone");
	p->spot = flag(text, "spot");
	sim_option_text(text, "zone", p->zone, sizeof(p->zone));
	if (sim_option_text(text, "type", list, sizeof(list)))
		strcpy(p->types[p->ntypes++], list);
	sim_option_text(text, "tier", tier, sizeof(tier));
	p->tier = !strcmp(tier, "production") ? WS_PRODUCTION
		  : !strcmp(tier, "urgent")   ? WS_URGENT
		  : !strcmp(tier, "best")     ? WS_BEST_EFFORT
					      : WS_NORMAL;
	p->tasks = (uint32_t)sim_option(text, "tasks", 1);
	p->cpus = sim_option(text, "cpus", 4);
	p->mem = sim_option(text, "mem", 1);
	strcpy(p->image, "img");
	sim_option_text(text, "image", p->image, sizeof(p->image));
	p->image_gb = sim_option(text, "gb", 0.5);
	p->deadline_s = sim_option(text, "deadline", -1);
	p->estimate_s = sim_option(text, "estimate", 0);
	p->checkpoint_s = sim_option(text, "checkpoint", 0);
	p->save_s = sim_option(text, "save", 0);
	j->run_s = sim_option(text, "run", 10);
	j->bad = flag(text, "bad");
	j->submit_at = at;
	j->node = s->njobs;
	j->task_done = calloc(p->tasks, sizeof(bool));
	HASH_ADD_KEYPTR(hh, s->by_id, p->id, strlen(p->id), j);
}

bool sim_line(struct sim *s, char *line, char *err, size_t n)
{
	char copy[300], *p = copy;
	const char *w;

	s->line++;
	line[strcspn(line, "#\r\n")] = 0;
	snprintf(copy, sizeof(copy), "%s", line);
	w = sim_word(&p);
	if (!w)
		return true;
	if (!strcmp(w, "at")) {
		struct sim_order *o = &s->orders[s->norders];

		w = sim_word(&p);
		if (!w || s->norders == 256) {
			snprintf(err, n, "line %d: at needs a time", s->line);
			return false;
		}
		o->at = atof(w);
		o->line = s->line;
		snprintf(o->text, sizeof(o->text), "%s", p);
		if (s->norders && o->at < s->orders[s->norders - 1].at) {
			snprintf(err, n, "line %d: times must not fall", s->line);
			return false;
		}
		s->norders++;
		s->end = o->at > s->end ? o->at : s->end;
	} else if (!strcmp(w, "nodes")) {
		s->nnodes = atoi(sim_word(&p));
	} else if (!strcmp(w, "lease")) {
		s->lease = atof(sim_word(&p));
	} else if (!strcmp(w, "report")) {
		s->report = atof(sim_word(&p));
	} else if (!strcmp(w, "gang-wait")) {
		s->gang_wait = atof(sim_word(&p));
	} else if (!strcmp(w, "gang-peer")) {
		s->gang_peer = atof(sim_word(&p));
	} else if (!strcmp(w, "old")) { /* so many nodes run the version in production at first */
		s->old_nodes = atoi(sim_word(&p));
		if (!sim_production_version()) {
			snprintf(err, n, "line %d: the version in production was not built",
				 s->line);
			return false;
		}
	} else if (!strcmp(w, "next-limits")) { /* KiB of a value, changes a transaction */
		s->next_value_kb = atof(sim_word(&p));
		s->next_txn_ops = atoi(sim_word(&p));
	} else if (!strcmp(w, "cancel")) {
		s->cancel_s = atof(sim_word(&p));
	} else if (!strcmp(w, "seed")) {
		s->rnd = (uint64_t)atoi(sim_word(&p));
	} else if (!strcmp(w, "capacity")) {
		s->cap_limit = atoi(sim_word(&p));
	} else if (!strcmp(w, "zone")) {
		snprintf(s->zones[s->nzones++], 32, "%s", sim_word(&p));
	} else if (!strcmp(w, "team")) {
		struct ws_team_setting *t = &s->teams[s->nteams++];

		snprintf(t->name, sizeof(t->name), "%s", sim_word(&p));
		t->cpus = atof(sim_word(&p));
		t->cpus_max = atof(sim_word(&p));
	} else if (!strcmp(w, "type")) {
		struct ws_type *t = &s->types[s->ntypes++].t;

		snprintf(t->name, sizeof(t->name), "%s", sim_word(&p));
		t->cpus = atof(sim_word(&p));
		t->mem = atof(sim_word(&p));
		t->price = atof(sim_word(&p));
		t->spot_price = t->price / 2;
		t->fetch_gb_s = 0.5;
		t->boot_s = atof(sim_word(&p));
		while ((w = sim_word(&p)))
			snprintf(t->zones[t->nzones++], WS_NAME_MAX, "%s", w);
	} else if (!strcmp(w, "objective")) {
		struct ws_objective *o = &s->objectives[s->nobjectives++];

		snprintf(o->kind, sizeof(o->kind), "%s", sim_word(&p));
		snprintf(o->job_class, sizeof(o->job_class), "%s", sim_word(&p));
		o->within_s = atof(sim_word(&p));
	} else if (!strcmp(w, "owned")) {
		const char *type = sim_word(&p), *zone = sim_word(&p);
		int t, k = 1;

		for (t = 0; t < s->ntypes && strcmp(s->types[t].t.name, type); t++)
			;
		if ((w = sim_word(&p)))
			k = atoi(w);
		while (k-- > 0 && t < s->ntypes)
			sim_add_worker(s, t, zone, false, true);
	} else if (!sim_coldstart_line(s, w, line) && !sim_zones_line(s, w, p, line)) {
		snprintf(err, n, "line %d: %s?", s->line, w);
		return false;
	}
	return true;
}

static int node_named(struct sim *s, const char *w)
{
	if (!strcmp(w, "leader"))
		return sim_leader(s);
	return atoi(w) % s->nnodes;
}

static struct sim_worker *machine_named(struct sim *s, const char *w)
{
	struct sim_worker *best = NULL;

	for (int i = 0; i < s->nw; i++) {
		struct sim_worker *x = &s->w[i];
		int n = 0, b = 0;

		if (!strcmp(w, x->name))
			return x;
		if (x->deleted || x->dead || !x->up)
			continue;
		if (!strcmp(w, "rental") && x->owned)
			continue;
		if (!strcmp(w, "owned") && !x->owned)
			continue;
		for (int k = 0; k < x->ntasks; k++)
			n += x->tasks[k].state != WS_TASK_EXITED;
		for (int k = 0; best && k < best->ntasks; k++)
			b += best->tasks[k].state != WS_TASK_EXITED;
		if (!best || n > b)
			best = x;
	}
	return best;
}

/* What befalls a machine. */
static void trouble(struct sim *s, struct sim_worker *w, const char *verb, double span)
{
	if (!strcmp(verb, "hang"))
		w->hang_until = s->now + span;
	else if (!strcmp(verb, "pin"))
		w->pin = sim_leader(s) + 1, w->pin_until = s->now + span;
	else if (!strcmp(verb, "reboot")) { /* an empty worker under the same name */
		w->ntasks = w->nimages = 0;
		w->counter = w->epoch = 0;
		w->tenure = 1;
		w->waiting = false;
		w->answered_sent = w->next_report = s->now;
	} else if (!strcmp(verb, "deaf"))
		w->deaf_until = s->now + span;
	else if (!strcmp(verb, "mute"))
		w->mute_until = s->now + span;
	else if (!strcmp(verb, "cut-machine"))
		w->cut_until = s->now + span;
	else if (!strcmp(verb, "die"))
		w->dead = true, w->died_at = s->now;
	else if (!strcmp(verb, "fail-tasks"))
		w->failing = true;
	else if (!strcmp(verb, "take"))
		w->deleted = true, w->deleted_at = s->now;
	else {
		w->notice_at = s->now;
		w->take_at = s->now + span;
		sim_worker_changed(w, s->now);
	}
}

static void act(struct sim *s, const struct sim_order *o)
{
	char text[256], full[256], *p = text;
	const char *verb, *who;
	double span;
	struct sim_worker *w;
	int i;

	snprintf(text, sizeof(text), "%s", o->text);
	snprintf(full, sizeof(full), "%s", o->text);
	verb = sim_word(&p);
	if (!verb)
		return;
	span = sim_option(full, "for", 5);
	if (!strcmp(verb, "expect")) {
		sim_expect(s, p);
		return;
	}
	sim_log(WS_LOG_INFO, full);
	who = sim_word(&p);
	if (!who)
		who = "";
	if (!strcmp(verb,
		    "once-returned")) { /* the rest of the line so long after the first return */
		s->after_return = atof(who);
		snprintf(s->then, sizeof(s->then), "%s", p);
	} else if (!strcmp(verb, "submit")) {
		add_job(s, who, full, s->now);
	} else if (!strcmp(verb, "submit-many")) { /* so many, one each step from now on */
		int first = atoi(sim_option_text(full, "first", text, sizeof(text)) ? text : "1");

		for (i = 0; i < atoi(who) && s->njobs < SIM_JOBS; i++) {
			char id[WS_ID_MAX];

			snprintf(id, sizeof(id), "job-%06d", first + i);
			add_job(s, id, full, s->now + i * sim_option(full, "every", STEP));
		}
	} else if (!strcmp(verb, "ask")) { /* for a job that nobody submitted */
		add_job(s, who, full, -1);
	} else if (!strcmp(verb, "abort")) {
		struct sim_job *j = sim_job_of(s, who);
		char at[16];

		if (j)
			j->abort_at = s->now;
		if (j && sim_option_text(full, "at", at, sizeof(at))) /* of this node first */
			j->node = node_named(s, at) - 1;
	} else if (!strcmp(verb, "look")) { /* asked for and sent again, at all nodes */
		if (sim_job_of(s, who))
			sim_look(s, sim_job_of(s, who));
	} else if (!strcmp(verb, "abort-many")) { /* so many from a number on, each step one */
		for (i = 0; i < atoi(who); i++) {
			char id[WS_ID_MAX];
			struct sim_job *j;

			snprintf(id, sizeof(id), "job-%06d", (int)sim_option(full, "first", 1) + i);
			if ((j = sim_job_of(s, id)))
				j->abort_at = s->now + i * sim_option(full, "every", STEP);
		}
	} else if (!strcmp(verb, "crash")) {
		if (!strcmp(who, "all"))
			sim_coldstart_stopped(s);
		for (i = 0; i < s->nnodes; i++)
			if (!strcmp(who, "all") || i == node_named(s, who))
				sim_node_crash(s, i, span);
	} else if (!strcmp(verb, "upgrade")) { /* killed, and back with this version */
		if ((i = node_named(s, who)) < 0) {
			sim_fail(s, "nobody leads");
			return;
		}
		sim_node_crash(s, i, span);
		node_lower(s, i);
	} else if (!strcmp(verb, "lower-limits")) {
		s->lowered = true;
		if (who[0]) { /* by more than the settings told */
			s->next_value_kb = atof(who);
			s->next_txn_ops = (int)sim_option(full, "ops", 12);
		}
		s->value_kb = s->next_value_kb;
		s->txn_ops = s->next_txn_ops;
	} else if (!strcmp(verb, "resign")) {
		if ((i = node_named(s, who)) >= 0)
			s->nodes[i].v->resign(s->nodes[i].core, s->now * (1 + s->nodes[i].skew));
	} else if (!strcmp(verb, "cut") || !strcmp(verb, "refuse") || !strcmp(verb, "blind") ||
		   !strcmp(verb, "freeze")) {
		i = node_named(s, who);
		if (i < 0) {
			sim_fail(s, "nobody leads");
			return;
		}
		bool all = flag(full, "all");

		if (!strcmp(verb, "refuse"))
			s->nodes[i].refused = s->now + span;
		if (!strcmp(verb, "freeze")) /* it stands still; what reaches it waits */
			s->nodes[i].frozen = s->now + span;
		if (!strcmp(verb, "blind")) /* its watches wait, all else is served */
			s->nodes[i].blind = s->now + span;
		if (all || flag(full, "state"))
			s->nodes[i].cut_state = s->now + span;
		if (all || flag(full, "workers"))
			s->nodes[i].cut_workers = s->now + span;
		if (all || flag(full, "peers"))
			s->nodes[i].cut_peers = s->now + span;
	} else if (!strcmp(verb, "state-outage")) {
		s->state_down = s->now + span;
	} else if (!strcmp(verb, "slow-state")) { /* slow-state BY for=SPAN */
		s->state_slow = s->now + span;
		s->state_slow_by = atof(who);
	} else if (!strcmp(verb, "late-watches")) { /* late-watches BY for=SPAN */
		s->watch_late = s->now + span;
		s->watch_late_by = atof(who);
	} else if (!strcmp(verb, "cloud-outage")) {
		s->cloud_down = s->now + span;
	} else if (!strcmp(verb, "zone-cut")) {
		s->zone_cut = s->now + span;
	} else if (!strcmp(verb, "hang") || !strcmp(verb, "cut-machine") || !strcmp(verb, "die") ||
		   !strcmp(verb, "fail-tasks") || !strcmp(verb, "pin") || !strcmp(verb, "notice") ||
		   !strcmp(verb, "take") || !strcmp(verb, "deaf") || !strcmp(verb, "mute") ||
		   !strcmp(verb, "reboot")) {
		/* so many, the one with most on it first; those that are gone are not named again
		 */
		for (int k = (int)sim_option(full, "times", 1); k > 0; k--) {
			if (!(w = machine_named(s, who))) {
				sim_fail(s, "no machine %s", who);
				return;
			}
			trouble(s, w, verb, span);
		}
	} else if (!strcmp(verb, "lose-answer")) {
		int k = (int)sim_option(full, "times", 1);

		if (!strcmp(who, "rent"))
			s->lose_rent = k;
		else if (!strcmp(who, "txn"))
			s->lose_txn = k;
		else
			s->lose_orders = k;
	} else if (!strcmp(verb, "late")) {
		if (!strcmp(who, "txn")) {
			s->late_txn = (int)sim_option(full, "times", 1);
			s->late_by = sim_option(full, "by", 5);
		} else {
			s->late_orders = (int)sim_option(full, "times", 1);
			s->late_orders_by = sim_option(full, "by", 5);
		}
	} else if (!strcmp(verb, "crash-on")) {
		s->crash_kind = !strcmp(who, "txn")	 ? WS_CALL_TXN
				: !strcmp(who, "orders") ? WS_CALL_ORDERS
				: !strcmp(who, "rent")	 ? WS_CALL_RENT
							 : WS_CALL_RETURN;
		s->crash = flag(full, "after") ? CRASH_AFTER : CRASH_BEFORE;
		s->crash_skip = (int)sim_option(full, "skip", 0);
		s->down_for = span;
	} else if (!strcmp(verb, "copies")) { /* copies BY for=SPAN */
		s->copies_by = atof(who);
		s->copies_until = s->now + span;
		s->copies_share = sim_option(full, "share", 1);
		s->copies_for_next = flag(full, "for-next");
	} else if (!strcmp(verb, "looks")) { /* looks SHARE for=SPAN: that share cancels at once */
		s->looks_until = s->now + span;
		s->abort_share = atof(who);
	} else if (!strcmp(verb, "abort-at-end")) { /* abort-at-end SHARE for=SPAN */
		s->end_until = s->now + span;
		s->end_share = atof(who);
	} else if (!strcmp(verb, "late-writes")) { /* late-writes SHARE for=SPAN [at-once] */
		s->lag_until = s->now + span;
		s->lag_share = atof(who);
		s->lag_most = sim_option(full, "most", 12);
		s->lag_at_once = flag(full, "at-once");
	} else if (!strcmp(verb, "garble")) { /* a record that nobody can read */
		json_t *v = json_pack("{s:i}", "x", 1);

		s->rev++;
		sim_kv_put(s, who, v, 0);
		json_decref(v);
	} else if (!strcmp(verb, "slow-orders")) {
		s->slow_orders = atof(who);
	} else if (!strcmp(verb, "stutter")) {
		s->stutter = true;
	} else if (!strcmp(verb, "foreign")) { /* MACHINE job=ID: its task 0 runs there, unasked */
		if (!(w = machine_named(s, who)) || w->ntasks == SIM_TASKS) {
			sim_fail(s, "no machine %s", who);
			return;
		}
		memset(&w->tasks[w->ntasks], 0, sizeof(w->tasks[0]));
		sim_option_text(full, "job", w->tasks[w->ntasks].job, WS_ID_MAX);
		w->tasks[w->ntasks].attempt = 7;
		w->tasks[w->ntasks++].state = WS_TASK_FETCHING;
		w->tasks[w->ntasks - 1].left = 1e6;
		sim_worker_changed(w, s->now);
	} else if (!strcmp(verb, "no-boot")) {
		s->no_boot = atoi(who);
	} else if (!strcmp(verb, "instant-boot")) {
		s->instant_boot = 1;
	} else if (!sim_coldstart_act(s, verb, who, full) && !sim_zones_act(s, verb, who, full)) {
		sim_fail(s, "line %d: %s?", o->line, verb);
	}
}

struct sim *sim_new(void)
{
	struct sim *s = calloc(1, sizeof(*s));

	s->w = calloc(SIM_WORKERS, sizeof(*s->w));
	s->jobs = calloc(SIM_JOBS, sizeof(*s->jobs));
	s->nnodes = 3;
	s->lease = 16;
	s->report = 2;
	s->cancel_s = 46;
	s->lag = 5;
	s->gang_wait = 30;
	s->gang_peer = 8;
	s->value_kb = 4;
	s->txn_ops = 12;
	s->cap_limit = 100;
	s->rnd = 12345;
	ws_policy_defaults(&s->pol);
	ws_zones_defaults(&s->zones_settings);
	ws_coldstart_defaults(&s->coldstart_settings);
	s->coldstart_on = sim_coldstart_always;
	sim_digest_begin(s);
	return s;
}

/* Whether another node has begun to lead since this was last asked. */
static bool begun(struct sim *s)
{
	struct sim_kv *k;
	const char *node;

	HASH_FIND_STR(s->kv, "leader", k);
	if (!k || k->stamp == s->led)
		return false;
	node = ws_record_leader_node(k->value);
	for (int i = 0; i < s->nnodes; i++)
		if (!strcmp(s->nodes[i].set.node, node) && s->nodes[i].up &&
		    s->nodes[i].v->leading(s->nodes[i].core)) {
			s->led = k->stamp;
			return true;
		}
	return false;
}

bool sim_play(struct sim *s, char *err, size_t n)
{
	int next = 0;

	log_sim = s;
	for (int i = 0; i < s->nnodes; i++) {
		struct ws_settings *x = &s->nodes[i].set;

		snprintf(x->node, sizeof(x->node), "node-%d", i);
		snprintf(x->zone, sizeof(x->zone), "%s", s->zones[i % s->nzones]);
		for (int k = 0; k < s->nnodes; k++)
			if (k != i)
				snprintf(x->peers[x->npeers++].node, WS_NAME_MAX, "node-%d", k);
		for (int k = 0; k < s->nzones; k++)
			snprintf(x->zones[x->nzones++], WS_NAME_MAX, "%s", s->zones[k]);
		for (int k = 0; k < s->nteams; k++)
			x->teams[x->nteams++] = s->teams[k];
		for (int k = 0; k < s->nobjectives; k++)
			x->objectives[x->nobjectives++] = s->objectives[k];
		x->report_s = s->report;
		x->lease_s = s->lease;
		x->cancel_s = s->cancel_s;
		x->state_rps = 250;
		x->state_write_rps = 50;
		/* the new version plans by the lower limits from its start */
		x->value_kb = s->value_kb;
		x->txn_ops = s->txn_ops;
		x->gang_wait_s = s->gang_wait;
		x->gang_peer_s = s->gang_peer;
		s->nodes[i].v = &sim_this_version;
		if (i < s->old_nodes)
			s->nodes[i].v = sim_production_version();
		else if (s->next_value_kb > 0)
			node_lower(s, i);
		x->cloud_rps = 2;
		x->list_lag_s = s->lag;
		s->nodes[i].skew = i == 1 ? 0.0005 : 0;
		node_start(s, i);
	}
	while (!s->err[0] && s->now <= s->end + STEP / 2) {
		struct sim_flight *f;

		while (next < s->norders && s->orders[next].at <= s->now + 1e-9)
			act(s, &s->orders[next++]);
		if (s->was_down && s->now >= s->state_down)
			for (int i = 0; i < s->nholds; i++)
				if (s->holds[i].live)
					s->holds[i].until = s->now + s->holds[i].ttl;
		if (s->then[0] && s->returned_at > 0 &&
		    s->now >= s->returned_at + s->after_return) {
			struct sim_order o = {.at = s->now};

			snprintf(o.text, sizeof(o.text), "%s", s->then);
			s->then[0] = 0;
			act(s, &o);
		}
		for (int i = 0; i < s->nholds; i++)
			if (s->holds[i].live && s->now >= s->state_down &&
			    s->now > s->holds[i].until + 0.05)
				sim_hold_end(s, &s->holds[i]);
		s->was_down = s->now < s->state_down;
		bool next_leader = begun(s);

		for (struct sim_held **p = &s->held, *h; (h = *p);) {
			if (h->node < 0 ? !next_leader : h->at > s->now) {
				p = &h->next;
				continue;
			}
			*p = h->next;
			/* its sender gave up long ago: nobody hears the answer */
			for (int i = 0; i < s->nnodes; i++)
				if (s->nodes[i].up && (h->node == i || h->node < 0))
					s->nodes[i].v->report(s->nodes[i].core,
							      s->now * (1 + s->nodes[i].skew),
							      1ULL << 60, &h->r, false);
			free(h->r.tasks);
			free(h);
		}
		for (struct sim_late **l = &s->late, *x; (x = *l);) {
			if (x->at > s->now) {
				l = &x->next;
				continue;
			}
			*l = x->next;
			if (sim_worker_live(s, &s->w[x->worker]))
				sim_worker_command(s, &s->w[x->worker], x->epoch, x->tenure,
						   x->orders, x->n, NULL);
			free(x->orders);
			free(x);
		}
		for (int i = 0; i < s->nnodes; i++) {
			if (!s->nodes[i].up && s->now >= s->nodes[i].up_at)
				node_start(s, i);
			if (s->now < s->nodes[i].frozen)
				continue;
			if (s->nodes[i].up)
				s->nodes[i].v->tick(s->nodes[i].core,
						    s->now * (1 + s->nodes[i].skew));
			node_drain(s, i);
		}
		for (int i = 0; i < s->nw; i++)
			sim_worker_step(s, &s->w[i]);
		sim_gangs_step(s);
		sim_users_step(s);
		sim_coldstart_step(s);
		/* all that falls within this step, in the order of its time */
		double step_end = s->now + STEP;
		for (;;) {
			for (int i = 0; i < s->nnodes; i++)
				node_drain(s, i);
			f = s->flights;
			if (!f || f->at >= step_end)
				break;
			s->flights = f->next;
			s->now = f->at > s->now ? f->at : s->now;
			flight_go(s, f);
		}
		s->now = step_end;
		sim_check_quota(s);
	}
	snprintf(err, n, "%s", s->err);
	return !s->err[0];
}

void sim_print_digest(const struct sim *s, const char *name)
{
	printf("digest %s %016llx %llu effects\n", name, (unsigned long long)s->digest,
	       (unsigned long long)s->digest_lines);
}

void sim_free(struct sim *s)
{
	struct sim_kv *k, *t;

	while (s->flights) {
		struct sim_flight *f = s->flights;

		s->flights = f->next;
		f->call_version->free_call(f->call);
		result_clear(&f->res);
		free(f);
	}
	while (s->held) {
		struct sim_held *h = s->held;

		s->held = h->next;
		free(h->r.tasks);
		free(h);
	}
	while (s->late) {
		struct sim_late *l = s->late;

		s->late = l->next;
		free(l->orders);
		free(l);
	}
	for (int i = 0; i < s->nnodes; i++)
		if (s->nodes[i].core)
			s->nodes[i].v->destroy(s->nodes[i].core);
	HASH_ITER (hh, s->kv, k, t) {
		HASH_DEL(s->kv, k);
		json_decref(k->value);
		free(k);
	}
	for (size_t i = 0; i < s->nhist; i++)
		json_decref(s->hist[i].value);
	HASH_CLEAR(hh, s->by_id);
	for (int i = 0; i < s->njobs; i++) {
		free(s->jobs[i].task_done);
		free(s->jobs[i].displaced_at);
		free(s->jobs[i].killed_at);
	}
	ws_zones_settings_free(&s->zones_settings);
	free(s->hist);
	free(s->jobs);
	free(s->w);
	free(s);
}
