/*
 * Records kept in the store, to JSON and back. Field names are short, since values are
 * limited. Anything that does not read back cleanly is refused whole.
 */
#include "internal.h"
#include <stdarg.h>

static const char *const phases[] = {"queued", "running", "done", "withdrawn"};

static bool ws_phase_read(const char *text, enum ws_job_phase *phase)
{
	for (int i = 0; text && i < 4; i++)
		if (!strcmp(text, phases[i])) {
			*phase = (enum ws_job_phase)i;
			return true;
		}
	return false;
}

static void ws_copy(char *target, size_t size, const char *from)
{
	snprintf(target, size, "%s", from ? from : "");
}

json_t *ws_record_spec(const struct ws_job_spec *spec, enum ws_job_phase phase, double wall)
{
	json_t *value =
	    json_pack("{s:s,s:f,s:s,s:s,s:b,s:i,s:I,s:f,s:f,s:f,s:s,s:f}", "ph", phases[phase],
		      "at", wall, "cl", spec->job_class, "tm", spec->team, "sv", spec->service,
		      "ti", (int)spec->priority, "n", (json_int_t)spec->tasks, "c", spec->cpus, "g",
		      spec->gpus, "m", spec->mem_gb, "im", spec->image, "gb", spec->image_gb);
	json_t *types = json_array();

	for (size_t i = 0; i < spec->type_count; i++)
		json_array_append_new(types, json_string(spec->types[i]));
	json_object_set_new(value, "ty", types);
	json_object_set_new(value, "z", json_string(spec->zone));
	json_object_set_new(value, "fl",
			    json_integer((spec->one_zone ? 1 : 0) | (spec->spread ? 2 : 0) |
					 (spec->allows_preemptible ? 4 : 0) |
					 (spec->gang ? 8 : 0)));
	json_object_set_new(value, "e", json_real(spec->estimate_s));
	json_object_set_new(value, "ck", json_real(spec->checkpoint_s));
	json_object_set_new(value, "sa", json_real(spec->save_s));
	json_object_set_new(value, "dl", json_real(spec->deadline_s));
	return value;
}

struct ws_string_builder { /* grows; what can't be had ends the program, as everywhere in the core
			    */
	char *bytes;
	size_t length, capacity;
};

static void ws_text_add(struct ws_string_builder *builder, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
static void ws_text_add(struct ws_string_builder *builder, const char *fmt, ...)
{
	va_list ap;
	int n;

	if (builder->capacity - builder->length < 256) {
		builder->capacity = builder->capacity ? 2 * builder->capacity : 1024;
		builder->bytes = realloc(builder->bytes, builder->capacity);
		if (!builder->bytes)
			abort();
	}
	va_start(ap, fmt);
	n = vsnprintf(builder->bytes + builder->length, builder->capacity - builder->length, fmt,
		      ap);
	va_end(ap);
	builder->length += (size_t)n;
}

static size_t ws_digits(uint64_t number)
{
	size_t d = 1;

	while (number >= 10) {
		number /= 10;
		d++;
	}
	return d;
}

static uint64_t ws_attempt_number(uint64_t attempt)
{
	return attempt & ((1ULL << WS_ATTEMPT_SHIFT) - 1);
}

/* Told in the same breath: one machine, one attempt's number. */
static bool ws_attempts_share_run(const struct ws_attempt *attempt,
				  const struct ws_attempt *other_attempt)
{
	return attempt && attempt->machine == other_attempt->machine &&
	       attempt->number == other_attempt->number &&
	       attempt->incarnation == other_attempt->incarnation;
}

/*
 * What an attempt adds to its job's record at the most, behind 'before', the live one before it in
 * the job's list. When others of the list go, the record never grows by it.
 */
size_t ws_record_attempt_size(const struct ws_core *core, const struct ws_attempt *before,
			      const struct ws_attempt *attempt)
{
	size_t n = ws_digits(attempt->task) + 1;
	bool same = before && before->machine->zone_index == attempt->machine->zone_index;

	if (ws_attempts_share_run(before, attempt))
		return n;
	/* a name that shares less with the others than all did makes each of them longer by one */
	n += strlen(attempt->machine->name) - core->name_shared + 2;
	if (attempt->incarnation != 1)
		n += 1 + ws_digits(attempt->incarnation);
	if (!same || before->number != attempt->number)
		n += 1 + ws_digits(ws_attempt_number(attempt->number));
	if (!same || before->number >> WS_ATTEMPT_SHIFT != attempt->number >> WS_ATTEMPT_SHIFT)
		n += strlen(attempt->machine->zone) + core->name_shared + 32;
	return n;
}

/* Bytes that a job's record may have, with some to spare. */
size_t ws_record_size_limit(const struct ws_core *core)
{
	return core->value_most > 128 ? (size_t)core->value_most - 64 : 64;
}

/*
 * Whether a record can name all of a gang on machines of a type: a gang is on record whole. Some 8
 * bytes a machine, besides the description.
 */
bool ws_gang_recordable(const struct ws_core *core, const struct ws_job_spec *spec,
			const struct ws_machine_type *type)
{
	uint32_t fit = ws_tasks_fit(spec, type->cpus, type->gpus, type->mem_gb, spec->tasks);

	return !spec->gang || (fit && 8.0 * ceil((double)spec->tasks / fit) <=
					  core->settings->value_kb * 1024 - 704);
}

/* What all names of those with this zone and term begin with, short of the whole name. */
static size_t ws_names_share(const struct ws_job *job, int zone_index, uint64_t term)
{
	const struct ws_attempt *attempt;
	const char *first = NULL;
	size_t n = 0;

	DL_FOREACH2 (job->attempts, attempt, job_next)
		if (attempt->state != WS_ATTEMPT_GONE && !attempt->unrecorded &&
		    attempt->machine->zone_index == zone_index &&
		    attempt->number >> WS_ATTEMPT_SHIFT == term) {
			const char *name = attempt->machine->name;

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

static void ws_attempt_list_close(json_t *array, const struct ws_attempt *last,
				  const struct ws_string_builder *builder, size_t share)
{
	if (last)
		json_array_append_new(
		    array, json_pack("[I,s,s#,s]", (json_int_t)(last->number >> WS_ATTEMPT_SHIFT),
				     last->machine->zone, last->machine->name, (int)share,
				     builder->bytes));
}

/*
 * Attempts that may be alive: [[term, zone, beginning of names, "231=0-5,7;232/2#9=8"], ...]: the
 * rest of the machine's name, its incarnation unless 1, the number unless it is the one before, and
 * the tasks. The attempt is the term, shifted, plus the number; those of one pass share it. Zone by
 * zone, since it is the names and zones that take the room.
 */
static json_t *ws_record_attempts(const struct ws_core *core, const struct ws_job *job)
{
	json_t *array = json_array();
	struct ws_attempt *attempt;
	struct ws_string_builder builder = {0};

	DL_FOREACH2 (job->attempts, attempt, job_next)
		attempt->write_in_flight = false;
	for (int zi = -1; zi < core->nzones; zi++) {
		const struct ws_attempt *last = NULL; /* the one written before */
		size_t share = 0;

		if (zi >= 0 && !job->attempts_by_zone[zi])
			continue;
		for (attempt = job->attempts; attempt; attempt = attempt->job_next) {
			uint64_t term = attempt->number >> WS_ATTEMPT_SHIFT;
			uint32_t from = attempt->task;

			if (attempt->state == WS_ATTEMPT_GONE || attempt->unrecorded ||
			    attempt->machine->zone_index != zi)
				continue;
			if (last && last->number >> WS_ATTEMPT_SHIFT != term) {
				ws_attempt_list_close(array, last, &builder, share);
				last = NULL;
				builder.length = 0;
			}
			if (!last)
				share = ws_names_share(job, zi, term);
			if (ws_attempts_share_run(last, attempt)) {
				ws_text_add(&builder, ",%u", from);
			} else {
				ws_text_add(&builder, "%s%.130s", builder.length ? ";" : "",
					    attempt->machine->name + share);
				if (attempt->incarnation != 1)
					ws_text_add(&builder, "/%llu",
						    (unsigned long long)attempt->incarnation);
				if (!last || last->number != attempt->number)
					ws_text_add(
					    &builder, "#%llu",
					    (unsigned long long)ws_attempt_number(attempt->number));
				ws_text_add(&builder, "=%u", from);
			}
			for (attempt->write_in_flight = true;
			     attempt->job_next && attempt->job_next->state != WS_ATTEMPT_GONE &&
			     !attempt->job_next->unrecorded &&
			     ws_attempts_share_run(attempt, attempt->job_next) &&
			     attempt->job_next->task == attempt->task + 1;
			     attempt->write_in_flight = true)
				attempt = attempt->job_next;
			if (attempt->task != from)
				ws_text_add(&builder, "-%u", attempt->task);
			last = attempt;
		}
		ws_attempt_list_close(array, last, &builder, share);
		builder.length = 0;
	}
	free(builder.bytes);
	return array;
}

/* One machine's part; what follows it, or NULL where it can't be read. */
static const char *ws_read_machine(const char *text, const char *shared, uint64_t term,
				   uint64_t *number, struct ws_recorded_attempt *recorded)
{
	size_t n = strcspn(text, "/#=;");
	char *end = (char *)text + n;

	memset(recorded, 0, sizeof(*recorded));
	if (strlen(shared) + n >= sizeof(recorded->machine) || !n)
		return NULL;
	snprintf(recorded->machine, sizeof(recorded->machine), "%s%.*s", shared, (int)n, text);
	recorded->incarnation = 1;
	if (*end == '/')
		recorded->incarnation = strtoull(end + 1, &end, 10);
	if (*end == '#')
		*number = strtoull(end + 1, &end, 10);
	recorded->number = (term << WS_ATTEMPT_SHIFT) + *number;
	return *end == '=' ? end : NULL;
}

/* The attempts that a record names; as many as could be read. */
size_t ws_record_read_attempts(json_t *value, struct ws_recorded_attempt **list)
{
	json_t *array = json_object_get(value, "p"), *element;
	size_t i, n = 0, cap = 0;

	*list = NULL;
	json_array_foreach (array, i, element) {
		json_int_t term;
		const char *zone, *shared, *p;
		uint64_t number = 0;

		if (json_unpack(element, "[I,s,s,s]", &term, &zone, &shared, &p))
			continue;
		while (*p) {
			struct ws_recorded_attempt recorded;
			char *end =
			    (char *)ws_read_machine(p, shared, (uint64_t)term, &number, &recorded);

			if (!end)
				break;
			ws_copy(recorded.zone, sizeof(recorded.zone), zone);
			do {
				unsigned long long from, to;

				from = to = strtoull(end + 1, &end, 10);
				if (*end == '-')
					to = strtoull(end + 1, &end, 10);
				for (; from <= to && to < WS_MAX_TASKS; from++) {
					if (n == cap) {
						cap = cap ? 2 * cap : 64;
						*list = realloc(*list, cap * sizeof(**list));
						if (!*list)
							abort();
					}
					recorded.task = (uint32_t)from;
					(*list)[n++] = recorded;
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
json_t *ws_record_job(const struct ws_core *core, const struct ws_job *job, size_t limit)
{
	json_t *value = ws_record_spec(&job->spec, job->phase, job->submitted_at_wall);
	json_object_set_new(value, "p", ws_record_attempts(core, job));
	char *text = json_dumps(value, JSON_COMPACT);
	size_t room = limit, used = 0;
	char *ranges;

	used = text ? strlen(text) + 64 : limit + 1;
	free(text);
	if (used > limit) {
		json_decref(value);
		return NULL;
	}
	room -= used;
	used = 0;
	ranges = malloc(room + 1);
	if (ranges && job->tasks) {
		ranges[0] = 0;
		for (uint32_t i = 0; i < job->spec.tasks; i++) {
			uint32_t e = i;
			char part[32];
			int len;

			job->tasks[i].write_in_flight = false;
			if (!job->tasks[i].done)
				continue;
			while (e + 1 < job->spec.tasks && job->tasks[e + 1].done)
				e++;
			len = e == i ? snprintf(part, sizeof(part), "%u,", i)
				     : snprintf(part, sizeof(part), "%u-%u,", i, e);
			bool fits = used + (size_t)len <= room;
			if (fits) {
				memcpy(ranges + used, part, (size_t)len + 1);
				used += (size_t)len;
			}
			for (; i <= e; i++)
				job->tasks[i].write_in_flight = fits;
			i = e;
		}
		json_object_set_new(value, "d", json_string(ranges));
	}
	json_object_set_new(value, "nd", json_integer(job->done_count));
	json_object_set_new(value, "nr", json_integer(job->attempt_count));
	free(ranges);
	return value;
}

struct ws_job *ws_record_read_job(const char *id, json_t *value)
{
	struct ws_job *job = calloc(1, sizeof(*job));
	const char *ph, *cl, *tm, *im, *z, *d = "";
	int sv, tier, fl;
	json_int_t n;
	json_t *types;
	struct ws_job_spec *spec = &job->spec;

	if (!job)
		return NULL;
	if (json_unpack(value,
			"{s:s,s:F,s:s,s:s,s:b,s:i,s:I,s:F,s:F,s:F,s:s,s:F,s:o,s:s,s:i,s:F,s:F,"
			"s:F,s:F,s?s}",
			"ph", &ph, "at", &job->submitted_at_wall, "cl", &cl, "tm", &tm, "sv", &sv,
			"ti", &tier, "n", &n, "c", &spec->cpus, "g", &spec->gpus, "m",
			&spec->mem_gb, "im", &im, "gb", &spec->image_gb, "ty", &types, "z", &z,
			"fl", &fl, "e", &spec->estimate_s, "ck", &spec->checkpoint_s, "sa",
			&spec->save_s, "dl", &spec->deadline_s, "d", &d) ||
	    !ws_phase_read(ph, &job->phase) || n < 1 || n > WS_MAX_TASKS || tier < 0 || tier > 3 ||
	    !json_is_array(types) || json_array_size(types) > WS_MAX_ALLOWED ||
	    !(job->tasks = calloc((size_t)n, sizeof(*job->tasks)))) {
		free(job);
		return NULL;
	}
	ws_copy(spec->id, sizeof(spec->id), id);
	ws_copy(spec->job_class, sizeof(spec->job_class), cl);
	ws_copy(spec->team, sizeof(spec->team), tm);
	ws_copy(spec->image, sizeof(spec->image), im);
	ws_copy(spec->zone, sizeof(spec->zone), z);
	spec->service = sv;
	spec->priority = (enum ws_priority_class)tier;
	spec->tasks = (uint32_t)n;
	spec->one_zone = fl & 1;
	spec->spread = fl & 2;
	spec->allows_preemptible = fl & 4;
	spec->gang = fl & 8;
	for (size_t i = 0; i < json_array_size(types); i++)
		ws_copy(spec->types[spec->type_count++], WS_NAME_MAX,
			json_string_value(json_array_get(types, i)));
	for (const char *p = d; *p;) {
		char *end;
		unsigned long a = strtoul(p, &end, 10), b = a;

		if (end == p)
			break;
		if (*end == '-')
			b = strtoul(end + 1, &end, 10);
		for (unsigned long i = a; i <= b && i < spec->tasks; i++)
			if (!job->tasks[i].done) {
				job->tasks[i].done = job->tasks[i].recorded = true;
				job->done_count++;
			}
		if (*end != ',')
			break;
		p = end + 1;
	}
	job->started = job->phase == WS_JOB_RUNNING;
	return job;
}

size_t ws_record_size(json_t *value)
{
	return json_dumpb(value, NULL, 0, JSON_COMPACT);
}

/*
 * Compatibility: a record may be larger than the limit that holds by now, if it was written under a
 * higher one, as the version before gangs did. Its job's attempts end by and by, and once those
 * that are left fit it is written again; it can end at any time. Only a cancellation can't wait:
 * then the attempts that don't fit go to records of their own, `more/<job>/<number>`, in the same
 * transaction, and "mo" tells how many these are. Versions that don't know them can lead no more
 * when the limit is lowered. This may go when no limit will be lowered again.
 */
void ws_record_split_attempts(json_t *value, size_t limit, json_t **pieces, size_t most, size_t *n)
{
	struct ws_recorded_attempt *list;
	size_t count = ws_record_read_attempts(value, &list), i = 0;
	size_t share = count ? strlen(list[0].machine) - 1 : 0;
	json_t *at = value;

	for (size_t k = 1; k < count; k++)
		for (size_t x = 0; x < share; x++)
			if (list[k].machine[x] != list[0].machine[x] || !list[k].machine[x + 1])
				share = x;

	*n = 0;
	json_object_set_new(value, "d", json_string(""));
	json_object_set_new(value, "p", json_array());
	json_object_set_new(value, "mo", json_integer((json_int_t)most));
	while (at && i < count) {
		json_t *p = json_object_get(at, "p");
		size_t used = ws_record_size(at) + 16, from = i;

		/* one entry a term and zone, in the form of ws_record_attempts */
		while (i < count) {
			const struct ws_recorded_attempt *a = &list[i];
			struct ws_string_builder builder = {0};
			size_t k = i, cost = strlen(a->zone) + share + 40;

			while (k < count && !strcmp(list[k].zone, a->zone) &&
			       list[k].number >> WS_ATTEMPT_SHIFT ==
				   a->number >> WS_ATTEMPT_SHIFT) {
				const struct ws_recorded_attempt *x = &list[k];
				size_t e = k, len;
				char part[WS_NAME_MAX + 96], tenure[24] = "", number[24] = "",
							     to[16] = "";

				while (e + 1 < count &&
				       !strcmp(list[e + 1].machine, list[k].machine) &&
				       list[e + 1].number == list[k].number &&
				       list[e + 1].incarnation == list[k].incarnation &&
				       list[e + 1].task == list[e].task + 1)
					e++;
				if (x->incarnation != 1)
					snprintf(tenure, sizeof(tenure), "/%llu",
						 (unsigned long long)x->incarnation);
				if (k == i || list[k - 1].number != x->number)
					snprintf(number, sizeof(number), "#%llu",
						 (unsigned long long)ws_attempt_number(x->number));
				if (e > k)
					snprintf(to, sizeof(to), "-%u", list[e].task);
				len = (size_t)snprintf(
				    part, sizeof(part), "%s%s%s%s=%u%s", builder.length ? ";" : "",
				    x->machine + share, tenure, number, x->task, to);
				if (used + cost + len > limit)
					break;
				cost += len;
				ws_text_add(&builder, "%s", part);
				k = e + 1;
			}
			if (k > i) {
				json_array_append_new(
				    p, json_pack("[I,s,s#,s]",
						 (json_int_t)(a->number >> WS_ATTEMPT_SHIFT),
						 a->zone, a->machine, (int)share, builder.bytes));
				used += cost;
			}
			free(builder.bytes);
			if (k == i)
				break;
			i = k;
		}
		if (i == count || *n == most || (i == from && at != value))
			break;
		at = pieces[(*n)++] = json_pack("{s:[]}", "p");
	}
	json_object_set_new(value, "mo", json_integer((json_int_t)*n));
	free(list);
}

/* How many records beside its own name attempts of this job. */
uint32_t ws_record_continuation_count(json_t *value)
{
	return (uint32_t)json_integer_value(json_object_get(value, "mo"));
}

json_t *ws_record_final(const struct ws_job *job)
{
	return json_pack("{s:s,s:I,s:i}", "ph", phases[job->phase], "nd",
			 (json_int_t)job->done_count, "nr", 0);
}

bool ws_record_read_phase(json_t *value, enum ws_job_phase *phase, uint32_t *done,
			  uint32_t *running)
{
	json_int_t nd = 0, nr = 0;
	const char *ph;

	if (json_unpack(value, "{s:s,s?I,s?I}", "ph", &ph, "nd", &nd, "nr", &nr) ||
	    !ws_phase_read(ph, phase))
		return false;
	*done = (uint32_t)nd;
	*running = *phase == WS_JOB_RUNNING ? (uint32_t)nr : 0;
	return true;
}

bool ws_record_cancel(json_t *value)
{
	return json_object_set_new(value, "ph", json_string(phases[WS_JOB_CANCELLED])) == 0;
}

/*
 * Machines with their addresses and newest images, so that the next leader can greet them and place
 * as well as the last one: {"im": images, "m": [[name, host, port, type, zone, preemptible,
 * incarnation, which of the images], ...]}.
 */
json_t *ws_record_machine_shard(struct ws_core *core, int chunk)
{
	json_t *array = json_array(), *names = json_array();
	struct ws_machine *machine, *next_machine,
	    **machine_link = calloc((size_t)ws_shard_capacity(core) + 1, sizeof(*machine_link));
	size_t size = 64, limit = (size_t)core->value_most, n = 0;
	int *at =
	    calloc((size_t)core->nimages + 1, sizeof(*at)); /* place among the names, from 1 */

	if (!at || !machine_link)
		abort();
	HASH_ITER (hh, core->machines, machine, next_machine) {
		if (machine->shard != chunk || machine->gone || !machine->port ||
		    n > (size_t)ws_shard_capacity(core))
			continue;
		size += strlen(machine->name) + strlen(machine->address) +
			strlen(machine->type_name) + strlen(machine->zone) + 30 +
			ws_digits(machine->incarnation);
		if (size > limit) /* names longer than reckoned: the rest will not be greeted */
			break;
		machine_link[n++] = machine;
	}
	/* images with what room is left */
	for (size_t k = 0; k < n; k++) {
		json_t *im = json_array();

		machine = machine_link[k];
		for (int i = 0; i < machine->image_cache_count && i < WS_CACHE_KEPT; i++) {
			const char *name = core->image_names[machine->image_cache[i]];
			size_t more = at[machine->image_cache[i]] ? 5 : 5 + strlen(name) + 3;

			if (size + more > limit)
				continue;
			size += more;
			if (!at[machine->image_cache[i]]) {
				json_array_append_new(names, json_string(name));
				at[machine->image_cache[i]] = (int)json_array_size(names);
			}
			json_array_append_new(im, json_integer(at[machine->image_cache[i]] - 1));
		}
		json_array_append_new(
		    array, json_pack("[s,s,i,s,s,b,I,o]", machine->name, machine->address,
				     machine->port, machine->type_name, machine->zone,
				     machine->preemptible, (json_int_t)machine->incarnation, im));
	}
	free(at);
	free(machine_link);
	return json_pack("{s:o,s:o}", "im", names, "m", array);
}

void ws_record_read_machine_shard(struct ws_core *core, json_t *value, int chunk)
{
	json_t *element, *im, *x, *names = json_object_get(value, "im");
	size_t i, k;

	json_array_foreach (json_object_get(value, "m"), i, element) {
		const char *name, *host, *type, *zone;
		int port, spot;
		json_int_t tenure;
		struct ws_machine *machine;

		if (json_unpack(element, "[s,s,i,s,s,b,I,o]", &name, &host, &port, &type, &zone,
				&spot, &tenure, &im) ||
		    strlen(name) >= WS_NAME_MAX)
			continue;
		machine = ws_machine_find_or_add(core, name);
		if (machine->shard >= 0)
			continue;
		if (ws_shard_at(core, chunk)->machine_count < ws_shard_capacity(core)) {
			machine->shard = chunk;
			ws_shard_at(core, chunk)->machine_count++;
		} else { /* written under a higher limit: the rest goes to others */
			ws_shard_mark_dirty(core, chunk);
		}
		machine->recorded = true;
		ws_machine_set_kind(core, machine, type, zone, spot);
		ws_copy(machine->address, sizeof(machine->address), host);
		machine->port = port;
		if ((uint64_t)tenure > machine->incarnation)
			machine->incarnation = (uint64_t)tenure;
		json_array_foreach (im, k, x) {
			const char *image =
			    json_string_value(json_array_get(names, (size_t)json_integer_value(x)));

			if (image && machine->image_cache_count < WS_CACHE_KEPT)
				machine->image_cache[machine->image_cache_count++] =
				    ws_image_index(core, image);
		}
	}
}

json_t *ws_record_scale_out(const struct ws_scale_out *request)
{
	json_t *array = json_array();

	for (uint32_t i = 0; i < request->instance_count; i++)
		json_array_append_new(array, json_string(request->instances[i]));
	return json_pack("{s:s,s:s,s:b,s:I,s:b,s:o}", "ty", request->type, "z", request->zone, "sp",
			 request->preemptible, "n", (json_int_t)request->count, "got",
			 request->state == WS_SCALE_OUT_GRANTED, "h", array);
}

bool ws_record_read_scale_out(json_t *value, struct ws_scale_out *request)
{
	const char *ty, *z;
	int sp, got;
	json_int_t n;
	json_t *h;

	if (json_unpack(value, "{s:s,s:s,s:b,s:I,s:b,s:o}", "ty", &ty, "z", &z, "sp", &sp, "n", &n,
			"got", &got, "h", &h) ||
	    n < 1 || n > WS_SCALE_OUT_MAX || json_array_size(h) > WS_SCALE_OUT_MAX)
		return false;
	ws_copy(request->type, sizeof(request->type), ty);
	ws_copy(request->zone, sizeof(request->zone), z);
	request->preemptible = sp;
	request->count = (uint32_t)n;
	request->state = got ? WS_SCALE_OUT_GRANTED : WS_SCALE_OUT_RECORDED;
	request->instances = calloc(json_array_size(h) + 1, sizeof(*request->instances));
	if (!request->instances)
		return false;
	for (size_t i = 0; i < json_array_size(h); i++)
		ws_copy(request->instances[request->instance_count++], WS_NAME_MAX,
			json_string_value(json_array_get(h, i)));
	return true;
}

json_t *ws_record_leader(const struct ws_settings *settings, uint64_t nonce)
{
	return json_pack("{s:s,s:I}", "node", settings->node, "life", (json_int_t)(nonce >> 2));
}

const char *ws_record_leader_node(json_t *value)
{
	return json_string_value(json_object_get(value, "node"));
}

json_t *ws_record_types(const struct ws_machine_type *type, size_t count)
{
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++) {
		json_t *z = json_array();
		for (size_t k = 0; k < type[i].zone_count; k++)
			json_array_append_new(z, json_string(type[i].zones[k]));
		json_array_append_new(array,
				      json_pack("[s,f,f,f,f,f,f,f,f,o]", type[i].name, type[i].cpus,
						type[i].gpus, type[i].mem_gb, type[i].local_gb,
						type[i].fetch_gb_s, type[i].price,
						type[i].preemptible_price, type[i].boot_s, z));
	}
	return array;
}

size_t ws_record_read_types(json_t *value, struct ws_machine_type *type)
{
	size_t n = 0, i;
	json_t *element;

	json_array_foreach (value, i, element) {
		const char *name;
		json_t *z;
		struct ws_machine_type *other_type = &type[n];

		memset(other_type, 0, sizeof(*other_type));
		if (json_unpack(element, "[s,F,F,F,F,F,F,F,F,o]", &name, &other_type->cpus,
				&other_type->gpus, &other_type->mem_gb, &other_type->local_gb,
				&other_type->fetch_gb_s, &other_type->price,
				&other_type->preemptible_price, &other_type->boot_s, &z))
			continue;
		ws_copy(other_type->name, sizeof(other_type->name), name);
		for (size_t k = 0;
		     k < json_array_size(z) && other_type->zone_count < WS_MAX_ALLOWED; k++)
			ws_copy(other_type->zones[other_type->zone_count++], WS_NAME_MAX,
				json_string_value(json_array_get(z, k)));
		if (++n == WS_MAX_TYPES)
			break;
	}
	return n;
}
