#include "sim.h"
#include <dlfcn.h>
#include <stdarg.h>

bool sim_verbose;

static const struct sim_version this_version = {
    ws_core_new,    ws_core_free,   ws_core_tick,    ws_core_pop,    ws_core_complete,
    ws_core_resign, ws_core_ready,  ws_core_leading, ws_core_submit, ws_core_poll,
    ws_core_abort,  ws_core_report, ws_core_testify};

/* The version in production; NULL where it could not be built. */
static const struct sim_version *production(void)
{
	static struct sim_version v;
#ifdef WS_PRODUCTION_CORE
	static const char *const names[] = {"new",    "free",	"tick",	   "pop",    "complete",
					    "resign", "ready",	"leading", "submit", "poll",
					    "abort",  "report", "testify"};
	void **to = (void **)&v, *lib;
	char name[64];

	if (v.create)
		return &v;
	lib = dlopen(WS_PRODUCTION_CORE, RTLD_NOW | RTLD_LOCAL);
	for (size_t i = 0; lib && i < sizeof(names) / sizeof(names[0]); i++) {
		snprintf(name, sizeof(name), "ws_core_%s", names[i]);
		to[i] = dlsym(lib, name);
		if (!to[i])
			return NULL;
	}
#endif
	return v.create ? &v : NULL;
}

#define STEP 0.05

struct sim_kv {
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t stamp, hold;
	UT_hash_handle hh;
};

struct sim_event { /* of the state service's history */
	char key[WS_KEY_MAX];
	json_t *value;
	uint64_t stamp;
};

struct sim_hold {
	uint64_t id;
	double ttl, until;
	bool live;
};

struct sim_flight { /* something under way */
	double at;
	int stage; /* 0: to be carried out, 1: to be answered, 2: carried out late, unanswered */
	int node;
	uint64_t life;
	struct ws_call *call;
	struct ws_result res;
	struct sim_flight *next;
};

struct sim_late { /* direct commands that arrive after their sender gave up */
	double at;
	int worker;
	uint64_t epoch, tenure;
	struct ws_order *orders;
	size_t n;
	struct sim_late *next;
};

struct sim_held { /* reports that a cut holds back */
	double at;
	int node;
	struct ws_report r;
	struct sim_held *next;
};

struct sim_relay {
	uint64_t token; /* at the node that was asked */
	int from, to;
	uint64_t life;
};

struct sim_type {
	struct ws_type t;
	int cap[2];
};

enum sim_crash { CRASH_NONE, CRASH_BEFORE, CRASH_AFTER };

struct sim_order { /* a line with a time */
	double at;
	char text[256];
	int line;
};

struct sim {
	double now, end;
	double lease, report, cancel_s, lag;
	double gang_wait, gang_peer;
	double value_kb, next_value_kb; /* the state service's limits, and those to come */
	int txn_ops, next_txn_ops;
	bool lowered;
	int old_nodes, refused_writes;
	double slow_orders; /* direct commands are carried out at once and answered so much later */
	bool stutter;	    /* reports name every task twice */
	int alone, mates, saved, gang_runs; /* of gangs: how attempts and tasks ended */
	int nnodes;
	struct sim_node nodes[SIM_NODES];
	struct ws_policy pol;
	char zones[8][32];
	int nzones;
	struct ws_team_setting teams[16];
	int nteams;
	struct ws_objective objectives[8];
	int nobjectives;
	struct sim_type types[8];
	int ntypes;
	int cap_limit;
	struct sim_worker *w;
	int nw, vms;
	struct sim_job *jobs, *by_id;
	int njobs;
	struct sim_kv *kv;
	struct sim_event *hist;
	size_t nhist, hist_cap;
	uint64_t rev;
	struct sim_hold holds[4096];
	int nholds;
	double state_down, cloud_down, zone_cut;
	bool was_down;
	struct sim_flight *flights;
	struct sim_late *late;
	struct sim_held *held;
	uint64_t next_token;
	struct {
		uint64_t token;
		int from;
		uint64_t orig;
	} relays[4096];
	int nrelays;
	char (*bookings)[2][WS_NAME_MAX];
	struct {
		char name[WS_NAME_MAX];
		int first, n;
	} booked[512];
	int nbooked;
	int lose_rent, lose_txn, lose_orders, late_txn, no_boot, instant_boot;
	double late_by;
	int late_orders;
	double late_orders_by;
	double copies_by, copies_until; /* reports arrive once more, up to so much later */
	uint64_t commands, starts, polls, asked, changes; /* counts, for their ratios */
	enum ws_call_kind crash_kind;
	enum sim_crash crash;
	int crash_skip;
	struct sim_order orders[256];
	int norders;
	int rented, returned, failures;
	double after_return, returned_at;
	char then[256];
	uint64_t rnd;
	char err[512];
	int line;
	double down_for;
};

static void fail(struct sim *s, const char *fmt, ...)
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

static double rnd(struct sim *s)
{
	s->rnd = s->rnd * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(s->rnd >> 33) / (double)(1ULL << 31);
}

static struct sim *log_sim;
static void sim_log(enum ws_log_level level, const char *text)
{
	if (sim_verbose)
		fprintf(stderr, "%9.3f %d %s\n", log_sim ? log_sim->now : 0, level, text);
}

static int leader(struct sim *s)
{
	for (int i = 0; i < s->nnodes; i++)
		if (s->nodes[i].up && s->nodes[i].v->leading(s->nodes[i].core))
			return i;
	return -1;
}

/* ---- state service ---- */

static void history(struct sim *s, const char *key, json_t *v)
{
	if (s->nhist == s->hist_cap) {
		s->hist_cap = s->hist_cap ? 2 * s->hist_cap : 256;
		s->hist = realloc(s->hist, s->hist_cap * sizeof(*s->hist));
	}
	snprintf(s->hist[s->nhist].key, WS_KEY_MAX, "%s", key);
	s->hist[s->nhist].value = json_incref(v);
	s->hist[s->nhist++].stamp = s->rev;
}

static void kv_put(struct sim *s, const char *key, json_t *v, uint64_t hold)
{
	struct sim_kv *k;

	HASH_FIND_STR(s->kv, key, k);
	if (!v) {
		if (!k)
			return;
		history(s, key, NULL); /* key may be the entry's own */
		HASH_DEL(s->kv, k);
		json_decref(k->value);
		free(k);
		return;
	}
	if (!k) {
		k = calloc(1, sizeof(*k));
		snprintf(k->key, sizeof(k->key), "%s", key);
		HASH_ADD_STR(s->kv, key, k);
	} else {
		json_decref(k->value);
	}
	k->value = json_deep_copy(v);
	k->stamp = s->rev;
	k->hold = hold;
	history(s, key, k->value);
}

static void hold_end(struct sim *s, struct sim_hold *h)
{
	struct sim_kv *k, *t;

	h->live = false;
	HASH_ITER (hh, s->kv, k, t)
		if (k->hold == h->id) {
			s->rev++;
			kv_put(s, k->key, NULL, 0);
		}
}

static struct sim_hold *hold_find(struct sim *s, uint64_t id)
{
	return id && id <= (uint64_t)s->nholds && s->holds[id - 1].live ? &s->holds[id - 1] : NULL;
}

static int by_key(struct sim_kv *a, struct sim_kv *b)
{
	return strcmp(a->key, b->key);
}

static void copy_kv(struct ws_result *r, const char *key, json_t *v, uint64_t stamp)
{
	r->kvs = realloc(r->kvs, (r->nkvs + 1) * sizeof(*r->kvs));
	snprintf(r->kvs[r->nkvs].key, WS_KEY_MAX, "%s", key);
	r->kvs[r->nkvs].value = v ? json_deep_copy(v) : NULL;
	r->kvs[r->nkvs++].stamp = stamp;
}

static void state_do(struct sim *s, struct ws_call *c, struct ws_result *r)
{
	struct sim_kv *k, *t;
	struct sim_hold *h;
	size_t n;

	r->status = 200;
	s->asked += c->kind == WS_CALL_GET;
	s->changes += c->kind == WS_CALL_TXN && c->paced ? c->nops : 0;
	switch (c->kind) {
	case WS_CALL_GET:
		HASH_FIND_STR(s->kv, c->key, k);
		if (!k)
			r->status = 404;
		else
			copy_kv(r, k->key, k->value, k->stamp);
		break;
	case WS_CALL_LIST:
		HASH_SORT(s->kv, by_key);
		r->rev = s->rev;
		HASH_ITER (hh, s->kv, k, t) {
			if (strncmp(k->key, c->key, strlen(c->key)) ||
			    strcmp(k->key, c->after) <= 0)
				continue;
			if (r->nkvs == 7) { /* small pages, so that paging is at work */
				r->more = true;
				break;
			}
			copy_kv(r, k->key, k->value, k->stamp);
		}
		break;
	case WS_CALL_TXN:
		n = strlen("") + c->nconds;
		r->failed = calloc(n + 1, sizeof(*r->failed));
		for (size_t i = 0; i <= c->nops; i++) {
			size_t len = i < c->nops && c->ops[i].value
					 ? json_dumpb(c->ops[i].value, NULL, 0, JSON_COMPACT)
					 : 0;

			if (c->nops <= (size_t)s->txn_ops && len <= s->value_kb * 1024)
				continue;
			s->refused_writes++;
			r->status = 400;
			if (!s->lowered)
				fail(s, "a transaction of %zu changes, %zu bytes under %s", c->nops,
				     len, c->ops[i < c->nops ? i : 0].key);
			return;
		}
		for (size_t i = 0; i < c->nconds; i++) {
			HASH_FIND_STR(s->kv, c->conds[i].key, k);
			if ((k ? k->stamp : 0) != c->conds[i].stamp)
				strcpy(r->failed[r->nfailed++], c->conds[i].key);
		}
		for (size_t i = 0; i < c->nops; i++)
			if (c->ops[i].hold && !hold_find(s, c->ops[i].hold)) {
				r->status = 400;
				return;
			}
		if (r->nfailed) {
			r->status = 409;
			break;
		}
		if (c->nops)
			s->rev++;
		for (size_t i = 0; i < c->nops; i++) {
			kv_put(s, c->ops[i].key, c->ops[i].value, c->ops[i].hold);
		}
		r->rev = s->rev;
		break;
	case WS_CALL_HOLD_NEW:
		if (s->nholds == (int)(sizeof(s->holds) / sizeof(s->holds[0]))) {
			fail(s, "too many holds");
			break;
		}
		h = &s->holds[s->nholds++];
		*h = (struct sim_hold){(uint64_t)s->nholds, c->ms / 1000.0, s->now + c->ms / 1000.0,
				       true};
		r->hold = h->id;
		break;
	case WS_CALL_HOLD_EXTEND:
		if ((h = hold_find(s, c->hold)))
			h->until = s->now + h->ttl;
		else
			r->status = 404;
		break;
	case WS_CALL_HOLD_DROP:
		if ((h = hold_find(s, c->hold)))
			hold_end(s, h);
		else
			r->status = 404;
		break;
	default: break;
	}
}

/* ---- workers ---- */

static struct sim_job *job_of(struct sim *s, const char *id)
{
	struct sim_job *j;

	HASH_FIND(hh, s->by_id, id, strlen(id), j);
	return j;
}

static bool on_machine(const struct sim_task *t)
{
	return t->state == WS_TASK_RUNNING || t->state == WS_TASK_SAVING ||
	       t->state == WS_TASK_WAITING;
}

static void check_start(struct sim *s, struct sim_worker *w, struct sim_task *t)
{
	struct sim_job *j = job_of(s, t->job);
	uint32_t in_zone = 0, other_zone = 0;

	for (int i = 0; i < s->nw; i++)
		for (int k = 0; k < s->w[i].ntasks; k++) {
			struct sim_task *o = &s->w[i].tasks[k];

			if (o == t || s->w[i].dead || s->w[i].deleted || !on_machine(o) ||
			    strcmp(o->job, t->job))
				continue;
			if (o->task == t->task)
				fail(s, "ran_twice: %s/%u starts on %s while on %s", t->job,
				     t->task, w->name, s->w[i].name);
			if (j && j->spec.gang && o->attempt != t->attempt)
				fail(s, "%s/%u: a start beside another attempt of its gang", t->job,
				     t->task);
			if (strcmp(s->w[i].zone, w->zone))
				other_zone++;
			else
				in_zone++;
		}
	if (!j)
		return;
	if (j->spec.one_zone && other_zone)
		fail(s, "wrong_place: %s/%u in zone %s", t->job, t->task, w->zone);
	if (j->spec.spread && in_zone + 1 > (j->spec.tasks + 1) / 2)
		fail(s, "wrong_place: %s/%u makes %u in zone %s", t->job, t->task, in_zone + 1,
		     w->zone);
	if (j->spec.zone[0] && strcmp(j->spec.zone, w->zone))
		fail(s, "wrong_place: %s/%u in zone %s", t->job, t->task, w->zone);
	if (w->spot && !j->spec.spot)
		fail(s, "wrong_place: %s/%u on a spot machine", t->job, t->task);
	if (!ws_type_fits(&s->types[w->type].t, &j->spec))
		fail(s, "wrong_place: %s/%u on type %s", t->job, t->task, s->types[w->type].t.name);
	if (j->told_cancelled > 0 && s->now > j->told_cancelled + s->cancel_s)
		fail(s, "ran_cancelled: %s/%u starts on %s", t->job, t->task, w->name);
	s->starts++;
	if (!j->started_at)
		j->started_at = s->now;
}

static void worker_changed(struct sim_worker *w, double now)
{
	if (w->next_report > now + 0.5)
		w->next_report = now + 0.5;
}

static void worker_orders(struct sim *s, struct sim_worker *w, const struct ws_order *o, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct sim_task *t = NULL, *same = NULL;
		struct sim_job *j = job_of(s, o[i].job);

		for (int k = 0; k < w->ntasks; k++) {
			if (strcmp(w->tasks[k].job, o[i].job) || w->tasks[k].task != o[i].task)
				continue;
			if (w->tasks[k].attempt == o[i].attempt)
				t = &w->tasks[k];
			else if (w->tasks[k].state != WS_TASK_EXITED)
				same = &w->tasks[k];
		}
		if (o[i].verb == WS_RUN && !t) {
			double cpus = 0, mem = 0;
			bool cached = false;

			if (w->ntasks == SIM_TASKS) {
				fail(s, "%s has too many tasks", w->name);
				return;
			}
			for (int k = 0; k < w->ntasks; k++) {
				struct sim_job *x = job_of(s, w->tasks[k].job);

				if (w->tasks[k].state != WS_TASK_EXITED && x) {
					cpus += x->spec.cpus;
					mem += x->spec.mem;
				}
			}
			t = &w->tasks[w->ntasks++];
			memset(t, 0, sizeof(*t));
			strcpy(t->job, o[i].job);
			t->task = o[i].task;
			t->attempt = o[i].attempt;
			t->state = WS_TASK_EXITED;
			if (!j || !j->submitted)
				t->why = WS_WHY_UNKNOWN;
			else if (same)
				t->why = WS_WHY_BUSY;
			else if (cpus + j->spec.cpus > s->types[w->type].t.cpus + 1e-9 ||
				 mem + j->spec.mem > s->types[w->type].t.mem + 1e-9)
				t->why = WS_WHY_FULL;
			else {
				for (int k = 0; k < w->nimages; k++)
					cached |= !strcmp(w->images[k], j->spec.image);
				t->state = WS_TASK_FETCHING;
				t->left = cached ? 0 : j->spec.image_gb / 0.5;
			}
			worker_changed(w, s->now);
		} else if (o[i].verb == WS_STOP && t && j && j->spec.gang &&
			   (t->state == WS_TASK_RUNNING || t->state == WS_TASK_SAVING) &&
			   o[i].grace_s >= j->spec.save_s && j->spec.checkpoint_s > 0) {
			if (t->state == WS_TASK_RUNNING)
				t->told_at = s->now;
			t->state = WS_TASK_SAVING;
			worker_changed(w, s->now);
		} else if (o[i].verb == WS_STOP && t && t->state != WS_TASK_EXITED) {
			t->state = WS_TASK_EXITED;
			t->why = WS_WHY_STOPPED;
			worker_changed(w, s->now);
		} else if (o[i].verb == WS_REAP && t && t->state == WS_TASK_EXITED) {
			*t = w->tasks[--w->ntasks];
			worker_changed(w, s->now);
		}
	}
}

static void worker_report(struct sim_worker *w, struct ws_report *r, struct sim *s)
{
	memset(r, 0, sizeof(*r));
	strcpy(r->machine, w->name);
	snprintf(r->host, sizeof(r->host), "10.1.0.%d", (int)(w - s->w) + 1);
	r->port = 9000;
	strcpy(r->type, s->types[w->type].t.name);
	strcpy(r->zone, w->zone);
	r->spot = w->spot;
	r->tenure = w->tenure;
	r->counter = ++w->counter;
	r->epoch = w->epoch;
	r->notice_s = w->notice_at > 0 && s->now >= w->notice_at ? w->take_at - s->now : -1;
	r->tasks = calloc(2 * SIM_TASKS, sizeof(*r->tasks));
	for (int k = 0; k < w->ntasks * (s->stutter ? 2 : 1); k++) {
		int i = k % w->ntasks;
		struct ws_task_report *t = &r->tasks[r->ntasks++];

		strcpy(t->job, w->tasks[i].job);
		t->task = w->tasks[i].task;
		t->attempt = w->tasks[i].attempt;
		t->state = w->tasks[i].state;
		t->why = w->tasks[i].why;
	}
}

static bool worker_live(const struct sim *s, const struct sim_worker *w)
{
	return w->up && !w->dead && !w->deleted && s->now >= w->hang_until;
}

/* A direct command reaches the worker; the answer is its report. */
static int worker_command(struct sim *s, struct sim_worker *w, uint64_t epoch, uint64_t tenure,
			  const struct ws_order *o, size_t n, struct ws_report *r)
{
	int status = 200;

	if (epoch < w->epoch || tenure != w->tenure) {
		status = 409;
	} else {
		if (epoch > w->epoch) {
			w->epoch = epoch;
			worker_changed(w, s->now);
		}
		worker_orders(s, w, o, n);
	}
	if (r)
		worker_report(w, r, s);
	return status;
}

/* Whether node and machine can't reach each other now. */
static bool apart(const struct sim *s, const struct sim_worker *w, const struct sim_node *nd)
{
	return s->now < w->cut_until || s->now < nd->cut_workers ||
	       (s->now < s->zone_cut && strcmp(nd->set.zone, w->zone)) ||
	       (s->now < w->pin_until && nd != &s->nodes[w->pin - 1]);
}

static void task_finished(struct sim_job *j, const struct sim_task *t)
{
	j->finishes++;
	if (!j->task_done[t->task]) {
		j->task_done[t->task] = true;
		j->completed++;
	}
}

static void gang_exit(struct sim *s, struct sim_worker *w, struct sim_task *t, enum ws_why why)
{
	t->state = WS_TASK_EXITED;
	t->why = why;
	s->alone += why == WS_WHY_ALONE;
	s->mates += why == WS_WHY_MATES;
	worker_changed(w, s->now);
}

/*
 * One attempt of a gang, after the operators' page: its tasks wait for each other, run together,
 * save together when all are told in time, and end when one is gone.
 */
static void gang_step(struct sim *s, struct sim_job *j, struct sim_gang *g)
{
	struct {
		struct sim_worker *w;
		struct sim_task *t;
	} m[SIM_TASKS];
	uint32_t n = 0, waiting = 0, on = 0, told = 0;
	double first = 1e18, last = 0, ck = j->spec.checkpoint_s;
	bool hung = false;

	for (int i = 0; i < s->nw; i++) {
		struct sim_worker *w = &s->w[i];

		for (int k = 0; !w->dead && !w->deleted && w->up && k < w->ntasks; k++) {
			struct sim_task *t = &w->tasks[k];

			if (t->attempt != g->attempt || t->state == WS_TASK_EXITED ||
			    strcmp(t->job, j->spec.id) || n == SIM_TASKS)
				continue;
			m[n].w = w;
			m[n++].t = t;
			hung |= s->now < w->hang_until;
			waiting += t->state == WS_TASK_WAITING;
			on += t->state == WS_TASK_RUNNING || t->state == WS_TASK_SAVING;
			if (t->state == WS_TASK_SAVING) {
				told++;
				first = fmin(first, t->told_at);
				last = fmax(last, t->told_at);
			}
		}
	}
	if (!g->running && waiting == j->spec.tasks && !hung) {
		g->running = true;
		g->progress = j->progress_saved;
		s->gang_runs++;
		for (uint32_t i = 0; i < n; i++) {
			m[i].t->state = WS_TASK_RUNNING;
			worker_changed(m[i].w, s->now);
		}
		return;
	}
	for (uint32_t i = 0; i < n; i++)
		if (m[i].t->state == WS_TASK_WAITING && s->now >= m[i].w->hang_until &&
		    s->now - m[i].t->waiting_at > s->gang_wait)
			gang_exit(s, m[i].w, m[i].t, WS_WHY_ALONE);
	if (!g->running || !on)
		return;
	/* progress stops with the first stop, with a loss and with a hang */
	if (on < j->spec.tasks || hung) {
		if (!g->lost_at)
			g->lost_at = s->now;
	} else {
		g->lost_at = 0;
	}
	if (!told && !g->lost_at)
		g->progress += STEP;
	enum ws_why all = WS_WHY_NONE;

	if (!told && !g->lost_at && g->progress >= j->run_s)
		all = WS_WHY_DONE;
	else if (told == j->spec.tasks && !hung && s->now >= last + j->spec.save_s)
		all = WS_WHY_STOPPED;
	else if ((g->lost_at && s->now > g->lost_at + s->gang_peer * 0.8) ||
		 (told && told < on && s->now > first + s->gang_peer))
		all = WS_WHY_MATES;
	if (all == WS_WHY_NONE)
		return;
	if (all == WS_WHY_STOPPED) { /* safe with the first that exits */
		j->progress_saved = g->progress;
		s->saved++;
	} else if (ck > 0) {
		j->progress_saved = fmax(j->progress_saved, floor(g->progress / ck) * ck);
	}
	for (uint32_t i = 0; i < n; i++) {
		if (s->now < m[i].w->hang_until || m[i].t->state == WS_TASK_WAITING ||
		    m[i].t->state == WS_TASK_FETCHING)
			continue;
		if (all == WS_WHY_DONE)
			task_finished(j, m[i].t);
		gang_exit(s, m[i].w, m[i].t, all);
	}
}

static void gangs_step(struct sim *s)
{
	for (int i = 0; i < s->njobs; i++)
		for (int k = 0; k < s->jobs[i].ngangs; k++)
			gang_step(s, &s->jobs[i], &s->jobs[i].gangs[k]);
}

/* A run of a gang's task began: its attempt is followed from now on. */
static void gang_known(struct sim *s, struct sim_job *j, uint64_t attempt)
{
	for (int i = 0; i < j->ngangs; i++)
		if (j->gangs[i].attempt == attempt)
			return;
	if (j->ngangs == SIM_GANGS)
		fail(s, "%s began too often", j->spec.id);
	else
		j->gangs[j->ngangs++].attempt = attempt;
}

static void worker_step(struct sim *s, struct sim_worker *w)
{
	if (w->deleted || w->dead)
		return;
	if (!w->up) {
		if (!w->never && s->now >= w->boots) {
			w->up = true;
			w->tenure = 1;
			w->answered_sent = s->now;
			w->next_report = s->now;
			w->node = (int)(rnd(s) * s->nnodes);
		}
		return;
	}
	if (w->take_at > 0 && s->now >= w->take_at) {
		w->deleted = true;
		w->deleted_at = s->now;
		return;
	}
	/* a hanging machine can go on only within its lease; past it, its tasks are no more */
	if (s->now - w->answered_sent > s->lease && s->now < w->hang_until)
		w->ntasks = 0;
	if (s->now < w->hang_until)
		return;
	if (s->now - w->answered_sent > s->lease) {
		w->ntasks = 0;
		w->tenure++;
		w->answered_sent = s->now;
		w->next_report = s->now;
		w->waiting = false;
	}
	for (int i = 0; i < w->ntasks; i++) {
		struct sim_task *t = &w->tasks[i];
		struct sim_job *j = job_of(s, t->job);

		if (t->state == WS_TASK_FETCHING) {
			t->left -= STEP;
			if (t->left > 0)
				continue;
			t->state = j->spec.gang ? WS_TASK_WAITING : WS_TASK_RUNNING;
			t->waiting_at = s->now;
			if (j->spec.gang)
				gang_known(s, j, t->attempt);
			t->left = j->run_s * (w->slow ? 10 : 1);
			if (w->nimages < 32)
				strcpy(w->images[w->nimages++], j->spec.image);
			check_start(s, w, t);
			worker_changed(w, s->now);
		} else if (t->state == WS_TASK_RUNNING && (!j->spec.gang || w->failing || j->bad)) {
			t->left -= STEP;
			if (w->failing || j->bad) {
				t->state = WS_TASK_EXITED;
				t->why = WS_WHY_ERROR;
				s->failures++;
				worker_changed(w, s->now);
			} else if (!j->spec.service && t->left <= 0) {
				t->state = WS_TASK_EXITED;
				t->why = WS_WHY_DONE;
				task_finished(j, t);
				worker_changed(w, s->now);
			}
		}
	}
	if (w->waiting && s->now - w->sent_at > 4) {
		w->waiting = false;
		w->node = (w->node + 1) % s->nnodes;
		w->next_report = s->now + 1;
	}
	if (!w->waiting && s->now >= w->next_report) {
		struct sim_node *nd = &s->nodes[w->node];
		struct ws_report r;

		w->sent_at = s->now;
		w->waiting = true;
		worker_report(w, &r, s);
		w->next_report = s->now + s->report * (0.75 + 0.5 * rnd(s));
		w->report_id = (++s->next_token << 12) | (uint64_t)(w - s->w) | 1ULL << 62;
		if (apart(s, w, nd)) {
			double until = fmax(fmax(w->cut_until, w->pin_until),
					    fmax(nd->cut_workers, s->zone_cut));
			struct sim_held *h = calloc(1, sizeof(*h)), **p = &s->held;

			h->at = until + STEP;
			h->node = w->node;
			h->r = r;
			r.tasks = NULL;
			while (*p) /* delivered in order */
				p = &(*p)->next;
			*p = h;
		} else if (!nd->up) {
			w->waiting = false;
			w->node = (w->node + 1) % s->nnodes;
			w->next_report = s->now + 1;
		} else {
			if (s->copies_by > 0 &&
			    s->now < s->copies_until) { /* and once more later */
				struct sim_held *h = calloc(1, sizeof(*h)), **p = &s->held;

				h->at = s->now + s->copies_by * (0.2 + 0.8 * rnd(s));
				h->node = (int)(rnd(s) * s->nnodes);
				h->r = r;
				h->r.tasks = calloc(2 * SIM_TASKS, sizeof(*r.tasks));
				memcpy(h->r.tasks, r.tasks, r.ntasks * sizeof(*r.tasks));
				while (*p && (*p)->at <= h->at)
					p = &(*p)->next;
				h->next = *p;
				*p = h;
			}
			nd->v->report(nd->core, s->now * (1 + nd->skew), w->report_id, &r, false);
		}
		free(r.tasks);
	}
}

static void worker_answer(struct sim *s, const struct ws_action *a)
{
	struct sim_worker *w = &s->w[a->token & (SIM_WORKERS - 1)];

	if (a->token >> 60 == 1 || a->token != w->report_id || !w->waiting || !worker_live(s, w) ||
	    s->now < w->deaf_until || apart(s, w, &s->nodes[w->node]))
		return;
	w->waiting = false;
	if (a->status == 200) {
		if (a->epoch < w->epoch)
			return;
		if (a->epoch > w->epoch) {
			w->epoch = a->epoch;
			worker_changed(w, s->now);
		}
		w->answered_sent = w->sent_at;
		worker_orders(s, w, a->orders, a->norders);
		return;
	}
	if (a->status == 421 && a->name[0])
		for (int i = 0; i < s->nnodes; i++)
			if (!strcmp(s->nodes[i].set.node, a->name) && i != w->node) {
				w->node = i;
				w->next_report = s->now + 0.2;
				return;
			}
	w->node = (w->node + 1) % s->nnodes;
	w->next_report = s->now + 1;
}

/* ---- cloud ---- */

static int add_worker(struct sim *s, int type, const char *zone, bool spot, bool owned)
{
	struct sim_worker *w;

	if (s->nw == SIM_WORKERS) {
		fail(s, "too many machines");
		return 0;
	}
	w = &s->w[s->nw];
	memset(w, 0, sizeof(*w));
	snprintf(w->name, sizeof(w->name), "n-%06d", s->nw);
	w->type = type;
	snprintf(w->zone, sizeof(w->zone), "%s", zone);
	w->spot = spot;
	w->owned = owned;
	w->rented = s->now;
	w->boots = owned || s->instant_boot
		       ? s->now
		       : s->now + s->types[type].t.boot_s * (0.8 + 0.4 * rnd(s));
	if (!owned && s->no_boot > 0) {
		s->no_boot--;
		w->never = true;
	}
	return s->nw++;
}

static void cloud_do(struct sim *s, struct ws_call *c, struct ws_result *r)
{
	int n = 0, b;

	r->status = 200;
	if (s->now < s->cloud_down) {
		r->status = 503;
		return;
	}
	switch (c->kind) {
	case WS_CALL_TYPES:
		r->types = calloc((size_t)s->ntypes, sizeof(*r->types));
		for (int i = 0; i < s->ntypes; i++)
			r->types[r->ntypes++] = s->types[i].t;
		break;
	case WS_CALL_HOSTS:
		r->hosts = calloc((size_t)s->nw + 1, sizeof(*r->hosts));
		for (int i = 0; i < s->nw; i++) {
			struct sim_worker *w = &s->w[i];
			struct ws_host *h = &r->hosts[r->nhosts];

			/* what is gone is listed for another lag */
			if ((w->deleted && s->now > w->deleted_at + s->lag) ||
			    (!w->owned && s->now < w->rented + s->lag) ||
			    strcmp(w->name, c->after) <= 0)
				continue;
			strcpy(h->name, w->name);
			strcpy(h->type, s->types[w->type].t.name);
			strcpy(h->zone, w->zone);
			h->spot = w->spot;
			h->age_s = s->now - w->rented;
			/* the protocol: listed as running for about 30 s longer */
			h->phase = w->dead && s->now > w->died_at + 30 ? WS_HOST_FAILED
				   : w->up			       ? WS_HOST_RUNNING
								       : WS_HOST_STARTING;
			r->nhosts++;
		}
		break;
	case WS_CALL_RENT:
		for (b = 0; b < s->nbooked && strcmp(s->booked[b].name, c->key); b++)
			;
		if (b == s->nbooked) {
			int t;

			for (t = 0; t < s->ntypes && strcmp(s->types[t].t.name, c->type); t++)
				;
			for (int i = 0; i < s->nw; i++)
				n += !s->w[i].deleted && !s->w[i].owned;
			if (t == s->ntypes || n >= s->cap_limit) {
				r->status = 503;
				r->no_capacity = true;
				return;
			}
			snprintf(s->booked[b].name, WS_NAME_MAX, "%.*s", WS_NAME_MAX - 1, c->key);
			s->booked[b].first = s->nw;
			for (uint32_t i = 0; i < c->count && n < s->cap_limit; i++, n++) {
				add_worker(s, t, c->zone, c->spot, false);
				s->booked[b].n++;
				s->rented++;
			}
			s->nbooked++;
		}
		r->hosts = calloc((size_t)s->booked[b].n + 1, sizeof(*r->hosts));
		for (int i = 0; i < s->booked[b].n; i++)
			strcpy(r->hosts[r->nhosts++].name, s->w[s->booked[b].first + i].name);
		break;
	case WS_CALL_RETURN:
		for (size_t i = 0; i < c->nnames; i++)
			for (int k = 0; k < s->nw; k++)
				if (!strcmp(s->w[k].name, c->names[i])) {
					if (s->w[k].owned)
						fail(s, "owned machine %s returned", c->names[i]);
					s->returned += !s->w[k].deleted;
					if (!s->returned_at)
						s->returned_at = s->now;
					if (!s->w[k].deleted)
						s->w[k].deleted_at = s->now;
					s->w[k].deleted = true;
				}
		break;
	default: break;
	}
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

static void node_crash(struct sim *s, int i, double back)
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

static bool is_state(enum ws_call_kind k)
{
	return k <= WS_CALL_HOLD_DROP;
}

static bool is_cloud(enum ws_call_kind k)
{
	return k >= WS_CALL_TYPES && k <= WS_CALL_RETURN;
}

static bool watch_ready(struct sim *s, struct ws_call *c, struct ws_result *r)
{
	r->rev = s->rev;
	for (size_t i = 0; i < s->nhist; i++)
		if (s->hist[i].stamp > c->since && !strncmp(s->hist[i].key, c->key, strlen(c->key)))
			copy_kv(r, s->hist[i].key, s->hist[i].value, s->hist[i].stamp);
	r->status = 200;
	return r->nkvs > 0;
}

static void call_start(struct sim *s, int node, struct ws_call *c)
{
	struct sim_flight *f = calloc(1, sizeof(*f));
	struct sim_node *nd = &s->nodes[node];
	bool mine = s->crash != CRASH_NONE && c->kind == s->crash_kind && leader(s) == node &&
		    (c->kind != WS_CALL_TXN || c->nops) && s->crash_skip-- <= 0;

	if (mine && s->crash == CRASH_BEFORE) {
		s->crash = CRASH_NONE;
		free(f);
		ws_call_free(c);
		node_crash(s, node, s->down_for);
		return;
	}
	f->node = node;
	f->life = nd->life;
	f->call = c;
	f->at = s->now + (is_cloud(c->kind) ? 0.2 : 0.004);
	if (is_state(c->kind) && s->now < nd->cut_state) {
		f->stage = 1;
		f->at = s->now + 1;
	} else if (is_state(c->kind) && c->kind != WS_CALL_WATCH &&
		   (s->now < s->state_down || s->now < nd->refused)) {
		f->stage = 1;
		f->res.status = 503;
	} else if (c->kind == WS_CALL_TXN && s->late_txn > 0 && leader(s) == node) {
		/* given up on, and carried out all the same some time later */
		struct sim_flight *g = calloc(1, sizeof(*g));

		s->late_txn--;
		g->stage = 1;
		g->node = node;
		g->life = nd->life;
		g->at = s->now + 1;
		g->call = c;
		f->stage = 2;
		f->at = s->now + s->late_by;
		f->call = calloc(1, sizeof(*f->call));
		*f->call = *c;
		f->call->ctx = NULL;
		f->call->ops = calloc(c->nops, sizeof(*c->ops));
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
		node_crash(s, node, s->down_for);
		return;
	}
	flight_add(s, f);
}

static void complete(struct sim *s, struct sim_flight *f)
{
	struct sim_node *nd = &s->nodes[f->node];

	if (nd->up && nd->life == f->life) {
		if (is_state(f->call->kind) && s->now < nd->cut_state)
			f->res.status = 0;
		nd->v->complete(nd->core, s->now * (1 + nd->skew), f->call, &f->res);
	} else {
		ws_call_free(f->call);
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
		state_do(s, c, &f->res);
		ws_call_free(c);
		result_clear(&f->res);
		free(f);
		return;
	}
	if (c->kind == WS_CALL_WATCH) {
		s->asked += !c->ms;
		bool blind =
		    s->now < s->state_down || s->now < nd->refused || s->now < nd->cut_state;

		if ((blind || !watch_ready(s, c, &f->res)) &&
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
	} else if (is_state(c->kind)) {
		state_do(s, c, &f->res);
		if (c->kind == WS_CALL_TXN && s->lose_txn > 0 && leader(s) == f->node) {
			s->lose_txn--;
			result_clear(&f->res);
			f->at = s->now + 1;
			f->stage = 1;
			flight_add(s, f);
			return;
		}
	} else if (is_cloud(c->kind)) {
		cloud_do(s, c, &f->res);
		if (c->kind == WS_CALL_RENT && s->lose_rent > 0) {
			s->lose_rent--;
			result_clear(&f->res);
			f->at = s->now + 2;
			f->stage = 1;
			flight_add(s, f);
			return;
		}
	} else if (c->kind == WS_CALL_ORDERS) {
		int i = atoi(strrchr(c->host, '.') + 1) - 1;
		struct sim_worker *w = &s->w[i];
		bool lost = !worker_live(s, w) || apart(s, w, nd);
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
			f->res.status = worker_command(s, w, c->epoch, c->tenure, c->orders,
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
		    s->now >= s->nodes[i].cut_peers) {
			/* the answer comes back by the token, see node_drain */
			uint64_t token = ++s->next_token << 12 | (uint64_t)f->node | 1ULL << 61;

			c->since = token;
			f->at = s->now + 0.5;
			flight_add(s, f);
			s->nodes[i].v->testify(s->nodes[i].core, s->now * (1 + s->nodes[i].skew),
					       token);
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

/* ---- users ---- */

enum { ASK_SUBMIT = 1, ASK_POLL, ASK_ABORT };

static void user_send(struct sim *s, struct sim_job *j, int kind)
{
	struct sim_node *nd;
	int tries = 0;

	do
		j->node = (j->node + 1) % s->nnodes;
	while (!s->nodes[j->node].up && ++tries < s->nnodes);
	nd = &s->nodes[j->node];
	if (!nd->up)
		return;
	j->pending = (++s->next_token << 12) | (uint64_t)(j - s->jobs);
	j->pending_kind = kind;
	j->pending_at = s->now;
	if (kind == ASK_SUBMIT) {
		j->submitted = true;
		nd->v->submit(nd->core, s->now * (1 + nd->skew), s->now + 1e9, j->pending, &j->spec,
			      false);
	} else if (kind == ASK_POLL) {
		s->polls++;
		nd->v->poll(nd->core, s->now * (1 + nd->skew), j->pending, j->spec.id, false);
	} else {
		nd->v->abort(nd->core, s->now * (1 + nd->skew), j->pending, j->spec.id, false);
	}
}

static void user_answer(struct sim *s, const struct ws_action *a)
{
	struct sim_job *j = &s->jobs[a->token & (SIM_JOBS - 1)];
	int kind = j->pending_kind;

	if (a->token != j->pending)
		return;
	j->pending = 0;
	if (a->status == 503 && a->retry_after < 1)
		fail(s, "%s: a 503 without Retry-After", j->spec.id);
	if (kind == ASK_SUBMIT)
		j->status = a->status;
	if (kind == ASK_SUBMIT && (a->status == 200 || a->status == 201))
		j->accepted = true;
	if (a->status == 404 && j->accepted)
		fail(s, "forgotten: %s", j->spec.id);
	if ((a->status == 422 || a->status == 400) && j->accepted)
		fail(s, "forgotten: %s submitted again gets %d", j->spec.id, a->status);
	if (a->status == 200 && !j->submitted)
		fail(s, "invented: %s", j->spec.id);
	if (a->status != 200 && a->status != 201)
		return;
	j->answered_at = s->now;
	if (strcmp(a->name, j->spec.id))
		fail(s, "%s is answered for %s", a->name, j->spec.id);
	if (a->phase == WS_DONE && j->completed < j->spec.tasks)
		fail(s, "not_done: %s is called done with %u of %u", j->spec.id, j->completed,
		     j->spec.tasks);
	if (j->done && a->phase != WS_DONE)
		fail(s, "went_back: %s was done", j->spec.id);
	if (j->cancelled && a->phase != WS_CANCELLED)
		fail(s, "went_back: %s was cancelled, now %d", j->spec.id, a->phase);
	if (a->phase == WS_CANCELLED && !j->abort_sent)
		fail(s, "went_back: nobody cancelled %s", j->spec.id);
	if (a->phase == WS_DONE && !j->done) {
		j->done = true;
		j->told_done = s->now;
	}
	if (a->phase == WS_CANCELLED && !j->cancelled) {
		j->cancelled = true;
		j->told_cancelled = s->now;
	}
}

static void users_step(struct sim *s)
{
	for (int i = 0; i < s->njobs; i++) {
		struct sim_job *j = &s->jobs[i];

		if (j->pending && s->now - j->pending_at > 5)
			j->pending = 0;
		if (j->pending || s->now < j->next_try)
			continue;
		if (j->submit_at >= 0 && s->now >= j->submit_at && !j->accepted &&
		    j->status != 422) {
			user_send(s, j, ASK_SUBMIT);
			j->next_try = s->now + 1;
		} else if (j->abort_at > 0 && s->now >= j->abort_at && !j->cancelled && !j->done) {
			j->abort_sent = true;
			user_send(s, j, ASK_ABORT);
			j->next_try = s->now + 1;
		} else if ((j->accepted || j->submit_at < 0) && s->now >= j->next_poll) {
			user_send(s, j, ASK_POLL);
			j->next_poll = s->now + 2;
		}
	}
}

/* ---- nodes ---- */

/* From now on it is of this version, which plans by the lower limits from its start. */
static void node_lower(struct sim *s, int i)
{
	s->nodes[i].v = &this_version;
	s->nodes[i].set.value_kb = fmin(s->value_kb, s->next_value_kb);
	s->nodes[i].set.txn_ops = s->txn_ops < s->next_txn_ops ? s->txn_ops : s->next_txn_ops;
}

static void node_start(struct sim *s, int i)
{
	struct sim_node *nd = &s->nodes[i];

	nd->up = true;
	nd->core = nd->v->create(&nd->set, &s->pol, sim_log, s->now * (1 + nd->skew),
				 nd->life * 977 + (uint64_t)i + 1);
}

static void relay(struct sim *s, int from, const struct ws_action *a)
{
	struct ws_action no = {.token = a->token, .status = 503, .retry_after = 1};
	int to = -1;

	for (int i = 0; i < s->nnodes; i++)
		if (i != from && s->nodes[i].up && s->now >= s->nodes[from].cut_peers &&
		    s->now >= s->nodes[i].cut_peers &&
		    (a->name[0] ? !strcmp(a->name, s->nodes[i].set.node) : to < 0))
			to = i;
	if (to < 0) {
		if (a->token >> 62 & 1)
			worker_answer(s, &no);
		else
			user_answer(s, &no);
		return;
	}
	struct sim_node *nd = &s->nodes[to];
	double t = s->now * (1 + nd->skew);

	if (a->token >> 62 & 1) {
		struct sim_worker *w = &s->w[a->token & (SIM_WORKERS - 1)];
		struct ws_report r;

		if (a->token != w->report_id)
			return;
		worker_report(w, &r, s);
		r.counter = w->counter;
		nd->v->report(nd->core, t, a->token, &r, true);
		free(r.tasks);
	} else {
		struct sim_job *j = &s->jobs[a->token & (SIM_JOBS - 1)];

		if (a->token != j->pending)
			return;
		if (j->pending_kind == ASK_SUBMIT)
			nd->v->submit(nd->core, t, s->now + 1e9, a->token, &j->spec, true);
		else if (j->pending_kind == ASK_POLL)
			nd->v->poll(nd->core, t, a->token, j->spec.id, true);
		else
			nd->v->abort(nd->core, t, a->token, j->spec.id, true);
	}
}

static void node_drain(struct sim *s, int i)
{
	struct ws_action *a;

	while (s->nodes[i].up && (a = s->nodes[i].v->pop(s->nodes[i].core))) {
		switch (a->kind) {
		case WS_ACT_CALL: call_start(s, i, a->call); break;
		case WS_ACT_ANSWER_USER: user_answer(s, a); break;
		case WS_ACT_ANSWER_REPORT: worker_answer(s, a); break;
		case WS_ACT_RELAY: relay(s, i, a); break;
		case WS_ACT_ANSWER_TESTIFY:
			for (struct sim_flight *f = s->flights; f; f = f->next)
				if (f->call && f->call->kind == WS_CALL_TESTIFY &&
				    f->call->since == a->token)
					f->res.status = a->status;
			break;
		}
		ws_action_free(a);
	}
}

/* ---- scenario lines ---- */

static const char *word(char **p)
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

static double opt(const char *text, const char *name, double def)
{
	char key[64];
	const char *p;

	snprintf(key, sizeof(key), " %s=", name);
	p = strstr(text, key);
	return p ? atof(p + strlen(key)) : def;
}

static bool opt_text(const char *text, const char *name, char *to, size_t n)
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
	opt_text(text, "class", p->job_class, sizeof(p->job_class));
	strcpy(p->team, "t");
	opt_text(text, "team", p->team, sizeof(p->team));
	p->service = flag(text, "service");
	p->gang = flag(text, "gang");
	p->spread = flag(text, "spread");
	p->one_zone = flag(text, "one-zone");
	p->spot = flag(text, "spot");
	opt_text(text, "zone", p->zone, sizeof(p->zone));
	if (opt_text(text, "type", list, sizeof(list)))
		strcpy(p->types[p->ntypes++], list);
	opt_text(text, "tier", tier, sizeof(tier));
	p->tier = !strcmp(tier, "production") ? WS_PRODUCTION
		  : !strcmp(tier, "urgent")   ? WS_URGENT
		  : !strcmp(tier, "best")     ? WS_BEST_EFFORT
					      : WS_NORMAL;
	p->tasks = (uint32_t)opt(text, "tasks", 1);
	p->cpus = opt(text, "cpus", 4);
	p->mem = opt(text, "mem", 1);
	strcpy(p->image, "img");
	opt_text(text, "image", p->image, sizeof(p->image));
	p->image_gb = opt(text, "gb", 0.5);
	p->deadline_s = opt(text, "deadline", -1);
	p->checkpoint_s = opt(text, "checkpoint", 0);
	p->save_s = opt(text, "save", 0);
	j->run_s = opt(text, "run", 10);
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
	w = word(&p);
	if (!w)
		return true;
	if (!strcmp(w, "at")) {
		struct sim_order *o = &s->orders[s->norders];

		w = word(&p);
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
		s->nnodes = atoi(word(&p));
	} else if (!strcmp(w, "lease")) {
		s->lease = atof(word(&p));
	} else if (!strcmp(w, "report")) {
		s->report = atof(word(&p));
	} else if (!strcmp(w, "gang-wait")) {
		s->gang_wait = atof(word(&p));
	} else if (!strcmp(w, "gang-peer")) {
		s->gang_peer = atof(word(&p));
	} else if (!strcmp(w, "old")) { /* so many nodes run the version in production at first */
		s->old_nodes = atoi(word(&p));
		if (!production()) {
			snprintf(err, n, "line %d: the version in production was not built",
				 s->line);
			return false;
		}
	} else if (!strcmp(w, "next-limits")) { /* KiB of a value, changes a transaction */
		s->next_value_kb = atof(word(&p));
		s->next_txn_ops = atoi(word(&p));
	} else if (!strcmp(w, "cancel")) {
		s->cancel_s = atof(word(&p));
	} else if (!strcmp(w, "seed")) {
		s->rnd = (uint64_t)atoi(word(&p));
	} else if (!strcmp(w, "capacity")) {
		s->cap_limit = atoi(word(&p));
	} else if (!strcmp(w, "zone")) {
		snprintf(s->zones[s->nzones++], 32, "%s", word(&p));
	} else if (!strcmp(w, "team")) {
		struct ws_team_setting *t = &s->teams[s->nteams++];

		snprintf(t->name, sizeof(t->name), "%s", word(&p));
		t->cpus = atof(word(&p));
		t->cpus_max = atof(word(&p));
	} else if (!strcmp(w, "type")) {
		struct ws_type *t = &s->types[s->ntypes++].t;

		snprintf(t->name, sizeof(t->name), "%s", word(&p));
		t->cpus = atof(word(&p));
		t->mem = atof(word(&p));
		t->price = atof(word(&p));
		t->spot_price = t->price / 2;
		t->fetch_gb_s = 0.5;
		t->boot_s = atof(word(&p));
		while ((w = word(&p)))
			snprintf(t->zones[t->nzones++], WS_NAME_MAX, "%s", w);
	} else if (!strcmp(w, "objective")) {
		struct ws_objective *o = &s->objectives[s->nobjectives++];

		snprintf(o->kind, sizeof(o->kind), "%s", word(&p));
		snprintf(o->job_class, sizeof(o->job_class), "%s", word(&p));
		o->within_s = atof(word(&p));
	} else if (!strcmp(w, "owned")) {
		const char *type = word(&p), *zone = word(&p);
		int t, k = 1;

		for (t = 0; t < s->ntypes && strcmp(s->types[t].t.name, type); t++)
			;
		if ((w = word(&p)))
			k = atoi(w);
		while (k-- > 0 && t < s->ntypes)
			add_worker(s, t, zone, false, true);
	} else {
		snprintf(err, n, "line %d: %s?", s->line, w);
		return false;
	}
	return true;
}

static int node_named(struct sim *s, const char *w)
{
	if (!strcmp(w, "leader"))
		return leader(s);
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

static int running(struct sim *s, const char *id)
{
	int n = 0;

	for (int i = 0; i < s->nw; i++)
		for (int k = 0; k < s->w[i].ntasks; k++)
			n += !s->w[i].dead && !s->w[i].deleted && on_machine(&s->w[i].tasks[k]) &&
			     !strcmp(s->w[i].tasks[k].job, id);
	return n;
}

static void expect(struct sim *s, char *p)
{
	const char *what = word(&p), *a = word(&p), *b = word(&p), *c = word(&p);
	struct sim_job *j = a ? job_of(s, a) : NULL;
	int n = 0, m = 0, i;

	if (!what)
		return;
	if (!strcmp(what, "done")) {
		if (!j || !j->done)
			fail(s, "%s is not done (%u tasks are)", a, j ? j->completed : 0);
	} else if (!strcmp(what, "cancelled")) {
		if (!j || !j->cancelled || running(s, a))
			fail(s, "%s is not cancelled, %d run", a, running(s, a));
	} else if (!strcmp(what, "status")) {
		if (!j || j->status != atoi(b))
			fail(s, "%s was answered %d", a, j ? j->status : 0);
	} else if (!strcmp(what, "running") || !strcmp(what, "rented") || !strcmp(what, "held") ||
		   !strcmp(what, "returned") || !strcmp(what, "finishes") ||
		   !strcmp(what, "failures")) {
		const char *op = a, *num = b;

		if (!strcmp(what, "running") || !strcmp(what, "finishes")) {
			op = b;
			num = c;
			n = !strcmp(what, "running") ? running(s, a) : j ? j->finishes : 0;
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
			fail(s, "%s %s: %d, not %s %d", what, a, n, op, m);
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
			fail(s, "%s: %d", what, n);
	} else if (!strcmp(what, "all-done")) {
		for (i = 0; i < s->njobs; i++)
			if (!s->jobs[i].done)
				fail(s, "%s is not done", s->jobs[i].spec.id);
	} else if (!strcmp(what, "all-finished")) { /* arrays, that is */
		for (i = 0; i < s->njobs; i++)
			if (!s->jobs[i].done && !s->jobs[i].spec.service)
				fail(s, "%s is not done", s->jobs[i].spec.id);
	} else if (!strcmp(what, "all-answered")) { /* within so many seconds */
		for (i = 0; i < s->njobs; i++)
			if (s->jobs[i].accepted && s->now - s->jobs[i].answered_at > atof(a))
				fail(s, "forgotten: no answer about %s for %.0f s",
				     s->jobs[i].spec.id, s->now - s->jobs[i].answered_at);
	} else if (!strcmp(what, "gone")) {
		for (i = 0; i < s->nw; i++)
			if (!strcmp(s->w[i].name, a) && !s->w[i].deleted)
				fail(s, "%s is still there", a);
	} else if (!strcmp(what, "healthy-nodes")) {
		for (i = 0; i < s->nnodes; i++)
			n += s->nodes[i].up && s->nodes[i].v->ready(s->nodes[i].core);
		if (n != atoi(a))
			fail(s, "%d healthy nodes", n);
	} else if (!strcmp(what, "elections")) { /* how often the leader's key was written */
		for (size_t h = 0; h < s->nhist; h++)
			n += !strcmp(s->hist[h].key, "leader") && s->hist[h].value;
		if (n != atoi(a))
			fail(s, "%d elections", n);
	} else if (!strcmp(what, "live-jobs")) { /* that the leader keeps in memory */
		n = leader(s) < 0 ? -1 : (int)HASH_COUNT(s->nodes[leader(s)].core->jobs);
		if (n < 0 || n > atoi(a))
			fail(s, "the leader keeps %d jobs", n);
	} else if (!strcmp(what, "leader")) {
		if (leader(s) < 0)
			fail(s, "nobody leads");
	} else if (!strcmp(what, "healthy") || !strcmp(what, "unhealthy")) {
		i = atoi(a) % s->nnodes;
		if (!s->nodes[i].up ||
		    s->nodes[i].v->ready(s->nodes[i].core) != !strcmp(what, "healthy"))
			fail(s, "node %d: not %s", i, what);
	} else if (!strcmp(what, "per-pass")) { /* steps of the longest pass of this leader */
		uint64_t most = s->nodes[leader(s)].core->steps_most;

		if (most > (uint64_t)atoll(b))
			fail(s, "a pass took %llu steps", (unsigned long long)most);
	} else if (!strcmp(what, "per-start") || !strcmp(what, "per-poll")) {
		/* of changes, of commands or of steps in placement; of requests */
		double of = !strcmp(what, "per-poll") ? (double)s->polls : (double)s->starts, v = 0;

		if (!strcmp(a, "requests"))
			v = (double)s->asked;
		else if (!strcmp(a, "changes"))
			v = (double)s->changes;
		else if (!strcmp(a, "commands"))
			v = (double)s->commands;
		else if (leader(s) >= 0)
			v = (double)s->nodes[leader(s)].core->steps;
		if (!of || v / of > atof(b))
			fail(s, "%.3f %s %s", of ? v / of : -1, a, what);
	} else if (!strcmp(what, "started-within")) { /* job seconds */
		if (!j || !j->started_at || j->started_at - j->submit_at > atof(b))
			fail(s, "%s began after %.1f s", a,
			     j && j->started_at ? j->started_at - j->submit_at : -1.0);
	} else if (!strcmp(what, "leader-version")) {
		if (leader(s) < 0 || (s->nodes[leader(s)].v == &this_version) != !strcmp(a, "new"))
			fail(s, "node %d leads", leader(s));
	} else if (!strcmp(what, "value-of")) { /* KEY <= BYTES; 0: there is none */
		struct sim_kv *k;

		HASH_FIND_STR(s->kv, a, k);
		n = k ? (int)json_dumpb(k->value, NULL, 0, JSON_COMPACT) : 0;
		if (!(!strcmp(b, ">=")	? n >= atoi(c)
		      : !strcmp(b, "=") ? n == atoi(c)
					: n <= atoi(c)))
			fail(s, "%s has %d bytes", a, n);
	} else if (!strcmp(what, "no-leader")) {
		if (leader(s) >= 0)
			fail(s, "node %d leads", leader(s));
	} else if (!strcmp(what, "lost")) { /* tasks that were killed by their lease since start */
		for (int i = 0; i < s->nw; i++)
			n += s->w[i].up && s->w[i].tenure > 1;
		if (n > atoi(a))
			fail(s, "%d machines lost their lease", n);
	} else {
		fail(s, "expect %s?", what);
	}
}

/* What befalls a machine. */
static void trouble(struct sim *s, struct sim_worker *w, const char *verb, double span)
{
	if (!strcmp(verb, "hang"))
		w->hang_until = s->now + span;
	else if (!strcmp(verb, "pin"))
		w->pin = leader(s) + 1, w->pin_until = s->now + span;
	else if (!strcmp(verb, "reboot")) { /* an empty worker under the same name */
		w->ntasks = w->nimages = 0;
		w->counter = w->epoch = 0;
		w->tenure = 1;
		w->waiting = false;
		w->answered_sent = w->next_report = s->now;
	} else if (!strcmp(verb, "deaf"))
		w->deaf_until = s->now + span;
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
		worker_changed(w, s->now);
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
	verb = word(&p);
	if (!verb)
		return;
	span = opt(full, "for", 5);
	if (!strcmp(verb, "expect")) {
		expect(s, p);
		return;
	}
	sim_log(WS_LOG_INFO, full);
	who = word(&p);
	if (!who)
		who = "";
	if (!strcmp(verb,
		    "once-returned")) { /* the rest of the line so long after the first return */
		s->after_return = atof(who);
		snprintf(s->then, sizeof(s->then), "%s", p);
	} else if (!strcmp(verb, "submit")) {
		add_job(s, who, full, s->now);
	} else if (!strcmp(verb, "submit-many")) { /* so many, one each step from now on */
		int first = atoi(opt_text(full, "first", text, sizeof(text)) ? text : "1");

		for (i = 0; i < atoi(who) && s->njobs < SIM_JOBS; i++) {
			char id[WS_ID_MAX];

			snprintf(id, sizeof(id), "job-%06d", first + i);
			add_job(s, id, full, s->now + i * STEP);
		}
	} else if (!strcmp(verb, "ask")) { /* for a job that nobody submitted */
		add_job(s, who, full, -1);
	} else if (!strcmp(verb, "abort")) {
		struct sim_job *j = job_of(s, who);

		if (j)
			j->abort_at = s->now;
	} else if (!strcmp(verb, "crash")) {
		for (i = 0; i < s->nnodes; i++)
			if (!strcmp(who, "all") || i == node_named(s, who))
				node_crash(s, i, span);
	} else if (!strcmp(verb, "upgrade")) { /* killed, and back with this version */
		if ((i = node_named(s, who)) < 0) {
			fail(s, "nobody leads");
			return;
		}
		node_crash(s, i, span);
		node_lower(s, i);
	} else if (!strcmp(verb, "lower-limits")) {
		s->lowered = true;
		if (who[0]) { /* by more than the settings told */
			s->next_value_kb = atof(who);
			s->next_txn_ops = (int)opt(full, "ops", 12);
		}
		s->value_kb = s->next_value_kb;
		s->txn_ops = s->next_txn_ops;
	} else if (!strcmp(verb, "resign")) {
		if ((i = node_named(s, who)) >= 0)
			s->nodes[i].v->resign(s->nodes[i].core, s->now * (1 + s->nodes[i].skew));
	} else if (!strcmp(verb, "cut") || !strcmp(verb, "refuse")) {
		i = node_named(s, who);
		if (i < 0) {
			fail(s, "nobody leads");
			return;
		}
		bool all = flag(full, "all");

		if (!strcmp(verb, "refuse"))
			s->nodes[i].refused = s->now + span;
		if (all || flag(full, "state"))
			s->nodes[i].cut_state = s->now + span;
		if (all || flag(full, "workers"))
			s->nodes[i].cut_workers = s->now + span;
		if (all || flag(full, "peers"))
			s->nodes[i].cut_peers = s->now + span;
	} else if (!strcmp(verb, "state-outage")) {
		s->state_down = s->now + span;
	} else if (!strcmp(verb, "cloud-outage")) {
		s->cloud_down = s->now + span;
	} else if (!strcmp(verb, "zone-cut")) {
		s->zone_cut = s->now + span;
	} else if (!strcmp(verb, "hang") || !strcmp(verb, "cut-machine") || !strcmp(verb, "die") ||
		   !strcmp(verb, "fail-tasks") || !strcmp(verb, "pin") || !strcmp(verb, "notice") ||
		   !strcmp(verb, "take") || !strcmp(verb, "deaf") || !strcmp(verb, "reboot")) {
		/* so many, the one with most on it first; those that are gone are not named again
		 */
		for (int k = (int)opt(full, "times", 1); k > 0; k--) {
			if (!(w = machine_named(s, who))) {
				fail(s, "no machine %s", who);
				return;
			}
			trouble(s, w, verb, span);
		}
	} else if (!strcmp(verb, "lose-answer")) {
		int k = (int)opt(full, "times", 1);

		if (!strcmp(who, "rent"))
			s->lose_rent = k;
		else if (!strcmp(who, "txn"))
			s->lose_txn = k;
		else
			s->lose_orders = k;
	} else if (!strcmp(verb, "late")) {
		if (!strcmp(who, "txn")) {
			s->late_txn = (int)opt(full, "times", 1);
			s->late_by = opt(full, "by", 5);
		} else {
			s->late_orders = (int)opt(full, "times", 1);
			s->late_orders_by = opt(full, "by", 5);
		}
	} else if (!strcmp(verb, "crash-on")) {
		s->crash_kind = !strcmp(who, "txn")	 ? WS_CALL_TXN
				: !strcmp(who, "orders") ? WS_CALL_ORDERS
				: !strcmp(who, "rent")	 ? WS_CALL_RENT
							 : WS_CALL_RETURN;
		s->crash = flag(full, "after") ? CRASH_AFTER : CRASH_BEFORE;
		s->crash_skip = (int)opt(full, "skip", 0);
		s->down_for = span;
	} else if (!strcmp(verb, "copies")) { /* copies BY for=SPAN */
		s->copies_by = atof(who);
		s->copies_until = s->now + span;
	} else if (!strcmp(verb, "garble")) { /* a record that nobody can read */
		json_t *v = json_pack("{s:i}", "x", 1);

		s->rev++;
		kv_put(s, who, v, 0);
		json_decref(v);
	} else if (!strcmp(verb, "slow-orders")) {
		s->slow_orders = atof(who);
	} else if (!strcmp(verb, "stutter")) {
		s->stutter = true;
	} else if (!strcmp(verb, "foreign")) { /* MACHINE job=ID: its task 0 runs there, unasked */
		if (!(w = machine_named(s, who)) || w->ntasks == SIM_TASKS) {
			fail(s, "no machine %s", who);
			return;
		}
		memset(&w->tasks[w->ntasks], 0, sizeof(w->tasks[0]));
		opt_text(full, "job", w->tasks[w->ntasks].job, WS_ID_MAX);
		w->tasks[w->ntasks].attempt = 7;
		w->tasks[w->ntasks++].state = WS_TASK_FETCHING;
		w->tasks[w->ntasks - 1].left = 1e6;
		worker_changed(w, s->now);
	} else if (!strcmp(verb, "no-boot")) {
		s->no_boot = atoi(who);
	} else if (!strcmp(verb, "instant-boot")) {
		s->instant_boot = 1;
	} else {
		fail(s, "line %d: %s?", o->line, verb);
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
	return s;
}

static void check_quota(struct sim *s)
{
	double used[16] = {0};

	for (int i = 0; i < s->nw; i++)
		for (int k = 0; k < s->w[i].ntasks; k++) {
			struct sim_job *j = job_of(s, s->w[i].tasks[k].job);

			if (s->w[i].dead || s->w[i].deleted || !on_machine(&s->w[i].tasks[k]) || !j)
				continue;
			if (j->told_cancelled > 0 && s->now > j->told_cancelled + s->cancel_s)
				fail(s, "ran_cancelled: %s is on %s", j->spec.id, s->w[i].name);
			for (int t = 0; t < s->nteams; t++)
				if (!strcmp(s->teams[t].name, j->spec.team))
					used[t] += j->spec.cpus;
		}
	for (int t = 0; t < s->nteams; t++)
		if (used[t] > s->teams[t].cpus_max + 1e-9)
			fail(s, "quota: %s uses %.1f", s->teams[t].name, used[t]);
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
		s->nodes[i].v = &this_version;
		if (i < s->old_nodes)
			s->nodes[i].v = production();
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
				hold_end(s, &s->holds[i]);
		s->was_down = s->now < s->state_down;
		for (struct sim_held **p = &s->held, *h; (h = *p);) {
			struct sim_node *nd = &s->nodes[h->node];

			if (h->at > s->now) {
				p = &h->next;
				continue;
			}
			*p = h->next;
			if (nd->up) /* its sender gave up long ago: nobody hears the answer */
				nd->v->report(nd->core, s->now * (1 + nd->skew), 1ULL << 60, &h->r,
					      false);
			free(h->r.tasks);
			free(h);
		}
		for (struct sim_late **l = &s->late, *x; (x = *l);) {
			if (x->at > s->now) {
				l = &x->next;
				continue;
			}
			*l = x->next;
			if (worker_live(s, &s->w[x->worker]))
				worker_command(s, &s->w[x->worker], x->epoch, x->tenure, x->orders,
					       x->n, NULL);
			free(x->orders);
			free(x);
		}
		for (int i = 0; i < s->nnodes; i++) {
			if (!s->nodes[i].up && s->now >= s->nodes[i].up_at)
				node_start(s, i);
			if (s->nodes[i].up)
				s->nodes[i].v->tick(s->nodes[i].core,
						    s->now * (1 + s->nodes[i].skew));
			node_drain(s, i);
		}
		for (int i = 0; i < s->nw; i++)
			worker_step(s, &s->w[i]);
		gangs_step(s);
		users_step(s);
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
		check_quota(s);
	}
	snprintf(err, n, "%s", s->err);
	return !s->err[0];
}

void sim_free(struct sim *s)
{
	struct sim_kv *k, *t;

	while (s->flights) {
		struct sim_flight *f = s->flights;

		s->flights = f->next;
		ws_call_free(f->call);
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
	for (int i = 0; i < s->njobs; i++)
		free(s->jobs[i].task_done);
	free(s->hist);
	free(s->jobs);
	free(s->w);
	free(s);
}
