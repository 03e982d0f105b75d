/*
 * Records kept in the state service, to JSON and back. Field names are short, since values are
 * limited. Anything that does not read back cleanly is refused whole.
 */
#include "internal.h"

static const char *const phases[] = {"queued", "running", "done", "withdrawn"};

static bool ws_phase_read(const char *s, enum ws_phase *p)
{
	for (int i = 0; s && i < 4; i++)
		if (!strcmp(s, phases[i])) {
			*p = (enum ws_phase)i;
			return true;
		}
	return false;
}

static void ws_copy(char *to, size_t n, const char *from)
{
	snprintf(to, n, "%s", from ? from : "");
}

json_t *ws_record_spec(const struct ws_spec *s, enum ws_phase phase, double wall)
{
	json_t *v =
	    json_pack("{s:s,s:f,s:s,s:s,s:b,s:i,s:I,s:f,s:f,s:f,s:s,s:f}", "ph", phases[phase],
		      "at", wall, "cl", s->job_class, "tm", s->team, "sv", s->service, "ti",
		      (int)s->tier, "n", (json_int_t)s->tasks, "c", s->cpus, "g", s->gpus, "m",
		      s->mem, "im", s->image, "gb", s->image_gb);
	json_t *types = json_array();

	for (size_t i = 0; i < s->ntypes; i++)
		json_array_append_new(types, json_string(s->types[i]));
	json_object_set_new(v, "ty", types);
	json_object_set_new(v, "z", json_string(s->zone));
	json_object_set_new(v, "fl",
			    json_integer((s->one_zone ? 1 : 0) | (s->spread ? 2 : 0) |
					 (s->spot ? 4 : 0) | (s->gang ? 8 : 0)));
	json_object_set_new(v, "e", json_real(s->estimate_s));
	json_object_set_new(v, "ck", json_real(s->checkpoint_s));
	json_object_set_new(v, "sa", json_real(s->save_s));
	json_object_set_new(v, "dl", json_real(s->deadline_s));
	return v;
}

/*
 * Completed tasks are written as ranges, which stay short because tasks start in order. Should
 * they not fit the value's limit, the rest stays out: those tasks are not marked saved and so not
 * reaped, and their results wait on their machines.
 */
json_t *ws_record_job(const struct ws_job *j, size_t limit, bool *all)
{
	json_t *v = ws_record_spec(&j->spec, j->phase, j->submitted_wall);
	char *text = json_dumps(v, JSON_COMPACT);
	size_t room = limit, used = 0;
	char *ranges;

	room -= text ? strlen(text) + 64 < limit ? strlen(text) + 64 : limit : limit;
	free(text);
	ranges = malloc(room + 1);
	*all = true;
	if (ranges && j->tasks) {
		ranges[0] = 0;
		for (uint32_t i = 0; i < j->spec.tasks; i++) {
			uint32_t e = i;
			char part[32];
			int len;

			j->tasks[i].writing = false;
			if (!j->tasks[i].done)
				continue;
			while (e + 1 < j->spec.tasks && j->tasks[e + 1].done)
				e++;
			len = e == i ? snprintf(part, sizeof(part), "%u,", i)
				     : snprintf(part, sizeof(part), "%u-%u,", i, e);
			bool fits = used + (size_t)len <= room;
			if (fits) {
				memcpy(ranges + used, part, (size_t)len + 1);
				used += (size_t)len;
			} else {
				*all = false;
			}
			for (; i <= e; i++)
				j->tasks[i].writing = fits;
			i = e;
		}
		json_object_set_new(v, "d", json_string(ranges));
	}
	json_object_set_new(v, "nd", json_integer(j->ndone));
	json_object_set_new(v, "nr", json_integer(j->nslots));
	free(ranges);
	return v;
}

struct ws_job *ws_record_read_job(const char *id, json_t *v)
{
	struct ws_job *j = calloc(1, sizeof(*j));
	const char *ph, *cl, *tm, *im, *z, *d = "";
	int sv, tier, fl;
	json_int_t n;
	json_t *types;
	struct ws_spec *s = &j->spec;

	if (!j)
		return NULL;
	if (json_unpack(v,
			"{s:s,s:F,s:s,s:s,s:b,s:i,s:I,s:F,s:F,s:F,s:s,s:F,s:o,s:s,s:i,s:F,s:F,"
			"s:F,s:F,s?s}",
			"ph", &ph, "at", &j->submitted_wall, "cl", &cl, "tm", &tm, "sv", &sv, "ti",
			&tier, "n", &n, "c", &s->cpus, "g", &s->gpus, "m", &s->mem, "im", &im, "gb",
			&s->image_gb, "ty", &types, "z", &z, "fl", &fl, "e", &s->estimate_s, "ck",
			&s->checkpoint_s, "sa", &s->save_s, "dl", &s->deadline_s, "d", &d) ||
	    !ws_phase_read(ph, &j->phase) || n < 1 || n > WS_MAX_SHARDS || tier < 0 || tier > 3 ||
	    !json_is_array(types) || json_array_size(types) > WS_MAX_ALLOWED ||
	    !(j->tasks = calloc((size_t)n, sizeof(*j->tasks)))) {
		free(j);
		return NULL;
	}
	ws_copy(s->id, sizeof(s->id), id);
	ws_copy(s->job_class, sizeof(s->job_class), cl);
	ws_copy(s->team, sizeof(s->team), tm);
	ws_copy(s->image, sizeof(s->image), im);
	ws_copy(s->zone, sizeof(s->zone), z);
	s->service = sv;
	s->tier = (enum ws_tier)tier;
	s->tasks = (uint32_t)n;
	s->one_zone = fl & 1;
	s->spread = fl & 2;
	s->spot = fl & 4;
	s->gang = fl & 8;
	for (size_t i = 0; i < json_array_size(types); i++)
		ws_copy(s->types[s->ntypes++], WS_NAME_MAX,
			json_string_value(json_array_get(types, i)));
	for (const char *p = d; *p;) {
		char *end;
		unsigned long a = strtoul(p, &end, 10), b = a;

		if (end == p)
			break;
		if (*end == '-')
			b = strtoul(end + 1, &end, 10);
		for (unsigned long i = a; i <= b && i < s->tasks; i++)
			if (!j->tasks[i].done) {
				j->tasks[i].done = j->tasks[i].saved = true;
				j->ndone++;
			}
		if (*end != ',')
			break;
		p = end + 1;
	}
	j->started = j->phase == WS_RUNNING;
	return j;
}

json_t *ws_record_final(const struct ws_job *j)
{
	return json_pack("{s:s,s:I,s:i}", "ph", phases[j->phase], "nd", (json_int_t)j->ndone, "nr",
			 0);
}

bool ws_record_read_phase(json_t *v, enum ws_phase *phase, uint32_t *done, uint32_t *running)
{
	json_int_t nd = 0, nr = 0;
	const char *ph;

	if (json_unpack(v, "{s:s,s?I,s?I}", "ph", &ph, "nd", &nd, "nr", &nr) ||
	    !ws_phase_read(ph, phase))
		return false;
	*done = (uint32_t)nd;
	*running = *phase == WS_RUNNING ? (uint32_t)nr : 0;
	return true;
}

bool ws_record_withdraw(json_t *v)
{
	return json_object_set_new(v, "ph", json_string(phases[WS_CANCELLED])) == 0;
}

json_t *ws_record_plan(const struct ws_machine *m)
{
	json_t *a = json_array();

	for (const struct ws_slot *s = m->slots; s; s = s->next)
		if (s->state != WS_SLOT_LEAVING && !s->orphan)
			json_array_append_new(a,
					      json_pack("[s,I,I]", s->job_id, (json_int_t)s->task,
							(json_int_t)s->attempt));
	json_t *im = json_array();

	/* images it has, newest first, so that a new leader places as well as the last one */
	for (int i = 0; i < m->ncache && i < WS_CACHE_KEPT && strlen(m->cache[i]) < 32; i++)
		json_array_append_new(im, json_string(m->cache[i]));
	return json_pack("{s:I,s:o,s:s,s:s,s:b,s:s,s:i,s:o}", "te", (json_int_t)m->tenure, "a", a,
			 "ty", m->type_name, "z", m->zone, "sp", m->spot, "ip", m->host, "po",
			 m->port, "im", im);
}

bool ws_record_read_plan(json_t *v, struct ws_machine *m, struct ws_slot **list)
{
	json_int_t te;
	json_t *a, *e, *im = NULL;
	size_t i;
	const char *ty, *z, *ip = "";
	int sp, port = 0;

	*list = NULL;
	if (json_unpack(v, "{s:I,s:o,s:s,s:s,s:b,s?s,s?i,s?o}", "te", &te, "a", &a, "ty", &ty, "z",
			&z, "sp", &sp, "ip", &ip, "po", &port, "im", &im) ||
	    !json_is_array(a))
		return false;
	ws_copy(m->host, sizeof(m->host), ip);
	m->port = port;
	json_array_foreach (im, i, e) {
		if (json_is_string(e) && m->ncache < WS_CACHE_KEPT)
			ws_copy(m->cache[m->ncache++], WS_NAME_MAX, json_string_value(e));
	}
	m->plan_tenure = (uint64_t)te;
	m->tenure = (uint64_t)te;
	ws_copy(m->type_name, sizeof(m->type_name), ty);
	ws_copy(m->zone, sizeof(m->zone), z);
	m->spot = sp;
	json_array_foreach (a, i, e) {
		const char *id;
		json_int_t task, attempt;
		struct ws_slot *s;

		if (json_unpack(e, "[s,I,I]", &id, &task, &attempt))
			return false;
		s = calloc(1, sizeof(*s));
		if (!s)
			return false;
		ws_copy(s->job_id, sizeof(s->job_id), id);
		s->task = (uint32_t)task;
		s->attempt = (uint64_t)attempt;
		s->next = *list;
		*list = s;
	}
	return true;
}

json_t *ws_record_names(char (*names)[WS_NAME_MAX], size_t n)
{
	json_t *a = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(a, json_string(names[i]));
	return a;
}

json_t *ws_record_rental(const struct ws_rental *r)
{
	return json_pack("{s:s,s:s,s:b,s:I,s:b,s:o}", "ty", r->type, "z", r->zone, "sp", r->spot,
			 "n", (json_int_t)r->count, "got", r->state == WS_RENTAL_GOT, "h",
			 ws_record_names(r->hosts, r->nhosts));
}

bool ws_record_read_rental(json_t *v, struct ws_rental *r)
{
	const char *ty, *z;
	int sp, got;
	json_int_t n;
	json_t *h;

	if (json_unpack(v, "{s:s,s:s,s:b,s:I,s:b,s:o}", "ty", &ty, "z", &z, "sp", &sp, "n", &n,
			"got", &got, "h", &h) ||
	    n < 1 || n > WS_RENT_HOSTS || json_array_size(h) > WS_RENT_HOSTS)
		return false;
	ws_copy(r->type, sizeof(r->type), ty);
	ws_copy(r->zone, sizeof(r->zone), z);
	r->spot = sp;
	r->count = (uint32_t)n;
	r->state = got ? WS_RENTAL_GOT : WS_RENTAL_RECORDED;
	r->hosts = calloc(json_array_size(h) + 1, sizeof(*r->hosts));
	if (!r->hosts)
		return false;
	for (size_t i = 0; i < json_array_size(h); i++)
		ws_copy(r->hosts[r->nhosts++], WS_NAME_MAX,
			json_string_value(json_array_get(h, i)));
	return true;
}

json_t *ws_record_leader(const struct ws_settings *s, uint64_t nonce)
{
	return json_pack("{s:s,s:I}", "node", s->node, "life", (json_int_t)(nonce >> 2));
}

const char *ws_record_leader_node(json_t *v)
{
	return json_string_value(json_object_get(v, "node"));
}

json_t *ws_record_types(const struct ws_type *t, size_t n)
{
	json_t *a = json_array();

	for (size_t i = 0; i < n; i++) {
		json_t *z = json_array();
		for (size_t k = 0; k < t[i].nzones; k++)
			json_array_append_new(z, json_string(t[i].zones[k]));
		json_array_append_new(a,
				      json_pack("[s,f,f,f,f,f,f,f,f,o]", t[i].name, t[i].cpus,
						t[i].gpus, t[i].mem, t[i].local_gb, t[i].fetch_gb_s,
						t[i].price, t[i].spot_price, t[i].boot_s, z));
	}
	return a;
}

size_t ws_record_read_types(json_t *v, struct ws_type *t)
{
	size_t n = 0, i;
	json_t *e;

	json_array_foreach (v, i, e) {
		const char *name;
		json_t *z;
		struct ws_type *x = &t[n];

		memset(x, 0, sizeof(*x));
		if (json_unpack(e, "[s,F,F,F,F,F,F,F,F,o]", &name, &x->cpus, &x->gpus, &x->mem,
				&x->local_gb, &x->fetch_gb_s, &x->price, &x->spot_price, &x->boot_s,
				&z))
			continue;
		ws_copy(x->name, sizeof(x->name), name);
		for (size_t k = 0; k < json_array_size(z) && x->nzones < WS_MAX_ALLOWED; k++)
			ws_copy(x->zones[x->nzones++], WS_NAME_MAX,
				json_string_value(json_array_get(z, k)));
		if (++n == WS_MAX_TYPES)
			break;
	}
	return n;
}
