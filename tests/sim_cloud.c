/* The cloud: machines for rent. */
#include "sim_parts.h"

int sim_add_worker(struct sim *s, int type, const char *zone, bool spot, bool owned)
{
	struct sim_worker *w;

	if (s->nw == SIM_WORKERS) {
		sim_fail(s, "too many machines");
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
		       : s->now + s->types[type].t.boot_s * (0.8 + 0.4 * sim_rnd(s));
	if (!owned && s->no_boot > 0) {
		s->no_boot--;
		w->never = true;
	}
	return s->nw++;
}

void sim_cloud_do(struct sim *s, struct ws_call *c, struct ws_result *r)
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
				sim_add_worker(s, t, c->zone, c->spot, false);
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
						sim_fail(s, "owned machine %s returned",
							 c->names[i]);
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
