/*
 * Records kept in the state service, to JSON and back. Field names are short, since values are
 * limited. Anything that does not read back cleanly is refused whole.
 */
#include "internal.h"
#include <stdarg.h>

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

struct ws_text { /* grows; what can't be had ends the program, as everywhere in the core */
	char *p;
	size_t len, cap;
};

static void ws_text_add(struct ws_text *t, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
static void ws_text_add(struct ws_text *t, const char *fmt, ...)
{
	va_list ap;
	int n;

	if (t->cap - t->len < 256) {
		t->cap = t->cap ? 2 * t->cap : 1024;
		t->p = realloc(t->p, t->cap);
		if (!t->p)
			abort();
	}
	va_start(ap, fmt);
	n = vsnprintf(t->p + t->len, t->cap - t->len, fmt, ap);
	va_end(ap);
	t->len += (size_t)n;
}

static size_t ws_digits(uint64_t n)
{
	size_t d = 1;

	while (n >= 10) {
		n /= 10;
		d++;
	}
	return d;
}

static uint64_t ws_attempt_number(uint64_t attempt)
{
	return attempt & ((1ULL << WS_ATTEMPT_SHIFT) - 1);
}

/* Told in the same breath: one machine, one attempt's number. */
static bool ws_same_run(const struct ws_attempt *a, const struct ws_attempt *b)
{
	return a && a->machine == b->machine && a->attempt == b->attempt && a->tenure == b->tenure;
}

/*
 * What an attempt adds to its job's record at the most, behind 'before', the live one before it in
 * the job's list. When others of the list go, the record never grows by it.
 */
size_t ws_record_assign_size(const struct ws_core *c, const struct ws_attempt *before,
			     const struct ws_attempt *s)
{
	size_t n = ws_digits(s->task) + 1;
	bool same = before && before->machine->zi == s->machine->zi;

	if (ws_same_run(before, s))
		return n;
	/* a name that shares less with the others than all did makes each of them longer by one */
	n += strlen(s->machine->name) - c->name_shared + 2;
	if (s->tenure != 1)
		n += 1 + ws_digits(s->tenure);
	if (!same || before->attempt != s->attempt)
		n += 1 + ws_digits(ws_attempt_number(s->attempt));
	if (!same || before->attempt >> WS_ATTEMPT_SHIFT != s->attempt >> WS_ATTEMPT_SHIFT)
		n += strlen(s->machine->zone) + c->name_shared + 32;
	return n;
}

/* Bytes that a job's record may have, with some to spare. */
size_t ws_record_limit(const struct ws_core *c)
{
	return c->value_most > 128 ? (size_t)c->value_most - 64 : 64;
}

/*
 * Whether a record can name all of a gang on machines of a type: a gang is on record whole. Some 8
 * bytes a machine, besides the description.
 */
bool ws_gang_recordable(const struct ws_core *c, const struct ws_spec *s, const struct ws_type *t)
{
	uint32_t fit = ws_tasks_fit(s, t->cpus, t->gpus, t->mem, s->tasks);

	return !s->gang ||
	       (fit && 8.0 * ceil((double)s->tasks / fit) <= c->set->value_kb * 1024 - 704);
}

/* What all names of those with this zone and term begin with, short of the whole name. */
static size_t ws_names_share(const struct ws_job *j, int zi, uint64_t term)
{
	const struct ws_attempt *s;
	const char *first = NULL;
	size_t n = 0;

	DL_FOREACH2 (j->attempts, s, jnext)
		if (s->state != WS_ATTEMPT_GONE && !s->orphan && s->machine->zi == zi &&
		    s->attempt >> WS_ATTEMPT_SHIFT == term) {
			const char *name = s->machine->name;

			if (!first) {
				first = name;
				n = strlen(name) - 1;
			}
			for (size_t i = 0; i < n; i++)
				if (name[i] != first[i] || !name[i + 1])
					n = i;
		}
	return n;
}

static void ws_assigned_close(json_t *a, const struct ws_attempt *last, const struct ws_text *t,
			      size_t share)
{
	if (last)
		json_array_append_new(
		    a, json_pack("[I,s,s#,s]", (json_int_t)(last->attempt >> WS_ATTEMPT_SHIFT),
				 last->machine->zone, last->machine->name, (int)share, t->p));
}

/*
 * Attempts that may be alive: [[term, zone, beginning of names, "231=0-5,7;232/2#9=8"], ...]: the
 * rest of the machine's name, its tenure unless 1, the number unless it is the one before, and the
 * tasks. The attempt is the term, shifted, plus the number; those of one pass share it. Zone by
 * zone, since it is the names and zones that take the room.
 */
static json_t *ws_record_assigned(const struct ws_core *c, const struct ws_job *j)
{
	json_t *a = json_array();
	struct ws_attempt *s;
	struct ws_text t = {0};

	DL_FOREACH2 (j->attempts, s, jnext)
		s->writing = false;
	for (int zi = -1; zi < c->nzones; zi++) {
		const struct ws_attempt *last = NULL; /* the one written before */
		size_t share = 0;

		if (zi >= 0 && !j->zone_n[zi])
			continue;
		for (s = j->attempts; s; s = s->jnext) {
			uint64_t term = s->attempt >> WS_ATTEMPT_SHIFT;
			uint32_t from = s->task;

			if (s->state == WS_ATTEMPT_GONE || s->orphan || s->machine->zi != zi)
				continue;
			if (last && last->attempt >> WS_ATTEMPT_SHIFT != term) {
				ws_assigned_close(a, last, &t, share);
				last = NULL;
				t.len = 0;
			}
			if (!last)
				share = ws_names_share(j, zi, term);
			if (ws_same_run(last, s)) {
				ws_text_add(&t, ",%u", from);
			} else {
				ws_text_add(&t, "%s%.130s", t.len ? ";" : "",
					    s->machine->name + share);
				if (s->tenure != 1)
					ws_text_add(&t, "/%llu", (unsigned long long)s->tenure);
				if (!last || last->attempt != s->attempt)
					ws_text_add(
					    &t, "#%llu",
					    (unsigned long long)ws_attempt_number(s->attempt));
				ws_text_add(&t, "=%u", from);
			}
			for (s->writing = true;
			     s->jnext && s->jnext->state != WS_ATTEMPT_GONE && !s->jnext->orphan &&
			     ws_same_run(s, s->jnext) && s->jnext->task == s->task + 1;
			     s->writing = true)
				s = s->jnext;
			if (s->task != from)
				ws_text_add(&t, "-%u", s->task);
			last = s;
		}
		ws_assigned_close(a, last, &t, share);
		t.len = 0;
	}
	free(t.p);
	return a;
}

/* One machine's part; what follows it, or NULL where it can't be read. */
static const char *ws_read_machine(const char *p, const char *shared, uint64_t term,
				   uint64_t *number, struct ws_assigned *x)
{
	size_t n = strcspn(p, "/#=;");
	char *end = (char *)p + n;

	memset(x, 0, sizeof(*x));
	if (strlen(shared) + n >= sizeof(x->machine) || !n)
		return NULL;
	snprintf(x->machine, sizeof(x->machine), "%s%.*s", shared, (int)n, p);
	x->tenure = 1;
	if (*end == '/')
		x->tenure = strtoull(end + 1, &end, 10);
	if (*end == '#')
		*number = strtoull(end + 1, &end, 10);
	x->attempt = (term << WS_ATTEMPT_SHIFT) + *number;
	return *end == '=' ? end : NULL;
}

/* The attempts that a record names; as many as could be read. */
size_t ws_record_read_assigned(json_t *v, struct ws_assigned **list)
{
	json_t *a = json_object_get(v, "p"), *e;
	size_t i, n = 0, cap = 0;

	*list = NULL;
	json_array_foreach (a, i, e) {
		json_int_t term;
		const char *zone, *shared, *p;
		uint64_t number = 0;

		if (json_unpack(e, "[I,s,s,s]", &term, &zone, &shared, &p))
			continue;
		while (*p) {
			struct ws_assigned x;
			char *end = (char *)ws_read_machine(p, shared, (uint64_t)term, &number, &x);

			if (!end)
				break;
			ws_copy(x.zone, sizeof(x.zone), zone);
			do {
				unsigned long long from, to;

				from = to = strtoull(end + 1, &end, 10);
				if (*end == '-')
					to = strtoull(end + 1, &end, 10);
				for (; from <= to && to < WS_MAX_SHARDS; from++) {
					if (n == cap) {
						cap = cap ? 2 * cap : 64;
						*list = realloc(*list, cap * sizeof(**list));
						if (!*list)
							abort();
					}
					x.task = (uint32_t)from;
					(*list)[n++] = x;
				}
			} while (*end == ',');
			p = *end == ';' ? end + 1 : "";
		}
	}
	return n;
}

/*
 * Completed tasks are written as ranges, which stay short because tasks start in order. Should
 * they not fit the value's limit, the rest stays out: those tasks are not marked saved and so not
 * reaped, and their results wait on their machines. NULL: not even the attempts fit.
 */
json_t *ws_record_job(const struct ws_core *c, const struct ws_job *j, size_t limit)
{
	json_t *v = ws_record_spec(&j->spec, j->phase, j->submitted_wall);
	json_object_set_new(v, "p", ws_record_assigned(c, j));
	char *text = json_dumps(v, JSON_COMPACT);
	size_t room = limit, used = 0;
	char *ranges;

	used = text ? strlen(text) + 64 : limit + 1;
	free(text);
	if (used > limit) {
		json_decref(v);
		return NULL;
	}
	room -= used;
	used = 0;
	ranges = malloc(room + 1);
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
			}
			for (; i <= e; i++)
				j->tasks[i].writing = fits;
			i = e;
		}
		json_object_set_new(v, "d", json_string(ranges));
	}
	json_object_set_new(v, "nd", json_integer(j->ndone));
	json_object_set_new(v, "nr", json_integer(j->attempt_count));
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

size_t ws_record_size(json_t *v)
{
	return json_dumpb(v, NULL, 0, JSON_COMPACT);
}

/*
 * Compatibility: a record may be larger than the limit that holds by now, if it was written under a
 * higher one, as the version before gangs did. Its job's attempts end by and by, and once those
 * that are left fit it is written again; it can end at any time. Only a withdrawal can't wait: then
 * the attempts that don't fit go to records of their own, `more/<job>/<number>`, in the same
 * transaction, and "mo" tells how many these are. Versions that don't know them can lead no more
 * when the limit is lowered. This may go when no limit will be lowered again.
 */
void ws_record_split(json_t *v, size_t limit, json_t **pieces, size_t most, size_t *n)
{
	struct ws_assigned *list;
	size_t count = ws_record_read_assigned(v, &list), i = 0;
	size_t share = count ? strlen(list[0].machine) - 1 : 0;
	json_t *at = v;

	for (size_t k = 1; k < count; k++)
		for (size_t x = 0; x < share; x++)
			if (list[k].machine[x] != list[0].machine[x] || !list[k].machine[x + 1])
				share = x;

	*n = 0;
	json_object_set_new(v, "d", json_string(""));
	json_object_set_new(v, "p", json_array());
	json_object_set_new(v, "mo", json_integer((json_int_t)most));
	while (at && i < count) {
		json_t *p = json_object_get(at, "p");
		size_t used = ws_record_size(at) + 16, from = i;

		/* one entry a term and zone, in the form of ws_record_assigned */
		while (i < count) {
			const struct ws_assigned *a = &list[i];
			struct ws_text t = {0};
			size_t k = i, cost = strlen(a->zone) + share + 40;

			while (k < count && !strcmp(list[k].zone, a->zone) &&
			       list[k].attempt >> WS_ATTEMPT_SHIFT ==
				   a->attempt >> WS_ATTEMPT_SHIFT) {
				const struct ws_assigned *x = &list[k];
				size_t e = k, len;
				char part[WS_NAME_MAX + 96], tenure[24] = "", number[24] = "",
							     to[16] = "";

				while (e + 1 < count &&
				       !strcmp(list[e + 1].machine, list[k].machine) &&
				       list[e + 1].attempt == list[k].attempt &&
				       list[e + 1].tenure == list[k].tenure &&
				       list[e + 1].task == list[e].task + 1)
					e++;
				if (x->tenure != 1)
					snprintf(tenure, sizeof(tenure), "/%llu",
						 (unsigned long long)x->tenure);
				if (k == i || list[k - 1].attempt != x->attempt)
					snprintf(number, sizeof(number), "#%llu",
						 (unsigned long long)ws_attempt_number(x->attempt));
				if (e > k)
					snprintf(to, sizeof(to), "-%u", list[e].task);
				len = (size_t)snprintf(part, sizeof(part), "%s%s%s%s=%u%s",
						       t.len ? ";" : "", x->machine + share, tenure,
						       number, x->task, to);
				if (used + cost + len > limit)
					break;
				cost += len;
				ws_text_add(&t, "%s", part);
				k = e + 1;
			}
			if (k > i) {
				json_array_append_new(
				    p, json_pack("[I,s,s#,s]",
						 (json_int_t)(a->attempt >> WS_ATTEMPT_SHIFT),
						 a->zone, a->machine, (int)share, t.p));
				used += cost;
			}
			free(t.p);
			if (k == i)
				break;
			i = k;
		}
		if (i == count || *n == most || (i == from && at != v))
			break;
		at = pieces[(*n)++] = json_pack("{s:[]}", "p");
	}
	json_object_set_new(v, "mo", json_integer((json_int_t)*n));
	free(list);
}

/* How many records beside its own name attempts of this job. */
uint32_t ws_record_pieces(json_t *v)
{
	return (uint32_t)json_integer_value(json_object_get(v, "mo"));
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

/*
 * Machines with their addresses and newest images, so that the next leader can greet them and place
 * as well as the last one: {"im": images, "m": [[name, host, port, type, zone, spot, tenure, which
 * of the images], ...]}.
 */
json_t *ws_record_chunk(struct ws_core *c, int chunk)
{
	json_t *a = json_array(), *names = json_array();
	struct ws_machine *m, *t, **in = calloc((size_t)ws_chunk_size(c) + 1, sizeof(*in));
	size_t size = 64, limit = (size_t)c->value_most, n = 0;
	int *at = calloc((size_t)c->nimages + 1, sizeof(*at)); /* place among the names, from 1 */

	if (!at || !in)
		abort();
	HASH_ITER (hh, c->machines, m, t) {
		if (m->chunk != chunk || m->gone || !m->port || n > (size_t)ws_chunk_size(c))
			continue;
		size += strlen(m->name) + strlen(m->host) + strlen(m->type_name) + strlen(m->zone) +
			30 + ws_digits(m->tenure);
		if (size > limit) /* names longer than reckoned: the rest will not be greeted */
			break;
		in[n++] = m;
	}
	/* images with what room is left */
	for (size_t k = 0; k < n; k++) {
		json_t *im = json_array();

		m = in[k];
		for (int i = 0; i < m->ncache && i < WS_CACHE_KEPT; i++) {
			const char *name = c->image_names[m->cache[i]];
			size_t more = at[m->cache[i]] ? 5 : 5 + strlen(name) + 3;

			if (size + more > limit)
				continue;
			size += more;
			if (!at[m->cache[i]]) {
				json_array_append_new(names, json_string(name));
				at[m->cache[i]] = (int)json_array_size(names);
			}
			json_array_append_new(im, json_integer(at[m->cache[i]] - 1));
		}
		json_array_append_new(a, json_pack("[s,s,i,s,s,b,I,o]", m->name, m->host, m->port,
						   m->type_name, m->zone, m->spot,
						   (json_int_t)m->tenure, im));
	}
	free(at);
	free(in);
	return json_pack("{s:o,s:o}", "im", names, "m", a);
}

void ws_record_read_chunk(struct ws_core *c, json_t *v, int chunk)
{
	json_t *e, *im, *x, *names = json_object_get(v, "im");
	size_t i, k;

	json_array_foreach (json_object_get(v, "m"), i, e) {
		const char *name, *host, *type, *zone;
		int port, spot;
		json_int_t tenure;
		struct ws_machine *m;

		if (json_unpack(e, "[s,s,i,s,s,b,I,o]", &name, &host, &port, &type, &zone, &spot,
				&tenure, &im) ||
		    strlen(name) >= WS_NAME_MAX)
			continue;
		m = ws_machine_get(c, name);
		if (m->chunk >= 0)
			continue;
		if (ws_chunk_at(c, chunk)->n < ws_chunk_size(c)) {
			m->chunk = chunk;
			ws_chunk_at(c, chunk)->n++;
		} else { /* written under a higher limit: the rest goes to others */
			ws_chunk_dirty(c, chunk);
		}
		m->on_record = true;
		ws_machine_place(c, m, type, zone, spot);
		ws_copy(m->host, sizeof(m->host), host);
		m->port = port;
		if ((uint64_t)tenure > m->tenure)
			m->tenure = (uint64_t)tenure;
		json_array_foreach (im, k, x) {
			const char *image =
			    json_string_value(json_array_get(names, (size_t)json_integer_value(x)));

			if (image && m->ncache < WS_CACHE_KEPT)
				m->cache[m->ncache++] = ws_image_id(c, image);
		}
	}
}

json_t *ws_record_rental(const struct ws_rental *r)
{
	json_t *a = json_array();

	for (uint32_t i = 0; i < r->nhosts; i++)
		json_array_append_new(a, json_string(r->hosts[i]));
	return json_pack("{s:s,s:s,s:b,s:I,s:b,s:o}", "ty", r->type, "z", r->zone, "sp", r->spot,
			 "n", (json_int_t)r->count, "got", r->state == WS_RENTAL_GOT, "h", a);
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
