/* The workers of the loopback cluster: heartbeats, commands and leases. Commands are counted. */
#include "loopback_parts.h"
#include <math.h>

#define HEARTBEAT_TIMEOUT_S 4
/* Delays of messages, see struct loopback_faults. */
#define ANSWER_DELAY_MAX_S 3.0
#define DUPLICATE_DELAY_MAX_S 20.0
#define COMMAND_DELAY_MIN_S 0.6
#define COMMAND_DELAY_SPAN_S 8.0
#define COMMAND_COPY_DELAY_MIN_S 0.1
#define COMMAND_COPY_DELAY_MAX_S 120.0
#define COMMAND_COPIES_MAX 4

struct loopback_worker loopback_workers[LOOPBACK_WORKERS];
struct loopback_counts loopback_total_counts;

static json_t *build_heartbeat(struct loopback_worker *worker)
{
	static const char *const names[] = {"pulling", "running", "exited"};
	json_t *tasks = json_array();
	char address[32];

	for (unsigned i = 0; i < worker->task_count; i++) {
		const struct loopback_task *task = &worker->tasks[i];
		char name[64];
		json_t *object;

		snprintf(name, sizeof(name), "%s/%u", task->job, task->number);
		object = json_pack("{s:s,s:I,s:s}", "shard", name, "tryNo",
				   (json_int_t)task->attempt, "phase", names[task->state]);
		if (task->exit_reason)
			json_object_set_new(object, "cause", json_string(task->exit_reason));
		json_array_append_new(tasks, object);
	}
	snprintf(address, sizeof(address), "127.0.0.1:%d", worker->port);
	return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "host", worker->name,
			 "address", address, "flavour", "std", "hall", loopback_zones[worker->zone],
			 "reclaimable", 0, "tenure", (json_int_t)worker->incarnation, "counter",
			 (json_int_t)++worker->sequence, "epoch", (json_int_t)worker->fencing_token,
			 "warningS", "shards", tasks);
}

static void schedule_heartbeat(struct loopback_worker *worker)
{
	if (worker->next_heartbeat_at > ws_now() + 0.1)
		worker->next_heartbeat_at = ws_now() + 0.1;
}

static void execute_command(struct loopback_worker *worker, json_t *object)
{
	const char *kind = json_string_value(json_object_get(object, "verb"));
	const char *task_name = json_string_value(json_object_get(object, "shard"));
	uint64_t attempt = (uint64_t)json_integer_value(json_object_get(object, "tryNo"));
	unsigned number = (unsigned)atoi(strrchr(task_name, '/') + 1);
	struct loopback_task *task = NULL;
	char job[32];

	snprintf(job, sizeof(job), "%.*s", (int)strcspn(task_name, "/"), task_name);
	for (unsigned i = 0; i < worker->task_count; i++)
		if (worker->tasks[i].attempt == attempt && worker->tasks[i].number == number &&
		    !strcmp(worker->tasks[i].job, job))
			task = &worker->tasks[i];
	if (!strcmp(kind, "run") && !task && worker->task_count < LOOPBACK_TASKS_MAX) {
		loopback_total_counts.run_commands++;
		task = &worker->tasks[worker->task_count++];
		*task = (struct loopback_task){
		    .number = number, .attempt = attempt, .next_state_at = ws_now() + 0.1};
		snprintf(task->job, sizeof(task->job), "%s", job);
	} else if (!strcmp(kind, "stop") && task && task->state != LOOPBACK_EXITED) {
		loopback_total_counts.stop_commands++;
		task->state = LOOPBACK_EXITED;
		task->exit_reason = "stopped";
	} else if (!strcmp(kind, "reap") && task && task->state == LOOPBACK_EXITED) {
		loopback_total_counts.reap_commands++;
		*task = worker->tasks[--worker->task_count];
	}
	schedule_heartbeat(worker);
}

/* Executes the commands of a message. Returns false if its fencing token is outdated. */
static bool execute_commands(struct loopback_worker *worker, json_t *message)
{
	uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(message, "epoch"));
	json_t *object;
	size_t i;

	if (fencing_token < worker->fencing_token)
		return false;
	if (fencing_token > worker->fencing_token)
		schedule_heartbeat(worker);
	worker->fencing_token = fencing_token;
	json_array_foreach (json_object_get(message, "orders"), i, object)
		execute_command(worker, object);
	return true;
}

static bool execute_direct_call(struct loopback_worker *worker, const struct loopback_message *call)
{
	json_t *body = json_loadb(call->body, call->length, 0, NULL);
	bool accepted = json_integer_value(json_object_get(body, "tenure")) ==
			    (json_int_t)worker->incarnation &&
			execute_commands(worker, body);

	json_decref(body);
	return accepted;
}

/* Executes a copy of a direct call that was answered before. It must not start a task. */
static void receive_copy(const struct loopback_message *copy)
{
	struct loopback_worker *worker = copy->context;
	unsigned started = loopback_total_counts.run_commands;

	if (worker->partitioned)
		return;
	execute_direct_call(worker, copy);
	loopback_total_counts.command_copies++;
	if (loopback_total_counts.run_commands > started)
		loopback_violation("a copy of an executed direct call started a task on %s",
				   worker->name);
}

/* Lets some executed direct calls arrive again, from tenths of a second to minutes later. */
static void copy_direct_call(const struct loopback_message *call)
{
	if (!loopback_fault_occurs(loopback_faults.copied_commands))
		return;
	for (int copies = 1 + (int)(COMMAND_COPIES_MAX * loopback_random()); copies > 0; copies--)
		/* uniform in the logarithm: short and long delays are both frequent */
		loopback_delay_message(
		    call,
		    COMMAND_COPY_DELAY_MIN_S *
			pow(COMMAND_COPY_DELAY_MAX_S / COMMAND_COPY_DELAY_MIN_S, loopback_random()),
		    receive_copy);
}

/* Executes a direct command and answers it. A partitioned worker ignores it, and a fault may lose
 * the answer. */
static void receive_command(const struct loopback_message *message)
{
	struct loopback_worker *worker = message->context;
	bool accepted;
	json_t *answer;

	if (worker->partitioned) /* neither executed nor answered */
		return;
	accepted = execute_direct_call(worker, message);
	copy_direct_call(message);
	answer = build_heartbeat(worker);
	if (loopback_fault_occurs(loopback_faults.lost_answers))
		json_decref(answer);
	else
		loopback_answer_request(LOOPBACK_WORKER, worker->server, message->id,
					accepted ? 200 : 409, answer);
}

static void on_command(void *context, uint64_t request_id, const char *method, const char *path,
		       const char *body, size_t length)
{
	const struct loopback_message message = {
	    .context = context, .id = request_id, .body = body, .length = length};

	(void)method;
	(void)path;
	if (loopback_fault_occurs(loopback_faults.delayed_commands))
		loopback_delay_message(
		    &message, COMMAND_DELAY_MIN_S + COMMAND_DELAY_SPAN_S * loopback_random(),
		    receive_command);
	else
		receive_command(&message);
}

static void receive_answer(const struct loopback_message *answer)
{
	struct loopback_worker *worker = answer->context;
	json_t *message;
	const char *leader;

	worker->heartbeat_pending = false;
	if (worker->partitioned || worker->incarnation != worker->sent_incarnation)
		return;
	message = json_loadb(answer->body, answer->length, 0, NULL);
	leader = json_string_value(json_object_get(message, "supervisor"));
	if (answer->status == 200 && execute_commands(worker, message)) {
		worker->lease_renewed_at = worker->heartbeat_sent_at;
	} else if (answer->status == 421 && leader && atoi(leader + 5) != worker->node) {
		worker->node = atoi(leader + 5);
		worker->next_heartbeat_at = ws_now() + 0.1;
	} else {
		worker->node = (worker->node + 1) % LOOPBACK_NODES;
		worker->next_heartbeat_at = ws_now() + 1;
	}
	json_decref(message);
}

static void on_answer(void *context, int status, const char *body, size_t length)
{
	const struct loopback_message answer = {
	    .context = context, .status = status, .body = body, .length = length};
	const struct loopback_worker *worker = context;
	double delay_s = ANSWER_DELAY_MAX_S * loopback_random();

	if (status == 200 && ws_now() + delay_s < worker->heartbeat_sent_at + HEARTBEAT_TIMEOUT_S &&
	    loopback_fault_occurs(loopback_faults.delayed_answers))
		loopback_delay_message(&answer, delay_s, receive_answer);
	else
		receive_answer(&answer);
}

/* The answer to a duplicated heartbeat is ignored. */
static void on_duplicate_answered(void *context, int status, const char *body, size_t length)
{
	(void)context;
	(void)status;
	(void)body;
	(void)length;
}

static void send_duplicate(const struct loopback_message *duplicate, int node)
{
	ws_client_send(loopback_nodes[node].duplicates_client, "POST", "/checkin", duplicate->body,
		       duplicate->length, HEARTBEAT_TIMEOUT_S, false, on_duplicate_answered, NULL);
}

static void deliver_duplicate(const struct loopback_message *duplicate)
{
	send_duplicate(duplicate, (int)(loopback_random() * LOOPBACK_NODES) % LOOPBACK_NODES);
}

static void deliver_duplicate_to_all(const struct loopback_message *duplicate)
{
	for (int i = 0; i < LOOPBACK_NODES; i++)
		send_duplicate(duplicate, i);
}

/* Duplicates some heartbeats. */
static void duplicate_heartbeat(const char *text)
{
	const struct loopback_message duplicate = {.body = text, .length = strlen(text)};

	if (loopback_fault_occurs(loopback_faults.duplicated_heartbeats))
		loopback_delay_message(&duplicate, DUPLICATE_DELAY_MAX_S * loopback_random(),
				       deliver_duplicate);
	if (loopback_fault_occurs(loopback_faults.duplicated_after_election))
		loopback_delay_until_election(&duplicate, deliver_duplicate_to_all);
}

static void task_step(struct loopback_worker *worker, struct loopback_task *task)
{
	struct loopback_job *job = loopback_job_find(task->job);

	if (task->state == LOOPBACK_EXITED || ws_now() < task->next_state_at)
		return;
	if (task->state == LOOPBACK_FETCHING) {
		task->state = LOOPBACK_RUNNING;
		task->next_state_at = job->service ? 1e18 : ws_now() + job->run_s;
		loopback_total_counts.starts++;
		loopback_check_start(worker, task);
	} else {
		task->state = LOOPBACK_EXITED;
		task->exit_reason = "done";
		loopback_total_counts.finishes++;
	}
	schedule_heartbeat(worker);
}

static void worker_step(struct loopback_worker *worker)
{
	char *text;
	json_t *body;

	if (ws_now() - worker->lease_renewed_at > LOOPBACK_LEASE_S) {
		for (unsigned i = 0; i < worker->task_count; i++)
			loopback_total_counts.lost_tasks +=
			    worker->tasks[i].state != LOOPBACK_EXITED;
		loopback_event("lease of %s expired, with %u tasks", worker->name,
			       worker->task_count);
		worker->task_count = 0;
		worker->incarnation++;
		worker->lease_renewed_at = ws_now();
	}
	for (unsigned i = 0; i < worker->task_count; i++)
		task_step(worker, &worker->tasks[i]);
	if (worker->partitioned || worker->heartbeat_pending ||
	    ws_now() < worker->next_heartbeat_at)
		return;
	body = build_heartbeat(worker);
	text = loopback_message_text(LOOPBACK_WORKER, body);
	worker->heartbeat_sent_at = ws_now();
	worker->sent_incarnation = worker->incarnation;
	worker->next_heartbeat_at = ws_now() + LOOPBACK_HEARTBEAT_S;
	duplicate_heartbeat(text);
	worker->heartbeat_pending =
	    ws_client_send(worker->clients[worker->node], "POST", "/checkin", text, strlen(text),
			   HEARTBEAT_TIMEOUT_S, false, on_answer, worker);
	free(text);
}

void loopback_worker_open(struct ev_loop *loop, int index,
			  const struct ws_http_server_options *options)
{
	struct ws_http_client_options client = {
	    .max_connections = 1, .max_queue = 2, .max_reply_bytes = 65536};
	struct loopback_worker *worker = &loopback_workers[index];
	char error[200];

	snprintf(worker->name, sizeof(worker->name), "n-%06d", index);
	worker->zone = index % LOOPBACK_NODES;
	worker->server =
	    ws_server_new(loop, "127.0.0.1", 0, options, on_command, worker, error, sizeof(error));
	worker->port = ws_server_port(worker->server);
	worker->incarnation = 1;
	worker->lease_renewed_at = ws_now();
	for (int i = 0; i < LOOPBACK_NODES; i++)
		worker->clients[i] =
		    ws_client_new(loop, "127.0.0.1", loopback_nodes[i].port, &client);
}

void loopback_workers_close(void)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++) {
		for (int k = 0; k < LOOPBACK_NODES; k++)
			ws_client_free(loopback_workers[i].clients[k]);
		ws_server_free(loopback_workers[i].server);
	}
}

void loopback_workers_step(void)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		worker_step(&loopback_workers[i]);
}

void loopback_partition_zone(int zone, bool partitioned)
{
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		if (loopback_workers[i].zone == zone)
			loopback_workers[i].partitioned = partitioned;
}

unsigned loopback_running_on_worker(int worker, const char *job)
{
	const struct loopback_worker *machine = &loopback_workers[worker];
	unsigned count = 0;

	for (unsigned i = 0; i < machine->task_count; i++)
		count += machine->tasks[i].state == LOOPBACK_RUNNING &&
			 !strcmp(machine->tasks[i].job, job);
	return count;
}

const char *loopback_worker_name(int worker)
{
	return loopback_workers[worker].name;
}

unsigned loopback_running_in_zone(int zone)
{
	unsigned count = 0;

	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		for (unsigned k = 0;
		     loopback_workers[i].zone == zone && k < loopback_workers[i].task_count; k++)
			count += loopback_workers[i].tasks[k].state == LOOPBACK_RUNNING;
	return count;
}

const struct loopback_counts *loopback_counts(void)
{
	return &loopback_total_counts;
}
