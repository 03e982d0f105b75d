/*
 * Who is the leader, and how leadership is kept.
 *
 * The leader is whoever attached the key `leader` to a session of its own. Its fencing token is the
 * key's revision, shifted, so every leader's fencing token is above those before it. It acts only
 * until the end of its session as reckoned from when the last granted renewal was sent, and every
 * write of a leader is conditioned on the revision of the leader key, so one that comes late has no
 * effect.
 */
#include "internal.h"

/* Renewals under way at once. */
#define RENEWALS_MAX 4

bool ws_is_entitled(const struct ws_core *core)
{
	return ws_core_is_entitled(core, core->now);
}

static void ws_become_follower(struct ws_core *core, double after)
{
	core->role = WS_FOLLOWER;
	core->leader_next = core->now + after;
}

static void ws_ignore_result(struct ws_core *core, struct ws_call *call,
			     const struct ws_result *result)
{
	(void)core;
	(void)call;
	(void)result;
}

/* Everything a leader knows of the cluster. */
static void ws_forget_cluster(struct ws_core *core)
{
	struct ws_machine *machine = core->machines, *next_machine;
	struct ws_job *job = core->jobs, *next_job;
	struct ws_scale_out *request = core->rentals, *next_rental;
	struct ws_image *image = core->images, *next_image;

	HASH_CLEAR(hh, core->machines);
	for (; machine; machine = next_machine) {
		next_machine = machine->hh.next;
		for (struct ws_attempt *attempt = machine->attempts, *next_attempt; attempt;
		     attempt = next_attempt) {
			next_attempt = attempt->machine_next;
			free(attempt);
		}
		free(machine);
	}
	HASH_CLEAR(hh, core->jobs);
	for (; job; job = next_job) {
		next_job = job->hh.next;
		free(job->tasks);
		free(job);
	}
	HASH_CLEAR(hh, core->rentals);
	for (; request; request = next_rental) {
		next_rental = request->hh.next;
		free(request->instances);
		free(request);
	}
	HASH_CLEAR(hh, core->images);
	for (; image; image = next_image) {
		next_image = image->hh.next;
		free(image);
	}
	free(core->image_names);
	core->image_names = NULL;
	core->nimages = 0;
	ws_tombstones_clear(core, true);
	ws_quarantine_clear(core);
}

/* Lists and scratch memory over what was forgotten. */
static void ws_forget_lists(struct ws_core *core)
{
	core->dirty_jobs = NULL;
	core->dirty_rentals = NULL;
	free(core->order);
	core->order = NULL;
	core->norder = 0;
	core->order_stale = true;
	free(core->pass_memory);
	core->pass_memory = NULL;
	core->pass_cap = 0;
	free(core->chunks);
	core->chunks = NULL;
	core->nchunks = 0;
	free(core->unmet);
	core->unmet = NULL;
	core->unmet_count = core->unmet_cap = 0;
	for (size_t i = 0; i < core->settings->team_count; i++)
		core->teams[i].used_cpus = core->teams[i].used_gpus = 0;
}

/* What was under way, and when what is next due. */
static void ws_forget_progress(struct ws_core *core)
{
	ws_writer_reset(core);
	ws_job_watch_reset(core);
	core->owned_upto[0] = 0;
	core->owned_seen = core->owned_known = core->owned_writing = core->types_saved = false;
	core->hosts_inflight = core->rent_inflight = false;
	core->extends = 0;
	core->in_outage = core->paused = false;
	core->ask_out = 0;
	core->hosts_after[0] = 0;
	core->hosts_next = core->cloud_next = core->sweep_next = core->rent_next = 0;
	memset(core->refusals, 0, sizeof(core->refusals));
	core->returns_wait = 0;
	core->place_next = core->pass_at = 0;
	core->measured_at = 0;
	core->work_arrived = core->work_done = core->busy_time = core->busy = 0;
}

/*
 * Proof that a leader lived. The store removes a key `ttl` after its last renewal, unless
 * it was out meanwhile: then all sessions have their full time again. So a key that was read for
 * longer than that, without a refusal in between, was renewed within that time. A key that was just
 * written proves that somebody was elected, and not yet that he served anybody. Times are those at
 * which the question was asked: whoever stood still meanwhile has no newer proof.
 */
static void ws_leader_proven(struct ws_core *core, double alive_at, uint64_t term)
{
	if (core->proof.exists && alive_at <= core->proof.alive_at)
		return;
	core->proof.exists = true;
	core->proof.alive_at = alive_at;
	core->proof.term = term;
}

static void ws_leader_key_read(struct ws_core *core, double asked)
{
	struct ws_leader_proof *proof = &core->proof;
	const double hold_s = WS_PROOF_TTLS * core->ttl;

	if (core->leader_stamp != proof->leader_revision) {
		proof->leader_revision = core->leader_stamp;
		proof->key_since = asked;
	} else if (proof->leader_revision && asked - proof->key_since > hold_s) {
		ws_leader_proven(core, asked - hold_s, proof->leader_revision);
	}
}

void ws_step_down(struct ws_core *core, const char *reason)
{
	if (reason && core->role != WS_FOLLOWER)
		ws_log(core, WS_LOG_INFO, "no longer leading: %s", reason);
	core->generation++;
	if (core->role == WS_LEADER && core->now - core->elected_at > WS_PROOF_TTLS * core->ttl)
		ws_leader_proven(core, fmin(core->now, core->entitled_until),
				 core->epoch >> WS_FENCING_TOKEN_SHIFT);
	ws_subsystems_step_down(core);
	ws_forget_cluster(core);
	ws_forget_lists(core);
	ws_forget_progress(core);
	if (core->hold && reason) {
		struct ws_call *call = ws_call_new(core, WS_CALL_SESSION_CLOSE, ws_ignore_result);

		call->session = core->hold;
		call->urgent = true;
	}
	core->hold = 0;
	core->epoch = 0;
	core->entitled_until = 0;
	ws_become_follower(core, 0);
}

/* The node is about to stop: whoever comes next need not wait for the session to end. */
void ws_core_resign(struct ws_core *core, double now)
{
	if (now > core->now)
		core->now = now;
	core->campaign_after = 1e18;
	if (core->role != WS_FOLLOWER)
		ws_step_down(core, "stopping");
}

/* ---- who is the leader ---- */

static void ws_leader_changed(struct ws_core *core, json_t *value, uint64_t revision)
{
	const char *node = value ? ws_record_leader_node(value) : NULL;

	if (strcmp(core->leader, node ? node : ""))
		ws_log(core, WS_LOG_INFO, "leader: %s", node ? node : "none");
	snprintf(core->leader, sizeof(core->leader), "%s", node ? node : "");
	core->leader_stamp = node ? revision : 0;
	if ((core->role == WS_LEADER || core->role == WS_LOADING) && node &&
	    revision > core->epoch >> WS_FENCING_TOKEN_SHIFT)
		ws_step_down(core, "another node leads");
}

static void ws_election_answered(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result);

static void ws_session_opened(struct ws_core *core, struct ws_call *call,
			      const struct ws_result *result)
{
	struct ws_call *other_call;

	if (call->generation != core->generation || core->role != WS_CANDIDATE)
		return;
	if (result->status != 200) {
		ws_become_follower(core, core->ttl / 4);
		return;
	}
	core->hold = result->session;
	if (core->leader[0] && strcmp(core->leader, core->settings->node)) {
		/* another was elected meanwhile: our write must not be conditioned on its key */
		ws_step_down(core, "another node was elected");
		return;
	}
	core->entitled_until = call->created_at + core->ttl * (1 - WS_DRIFT);
	core->extend_next = call->created_at + core->ttl / 4;
	other_call = ws_call_new(core, WS_CALL_TRANSACTION, ws_election_answered);
	other_call->urgent = true;
	other_call->compares = calloc(1, sizeof(*other_call->compares));
	other_call->operations = calloc(1, sizeof(*other_call->operations));
	if (!other_call->compares || !other_call->operations)
		abort();
	other_call->compare_count = other_call->operation_count = 1;
	snprintf(other_call->compares[0].key, WS_KEY_MAX, "leader");
	other_call->compares[0].revision =
	    core->leader_stamp; /* 0, or the key of our own earlier life */
	snprintf(other_call->operations[0].key, WS_KEY_MAX, "leader");
	other_call->operations[0].value = ws_leader_record_encode(
	    &(struct ws_leader_record){core->settings->node, core->nonce >> 2});
	other_call->operations[0].session = core->hold;
}

static void ws_election_answered(struct ws_core *core, struct ws_call *call,
				 const struct ws_result *result)
{
	if (call->generation != core->generation || core->role != WS_CANDIDATE)
		return;
	if (result->status != 200) {
		/* lost, or unknown: the session is given up, so that a late write of ours ends with
		 * it
		 */
		ws_step_down(core, "the election was lost");
		ws_become_follower(core, result->status == 409 ? 0 : core->ttl / 4);
		return;
	}
	core->role = WS_LOADING;
	/* a key left over from our own last life tells nothing of when another's hold ended, and a
	 * paused leader may have answered for as long as a session lasts */
	core->elected_at = core->now + (call->compares[0].revision ? core->ttl : 0);
	core->epoch = result->revision << WS_FENCING_TOKEN_SHIFT;
	core->attempt_seq = 0;
	core->rental_seq = 0;
	core->leader_stamp = result->revision;
	snprintf(core->leader, sizeof(core->leader), "%s", core->settings->node);
	core->relay_since = 0;
	ws_log(core, WS_LOG_INFO, "elected, epoch %llu", (unsigned long long)core->epoch);
	ws_subsystems_elected(core);
	ws_loader_start(core);
}

static void ws_campaign(struct ws_core *core)
{
	struct ws_call *call;

	core->role = WS_CANDIDATE;
	core->generation++;
	call = ws_call_new(core, WS_CALL_SESSION_OPEN, ws_session_opened);
	call->timeout_ms = (uint32_t)(core->ttl * 1000);
	call->urgent = true;
}

static void ws_leader_watch_answered(struct ws_core *core, struct ws_call *call,
				     const struct ws_result *result)
{
	core->leader_watch = false;
	if (result->status != 200) {
		core->leader_read = false;
		core->proof.leader_revision = 0;
		core->leader_next = core->now + core->ttl / 4;
		if (result->status == 410)
			core->leader_next = core->now;
		return;
	}
	core->leader_rev = result->revision;
	for (size_t i = 0; i < result->entry_count; i++)
		if (!strcmp(result->entries[i].key, "leader"))
			ws_leader_changed(core, result->entries[i].value,
					  result->entries[i].revision);
	ws_leader_key_read(core, call->created_at);
}

static void ws_leader_read_answered(struct ws_core *core, struct ws_call *call,
				    const struct ws_result *result)
{
	core->leader_watch = false;
	if (result->status != 200) {
		core->proof.leader_revision = 0;
		core->leader_next = core->now + core->ttl / 4;
		return;
	}
	bool any = false;
	core->leader_read = true; /* the revision of a new store may be 0 */
	core->leader_rev = result->revision;
	for (size_t i = 0; i < result->entry_count; i++)
		if (!strcmp(result->entries[i].key, "leader")) {
			any = true;
			ws_leader_changed(core, result->entries[i].value,
					  result->entries[i].revision);
		}
	if (!any)
		ws_leader_changed(core, NULL, 0);
	ws_leader_key_read(core, call->created_at);
}

static void ws_watch_leader(struct ws_core *core)
{
	struct ws_call *call;

	if (core->leader_watch || core->now < core->leader_next)
		return;
	core->leader_watch = true;
	if (!core->leader_read) {
		call = ws_call_new(core, WS_CALL_LIST, ws_leader_read_answered);
		snprintf(call->key, sizeof(call->key), "leader");
		return;
	}
	call = ws_call_new(core, WS_CALL_WATCH, ws_leader_watch_answered);
	snprintf(call->key, sizeof(call->key), "leader");
	call->since_revision = core->leader_rev;
	call->timeout_ms = (uint32_t)(core->ttl * 1000);
}

/* ---- keeping leadership ---- */

static void ws_session_renewed(struct ws_core *core, struct ws_call *call,
			       const struct ws_result *result)
{
	if (call->generation != core->generation)
		return;
	core->extends--;
	if (result->status == 200) {
		double until = call->created_at + core->ttl * (1 - WS_DRIFT);

		if (until > core->entitled_until)
			core->entitled_until = until;
		if (core->in_outage) {
			ws_log(core, WS_LOG_INFO, "the state service is back");
			core->served_at = core->now;
		}
		core->in_outage = core->paused = false;
		core->place_wanted = true;
		core->extend_next = fmax(core->extend_next, call->created_at + core->ttl / 4);
	} else if (result->status == 404) {
		ws_step_down(core, "the hold ended");
	} else {
		if (!core->extends)
			core->extend_next = core->now + core->ttl / 16;
		/* an old word, if a later renewal was granted */
		if (result->status == 503 && !core->in_outage && core->role == WS_LEADER &&
		    call->created_at + core->ttl * (1 - WS_DRIFT) >= core->entitled_until) {
			core->in_outage = true;
			core->ask_next = core->now;
			ws_log(core, WS_LOG_INFO, "the state service refuses us");
		}
	}
}

/* A follower campaigns when nobody leads, or the key is left over from our own last life. */
static void ws_follower_tick(struct ws_core *core)
{
	bool own = core->leader[0] && !strcmp(core->leader, core->settings->node);

	if (core->leader_read && (!core->leader[0] || own) && core->now >= core->campaign_after &&
	    core->now >= core->leader_next && core->ntypes)
		ws_campaign(core);
}

/*
 * Renews the session. A renewal that is slow is not waited for: each counts from when it was sent,
 * and at a store that takes half of ttl for an answer one after the other came too late.
 */
static void ws_session_renew(struct ws_core *core)
{
	struct ws_call *call;

	if (!core->hold || core->extends >= RENEWALS_MAX || core->now < core->extend_next)
		return;
	call = ws_call_new(core, WS_CALL_SESSION_RENEW, ws_session_renewed);
	call->session = core->hold;
	call->urgent = true;
	core->extends++;
	core->extend_next = core->now + core->ttl / 4;
}

/* In an outage without the word of all peers: pauses, and gives up after a while. */
static void ws_pause_or_step_down(struct ws_core *core)
{
	if (core->role == WS_LEADER && !core->paused) {
		core->paused = true;
		core->pause_until =
		    core->entitled_until + core->settings->lease_s * (1 - WS_DRIFT) - core->ttl;
		ws_log(core, WS_LOG_INFO,
		       "paused: the state service refuses us and not surely all");
	}
	if (core->role != WS_LEADER || core->now >= core->pause_until)
		ws_step_down(core, "the state service refuses us and not surely all");
}

/* Why leadership can't be kept; NULL: it can. */
static const char *ws_leadership_lost_reason(const struct ws_core *core)
{
	if (core->now >= core->entitled_until && !core->in_outage)
		return "the hold could not be renewed in time";
	if (core->role == WS_LEADER && !core->in_outage &&
	    core->now >= fmax(core->job_watch.replica_current_at, core->served_at) +
			     ws_replica_age_max(core))
		return "the watch of the jobs brings nothing";
	return NULL;
}

/*
 * Workers reach the others but not us: one of them should lead. Counted from the first heartbeat
 * forwarded, since before it there may have been no worker at all.
 */
static bool ws_workers_elsewhere(const struct ws_core *core)
{
	return core->role == WS_LEADER && core->relay_since > 0 &&
	       core->now - core->relay_since > 2.5 * core->settings->report_s && !core->in_outage;
}

void ws_leadership_tick(struct ws_core *core)
{
	const char *lost;

	ws_watch_leader(core);
	if (core->role == WS_FOLLOWER) {
		ws_follower_tick(core);
		return;
	}
	ws_session_renew(core);
	if (core->role != WS_LEADER && core->role != WS_LOADING)
		return;
	ws_outage_tick(core);
	lost = ws_leadership_lost_reason(core);
	if (lost) {
		ws_step_down(core, lost);
		return;
	}
	if (core->in_outage && core->now >= core->entitled_until) {
		ws_pause_or_step_down(core);
		return;
	}
	if (!core->paused)
		core->pause_until = core->entitled_until;
	if (ws_workers_elsewhere(core)) {
		core->campaign_after = core->now + core->settings->lease_s;
		ws_step_down(core, "no worker reaches this node, but others do");
		return;
	}
	ws_job_watch_tick(core);
}
