/*
 * A job's record: the submitted description, the phase, the attempts that may still be running (see
 * attempt_list.c) and the completed tasks. Completed tasks are written as ranges, which stay few
 * because tasks start in order. An archived job's record contains only the phase and the counts.
 */
#include "../core_state.h"
#include "attempt_list.h"
#include "record_fields.h"

/* Bytes kept free for the counts and for the names of the fields that follow the attempts. */
#define WS_JOB_RECORD_RESERVE 64

static const char *const phase_names[] = {"queued", "running", "done", "withdrawn"};
#define WS_PHASE_COUNT (sizeof(phase_names) / sizeof(phase_names[0]))

static bool ws_phase_decode(const char *name, enum ws_job_phase *phase)
{
	for (size_t i = 0; name && i < WS_PHASE_COUNT; i++)
		if (!strcmp(name, phase_names[i])) {
			*phase = (enum ws_job_phase)i;
			return true;
		}
	return false;
}

/* ---- encoding ---- */

static int ws_placement_flags(const struct ws_job_spec *spec)
{
	return (spec->one_zone ? WS_PLACEMENT_ONE_ZONE : 0) |
	       (spec->spread ? WS_PLACEMENT_SPREAD : 0) |
	       (spec->allows_preemptible ? WS_PLACEMENT_PREEMPTIBLE : 0) |
	       (spec->gang ? WS_PLACEMENT_GANG : 0);
}

json_t *ws_new_job_record_encode(const struct ws_job_spec *spec, enum ws_job_phase phase,
				 double submitted_at_wall)
{
	json_t *record = json_pack(
	    "{s:s,s:f,s:s,s:s,s:b,s:i,s:I,s:f,s:f,s:f,s:s,s:f}", WS_FIELD_PHASE, phase_names[phase],
	    WS_FIELD_SUBMITTED_AT, submitted_at_wall, WS_FIELD_CLASS, spec->job_class,
	    WS_FIELD_TEAM, spec->team, WS_FIELD_SERVICE, spec->service, WS_FIELD_PRIORITY_CLASS,
	    (int)spec->priority, WS_FIELD_TASK_COUNT, (json_int_t)spec->tasks, WS_FIELD_CPUS,
	    spec->cpus, WS_FIELD_GPUS, spec->gpus, WS_FIELD_MEMORY, spec->mem_gb, WS_FIELD_IMAGE,
	    spec->image, WS_FIELD_IMAGE_SIZE, spec->image_gb);
	json_t *types = json_array();

	for (size_t i = 0; i < spec->type_count; i++)
		json_array_append_new(types, json_string(spec->types[i]));
	json_object_set_new(record, WS_FIELD_ALLOWED_TYPES, types);
	json_object_set_new(record, WS_FIELD_ALLOWED_ZONE, json_string(spec->zone));
	json_object_set_new(record, WS_FIELD_PLACEMENT_FLAGS,
			    json_integer(ws_placement_flags(spec)));
	json_object_set_new(record, WS_FIELD_ESTIMATE, json_real(spec->estimate_s));
	json_object_set_new(record, WS_FIELD_CHECKPOINT_INTERVAL,
			    json_real(spec->checkpoint_interval_s));
	json_object_set_new(record, WS_FIELD_CHECKPOINT_DURATION,
			    json_real(spec->checkpoint_duration_s));
	json_object_set_new(record, WS_FIELD_DEADLINE, json_real(spec->deadline_s));
	return record;
}

/* Encodes the completed tasks as ranges, leaving out ranges that do not fit into `limit` bytes.
 * Marks the tasks that fit as being written. */
static json_t *ws_completed_encode(const struct ws_job *job, size_t limit)
{
	struct ws_text_builder text = {0};
	json_t *ranges;

	for (uint32_t first = 0; first < job->spec.tasks; first++) {
		uint32_t last = first;
		size_t before = text.length;
		bool fits;

		job->tasks[first].write_in_flight = false;
		if (!job->tasks[first].done)
			continue;
		while (last + 1 < job->spec.tasks && job->tasks[last + 1].done)
			last++;
		ws_text_builder_add_range(&text, first, last);
		ws_text_builder_add_char(&text, ',');
		fits = text.length <= limit;
		if (!fits)
			ws_text_builder_truncate(&text, before);
		for (uint32_t task = first; task <= last; task++)
			job->tasks[task].write_in_flight = fits;
		first = last;
	}
	ranges = json_string(ws_text_builder_text(&text));
	ws_text_builder_free(&text);
	return ranges;
}

json_t *ws_job_record_encode(const struct ws_job *job, const struct ws_attempt_slice *listed,
			     uint32_t continuation_count, int zone_count, size_t limit,
			     size_t *bytes)
{
	json_t *record = ws_new_job_record_encode(&job->spec, job->phase, job->submitted_at_wall);
	json_t *list = ws_attempt_list_encode(listed, zone_count);
	size_t size;

	if (continuation_count)
		ws_attempt_list_append_continued(job, zone_count, list);
	json_object_set_new(record, WS_FIELD_ATTEMPTS, list);
	if (continuation_count)
		json_object_set_new(record, WS_FIELD_CONTINUATIONS,
				    json_integer(continuation_count));
	size = ws_record_size(record);
	*bytes = size ? size + WS_JOB_RECORD_RESERVE : limit + 1;
	if (*bytes > limit) {
		json_decref(record);
		return NULL;
	}
	if (job->tasks)
		json_object_set_new(record, WS_FIELD_COMPLETED_TASKS,
				    ws_completed_encode(job, limit - *bytes));
	json_object_set_new(record, WS_FIELD_COMPLETED_COUNT, json_integer(job->done_count));
	json_object_set_new(record, WS_FIELD_ATTEMPT_COUNT, json_integer(job->attempt_count));
	return record;
}

json_t *ws_archived_job_record_encode(const struct ws_job *job)
{
	return json_pack("{s:s,s:I,s:i}", WS_FIELD_PHASE, phase_names[job->phase],
			 WS_FIELD_COMPLETED_COUNT, (json_int_t)job->done_count,
			 WS_FIELD_ATTEMPT_COUNT, 0);
}

bool ws_job_record_cancel(json_t *record)
{
	return json_object_set_new(record, WS_FIELD_PHASE,
				   json_string(phase_names[WS_JOB_CANCELLED])) == 0;
}

/* ---- decoding ---- */

/* Fields of a job's record that are checked or copied before they are stored in the job. */
struct ws_job_fields {
	const char *phase, *job_class, *team, *image, *zone;
	const char *completed; /* ranges of completed tasks; empty if there are none */
	json_t *types;
	int service, priority_class, placement_flags;
	json_int_t tasks;
};

/* Returns false if a field is missing or has the wrong type. */
static bool ws_job_unpack(json_t *record, struct ws_job *job, struct ws_job_fields *fields)
{
	struct ws_job_spec *spec = &job->spec;

	fields->completed = "";
	return !json_unpack(
	    record,
	    "{s:s,s:F,s:s,s:s,s:b,s:i,s:I,s:F,s:F,s:F,s:s,s:F,s:o,s:s,s:i,s:F,s:F,s:F,s:F,s?s}",
	    WS_FIELD_PHASE, &fields->phase, WS_FIELD_SUBMITTED_AT, &job->submitted_at_wall,
	    WS_FIELD_CLASS, &fields->job_class, WS_FIELD_TEAM, &fields->team, WS_FIELD_SERVICE,
	    &fields->service, WS_FIELD_PRIORITY_CLASS, &fields->priority_class, WS_FIELD_TASK_COUNT,
	    &fields->tasks, WS_FIELD_CPUS, &spec->cpus, WS_FIELD_GPUS, &spec->gpus, WS_FIELD_MEMORY,
	    &spec->mem_gb, WS_FIELD_IMAGE, &fields->image, WS_FIELD_IMAGE_SIZE, &spec->image_gb,
	    WS_FIELD_ALLOWED_TYPES, &fields->types, WS_FIELD_ALLOWED_ZONE, &fields->zone,
	    WS_FIELD_PLACEMENT_FLAGS, &fields->placement_flags, WS_FIELD_ESTIMATE,
	    &spec->estimate_s, WS_FIELD_CHECKPOINT_INTERVAL, &spec->checkpoint_interval_s,
	    WS_FIELD_CHECKPOINT_DURATION, &spec->checkpoint_duration_s, WS_FIELD_DEADLINE,
	    &spec->deadline_s, WS_FIELD_COMPLETED_TASKS, &fields->completed);
}

static bool ws_job_fields_in_range(const struct ws_job_fields *fields)
{
	return fields->tasks >= 1 && fields->tasks <= WS_MAX_TASKS &&
	       fields->priority_class >= WS_PRIORITY_BEST_EFFORT &&
	       fields->priority_class <= WS_PRIORITY_PRODUCTION && json_is_array(fields->types) &&
	       json_array_size(fields->types) <= WS_MAX_ALLOWED;
}

static void ws_spec_copy_fields(struct ws_job_spec *spec, const char *id,
				const struct ws_job_fields *fields)
{
	ws_text_copy(spec->id, sizeof(spec->id), id);
	ws_text_copy(spec->job_class, sizeof(spec->job_class), fields->job_class);
	ws_text_copy(spec->team, sizeof(spec->team), fields->team);
	ws_text_copy(spec->image, sizeof(spec->image), fields->image);
	ws_text_copy(spec->zone, sizeof(spec->zone), fields->zone);
	spec->service = fields->service;
	spec->priority = (enum ws_priority_class)fields->priority_class;
	spec->tasks = (uint32_t)fields->tasks;
	spec->one_zone = fields->placement_flags & WS_PLACEMENT_ONE_ZONE;
	spec->spread = fields->placement_flags & WS_PLACEMENT_SPREAD;
	spec->allows_preemptible = fields->placement_flags & WS_PLACEMENT_PREEMPTIBLE;
	spec->gang = fields->placement_flags & WS_PLACEMENT_GANG;
	for (size_t i = 0; i < json_array_size(fields->types); i++)
		ws_text_copy(spec->types[spec->type_count++], WS_NAME_MAX,
			     json_string_value(json_array_get(fields->types, i)));
}

/* Decodes the ranges of completed tasks up to the first malformed one. */
static void ws_completed_decode(struct ws_job *job, const char *text)
{
	while (*text) {
		char *end;
		unsigned long first = strtoul(text, &end, 10), last = first;

		if (end == text)
			return;
		if (*end == '-')
			last = strtoul(end + 1, &end, 10);
		for (unsigned long task = first; task <= last && task < job->spec.tasks; task++)
			if (!job->tasks[task].done) {
				job->tasks[task].done = job->tasks[task].recorded = true;
				job->done_count++;
			}
		if (*end != ',')
			return;
		text = end + 1;
	}
}

struct ws_job *ws_job_record_decode(const char *id, json_t *record)
{
	struct ws_job *job = calloc(1, sizeof(*job));
	struct ws_job_fields fields;

	if (!job)
		return NULL;
	if (!ws_job_unpack(record, job, &fields) || !ws_phase_decode(fields.phase, &job->phase) ||
	    !ws_job_fields_in_range(&fields) ||
	    !(job->tasks = calloc((size_t)fields.tasks, sizeof(*job->tasks)))) {
		free(job);
		return NULL;
	}
	ws_spec_copy_fields(&job->spec, id, &fields);
	ws_completed_decode(job, fields.completed);
	job->started = job->phase == WS_JOB_RUNNING;
	return job;
}

bool ws_job_status_decode(json_t *record, enum ws_job_phase *phase, uint32_t *done,
			  uint32_t *running)
{
	json_int_t completed = 0, attempts = 0;
	const char *name;

	if (json_unpack(record, "{s:s,s?I,s?I}", WS_FIELD_PHASE, &name, WS_FIELD_COMPLETED_COUNT,
			&completed, WS_FIELD_ATTEMPT_COUNT, &attempts) ||
	    !ws_phase_decode(name, phase))
		return false;
	*done = (uint32_t)completed;
	*running = *phase == WS_JOB_RUNNING ? (uint32_t)attempts : 0;
	return true;
}
