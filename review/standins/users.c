/* The users: they submit, poll and cancel, and compare the answers with those that they had before
 * the request. */
#include "parts.h"

#define SUBMIT_TIMEOUT_S 5
#define POLL_TIMEOUT_S 2

struct job jobs[JOBS_MAX];
unsigned job_count;
bool users_poll = true;

enum request_kind { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL };

struct request {
	struct job *job;
	enum request_kind kind;
	int node;
	bool accepted, told_done, told_cancelled; /* before the request was sent */
	bool extra; /* beside the job's ordinary requests */
};

struct job *job_find(const char *id)
{
	for (unsigned i = 0; i < job_count; i++)
		if (!strcmp(jobs[i].id, id))
			return &jobs[i];
	return NULL;
}

static const char *const kind_names[] = {"submission", "question", "cancellation"};

static void phase_answered(const struct request *request, const char *phase)
{
	struct job *job = request->job;
	bool done = !strcmp(phase, "done"), cancelled = !strcmp(phase, "withdrawn");

	if (done && job->done_count < job->shards)
		violation("not_done", "%s is called done, %u of %u tasks are", job->id,
			  job->done_count, job->shards);
	if (cancelled && !job->cancel_wanted)
		violation("went_back", "%s is called cancelled, its user did not cancel it",
			  job->id);
	if ((request->told_done && !done) || (request->told_cancelled && !cancelled))
		violation("went_back", "%s is called %s by node-%d after it was called %s", job->id,
			  phase, request->node, request->told_done ? "done" : "withdrawn");
	if (done && !job->told_done)
		record("%s is called done by node-%d", job->id, request->node);
	job->told_done |= done;
	if (cancelled && !job->told_cancelled) {
		job->told_cancelled = true;
		job->cancelled_at = now_s();
		record("%s is called cancelled by node-%d", job->id, request->node);
	}
	job->last_answer_at = now_s();
}

static void on_answer(void *data, int status, const char *body, size_t length)
{
	struct request request = *(struct request *)data;
	struct job *job = request.job;
	json_t *message = json_loadb(body, length, 0, NULL);
	const char *phase = json_string_value(json_object_get(message, "phase"));

	free(data);
	if (!request.extra)
		job->pending = false;
	if (faults.users_cut[request.node])
		status = 0;
	record("%s of %s at node-%d: %d %s", kind_names[request.kind], job->id, request.node, status,
	       status > 0 && phase ? phase : "");
	if (request.kind == REQUEST_SUBMIT && (status == 200 || status == 201)) {
		if (!job->accepted)
			job->accepted_at = now_s();
		job->accepted = true;
	}
	if (request.accepted && (status == 404 || (request.kind == REQUEST_SUBMIT &&
						  (status == 400 || status == 422))))
		violation("forgotten", "%s of the accepted %s gets %d from node-%d",
			  kind_names[request.kind], job->id, status, request.node);
	if ((status == 200 || status == 201) && phase) {
		phase_answered(&request, phase);
		job->poll_answers++;
	} else if (!request.extra) {
		job->next_request_at = ws_now() + 1;
	}
	json_decref(message);
}

static void request_send(struct job *job, enum request_kind kind, int node, bool extra)
{
	struct request *request = malloc(sizeof(*request));
	char path[64];

	*request = (struct request){job, kind, node, job->accepted, job->told_done,
				    job->told_cancelled, extra};
	snprintf(path, sizeof(path), "/v2/runs%s%s%s", kind == REQUEST_SUBMIT ? "" : "/",
		 kind == REQUEST_SUBMIT ? "" : job->id, kind == REQUEST_CANCEL ? "/abort" : "");
	if (!extra) {
		job->pending = true;
		job->next_request_at = ws_now() + settings.poll_s * (0.75 + 0.5 * random_unit());
	}
	job->polls++;
	if (!ws_client_send(nodes[node].users, kind == REQUEST_POLL ? "GET" : "POST", path,
			    kind == REQUEST_SUBMIT ? job->submission : "",
			    kind == REQUEST_SUBMIT ? strlen(job->submission) : 0,
			    kind == REQUEST_POLL ? POLL_TIMEOUT_S : SUBMIT_TIMEOUT_S, false,
			    on_answer, request)) {
		free(request);
		if (!extra)
			job->pending = false;
	}
}

/* A node that is up and within reach; the load balancer prefers none. */
static int choose_node(void)
{
	int first = (int)(random_unit() * settings.nodes) % settings.nodes;

	for (int i = 0; i < settings.nodes; i++) {
		int node = (first + i) % settings.nodes;

		if (node_is_up(node) && !faults.users_cut[node])
			return node;
	}
	return -1;
}

static void job_step(struct job *job)
{
	bool finished = job->told_done || job->told_cancelled;
	int node;

	if (job->pending || ws_now() < job->next_request_at)
		return;
	node = choose_node();
	if (node < 0) {
		job->next_request_at = ws_now() + 1;
		return;
	}
	if (!job->accepted) {
		job->submitted = true;
		request_send(job, REQUEST_SUBMIT, node, false);
	} else if (job->cancel_wanted && !finished) {
		request_send(job, REQUEST_CANCEL, node, false);
	} else if (users_poll && (!finished || random_unit() < 0.02)) {
		request_send(job, REQUEST_POLL, node, false);
	}
}

void users_step(void)
{
	for (unsigned i = 0; i < job_count; i++)
		job_step(&jobs[i]);
}

struct job *job_add(const struct job *template)
{
	struct job *job = &jobs[job_count];
	char *text = malloc(1024);

	if (job_count == JOBS_MAX)
		cannot_run("too many jobs");
	*job = *template;
	snprintf(job->id, sizeof(job->id), "job-%06u", ++job_count);
	job->kind = job->kind ? job->kind : "sweep";
	job->tier = job->tier ? job->tier : "normal";
	job->task_done = calloc(job->shards, sizeof(bool));
	snprintf(text, 1024,
		 "{\"nameId\":\"%s\",\"jobclass\":\"%s\",\"owner\":\"%s\",\"shape\":\"%s\","
		 "\"tier\":\"%s\",\"shards\":%u,\"vcpus\":%.2f,\"accelerators\":0.0,\"memGb\":%.2f,"
		 "\"bundle\":\"img-01\",\"sizeGb\":%.2f,\"flavours\":null,\"hall\":%s%s%s,"
		 "\"samePlace\":%s,\"spread\":%s,\"reclaimable\":false,\"expectedS\":%.1f,"
		 "\"snapshotEveryS\":%.1f,\"snapshotS\":%.1f,\"dueS\":null}",
		 job->id, strcmp(job->kind, "daemon") ? "stock-match" : "order-intake",
		 settings.team_names[job->team], job->kind, job->tier, job->shards, job->cpus,
		 job->mem_gb, job->image_gb, job->zone ? "\"" : "", job->zone ? job->zone : "null",
		 job->zone ? "\"" : "", job->one_zone ? "true" : "false",
		 job->spread ? "true" : "false", strcmp(job->kind, "daemon") ? job->run_s : 0.0,
		 job->checkpoint_s, job->save_s);
	job->submission = text;
	return job;
}

void job_cancel(struct job *job)
{
	job->cancel_wanted = true;
	job->next_request_at = 0;
}

void job_ask_everywhere(struct job *job, bool repeat_submission)
{
	for (int i = 0; i < settings.nodes; i++)
		if (node_is_up(i) && !faults.users_cut[i])
			request_send(job, repeat_submission ? REQUEST_SUBMIT : REQUEST_POLL, i, true);
}

void users_open(void)
{
	const struct ws_http_client_options options = {
	    .max_connections = 24, .max_queue = 200, .max_reply_bytes = 65536};

	for (int i = 0; i < settings.nodes; i++)
		nodes[i].users = ws_client_new(loop, "127.0.0.1", nodes[i].port, &options);
}
