/* Commands to workers: in the answers to their reports, and straight to their addresses. */
#include "internal.h"

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
struct ws_order *ws_orders(struct ws_core *c, struct ws_machine *m, const struct ws_report *r,
			   size_t max, bool direct, size_t *n)
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
bool ws_machine_probe(struct ws_core *c, struct ws_machine *m)
{
	if ((ws_machine_hears(m) && !ws_overdue(c, m->heard)) || !m->port || !m->host[0] ||
	    m->gone || m->returning || m->commands || c->now < m->probe_next)
		return false;
	m->probe_next = c->now + c->set->report_s;
	ws_orders_call(c, m);
	return true;
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
void ws_fleet_probe(struct ws_core *c)
{
	struct ws_machine *m, *t;
	int most = 32 + (int)HASH_COUNT(c->machines) / 8;

	HASH_ITER (hh, c->machines, m, t) {
		c->sweep_steps++;
		if (ws_machine_probe(c, m) && --most <= 0)
			break;
	}
}
