/* The core's frame: actions out, calls and their completions, the clock. */
#include "internal.h"
#include <stdarg.h>

void ws_policy_defaults(struct ws_policy *p)
{
	*p = (struct ws_policy){
	    .delta = 1.0,
	    .rentals_max = -1,
	    .wait_max_s = -1,
	    .latency_bound_s = -1,
	    .rental_ceiling = -1,
	    .waiting_loads = -1,
	    .empty_wait_s = 10,
	    .sizing_period_s = 30,
	    .leader_ttl_ratio = 1.0 / 12,
	    .silent_ratio = 0.5,
	    .boot_patience = 2.5,
	};
}

void ws_log(struct ws_core *c, enum ws_log_level level, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (c->log)
		c->log(level, text);
}

struct ws_action *ws_act(struct ws_core *c, enum ws_action_kind kind)
{
	struct ws_action *a = calloc(1, sizeof(*a));

	if (!a) /* nothing can be done without memory for an answer; start afresh */
		abort();
	a->kind = kind;
	if (c->tail)
		c->tail->next = a;
	else
		c->head = a;
	c->tail = a;
	return a;
}

struct ws_call *ws_call(struct ws_core *c, enum ws_call_kind kind, ws_done_fn done)
{
	struct ws_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->kind = kind;
	call->done = done;
	call->generation = c->generation;
	call->made = c->now;
	ws_act(c, WS_ACT_CALL)->call = call;
	return call;
}

void ws_call_free(struct ws_call *call)
{
	if (!call)
		return;
	for (size_t i = 0; i < call->nops; i++)
		json_decref(call->ops[i].value);
	free(call->ops);
	free(call->conds);
	free(call->names);
	free(call->orders);
	free(call->ctx);
	free(call);
}

struct ws_action *ws_core_pop(struct ws_core *c)
{
	struct ws_action *a = c->head;

	if (a) {
		c->head = a->next;
		if (!c->head)
			c->tail = NULL;
		a->next = NULL;
	}
	return a;
}

void ws_action_free(struct ws_action *a)
{
	if (a) {
		free(a->orders);
		free(a->withdrawn);
	}
	free(a);
}

/* Whether the state service serves us, as the last answers tell. */
void ws_state_seen(struct ws_core *c, int status)
{
	if (status == 503 || status == 0) {
		if (c->state_bad_at <= c->state_ok_at)
			c->state_bad_since = c->now;
		c->state_bad_at = c->now;
	} else {
		c->state_ok_at = c->now;
	}
}

void ws_core_complete(struct ws_core *c, double now, struct ws_call *call,
		      const struct ws_result *r)
{
	if (now > c->now)
		c->now = now;
	if (call->kind <= WS_CALL_HOLD_DROP && call->kind != WS_CALL_WATCH)
		ws_state_seen(c, r->status);
	call->done(c, call, r);
	ws_call_free(call);
	ws_core_tick(c, now);
}

/*
 * How old a leader's view of what users withdrew may be when it answers a report: the answer renews
 * the lease of a withdrawn task for the last time, and that lease must be out within cancel_s.
 */
double ws_core_view_s(const struct ws_settings *s)
{
	return s->cancel_s - ws_lease_length(s);
}

/* Whether that is shorter than what a leader is served by its watch at the latest. */
bool ws_core_view_short(const struct ws_settings *s, const struct ws_policy *p)
{
	return ws_core_view_s(s) < WS_VIEW_TTLS * s->lease_s * p->leader_ttl_ratio;
}

struct ws_core *ws_core_new(const struct ws_settings *s, const struct ws_policy *p, ws_log_fn log,
			    double now, uint64_t nonce)
{
	struct ws_core *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->set = s;
	c->pol = *p;
	c->log = log;
	c->now = now;
	c->nonce = nonce;
	ws_writer_reset(c);
	c->state_ok_at = c->state_bad_at = -1e9;
	c->ttl = s->lease_s * p->leader_ttl_ratio;
	if (c->ttl < 0.2)
		c->ttl = 0.2;
	c->view_s = ws_core_view_s(s);
	if (ws_core_view_short(s, p))
		ws_log(c, WS_LOG_ERROR,
		       "cancel_s %.3g is short for lease_s %.3g: in outages of the state service "
		       "reports are answered for %.3g s at most",
		       s->cancel_s, s->lease_s, fmax(0, c->view_s));
	if (c->pol.rental_ceiling < 0)
		c->pol.rental_ceiling = -1; /* derived once the machine types are known */
	for (size_t i = 0; i < s->nzones; i++)
		ws_zone_id(c, s->zones[i]);
	c->k = -1;
	for (size_t i = 0; i < s->nteams; i++)
		c->teams[i].set = &s->teams[i];
	return c;
}

void ws_core_free(struct ws_core *c)
{
	struct ws_action *a;

	if (!c)
		return;
	ws_step_down(c, NULL);
	while ((a = ws_core_pop(c))) {
		ws_call_free(a->call);
		ws_action_free(a);
	}
	ws_requests_free(c);
	ws_subsystems_free(c);
	free(c->orders);
	free(c->pass_memory);
	free(c);
}

bool ws_core_ready(const struct ws_core *c)
{
	return c->ntypes > 0 && c->state_ok_at > 0 && !ws_cut_off(c);
}

bool ws_core_leading(const struct ws_core *c)
{
	return c->role == WS_LEADER;
}

void ws_core_spent(struct ws_core *c, double (*clock)(void))
{
	double now;

	if (c->pass_at <= 0)
		return;
	now = clock();
	/* placement takes a third of the time at the most, however long what waits; if the process
	 * stood still meanwhile, that was no pass */
	c->place_next = fmax(c->place_next, now + fmin(2 * (now - c->pass_at), c->ttl / 2));
	c->pass_at = 0;
}

/* How old the leader's replica of the jobs may be while the state service serves it. */
double ws_replica_age_max(const struct ws_core *c)
{
	return fmax(c->view_s, WS_VIEW_TTLS * c->ttl);
}

bool ws_core_entitled(const struct ws_core *c, double now)
{
	return c->role == WS_LEADER && now < c->entitled_until &&
	       now < c->job_watch.replica_current_at + ws_replica_age_max(c);
}

/* Everything that is due; called after each event and by the shell's timer. */
void ws_core_tick(struct ws_core *c, double now)
{
	if (now > c->now)
		c->now = now;
	/* who was silent meanwhile may have been talking to us all the time */
	if (c->now - c->ticked_at > c->set->report_s / 4)
		c->woke_at = c->now;
	c->ticked_at = c->now;
	ws_requests_tick(c);
	ws_leader_tick(c);
	if (c->role == WS_LEADER) {
		ws_fleet_tick(c);
		ws_subsystems_tick(c);
		if (c->now > c->place_next + c->set->report_s / 4)
			c->place_wanted = true; /* back-offs end without an event */
		if (c->place_wanted && c->now >= c->place_next && ws_entitled(c) && !c->in_outage)
			ws_place(c);
		ws_rentals_tick(c);
		ws_writer_tick(c);
	}
}
