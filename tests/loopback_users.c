/* The loopback cluster's users: they submit, send again what was not accepted, and poll. */
#include "loopback_parts.h"

#define POLL_S 0.5

static struct loopback_job jobs[LOOPBACK_JOBS];
static unsigned job_count;
static double next_poll;
static unsigned next_node;

struct loopback_job *loopback_job_of(const char *id)
{
	for (unsigned i = 0; i < job_count; i++)
		if (!strcmp(jobs[i].id, id))
			return &jobs[i];
	return NULL;
}

static void on_submitted(void *context, int status, const char *body, size_t length)
{
	struct loopback_job *job = context;

	(void)body;
	(void)length;
	job->accepted |= status == 200 || status == 201;
}

static void on_polled(void *context, int status, const char *body, size_t length)
{
	struct loopback_job *job = context;
	json_t *message = status == 200 ? json_loadb(body, length, 0, NULL) : NULL;
	const char *phase = json_string_value(json_object_get(message, "phase"));

	if (phase && !strcmp(phase, "done")) {
		job->done = true;
		job->answers_done++;
	} else if (phase || status == 404) {
		job->went_back |= job->done;
	}
	json_decref(message);
}

static void job_send(struct loopback_job *job, struct ws_http_client *client)
{
	char text[700];

	snprintf(text, sizeof(text),
		 "{\"nameId\":\"%s\",\"jobclass\":\"%s\",\"owner\":\"t\",\"shape\":\"%s\","
		 "\"tier\":\"%s\",\"shards\":%u,\"vcpus\":4.0,\"accelerators\":0.0,\"memGb\":1.0,"
		 "\"bundle\":\"i\",\"sizeGb\":0.1,\"flavours\":null,\"hall\":null,"
		 "\"samePlace\":false,\"spread\":%s,\"reclaimable\":true,\"expectedS\":%g,"
		 "\"snapshotEveryS\":0.0,\"snapshotS\":0.0,\"dueS\":null}",
		 job->id, job->job_class, job->service ? "daemon" : "sweep",
		 job->service ? "production" : "urgent", job->tasks,
		 job->service ? "true" : "false", job->service ? 0 : job->run_s);
	ws_client_send(client, "POST", "/v2/runs", text, strlen(text), 3, false, on_submitted, job);
}

void loopback_users_step(void)
{
	if (ws_now() < next_poll)
		return;
	next_poll = ws_now() + POLL_S;
	for (unsigned i = 0; i < job_count; i++) {
		struct ws_http_client *client = loopback_nodes[next_node++ % LOOPBACK_NODES].client;
		char path[sizeof(jobs[i].id) + 16];

		snprintf(path, sizeof(path), "/v2/runs/%.31s", jobs[i].id);
		if (jobs[i].accepted)
			ws_client_send(client, "GET", path, "", 0, 2, false, on_polled, &jobs[i]);
		else
			job_send(&jobs[i], client);
	}
}

struct loopback_job *loopback_submit(const char *job_class, unsigned tasks, bool service,
				     double run_s)
{
	struct loopback_job *job = &jobs[job_count++];

	*job = (struct loopback_job){
	    .job_class = job_class, .tasks = tasks, .service = service, .run_s = run_s};
	snprintf(job->id, sizeof(job->id), "job-%06u", job_count);
	job_send(job, loopback_nodes[next_node++ % LOOPBACK_NODES].client);
	return job;
}

void loopback_resubmit(struct loopback_job *job)
{
	job->accepted = false; /* it is sent until it is accepted */
}

struct loopback_job *loopback_jobs(unsigned *count)
{
	*count = job_count;
	return jobs;
}

bool loopback_all_done(void)
{
	for (unsigned i = 0; i < job_count; i++)
		if (!jobs[i].service && !jobs[i].done)
			return false;
	return true;
}
