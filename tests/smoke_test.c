/*
 * The program itself on loopback sockets: stand-ins for store and cloud speak HTTP, one waystep
 * process is started, a user submits, a worker sends heartbeats and is told to run; broken HTTP is
 * refused without harm.
 *
 * The store is the one of the loopback cluster, but its sessions never expire: a leader that stood
 * still must find out by its own clock that its lease is over.
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
/* More watches than a node keeps open. */
#define WATCHES_MAX 16
/* More workers than the node may hold sockets, and what it keeps for them. */
#define CROWD 150
#define CROWD_KEPT_MAX 40
#define CROWD_FIRST_MACHINE 100
#define SOCKETS_MAX 96
#define SOCKETS_TOO_FEW 31
#define FROZEN_S 1.5
#define SERVED_TRIES 100
#define NOISE_SEEDS 60
#define NOISE_BYTES 400

static const char job[] =
    "{\"nameId\":\"job-000001\",\"jobclass\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\","
    "\"tier\":\"normal\",\"shards\":1,\"vcpus\":1.0,\"accelerators\":0.0,\"memGb\":1.0,"
    "\"bundle\":\"i\",\"sizeGb\":1.0,\"flavours\":null,\"hall\":null,\"samePlace\":false,"
    "\"spread\":false,\"reclaimable\":true,\"expectedS\":1.0,\"snapshotEveryS\":0.0,"
    "\"snapshotS\":0.0,\"dueS\":null}";
static const char job_path[] = "/v2/runs/job-000001";

/* The controller process, and the ports of all. */
static const char *program;
static pid_t controller;
static int port, peer_port, store_port, cloud_port;

static struct ev_loop *loop;
static struct ws_http_server *cloud;
static struct ws_http_client *client;
static int answer_status;
static json_t *answer;

/* What the worker knows. */
static int sequence = 1;
static json_int_t fencing_token, attempt;

static int good, bad;

static void check(const char *what, bool passed)
{
	printf("%s %s\n", passed ? "ok  " : "FAIL", what);
	passed ? good++ : bad++;
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

static void on_tick(struct ev_loop *ticked, ev_timer *timer, int events)
{
	(void)ticked;
	(void)timer;
	(void)events;
	loopback_store_wake_watches();
}

/* Sends a request and waits for its answer, which is then in `answer`; its status. */
static int ask(const char *method, const char *path, const char *body)
{
	answer_status = NO_ANSWER;
	if (!ws_client_send(client, method, path, body, strlen(body), 3, false, on_answer, NULL))
		return NOT_SENT;
	while (answer_status == NO_ANSWER)
		ev_run(loop, EVRUN_ONCE);
	return answer_status;
}

static bool answer_says_done(void)
{
	return answer && !strcmp(json_string_value(json_object_get(answer, "phase")), "done");
}

static void on_pause(struct ev_loop *paused, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(paused, EVBREAK_ONE);
}

static void pause_s(double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_pause, seconds, 0);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

/* Asks for a path until it is served, so many times a tenth of a second apart; whether it was. */
static bool ask_until_served(const char *path, int tries)
{
	while (ask("GET", path, "") != 200) {
		if (!--tries)
			return false;
		pause_s(0.1);
	}
	return true;
}

/* A connection of its own with these bytes sent on it; it is closed by the caller. */
static int dial(const char *bytes, size_t length)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		(void)!send(fd, bytes, length, MSG_NOSIGNAL);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* The answer's status, 0 if none comes in so many tries; what was read of it is in `buffer`. */
static int status_of(int fd, int tries, double wait_s, char *buffer, size_t size)
{
	int status = 0;

	for (int i = 0; i < tries && !status; i++) {
		pause_s(wait_s);
		if (recv(fd, buffer, size - 1, 0) > 0)
			sscanf(buffer, "HTTP/1.1 %d", &status);
	}
	return status;
}

/* Bytes as they are, and the status line that comes back; 0: closed without one, or nothing. */
static int raw(const char *bytes, size_t length)
{
	char buffer[256] = "";
	int fd = dial(bytes, length), status = status_of(fd, 40, 0.025, buffer, sizeof(buffer));

	close(fd);
	return status;
}

/* ---- heartbeats ---- */

static void heartbeat_body(char *target, size_t size, int machine, int number, json_int_t token,
			   const char *tasks)
{
	snprintf(
	    target, size,
	    "{\"host\":\"n-%06d\",\"address\":\"127.0.0.1:1\",\"flavour\":\"std\",\"hall\":\"a\","
	    "\"reclaimable\":false,\"tenure\":1,\"counter\":%d,\"epoch\":%lld,\"warningS\":null,"
	    "\"shards\":[%s]}",
	    machine, number, (long long)token, tasks);
}

/* A request with the heartbeat of a worker without tasks, as bytes; their number. */
static size_t heartbeat_request(char *target, size_t size, int machine, int number)
{
	char body[400];

	heartbeat_body(body, sizeof(body), machine, number, 0, "");
	return (size_t)snprintf(
	    target, size, "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
}

/* The worker's next heartbeat, with the tasks that it has, as JSON; the answer's status. */
static int send_heartbeat(const char *tasks)
{
	char body[600];

	heartbeat_body(body, sizeof(body), 0, sequence++, fencing_token, tasks);
	return ask("POST", "/checkin", body);
}

/* Whether the answer to a heartbeat tells the worker to run the job's task; takes it down. */
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
 * One worker after another sends a heartbeat on a connection that it would keep: more of them than
 * the node may hold sockets. All must be answered, and users still be served. How many were.
 */
static int crowd(int *kept_open)
{
	int fds[CROWD], answered = 0;

	*kept_open = 0;
	for (int i = 0; i < CROWD; i++) {
		char text[600], buffer[600] = "";

		fds[i] =
		    dial(text, heartbeat_request(text, sizeof(text), CROWD_FIRST_MACHINE + i, 1));
		if (status_of(fds[i], 200, 0.005, buffer, sizeof(buffer)) != 200)
			continue;
		answered++;
		*kept_open += !strstr(buffer, "Connection: close");
	}
	for (int i = 0; i < CROWD; i++)
		close(fds[i]);
	return answered;
}

/* Sends a heartbeat to the stopped process and lets it go on after a while; the answer's status. */
static int heartbeat_while_frozen(void)
{
	char text[600], buffer[256] = "";
	int fd = dial(text, heartbeat_request(text, sizeof(text), 0, sequence++)), status;

	pause_s(FROZEN_S);
	kill(controller, SIGCONT);
	status = status_of(fd, 200, 0.025, buffer, sizeof(buffer));
	close(fd);
	return status;
}

/* ---- settings, and the process ---- */

/* Ports that settings name. */
struct ports {
	int node, peer, cloud, store;
};

/* Settings that are fine but for what the sockets may be, and text behind them. */
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

/* The program's exit status when it only checks its settings. */
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

static void open_stand_ins(void)
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

	check("settings that are fine pass --check", run_check(path) == 0);
	snprintf(other, sizeof(other), "%s.bad", path);
	file = fopen(other, "w");
	fprintf(file, "node='n'\nzone='a'\nbind='nowhere'\n");
	fclose(file);
	check("settings that are not end the start", run_check(other) == 2);
	write_settings(other, &any, SOCKETS_TOO_FEW, "");
	check("too few sockets end the start", run_check(other) == 2);
	write_settings(other, &any, SOCKETS_MAX,
		       "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n");
	check("lower limits to come are fine", run_check(other) == 0);
	for (size_t i = 0; i < sizeof(wrong_limits) / sizeof(wrong_limits[0]); i++) {
		write_settings(other, &any, SOCKETS_MAX, wrong_limits[i]);
		check("limits to come that are none end the start", run_check(other) == 2);
	}
	unlink(other);
}

static void test_requests(void)
{
	check("healthy", ask_until_served("/healthz", SERVED_TRIES));
	check("a job is accepted", ask("POST", "/v2/runs", job) == 201);
	check("and known when it comes again", ask("POST", "/v2/runs", job) == 200);
	check("400", ask("POST", "/v2/runs", "{}") == 400);
	check("404 for an unknown job", ask("GET", "/v2/runs/job-000002", "") == 404);
	check("404 for an unknown path", ask("GET", "/other", "") == 404);
	check("405", ask("DELETE", "/v2/runs", "") == 405);
	check("broken HTTP", raw("HELLO\r\n\r\n", 9) == 400);
	check("a body too long",
	      raw("POST /v2/runs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 49) == 413);
}

/* A proper request, mangled in a few places; its length. */
static size_t mangled_request(unsigned seed, char *target, size_t size)
{
	size_t length = (size_t)snprintf(
	    target, size, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s",
	    seed % 3 == 1 ? "/v2/runs" : "/checkin", strlen(job), job);

	for (int i = 0; i < 1 + (int)(seed % 7); i++)
		target[(size_t)rand() % length] = (char)rand();
	return length;
}

/* Noise, and requests with noise in them; the process must live on. */
static void test_noise(void)
{
	for (unsigned seed = 1; seed <= NOISE_SEEDS; seed++) {
		char noise[1600];
		size_t length = NOISE_BYTES;

		srand(seed);
		for (size_t i = 0; i < NOISE_BYTES; i++)
			noise[i] = (char)(rand() & (seed & 1 ? 127 : 255));
		if (seed % 3)
			length = mangled_request(seed, noise, sizeof(noise));
		raw(noise, length);
	}
	check("alive after noise", ask("GET", "/healthz", "") == 200);
}

/* The worker is told to run the job's task, tells its end, and the user hears of it. */
static void test_job(void)
{
	bool ran = false, done = false;
	char task[200];

	for (int i = 0; i < 60 && !ran; i++) {
		if (send_heartbeat("") == 200) {
			fencing_token = json_integer_value(json_object_get(answer, "epoch"));
			ran = answer_runs_task();
		}
		pause_s(0.1);
	}
	check("the worker is told to run the task", ran);
	snprintf(task, sizeof(task),
		 "{\"shard\":\"job-000001/0\",\"tryNo\":%lld,\"phase\":\"exited\","
		 "\"cause\":\"done\"}",
		 (long long)attempt);
	check("the report of its end is taken", send_heartbeat(task) == 200);
	for (int i = 0; i < 40 && !done; i++) {
		done = ask("GET", job_path, "") == 200 && answer_says_done();
		if (!done)
			pause_s(0.1);
	}
	check("and the job is done", done);
}

static void test_crowd(void)
{
	int kept_open;

	check("more workers than sockets are all answered", crowd(&kept_open) == CROWD);
	check("and as many connections are kept as are for workers",
	      kept_open <= CROWD_KEPT_MAX && kept_open > 0);
	check("and users are served meanwhile", ask("GET", job_path, "") == 200);
}

/* It stands still past its session, with a heartbeat waiting: that must not get a 200. */
static void test_frozen_leader(void)
{
	kill(controller, SIGSTOP);
	check("a leader that stood still past its hold renews no lease",
	      heartbeat_while_frozen() == 503);
	check("and serves users again", ask_until_served(job_path, SERVED_TRIES));
	check("a done job stays done when aborted",
	      ask("POST", "/v2/runs/job-000001/abort", "") == 200 && answer_says_done());
}

static void test_stop(void)
{
	int status = 0;

	check("still running", waitpid(controller, &status, WNOHANG) == 0);
	kill(controller, SIGTERM);
	waitpid(controller, &status, 0);
	check("stops when told to", WIFEXITED(status) && WEXITSTATUS(status) == 0);
	if (loopback_store_most_watches() > WATCHES_MAX)
		check("a free place for a watch", false);
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
	open_stand_ins();
	close(mkstemp(path));
	write_settings(path, &(struct ports){port, peer_port, cloud_port, store_port}, SOCKETS_MAX,
		       "");
	test_settings(path);
	start_controller(path);
	client = ws_client_new(loop, "127.0.0.1", port, &options);
	ev_timer_init(&tick, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &tick);
	test_requests();
	test_noise();
	test_job();
	test_crowd();
	test_frozen_leader();
	test_stop();
	ws_client_free(client);
	ev_timer_stop(loop, &tick);
	loopback_store_close();
	ws_server_free(cloud);
	json_decref(answer);
	unlink(path);
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
