/* The users of the loopback cluster: they submit jobs, retry until a job is accepted, and poll. */
#include "loopback_parts.h"

#define POLL_S 0.5
/* With more jobs than this, finished jobs are polled only occasionally. */
#define JOBS_POLLED_ALWAYS 64
#define FINISHED_POLL_SHARE 0.02

#define TASK_CPUS 4

struct loopback_team loopback_teams[LOOPBACK_TEAMS] = {{"t", 400}, {"u", 400}};

static struct loopback_job jobs[LOOPBACK_JOBS_MAX];
static unsigned job_count;
static double next_poll;
static unsigned next_node;

struct loopback_job *loopback_job_find(const char *id)
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
	loopback_total_counts.refused_submissions += status == 400;
	job->accepted |= status == 200 || status == 201;
}

/* Updates a job with the phase in an answer and detects a contradiction. */
static void job_update(struct loopback_job *job, const char *phase)
{
	bool done = !strcmp(phase, "done"), cancelled = !strcmp(phase, "withdrawn");

	job->contradicted |= (job->done && !done) || (job->cancelled_at > 0 && !cancelled) ||
			     (cancelled && !job->cancel_requested);
	job->done |= done;
	job->done_answer_count += done;
	if (cancelled && !job->cancelled_at)
		job->cancelled_at = ws_now();
}

static void on_polled(void *context, int status, const char *body, size_t length)
{
	struct loopback_job *job = context;
	json_t *message = status == 200 ? json_loadb(body, length, 0, NULL) : NULL;
	const char *phase = json_string_value(json_object_get(message, "phase"));

	job->request_pending = false;
	if (phase)
		job_update(job, phase);
	job->reported_unknown |= status == 404;
	job->contradicted |= status == 404 && job->done;
	json_decref(message);
}

static bool job_is_finished(const struct loopback_job *job)
{
	return job->done || job->cancelled_at > 0;
}

/* Polls or cancels a job with one request at a time, so that each answer is compared with the
 * answers before its request. */
static void job_poll(struct loopback_job *job, struct ws_http_client *client)
{
	bool cancel = job->cancel_requested && !job_is_finished(job);
	char path[sizeof(job->id) + 16];

	snprintf(path, sizeof(path), "/v2/runs/%.31s%s", job->id, cancel ? "/abort" : "");
	job->request_pending =
	    ws_client_send(client, cancel ? "POST" : "GET", path, "", 0, 2, false, on_polled, job);
}

static void job_submit(struct loopback_job *job, struct ws_http_client *client)
{
	json_t *body = json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f}", "nameId", job->id,
				 "jobclass", job->job_class, "owner", job->team->name, "shape",
				 job->service ? "daemon" : "sweep", "tier",
				 job->service ? "production" : "urgent", "shards", (int)job->tasks,
				 "vcpus", job->cpus, "accelerators", 0.0, "memGb", 1.0);
	json_t *rest =
	    json_pack("{s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "bundle", "i", "sizeGb", 0.1,
		      "flavours", "hall", "samePlace", 0, "spread", job->service, "reclaimable", 1,
		      "expectedS", job->service ? 0.0 : job->run_s, "snapshotEveryS", 0.0,
		      "snapshotS", 0.0, "dueS");
	char *text;

	json_object_update(body, rest);
	json_decref(rest);
	text = loopback_message_text(LOOPBACK_USERS, body);
	ws_client_send(client, "POST", "/v2/runs", text, strlen(text), 3, false, on_submitted, job);
	free(text);
}

void loopback_users_step(void)
{
	if (ws_now() < next_poll)
		return;
	next_poll = ws_now() + POLL_S;
	for (unsigned i = 0; i < job_count; i++) {
		struct ws_http_client *client;

		if (job_count > JOBS_POLLED_ALWAYS && job_is_finished(&jobs[i]) &&
		    loopback_random() > FINISHED_POLL_SHARE)
			continue;
		client = loopback_nodes[next_node++ % LOOPBACK_NODES].client;
		if (jobs[i].request_pending)
			continue;
		if (jobs[i].accepted)
			job_poll(&jobs[i], client);
		else
			job_submit(&jobs[i], client);
	}
}

struct loopback_job *loopback_submit(const char *job_class, unsigned tasks, bool service,
				     double run_s)
{
	struct loopback_job *job = &jobs[job_count++];

	*job = (struct loopback_job){.job_class = job_class,
				     .team = &loopback_teams[0],
				     .cpus = TASK_CPUS,
				     .tasks = tasks,
				     .service = service,
				     .run_s = run_s};
	snprintf(job->id, sizeof(job->id), "job-%06u", job_count);
	job_submit(job, loopback_nodes[next_node++ % LOOPBACK_NODES].client);
	return job;
}

struct loopback_job *loopback_submit_for(const struct loopback_team *team, unsigned tasks,
					 double cpus, double run_s)
{
	struct loopback_job *job = &jobs[job_count++];

	*job = (struct loopback_job){
	    .job_class = "accrual", .team = team, .cpus = cpus, .tasks = tasks, .run_s = run_s};
	snprintf(job->id, sizeof(job->id), "job-%06u", job_count);
	return job; /* it is sent with the next poll */
}

void loopback_cancel(struct loopback_job *job)
{
	job->cancel_requested = true;
}

unsigned loopback_unfinished_count(const struct loopback_team *team)
{
	unsigned count = 0;

	for (unsigned i = 0; i < job_count; i++)
		count += jobs[i].team == team && !job_is_finished(&jobs[i]);
	return count;
}

void loopback_resubmit(struct loopback_job *job)
{
	job->accepted = false; /* it is sent again until it is accepted */
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
