/* The lead in an outage of the state service: peers are asked whether they are refused as well. */
#include "internal.h"

/*
 * While the state service is down for everybody no hold runs out, so a leader may go on answering
 * reports. Every peer must say so afresh; one that is silent, served or leading ends it, for the
 * service may be refusing us alone while another node takes over.
 *
 * Until it refused them too, peers may have told users that jobs are cancelled. So each one's word
 * brings the withdrawals that are newer than what we have seen, and these end here before we go
 * on; one that can't tell of all of them gives no testimony. Our own copy of the jobs is asked in
 * the same way: it may hold what our watch for the leader's view has not brought yet.
 *
 * A leader whose peers did not all say so in time pauses: it answers nobody, but keeps what it
 * knows. If all say so again before a lease has passed since its hold's end, it goes on. Had
 * another been elected in between, that one could not yet have moved anything for want of an
 * answer, and workers that heard from it drop what we say; had it ended since, it would say so or
 * be silent.
 */
static void ws_testified(struct ws_core *c, struct ws_call *call, const struct ws_result *r);

static void ws_ask_peer(struct ws_core *c, const char *node, uint64_t since, const char *after)
{
	struct ws_call *call = ws_call(c, WS_CALL_TESTIFY, ws_testified);

	snprintf(call->key, sizeof(call->key), "%s", node);
	snprintf(call->after, sizeof(call->after), "%s", after);
	call->since = since;
	call->epoch = c->epoch >> WS_EPOCH_SHIFT;
	call->ctx_n = c->ask_round;
	c->ask_out++;
}

static void ws_withdrawals(struct ws_core *c, const struct ws_withdrawal *list, size_t n,
			   const char *node)
{
	for (size_t i = 0; i < n; i++) {
		ws_log(c, WS_LOG_DEBUG, "%s tells that job %s was withdrawn", node, list[i].job);
		ws_job_withdrawn(c, &list[i]);
	}
}

/* All peers are refused as well, and what they told users is known here: the lead goes on. */
static void ws_extend_entitlement(struct ws_core *c)
{
	double until = c->ask_sent + fmin(c->ttl * (1 - WS_DRIFT), c->view_s);
	struct ws_withdrawal *own;
	size_t n;
	bool more,
	    whole = ws_withdrawn_since(c, c->job_watch.revision, "", &own, &n, SIZE_MAX, &more);

	ws_withdrawals(c, own, n, c->set->node);
	free(own);
	if (!whole)
		return;
	ws_job_watch_confirm(c, c->ask_sent);
	if (until <= c->entitled_until || until <= c->now)
		return;
	c->entitled_until = until;
	if (!c->paused)
		return;
	c->paused = false;
	ws_log(c, WS_LOG_INFO, "all peers are refused too: answering reports again");
	struct ws_machine *m, *t;

	HASH_ITER (hh, c->machines, m, t)
		ws_fleet_push(c, m); /* what we learned while we could not say so */
}

static void ws_testified(struct ws_core *c, struct ws_call *call, const struct ws_result *r)
{
	if (call->generation != c->generation || call->ctx_n != c->ask_round)
		return;
	c->ask_out--;
	c->ask_heard = c->now;
	if (r->status != 503 || !r->vouched)
		return;
	ws_withdrawals(c, r->withdrawn, r->nwithdrawn, call->key);
	if (r->more && r->nwithdrawn) {
		const struct ws_withdrawal *last = &r->withdrawn[r->nwithdrawn - 1];

		ws_ask_peer(c, call->key, last->stamp, last->job);
		return;
	}
	c->ask_yes++;
	if (c->ask_yes == (int)c->set->npeers && c->now < c->pause_until)
		ws_extend_entitlement(c);
}

void ws_outage_tick(struct ws_core *c)
{
	/* a round whose answers are slow is waited for, or none would ever be complete */
	if (!c->in_outage || c->now < c->ask_next ||
	    (c->ask_out > 0 && c->now < c->ask_heard + c->ttl / 2))
		return;
	c->ask_next = c->now + c->ttl / 8;
	c->ask_round++;
	c->ask_yes = c->ask_out = 0;
	c->ask_sent = c->ask_heard = c->now;
	for (size_t i = 0; i < c->set->npeers; i++)
		ws_ask_peer(c, c->set->peers[i].node, c->job_watch.revision, "");
}
