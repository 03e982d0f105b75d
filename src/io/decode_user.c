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
	struct ws_json_elements elements;
	struct ws_json type;
	size_t count;

	if (!ws_member_is_set(object, "flavours"))
		return true;
	if (!ws_member_array(object, "flavours", &elements, &count) || !count ||
	    count > WS_MAX_ALLOWED)
		return false;
	while (ws_json_next(&elements, &type))
		if (!ws_element_name(type, spec->types[spec->type_count++]))
			return false;
	return true;
}

static bool decode_spec(struct ws_json object, struct ws_job_spec *spec)
{
	char text[WS_NAME_MAX];
	uint64_t tasks;
	int priority;

	if (!ws_json_is_object(object) ||
	    !ws_member_string(object, "nameId", spec->id, sizeof(spec->id), false) ||
	    !ws_job_id_is_valid(spec->id) ||
	    !ws_member_string(object, "jobclass", spec->job_class, sizeof(spec->job_class),
			      false) ||
	    !ws_member_string(object, "owner", spec->team, sizeof(spec->team), false) ||
	    !ws_member_string(object, "shape", text, sizeof(text), false))
		return false;
	spec->service = !strcmp(text, "daemon");
	spec->gang = !strcmp(text, "gang");
	if (!spec->service && !spec->gang && strcmp(text, "sweep"))
		return false;
	if (!ws_member_string(object, "tier", text, sizeof(text), false))
		return false;
	priority = ws_string_index(priority_classes, PRIORITY_CLASSES, text);
	if (priority == PRIORITY_CLASSES)
		return false;
	spec->priority = (enum ws_priority_class)priority;
	if (!ws_member_uint(object, "shards", &tasks) || tasks < 1 || tasks > WS_MAX_TASKS)
		return false;
	spec->tasks = (uint32_t)tasks;
	if (!ws_member_amount(object, "vcpus", &spec->cpus) ||
	    !ws_member_amount(object, "accelerators", &spec->gpus) ||
	    !ws_member_amount(object, "memGb", &spec->mem_gb) ||
	    !ws_member_string(object, "bundle", spec->image, sizeof(spec->image), false) ||
	    !ws_member_amount(object, "sizeGb", &spec->image_gb))
		return false;
	if (!decode_allowed_types(object, spec) ||
	    !ws_member_string(object, "hall", spec->zone, sizeof(spec->zone), true) ||
	    !ws_member_bool(object, "samePlace", &spec->one_zone) ||
	    !ws_member_bool(object, "spread", &spec->spread) ||
	    !ws_member_bool(object, "reclaimable", &spec->allows_preemptible) ||
	    !ws_member_amount(object, "expectedS", &spec->estimate_s) ||
	    !ws_member_amount(object, "snapshotEveryS", &spec->checkpoint_interval_s) ||
	    !ws_member_amount(object, "snapshotS", &spec->checkpoint_duration_s))
		return false;
	spec->deadline_s = -1;
	return !ws_member_is_set(object, "dueS") ||
	       ws_member_amount(object, "dueS", &spec->deadline_s);
}

int ws_decode_job(const char *body, size_t length, struct ws_job_spec *spec)
{
	struct ws_json object;

	memset(spec, 0, sizeof(*spec));
	return ws_json_parse(body, length, &object) && decode_spec(object, spec) ? 0 : 400;
}
