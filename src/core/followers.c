/* Heartbeats that reach a node that does not lead: passed on, or sent to the leader. */
#include "requests.h"

struct ws_redirect { /* a worker sent to the leader a short while ago */
	char machine[WS_NAME_MAX];
	double at;
	uint64_t stamp; /* of the leader it was sent to */
	uint32_t seen;
	struct ws_redirect *next_expired;
	UT_hash_handle hh;
};

void ws_report_answer(struct ws_core *c, uint64_t token, int status, const char *leader)
{
	struct ws_action *a = ws_act(c, WS_ACT_ANSWER_REPORT);

	a->token = token;
	a->status = status;
	snprintf(a->name, sizeof(a->name), "%s", leader ? leader : "");
}

/*
 * A worker reports to a node that does not lead. Its first report is passed on, so that its lease
 * is renewed and the leader hears of it at once; with the second it is sent to the leader; one that
 * is back after that could not get through, and its reports are passed on from then on.
 */
void ws_follower_report(struct ws_core *c, uint64_t token, const struct ws_report *r, bool relayed)
{
	struct ws_redirect *d;
	struct ws_action *a;

	if (relayed || !c->leader[0] || !strcmp(c->leader, c->set->node) || ws_cut_off(c)) {
		ws_report_answer(c, token, 503, NULL);
		return;
	}
	HASH_FIND_STR(c->redirects, r->machine, d);
	if (!d) {
		d = calloc(1, sizeof(*d));
		if (!d)
			abort();
		snprintf(d->machine, sizeof(d->machine), "%s", r->machine);
		HASH_ADD_STR(c->redirects, machine, d);
	}
	if (d->stamp != c->leader_stamp) {
		d->stamp = c->leader_stamp;
		d->seen = 0;
	}
	d->at = c->now;
	if (d->seen++ == 1) {
		ws_report_answer(c, token, 421, c->leader);
		return;
	}
	a = ws_act(c, WS_ACT_RELAY);
	a->token = token;
	a->pinned = d->seen > 2;
	snprintf(a->name, sizeof(a->name), "%s", c->leader);
}

/* Takes redirects that are a lease old off the table, as a list linked by `next_expired`. */
static struct ws_redirect *ws_redirects_expired(struct ws_core *c)
{
	struct ws_redirect *d, *next, *expired = NULL;

	HASH_ITER (hh, c->redirects, d, next) {
		if (c->now - d->at <= c->set->lease_s)
			continue;
		HASH_DEL(c->redirects, d);
		d->next_expired = expired;
		expired = d;
	}
	return expired;
}

void ws_redirects_tick(struct ws_core *c)
{
	struct ws_redirect *d, *next;

	if (c->now < c->redirects_next)
		return;
	c->redirects_next = c->now + c->set->lease_s / 4;
	for (d = ws_redirects_expired(c); d; d = next) {
		next = d->next_expired;
		free(d);
	}
}

void ws_redirects_free(struct ws_core *c)
{
	struct ws_redirect *d = c->redirects, *next;

	HASH_CLEAR(hh, c->redirects);
	for (; d; d = next) {
		next = d->hh.next;
		free(d);
	}
}
