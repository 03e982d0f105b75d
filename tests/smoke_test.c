/*
 * Smoke test of one waystep process on loopback sockets, with simulated store and cloud servers:
 * a user submits a job, a worker sends heartbeats and runs its task, and malformed HTTP is refused
 * without harm.
 *
 * The store is that of the loopback cluster, but its sessions never expire here: a leader that was
 * paused must detect by its own clock that its lease has expired.
 */
#include "loopback_parts.h"
#include "ports.h"
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_S 0.05
#define NO_ANSWER (-2)
#define NOT_SENT (-3)
/* Limit of the watches that a node keeps open at once. */
#define WATCHES_MAX 16
/* More workers than the sockets of the node, and the limit of the worker connections it keeps. */
#define MANY_WORKERS 150
#define KEPT_WORKER_CONNECTIONS_MAX 40
#define MANY_WORKERS_FIRST_MACHINE 100
#define SOCKETS_MAX 96
#define SOCKETS_TOO_FEW 31
#define LEADER_PAUSE_S 1.5
#define SERVED_TRIES 100
#define RANDOM_INPUT_SEEDS 60
#define RANDOM_INPUT_BYTES 400

static const char job[] =
    "{\"nameId\":\"job-000001\",\"jobclass\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\","
    "\"tier\":\"normal\",\"shards\":1,\"vcpus\":1.0,\"accelerators\":0.0,\"memGb\":1.0,"
    "\"bundle\":\"i\",\"sizeGb\":1.0,\"flavours\":null,\"hall\":null,\"samePlace\":false,"
    "\"spread\":false,\"reclaimable\":true,\"expectedS\":1.0,\"snapshotEveryS\":0.0,"
    "\"snapshotS\":0.0,\"dueS\":null}";
/* The same job in another order and spelling, with an unknown field. */
static const char respelled_job[] =
    " {\"snapshotS\":0,\"snapshotEveryS\":-0.0,\"expectedS\":1e0,\"reclaimable\":true,"
    "\"x\":[18446744073709551616,1e400,{\"\":0,\"\":1}],\"spread\":false,\"samePlace\":false,"
    "\"sizeGb\":10e-1,\"bundle\":\"i\",\"memGb\":1,\"accelerators\":0,\"vcpus\":1,\"shards\":1.0,"
    "\"tier\":\"n\\u006frmal\",\"shape\":\"sweep\",\"owner\":\"t\",\"jobclass\":\"c\","
    "\"\\u006eameId\":\"job-00000\\u0031\"}\n";
static const char job_path[] = "/v2/runs/job-000001";

/* The controller process, and the ports of the servers. */
static const char *program;
static pid_t controller;
static int port, peer_port, store_port, cloud_port;

static struct ev_loop *loop;
static struct ws_http_server *cloud;
static struct ws_http_client *client;
static int answer_status;
static json_t *answer;

/* State of the simulated worker. */
static int sequence = 1;
static json_int_t fencing_token, attempt;

static int passed_checks, failed_checks;

static void check(const char *name, bool passed)
{
	printf("%s %s\n", passed ? "ok  " : "FAIL", name);
	passed ? passed_checks++ : failed_checks++;
}

/* ---- the cloud ---- */

static void on_cloud(void *context, uint64_t request_id, const char *method, const char *path,
		     const char *body, size_t length)
{
	const struct loopback_cloud_request request = {request_id, method, path};

	(void)context;
	(void)body;
	(void)length;
	loopback_cloud_answer(
	    cloud, &request, json_pack("[s]", "a"),
	    json_pack("[o]", loopback_cloud_instance("n-000000", "127.0.0.1:1", "a")));
}

/* ---- requests ---- */

static void on_answer(void *context, int status, const char *body, size_t length)
{
	(void)context;
	answer_status = status;
	json_decref(answer);
	answer = json_loadb(body, length, 0, NULL);
	ev_break(loop, EVBREAK_ONE);
}

static void on_tick(struct ev_loop *tick_loop, ev_timer *timer, int events)
{
	(void)tick_loop;
	(void)timer;
	(void)events;
	loopback_store_wake_watches();
}

/* Sends a request, waits for the answer and stores its body in `answer`. Returns its status. */
static int send_request(const char *method, const char *path, const char *body)
{
	answer_status = NO_ANSWER;
	if (!ws_client_send(client, method, path, body, strlen(body), 3, false, on_answer, NULL))
		return NOT_SENT;
	while (answer_status == NO_ANSWER)
		ev_run(loop, EVRUN_ONCE);
	return answer_status;
}

static bool answer_is_done(void)
{
	return answer && !strcmp(json_string_value(json_object_get(answer, "phase")), "done");
}

/* Whether the answer has this error, or any if `text` is NULL. */
static bool answer_has_error(const char *text)
{
	const char *error = json_string_value(json_object_get(answer, "error"));

	return error && (!text || !strcmp(error, text));
}

static void on_wait_end(struct ev_loop *wait_loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(wait_loop, EVBREAK_ONE);
}

static void run_loop_for(double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_wait_end, seconds, 0);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

/* Requests a path up to `tries` times, 0.1 s apart, until the status is 200. Returns false if it
 * never is. */
static bool request_until_served(const char *path, int tries)
{
	while (send_request("GET", path, "") != 200) {
		if (!--tries)
			return false;
		run_loop_for(0.1);
	}
	return true;
}

/* Opens a connection and sends bytes on it. Returns its descriptor, which the caller closes. */
static int connect_and_send(const char *bytes, size_t length)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		(void)!send(fd, bytes, length, MSG_NOSIGNAL);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Returns the status of the answer, 0 if none arrives in `tries` reads; the bytes that were read
 * are in `buffer`. */
static int read_status(int fd, int tries, double wait_s, char *buffer, size_t size)
{
	int status = 0;

	for (int i = 0; i < tries && !status; i++) {
		run_loop_for(wait_s);
		if (recv(fd, buffer, size - 1, 0) > 0)
			sscanf(buffer, "HTTP/1.1 %d", &status);
	}
	return status;
}

/* Sends bytes on a new connection. Returns the status of the answer, 0 if there is none. */
static int send_raw(const char *bytes, size_t length)
{
	char buffer[256] = "";
	int fd = connect_and_send(bytes, length),
	    status = read_status(fd, 40, 0.025, buffer, sizeof(buffer));

	close(fd);
	return status;
}

/* ---- heartbeats ---- */

static void heartbeat_body(char *target, size_t size, int machine, int sequence_number,
			   json_int_t token, const char *tasks)
{
	snprintf(
	    target, size,
	    "{\"host\":\"n-%06d\",\"address\":\"127.0.0.1:1\",\"flavour\":\"std\",\"hall\":\"a\","
	    "\"reclaimable\":false,\"tenure\":1,\"counter\":%d,\"epoch\":%lld,\"warningS\":null,"
	    "\"shards\":[%s]}",
	    machine, sequence_number, (long long)token, tasks);
}

/* Writes an HTTP request with the heartbeat of a worker without tasks. Returns its length. */
static size_t heartbeat_request(char *target, size_t size, int machine, int sequence_number)
{
	char body[400];

	heartbeat_body(body, sizeof(body), machine, sequence_number, 0, "");
	return (size_t)snprintf(
	    target, size, "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
}

/* Sends the worker's next heartbeat; `tasks` are JSON. Returns the status of the answer. */
static int send_heartbeat(const char *tasks)
{
	char body[600];

	heartbeat_body(body, sizeof(body), 0, sequence++, fencing_token, tasks);
	return send_request("POST", "/checkin", body);
}

/* Returns whether the answer to a heartbeat has a command to run the task of the job, and stores
 * the attempt of that command. */
static bool answer_runs_task(void)
{
	json_t *command;
	size_t i;

	json_array_foreach (json_object_get(answer, "orders"), i, command) {
		if (strcmp(json_string_value(json_object_get(command, "verb")), "run") != 0 ||
		    strcmp(json_string_value(json_object_get(command, "shard")), "job-000001/0") !=
			0)
			continue;
		attempt = json_integer_value(json_object_get(command, "tryNo"));
		return true;
	}
	return false;
}

/*
 * Sends heartbeats of more workers than the sockets of the node, each on its own persistent
 * connection. Returns how many were answered; `kept_open` receives the number of connections that
 * the node did not announce to close.
 */
static int send_many_heartbeats(int *kept_open)
{
	int fds[MANY_WORKERS], answered = 0;

	*kept_open = 0;
	for (int i = 0; i < MANY_WORKERS; i++) {
		char text[600], buffer[600] = "";

		fds[i] = connect_and_send(
		    text, heartbeat_request(text, sizeof(text), MANY_WORKERS_FIRST_MACHINE + i, 1));
		if (read_status(fds[i], 200, 0.005, buffer, sizeof(buffer)) != 200)
			continue;
		answered++;
		*kept_open += !strstr(buffer, "Connection: close");
	}
	for (int i = 0; i < MANY_WORKERS; i++)
		close(fds[i]);
	return answered;
}

/* Sends a heartbeat to the stopped process and resumes the process after LEADER_PAUSE_S. Returns
 * the status of the answer. */
static int heartbeat_while_paused(void)
{
	char text[600], buffer[256] = "";
	int fd = connect_and_send(text, heartbeat_request(text, sizeof(text), 0, sequence++)),
	    status;

	run_loop_for(LEADER_PAUSE_S);
	kill(controller, SIGCONT);
	status = read_status(fd, 200, 0.025, buffer, sizeof(buffer));
	close(fd);
	return status;
}

/* ---- settings and the controller process ---- */

/* Ports in the settings file. */
struct ports {
	int node, peer, cloud, store;
};

/* Writes valid settings with this socket limit, followed by the text `more`. */
static void write_settings(const char *path, const struct ports *ports, int sockets,
			   const char *more)
{
	FILE *file = fopen(path, "w");

	fprintf(file,
		"node='n'\nzone='a'\nbind='127.0.0.1:%d'\npeer_bind='127.0.0.1:%d'\nlater=1\n"
		"[services]\ncloud='127.0.0.1:%d'\nstate='127.0.0.1:%d'\n"
		"[settings]\nzones=['a']\n[[settings.teams]]\nname='t'\ncpus=8.0\ncpus_max=16.0\n"
		"[settings.workers]\nreport_s=0.5\nlease_s=6.0\ncancel_s=20.0\n"
		"[settings.state]\nrps=200.0\nwrite_rps=100.0\nvalue_kb=4.0\ntxn_ops=12\n"
		"[settings.cloud]\nrps=5.0\nlist_lag_s=1.0\n"
		"[settings.machine_limits]\ncore_share=1.0\nram_mb=64.0\nmax_sockets=%d\n%s",
		ports->node, ports->peer, ports->cloud, ports->store, sockets, more);
	fclose(file);
}

/* Runs the program with --check. Returns its exit status. */
static int run_check(const char *path)
{
	int status = -1;
	pid_t pid = fork();

	if (!pid) {
		(void)!freopen("/dev/null", "w", stderr);
		(void)!freopen("/dev/null", "w", stdout);
		execl(program, program, "--check", "--config", path, (char *)NULL);
		_exit(99);
	}
	waitpid(pid, &status, 0);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void start_controller(const char *path)
{
	controller = fork();
	if (controller)
		return;
	(void)!freopen("/dev/null", "w", stderr);
	execl(program, program, "--config", path, (char *)NULL);
	_exit(99);
}

static void open_servers(void)
{
	static const struct ws_http_server_options options = {.max_connections = 64,
							      .backlog = 64,
							      .keep_alive_max = {64, 64, 64},
							      .idle_timeout_s = {60, 60, 60},
							      .receive_timeout_s = 60};
	char error[200];

	store_port = ws_server_port(loopback_store_open(loop, &options));
	cloud = ws_server_new(loop, "127.0.0.1", 0, &options, on_cloud, NULL, error, sizeof(error));
	cloud_port = ws_server_port(cloud);
}

/* ---- tests ---- */

static void test_settings(const char *path)
{
	static const char *const wrong_limits[] = {"[settings.state.next]\nvalue_kb = 'much'\n",
						   "[settings.state.next]\nwrite_rps = 0\n",
						   "[[settings.state.next]]\nvalue_kb = 2.0\n"};
	static const struct ports any = {1, 2, 3, 4};
	char other[80];
	FILE *file;

	check("valid settings pass --check", run_check(path) == 0);
	snprintf(other, sizeof(other), "%s.bad", path);
	file = fopen(other, "w");
	fprintf(file, "node='n'\nzone='a'\nbind='nowhere'\n");
	fclose(file);
	check("invalid settings are refused", run_check(other) == 2);
	write_settings(other, &any, SOCKETS_TOO_FEW, "");
	check("a socket limit that is too low is refused", run_check(other) == 2);
	write_settings(other, &any, SOCKETS_MAX,
		       "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n");
	check("lower announced limits are accepted", run_check(other) == 0);
	for (size_t i = 0; i < sizeof(wrong_limits) / sizeof(wrong_limits[0]); i++) {
		write_settings(other, &any, SOCKETS_MAX, wrong_limits[i]);
		check("invalid announced limits are refused", run_check(other) == 2);
	}
	unlink(other);
}

static void test_requests(void)
{
	check("the health check succeeds", request_until_served("/healthz", SERVED_TRIES));
	check("a new job is answered with 201", send_request("POST", "/v2/runs", job) == 201);
	check("a repeated submission is answered with 200",
	      send_request("POST", "/v2/runs", job) == 200);
	check("the same job in another spelling is answered with 200",
	      send_request("POST", "/v2/runs", respelled_job) == 200);
	check("an invalid job is answered with 400", send_request("POST", "/v2/runs", "{}") == 400);
	check("the answer to an invalid job names the field",
	      answer_has_error("nameId is missing"));
	check("text that is not JSON is answered with 400",
	      send_request("POST", "/v2/runs", "{\"nameId\":") == 400 && answer_has_error(NULL));
	check("an unknown job is answered with 404",
	      send_request("GET", "/v2/runs/job-000002", "") == 404);
	check("an unknown path is answered with 404", send_request("GET", "/other", "") == 404);
	check("a method that a path does not have is answered with 405",
	      send_request("DELETE", "/v2/runs", "") == 405);
	check("malformed HTTP is answered with 400", send_raw("HELLO\r\n\r\n", 9) == 400);
	check("a body that is too long is answered with 413",
	      send_raw("POST /v2/runs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 49) == 413);
}

/* Writes a valid request with a few random bytes replaced. Returns its length. */
static size_t corrupted_request(unsigned seed, char *target, size_t size)
{
	size_t length = (size_t)snprintf(
	    target, size, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s",
	    seed % 3 == 1 ? "/v2/runs" : "/checkin", strlen(job), job);

	for (int i = 0; i < 1 + (int)(seed % 7); i++)
		target[(size_t)rand() % length] = (char)rand();
	return length;
}

/* The process must survive random bytes and corrupted requests. */
static void test_random_input(void)
{
	for (unsigned seed = 1; seed <= RANDOM_INPUT_SEEDS; seed++) {
		char input[1600];
		size_t length = RANDOM_INPUT_BYTES;

		srand(seed);
		for (size_t i = 0; i < RANDOM_INPUT_BYTES; i++)
			input[i] = (char)(rand() & (seed & 1 ? 127 : 255));
		if (seed % 3)
			length = corrupted_request(seed, input, sizeof(input));
		send_raw(input, length);
	}
	check("the health check succeeds after random input",
	      send_request("GET", "/healthz", "") == 200);
}

/* A worker receives the command to run a task and reports its end; the user sees the job done. */
static void test_job(void)
{
	bool ran = false, done = false;
	char task[200];

	for (int i = 0; i < 60 && !ran; i++) {
		if (send_heartbeat("") == 200) {
			fencing_token = json_integer_value(json_object_get(answer, "epoch"));
			ran = answer_runs_task();
		}
		run_loop_for(0.1);
	}
	check("the worker receives the command to run the task", ran);
	snprintf(task, sizeof(task),
		 "{\"shard\":\"job-000001/0\",\"tryNo\":%lld,\"phase\":\"exited\","
		 "\"cause\":\"done\"}",
		 (long long)attempt);
	check("the heartbeat with the end of the task is accepted", send_heartbeat(task) == 200);
	for (int i = 0; i < 40 && !done; i++) {
		done = send_request("GET", job_path, "") == 200 && answer_is_done();
		if (!done)
			run_loop_for(0.1);
	}
	check("the job is done", done);
}

static void test_many_workers(void)
{
	int kept_open;

	check("all workers are answered, also more than there are sockets",
	      send_many_heartbeats(&kept_open) == MANY_WORKERS);
	check("connections of workers are kept up to their limit",
	      kept_open <= KEPT_WORKER_CONNECTIONS_MAX && kept_open > 0);
	check("users are served besides many workers", send_request("GET", job_path, "") == 200);
}

/* The leader is paused for longer than its session while a heartbeat waits: an answer with status
 * 200 would renew a lease that the leader may no longer grant. */
static void test_paused_leader(void)
{
	kill(controller, SIGSTOP);
	check("a leader paused past its session renews no lease", heartbeat_while_paused() == 503);
	check("a leader that was paused serves users again",
	      request_until_served(job_path, SERVED_TRIES));
	check("a job that is done stays done when it is cancelled",
	      send_request("POST", "/v2/runs/job-000001/abort", "") == 200 && answer_is_done());
}

static void test_stop(void)
{
	int status = 0;

	check("the process is still running", waitpid(controller, &status, WNOHANG) == 0);
	kill(controller, SIGTERM);
	waitpid(controller, &status, 0);
	check("SIGTERM ends the process with status 0",
	      WIFEXITED(status) && WEXITSTATUS(status) == 0);
	if (loopback_store_most_watches() > WATCHES_MAX)
		check("no more watches are open than allowed", false);
}

int main(int argc, char **argv)
{
	static const struct ws_http_client_options options = {
	    .max_connections = 1, .max_queue = 4, .max_reply_bytes = 65536};
	char path[] = "/tmp/waystep-smoke-XXXXXX";
	ev_timer tick;

	if (argc != 2)
		return 2;
	program = argv[1];
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	port = free_port();
	peer_port = free_port();
	open_servers();
	close(mkstemp(path));
	write_settings(path, &(struct ports){port, peer_port, cloud_port, store_port}, SOCKETS_MAX,
		       "");
	test_settings(path);
	start_controller(path);
	client = ws_client_new(loop, "127.0.0.1", port, &options);
	ev_timer_init(&tick, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &tick);
	test_requests();
	test_random_input();
	test_job();
	test_many_workers();
	test_paused_leader();
	test_stop();
	ws_client_free(client);
	ev_timer_stop(loop, &tick);
	loopback_store_close();
	ws_server_free(cloud);
	json_decref(answer);
	unlink(path);
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
