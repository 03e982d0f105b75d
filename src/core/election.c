/*
 * Who leads, and how the lead is kept.
 *
 * The leader is whoever attached the key `leader` to a hold of its own. Its epoch is the key's
 * stamp, shifted, so every leader's epoch is above those before it. It acts only until the end of
 * its hold as reckoned from when the last granted renewal was sent, and every write of a leader is
 * conditioned on the stamp of the leader key, so one that comes late has no effect.
 */
#include "internal.h"

/* Renewals under way at once. */
#define RENEWALS_MAX 4

bool ws_entitled(const struct ws_core *c)
{
	return ws_core_entitled(c, c->now);
}

static void ws_follow(struct ws_core *c, double after)
{
	c->role = WS_FOLLOWER;
	c->leader_next = c->now + after;
}

static void ws_nothing(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	(void)c;
	(void)call;
	(void)r;
}

/* Everything a leader knows of the cluster. */
static void ws_forget_cluster(struct ws_core *c)
{
	struct ws_machine *m = c->machines, *next_machine;
	struct ws_job *j = c->jobs, *next_job;
	struct ws_rental *r = c->rentals, *next_rental;
	struct ws_image *image = c->images, *next_image;

	HASH_CLEAR(hh, c->machines);
	for (; m; m = next_machine) {
		next_machine = m->hh.next;
		for (struct ws_attempt *s = m->attempts, *n; s; s = n) {
			n = s->next;
			free(s);
		}
		free(m);
	}
	HASH_CLEAR(hh, c->jobs);
	for (; j; j = next_job) {
		next_job = j->hh.next;
		free(j->tasks);
		free(j);
	}
	HASH_CLEAR(hh, c->rentals);
	for (; r; r = next_rental) {
		next_rental = r->hh.next;
		free(r->hosts);
		free(r);
	}
	HASH_CLEAR(hh, c->images);
	for (; image; image = next_image) {
		next_image = image->hh.next;
		free(image);
	}
	free(c->image_names);
	c->image_names = NULL;
	c->nimages = 0;
	ws_tombstones_clear(c, true);
	ws_kept_clear(c);
}

/* Lists and scratch memory over what was forgotten. */
static void ws_forget_lists(struct ws_core *c)
{
	c->dirty_jobs = NULL;
	c->dirty_rentals = NULL;
	free(c->order);
	c->order = NULL;
	c->norder = 0;
	c->order_stale = true;
	free(c->pass_memory);
	c->pass_memory = NULL;
	c->pass_cap = 0;
	free(c->chunks);
	c->chunks = NULL;
	c->nchunks = 0;
	free(c->unmet);
	c->unmet = NULL;
	c->unmet_count = c->unmet_cap = 0;
	for (size_t i = 0; i < c->set->nteams; i++)
		c->teams[i].used_cpus = c->teams[i].used_gpus = 0;
}

/* What was under way, and when what is next due. */
static void ws_forget_progress(struct ws_core *c)
{
	ws_writer_reset(c);
	ws_job_watch_reset(c);
	c->owned_upto[0] = 0;
	c->owned_seen = c->owned_known = c->owned_writing = c->types_saved = false;
	c->hosts_inflight = c->rent_inflight = false;
	c->extends = 0;
	c->in_outage = c->paused = false;
	c->ask_out = 0;
	c->hosts_after[0] = 0;
	c->hosts_next = c->cloud_next = c->sweep_next = c->rent_next = 0;
	memset(c->refusals, 0, sizeof(c->refusals));
	c->returns_wait = 0;
	c->place_next = c->pass_at = 0;
	c->measured_at = 0;
	c->work_arrived = c->work_done = c->busy_time = c->busy = 0;
}

/*
 * Proof that a leader lived. The state service removes a key `ttl` after its last renewal, unless
 * it was out meanwhile: then all holds have their full time again. So a key that was read for
 * longer than that, without a refusal in between, was renewed within that time. A key that was just
 * written proves that somebody was elected, and not yet that he served anybody. Times are those at
 * which the question was asked: whoever stood still meanwhile has no newer proof.
 */
static void ws_leader_proven(struct ws_core *c, double at, uint64_t term)
{
	if (c->proof.any && at <= c->proof.at)
		return;
	c->proof.any = true;
	c->proof.at = at;
	c->proof.term = term;
}

static void ws_leader_answered(struct ws_core *c, double asked)
{
	struct ws_leader_proof *proof = &c->proof;
	const double hold_s = WS_PROOF_TTLS * c->ttl;

	if (c->leader_stamp != proof->key) {
		proof->key = c->leader_stamp;
		proof->key_since = asked;
	} else if (proof->key && asked - proof->key_since > hold_s) {
		ws_leader_proven(c, asked - hold_s, proof->key);
	}
}

void ws_step_down(struct ws_core *c, const char *why)
{
	if (why && c->role != WS_FOLLOWER)
		ws_log(c, WS_LOG_INFO, "no longer leading: %s", why);
	c->generation++;
	if (c->role == WS_LEADER && c->now - c->elected_at > WS_PROOF_TTLS * c->ttl)
		ws_leader_proven(c, fmin(c->now, c->entitled_until), c->epoch >> WS_EPOCH_SHIFT);
	ws_subsystems_step_down(c);
	ws_forget_cluster(c);
	ws_forget_lists(c);
	ws_forget_progress(c);
	if (c->hold && why) {
		struct ws_call *call = ws_call(c, WS_CALL_HOLD_DROP, ws_nothing);

		call->hold = c->hold;
		call->urgent = true;
	}
	c->hold = 0;
	c->epoch = 0;
	c->entitled_until = 0;
	ws_follow(c, 0);
}

/* The node is about to stop: whoever comes next need not wait for the hold to end. */
void ws_core_resign(struct ws_core *c, double now)
{
	if (now > c->now)
		c->now = now;
	c->campaign_after = 1e18;
	if (c->role != WS_FOLLOWER)
		ws_step_down(c, "stopping");
}

/* ---- who leads ---- */

static void ws_leader_is(struct ws_core *c, json_t *value, uint64_t stamp)
{
	const char *node = value ? ws_record_leader_node(value) : NULL;

	if (strcmp(c->leader, node ? node : ""))
		ws_log(c, WS_LOG_INFO, "leader: %s", node ? node : "none");
	snprintf(c->leader, sizeof(c->leader), "%s", node ? node : "");
	c->leader_stamp = node ? stamp : 0;
	if ((c->role == WS_LEADER || c->role == WS_LOADING) && node &&
	    stamp > c->epoch >> WS_EPOCH_SHIFT)
		ws_step_down(c, "another node leads");
}

static void ws_elect_written(struct ws_core *c, struct ws_call *call, const struct ws_result *r);

static void ws_hold_got(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	struct ws_call *t;

	if (call->generation != c->generation || c->role != WS_ASKING)
		return;
	if (r->status != 200) {
		ws_follow(c, c->ttl / 4);
		return;
	}
	c->hold = r->hold;
	if (c->leader[0] && strcmp(c->leader, c->set->node)) {
		/* another was elected meanwhile: our write must not be conditioned on its key */
		ws_step_down(c, "another node was elected");
		return;
	}
	c->entitled_until = call->made + c->ttl * (1 - WS_DRIFT);
	c->extend_next = call->made + c->ttl / 4;
	t = ws_call(c, WS_CALL_TXN, ws_elect_written);
	t->urgent = true;
	t->conds = calloc(1, sizeof(*t->conds));
	t->ops = calloc(1, sizeof(*t->ops));
	if (!t->conds || !t->ops)
		abort();
	t->nconds = t->nops = 1;
	snprintf(t->conds[0].key, WS_KEY_MAX, "leader");
	t->conds[0].stamp = c->leader_stamp; /* 0, or the key of our own earlier life */
	snprintf(t->ops[0].key, WS_KEY_MAX, "leader");
	t->ops[0].value = ws_record_leader(c->set, c->nonce);
	t->ops[0].hold = c->hold;
}

static void ws_elect_written(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation || c->role != WS_ASKING)
		return;
	if (r->status != 200) {
		/* lost, or unknown: the hold is given up, so that a late write of ours ends with it
		 */
		ws_step_down(c, "the election was lost");
		ws_follow(c, r->status == 409 ? 0 : c->ttl / 4);
		return;
	}
	c->role = WS_LOADING;
	/* a key left over from our own last life tells nothing of when another's hold ended, and a
	 * paused leader may have answered for as long as a hold lasts */
	c->elected_at = c->now + (call->conds[0].stamp ? c->ttl : 0);
	c->epoch = r->rev << WS_EPOCH_SHIFT;
	c->attempt_seq = 0;
	c->rental_seq = 0;
	c->leader_stamp = r->rev;
	snprintf(c->leader, sizeof(c->leader), "%s", c->set->node);
	c->relay_since = 0;
	ws_log(c, WS_LOG_INFO, "elected, epoch %llu", (unsigned long long)c->epoch);
	ws_subsystems_elected(c);
	ws_loader_start(c);
}

static void ws_campaign(struct ws_core *c)
{
	struct ws_call *call;

	c->role = WS_ASKING;
	c->generation++;
	call = ws_call(c, WS_CALL_HOLD_NEW, ws_hold_got);
	call->ms = (uint32_t)(c->ttl * 1000);
	call->urgent = true;
}

static void ws_leader_news(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	c->leader_watch = false;
	if (r->status != 200) {
		c->leader_read = false;
		c->proof.key = 0;
		c->leader_next = c->now + c->ttl / 4;
		if (r->status == 410)
			c->leader_next = c->now;
		return;
	}
	c->leader_rev = r->rev;
	for (size_t i = 0; i < r->nkvs; i++)
		if (!strcmp(r->kvs[i].key, "leader"))
			ws_leader_is(c, r->kvs[i].value, r->kvs[i].stamp);
	ws_leader_answered(c, call->made);
}

static void ws_leader_read(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	c->leader_watch = false;
	if (r->status != 200) {
		c->proof.key = 0;
		c->leader_next = c->now + c->ttl / 4;
		return;
	}
	bool any = false;
	c->leader_read = true; /* the revision of a new state service may be 0 */
	c->leader_rev = r->rev;
	for (size_t i = 0; i < r->nkvs; i++)
		if (!strcmp(r->kvs[i].key, "leader")) {
			any = true;
			ws_leader_is(c, r->kvs[i].value, r->kvs[i].stamp);
		}
	if (!any)
		ws_leader_is(c, NULL, 0);
	ws_leader_answered(c, call->made);
}

static void ws_watch_leader(struct ws_core *c)
{
	struct ws_call *call;

	if (c->leader_watch || c->now < c->leader_next)
		return;
	c->leader_watch = true;
	if (!c->leader_read) {
		call = ws_call(c, WS_CALL_LIST, ws_leader_read);
		snprintf(call->key, sizeof(call->key), "leader");
		return;
	}
	call = ws_call(c, WS_CALL_WATCH, ws_leader_news);
	snprintf(call->key, sizeof(call->key), "leader");
	call->since = c->leader_rev;
	call->ms = (uint32_t)(c->ttl * 1000);
}

/* ---- keeping the lead ---- */

static void ws_extended(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation)
		return;
	c->extends--;
	if (r->status == 200) {
		double until = call->made + c->ttl * (1 - WS_DRIFT);

		if (until > c->entitled_until)
			c->entitled_until = until;
		if (c->in_outage) {
			ws_log(c, WS_LOG_INFO, "the state service is back");
			c->served_at = c->now;
		}
		c->in_outage = c->paused = false;
		c->place_wanted = true;
		c->extend_next = fmax(c->extend_next, call->made + c->ttl / 4);
	} else if (r->status == 404) {
		ws_step_down(c, "the hold ended");
	} else {
		if (!c->extends)
			c->extend_next = c->now + c->ttl / 16;
		/* an old word, if a later renewal was granted */
		if (r->status == 503 && !c->in_outage && c->role == WS_LEADER &&
		    call->made + c->ttl * (1 - WS_DRIFT) >= c->entitled_until) {
			c->in_outage = true;
			c->ask_next = c->now;
			ws_log(c, WS_LOG_INFO, "the state service refuses us");
		}
	}
}

/* A follower campaigns when nobody leads, or the key is left over from our own last life. */
static void ws_follower_tick(struct ws_core *c)
{
	bool own = c->leader[0] && !strcmp(c->leader, c->set->node);

	if (c->leader_read && (!c->leader[0] || own) && c->now >= c->campaign_after &&
	    c->now >= c->leader_next && c->ntypes)
		ws_campaign(c);
}

/*
 * Renews the hold. A renewal that is slow is not waited for: each counts from when it was sent, and
 * at a state service that takes half of ttl for an answer one after the other came too late.
 */
static void ws_renew(struct ws_core *c)
{
	struct ws_call *call;

	if (!c->hold || c->extends >= RENEWALS_MAX || c->now < c->extend_next)
		return;
	call = ws_call(c, WS_CALL_HOLD_EXTEND, ws_extended);
	call->hold = c->hold;
	call->urgent = true;
	c->extends++;
	c->extend_next = c->now + c->ttl / 4;
}

/* In an outage without the word of all peers: pauses, and gives up after a while. */
static void ws_pause_or_step_down(struct ws_core *c)
{
	if (c->role == WS_LEADER && !c->paused) {
		c->paused = true;
		c->pause_until = c->entitled_until + c->set->lease_s * (1 - WS_DRIFT) - c->ttl;
		ws_log(c, WS_LOG_INFO, "paused: the state service refuses us and not surely all");
	}
	if (c->role != WS_LEADER || c->now >= c->pause_until)
		ws_step_down(c, "the state service refuses us and not surely all");
}

/* Why the lead can't be kept; NULL: it can. */
static const char *ws_lead_lost(const struct ws_core *c)
{
	if (c->now >= c->entitled_until && !c->in_outage)
		return "the hold could not be renewed in time";
	if (c->role == WS_LEADER && !c->in_outage &&
	    c->now >= fmax(c->job_watch.replica_current_at, c->served_at) + ws_replica_age_max(c))
		return "the watch of the jobs brings nothing";
	return NULL;
}

/*
 * Workers reach the others but not us: one of them should lead. Counted from the first report
 * passed on, since before it there may have been no worker at all.
 */
static bool ws_workers_elsewhere(const struct ws_core *c)
{
	return c->role == WS_LEADER && c->relay_since > 0 &&
	       c->now - c->relay_since > 2.5 * c->set->report_s && !c->in_outage;
}

void ws_leader_tick(struct ws_core *c)
{
	const char *lost;

	ws_watch_leader(c);
	if (c->role == WS_FOLLOWER) {
		ws_follower_tick(c);
		return;
	}
	ws_renew(c);
	if (c->role != WS_LEADER && c->role != WS_LOADING)
		return;
	ws_outage_tick(c);
	lost = ws_lead_lost(c);
	if (lost) {
		ws_step_down(c, lost);
		return;
	}
	if (c->in_outage && c->now >= c->entitled_until) {
		ws_pause_or_step_down(c);
		return;
	}
	if (!c->paused)
		c->pause_until = c->entitled_until;
	if (ws_workers_elsewhere(c)) {
		c->campaign_after = c->now + c->set->lease_s;
		ws_step_down(c, "no worker reaches this node, but others do");
		return;
	}
	ws_job_watch_tick(c);
}
