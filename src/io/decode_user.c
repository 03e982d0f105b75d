/* Decodes requests of users. codec.h explains the names of the protocol. */
#include "codec.h"
#include "json_members.h"
#include <ctype.h>
#include <string.h>

#define JOB_PREFIX "job-"
#define JOB_PREFIX_LENGTH (sizeof(JOB_PREFIX) - 1)

#define PRIORITY_CLASSES 4
static const char *const priority_classes[PRIORITY_CLASSES] = {"best_effort", "normal", "urgent",
							       "production"};

bool ws_job_id_is_valid(const char *id)
{
	size_t length = strlen(id);

	if (length <= JOB_PREFIX_LENGTH || length >= WS_ID_MAX / 2 ||
	    strncmp(id, JOB_PREFIX, JOB_PREFIX_LENGTH) != 0)
		return false;
	for (size_t i = JOB_PREFIX_LENGTH; i < length; i++)
		if (!isdigit((unsigned char)id[i]))
			return false;
	return true;
}

/* Decodes the machine types that a job may run on. Without a list it may run on any type. */
static bool decode_allowed_types(struct ws_json object, struct ws_job_spec *spec)
{
	static const char key[] = "flavours";
	struct ws_json_elements elements;
	struct ws_json type;
	size_t count;

	if (!ws_member_is_set(object, key))
		return true;
	if (!ws_member_array(object, key, &elements, &count))
		return false;
	if (!count || count > WS_MAX_ALLOWED)
		return ws_message_refuse(key, "is empty or too long");
	while (ws_json_next(&elements, &type))
		if (!ws_element_name(type, key, spec->types[spec->type_count++]))
			return false;
	return true;
}

static bool decode_id(struct ws_json object, struct ws_job_spec *spec)
{
	return ws_member_string(object, "nameId", spec->id, sizeof(spec->id), false) &&
	       (ws_job_id_is_valid(spec->id) || ws_message_refuse("nameId", "is not a job id"));
}

static bool decode_shape(struct ws_json object, struct ws_job_spec *spec)
{
	char text[WS_NAME_MAX];

	if (!ws_member_string(object, "shape", text, sizeof(text), false))
		return false;
	spec->service = !strcmp(text, "daemon");
	spec->gang = !strcmp(text, "gang");
	return spec->service || spec->gang || !strcmp(text, "sweep") ||
	       ws_message_refuse("shape", "is unknown");
}

static bool decode_priority(struct ws_json object, struct ws_job_spec *spec)
{
	char text[WS_NAME_MAX];
	int priority;

	if (!ws_member_string(object, "tier", text, sizeof(text), false))
		return false;
	priority = ws_string_index(priority_classes, PRIORITY_CLASSES, text);
	if (priority == PRIORITY_CLASSES)
		return ws_message_refuse("tier", "is unknown");
	spec->priority = (enum ws_priority_class)priority;
	return true;
}

static bool decode_task_count(struct ws_json object, struct ws_job_spec *spec)
{
	uint64_t tasks;

	if (!ws_member_uint(object, "shards", &tasks))
		return false;
	if (tasks < 1 || tasks > WS_MAX_TASKS)
		return ws_message_refuse("shards", "is out of range");
	spec->tasks = (uint32_t)tasks;
	return true;
}

static bool decode_resources(struct ws_json object, struct ws_job_spec *spec)
{
	return ws_member_amount(object, "vcpus", &spec->cpus) &&
	       ws_member_amount(object, "accelerators", &spec->gpus) &&
	       ws_member_amount(object, "memGb", &spec->mem_gb) &&
	       ws_member_string(object, "bundle", spec->image, sizeof(spec->image), false) &&
	       ws_member_amount(object, "sizeGb", &spec->image_gb);
}

static bool decode_placement(struct ws_json object, struct ws_job_spec *spec)
{
	return decode_allowed_types(object, spec) &&
	       ws_member_string(object, "hall", spec->zone, sizeof(spec->zone), true) &&
	       ws_member_bool(object, "samePlace", &spec->one_zone) &&
	       ws_member_bool(object, "spread", &spec->spread) &&
	       ws_member_bool(object, "reclaimable", &spec->allows_preemptible);
}

static bool decode_durations(struct ws_json object, struct ws_job_spec *spec)
{
	spec->deadline_s = -1;
	return ws_member_amount(object, "expectedS", &spec->estimate_s) &&
	       ws_member_amount(object, "snapshotEveryS", &spec->checkpoint_interval_s) &&
	       ws_member_amount(object, "snapshotS", &spec->checkpoint_duration_s) &&
	       (!ws_member_is_set(object, "dueS") ||
		ws_member_amount(object, "dueS", &spec->deadline_s));
}

static bool decode_spec(struct ws_json object, struct ws_job_spec *spec)
{
	if (!ws_json_is_object(object))
		return ws_message_refuse("", "not an object");
	return decode_id(object, spec) &&
	       ws_member_string(object, "jobclass", spec->job_class, sizeof(spec->job_class),
				false) &&
	       ws_member_string(object, "owner", spec->team, sizeof(spec->team), false) &&
	       decode_shape(object, spec) && decode_priority(object, spec) &&
	       decode_task_count(object, spec) && decode_resources(object, spec) &&
	       decode_placement(object, spec) && decode_durations(object, spec);
}

int ws_decode_job(const char *body, size_t length, struct ws_job_spec *spec)
{
	struct ws_json object;

	memset(spec, 0, sizeof(*spec));
	return ws_message_parse(body, length, &object) && decode_spec(object, spec) ? 0 : 400;
}
