/*
 * The program itself on loopback sockets: stand-ins for store and cloud speak HTTP, one
 * waystep process is started, a user submits, a worker reports and is told to run; broken HTTP is
 * refused without harm.
 */
#include "../src/io/clock.h"
#include "../src/io/http_client.h"
#include "../src/io/http_server.h"
#include "ports.h"
#include <arpa/inet.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static struct ev_loop *loop;
static struct ws_http_server *state, *cloud;
static json_t *gone, *kv;
static json_int_t rev = 1;
static struct {
	uint64_t token;
	json_int_t since;
	char prefix[64];
	double until;
} watches[16];
static int good, bad;

static void check(const char *what, bool ok)
{
	printf("%s %s\n", ok ? "ok  " : "FAIL", what);
	ok ? good++ : bad++;
}

static void send_json(struct ws_http_server *server, uint64_t request_id, int status,
		      json_t *object)
{
	char *t = json_dumps(object, 0);

	ws_server_answer(server, request_id, status, t, strlen(t), 0);
	free(t);
	json_decref(object);
}

static json_t *entries(const char *prefix, json_int_t since, bool events)
{
	json_t *array = json_array(), *value;
	const char *k;

	json_object_foreach (kv, k, value) {
		json_int_t st = json_integer_value(json_object_get(value, "stamp"));

		if (strncmp(k, prefix, strlen(prefix)) || st <= since)
			continue;
		json_array_append_new(array,
				      json_pack("{s:s,s:O,s:I}", events ? "write" : "k", k, "value",
						json_object_get(value, "value"), "stamp", st));
	}
	if (events)
		json_object_foreach (gone, k, value)
			if (!strncmp(k, prefix, strlen(prefix)) &&
			    json_integer_value(value) > since)
				json_array_append_new(
				    array, json_pack("{s:s,s:O}", "delete", k, "stamp", value));
	return array;
}

static void forget(const char *k)
{
	json_object_del(kv, k);
	json_object_set_new(gone, k, json_integer(rev));
}

static void wake(void)
{
	for (int i = 0; i < 16; i++) {
		json_t *element;

		if (!watches[i].token)
			continue;
		element = entries(watches[i].prefix, watches[i].since, true);
		if (!json_array_size(element) && ws_now() < watches[i].until) {
			json_decref(element);
			continue;
		}
		send_json(state, watches[i].token, 200,
			  json_pack("{s:I,s:o}", "ledgerRev", rev, "news", element));
		watches[i].token = 0;
	}
}

static void on_state(void *ctx, uint64_t request_id, const char *method, const char *path,
		     const char *body, size_t len)
{
	json_t *object = len ? json_loadb(body, len, 0, NULL) : NULL, *value, *element;
	char prefix[64] = "";
	size_t i;

	(void)ctx;
	if (strstr(path, "starts="))
		sscanf(strstr(path, "starts=") + 7, "%63[^&]", prefix);
	if (!strncmp(path, "/kv/", 4)) {
		value = json_object_get(kv, path + 4);
		if (value)
			send_json(state, request_id, 200,
				  json_pack("{s:s,s:O,s:O}", "k", path + 4, "value",
					    json_object_get(value, "value"), "stamp",
					    json_object_get(value, "stamp")));
		else
			send_json(state, request_id, 404, json_pack("{s:I}", "ledgerRev", rev));
	} else if (!strncmp(path, "/kv?", 4)) {
		send_json(state, request_id, 200,
			  json_pack("{s:o,s:b,s:I}", "entries", entries(prefix, 0, false),
				    "hasNext", 0, "ledgerRev", rev));
	} else if (!strncmp(path, "/watch", 6)) {
		for (i = 0; i < 16 && watches[i].token; i++)
			;
		if (i == 16) { /* more watches than nodes keep open */
			check("a free place for a watch", false);
			json_decref(object);
			return;
		}
		watches[i].token = request_id;
		watches[i].since = atoll(strstr(path, "since=") + 6);
		watches[i].until = ws_now() + atof(strstr(path, "holdMs=") + 7) / 1000;
		strcpy(watches[i].prefix, prefix);
		wake();
	} else if (!strcmp(path, "/multi")) {
		json_t *failed = json_array();

		json_array_foreach (json_object_get(object, "when"), i, element) {
			const char *k = json_string_value(json_object_get(element, "k"));
			json_int_t have =
			    json_integer_value(json_object_get(json_object_get(kv, k), "stamp"));

			if (have != json_integer_value(json_object_get(element, "stamp")))
				json_array_append_new(failed, json_string(k));
		}
		if (json_array_size(failed)) {
			send_json(state, request_id, 409,
				  json_pack("{s:o,s:I}", "failed", failed, "ledgerRev", rev));
		} else {
			json_decref(failed);
			rev++;
			json_array_foreach (json_object_get(object, "then"), i, element) {
				const char *w =
				    json_string_value(json_object_get(element, "write"));

				if (w)
					json_object_set_new(
					    kv, w,
					    json_pack("{s:O,s:I}", "value",
						      json_object_get(element, "value"), "stamp",
						      rev));
				else
					forget(
					    json_string_value(json_object_get(element, "delete")));
			}
			send_json(state, request_id, 200, json_pack("{s:I}", "ledgerRev", rev));
			wake();
		}
	} else if (!strcmp(path, "/holds") && !strcmp(method, "POST")) {
		send_json(state, request_id, 200, json_pack("{s:i}", "permit", 7));
	} else {
		send_json(state, request_id, 200, json_pack("{s:i}", "permit", 7));
	}
	json_decref(object);
}

static void on_cloud(void *ctx, uint64_t request_id, const char *method, const char *path,
		     const char *body, size_t len)
{
	(void)ctx;
	(void)body;
	(void)len;
	if (!strcmp(path, "/machine_types"))
		send_json(cloud, request_id, 200,
			  json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s]}]}", "flavours",
				    "name", "std", "vcpus", 16.0, "accelerators", 0.0, "memGb",
				    64.0, "localGb", 20.0, "fetchGbPerS", 1.0, "rate", 1.0,
				    "spotPrice", 0.4, "startupS", 30.0, "halls", "a"));
	else if (!strcmp(method, "GET"))
		send_json(cloud, request_id, 200,
			  json_pack("{s:[{s:s,s:s,s:s,s:s,s:b,s:s,s:f}],s:b}", "hosts", "nameId",
				    "n-000000", "address", "127.0.0.1:1", "flavour", "std", "hall",
				    "a", "reclaimable", 0, "phase", "running", "ageS", 100.0,
				    "hasNext", 0));
	else
		send_json(cloud, request_id, 503, json_pack("{s:s}", "error", "no capacity"));
}

static int got_status;
static json_t *got;
static void on_reply(void *ctx, int status, const char *body, size_t len)
{
	(void)ctx;
	got_status = status;
	json_decref(got);
	got = json_loadb(body, len, 0, NULL);
	ev_break(loop, EVBREAK_ONE);
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int e)
{
	(void)loop;
	(void)watcher;
	(void)e;
	wake();
}

static int ask(struct ws_http_client *client, const char *method, const char *path,
	       const char *body)
{
	got_status = -2;
	if (!ws_client_send(client, method, path, body, strlen(body), 3, false, on_reply, NULL))
		return -3;
	while (got_status == -2)
		ev_run(loop, EVRUN_ONCE);
	return got_status;
}

static void on_pause(struct ev_loop *loop, ev_timer *watcher, int e)
{
	(void)watcher;
	(void)e;
	ev_break(loop, EVBREAK_ONE);
}

static void pause_s(double s)
{
	ev_timer watcher;

	ev_timer_init(&watcher, on_pause, s, 0);
	ev_timer_start(loop, &watcher);
	ev_run(loop, 0);
	ev_timer_stop(loop, &watcher);
}

/* A connection of its own with these bytes sent on it; it is closed by the caller. */
static int dial(int port, const char *bytes, size_t length)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		(void)!send(fd, bytes, length, MSG_NOSIGNAL);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* The answer's status, 0 if none comes in so many tries; what was read of it is in buf. */
static int status_of(int fd, int tries, double wait_s, char *buf, size_t size)
{
	int status = 0;

	for (int i = 0; i < tries && !status; i++) {
		pause_s(wait_s);
		if (recv(fd, buf, size - 1, 0) > 0)
			sscanf(buf, "HTTP/1.1 %d", &status);
	}
	return status;
}

/* A request with the heartbeat of a worker without tasks. */
static size_t report_text(char *target, size_t size, int machine, int counter)
{
	char body[400];

	snprintf(
	    body, sizeof(body),
	    "{\"host\":\"n-%06d\",\"address\":\"127.0.0.1:1\",\"flavour\":\"std\",\"hall\":\"a\","
	    "\"reclaimable\":false,\"tenure\":1,\"counter\":%d,\"epoch\":0,\"warningS\":null,"
	    "\"shards\":[]}",
	    machine, counter);
	return (size_t)snprintf(
	    target, size, "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
}

/* Bytes as they are, and the status line that comes back; 0: closed without one, or nothing. */
static int raw(int port, const char *bytes, size_t length)
{
	char buf[256] = "";
	int fd = dial(port, bytes, length), status = status_of(fd, 40, 0.025, buf, sizeof(buf));

	close(fd);
	return status;
}

/*
 * One worker after another reports on a connection that it would keep: more of them than the node
 * may hold sockets. All must be answered, and users still be served. How many were.
 */
#define CROWD 150
static int crowd(int port, int *kept)
{
	int fds[CROWD], answered = 0;

	*kept = 0;
	for (int i = 0; i < CROWD; i++) {
		char text[600], buf[600] = "";

		fds[i] = dial(port, text, report_text(text, sizeof(text), 100 + i, 1));
		if (status_of(fds[i], 200, 0.005, buf, sizeof(buf)) != 200)
			continue;
		answered++;
		*kept += !strstr(buf, "Connection: close");
	}
	for (int i = 0; i < CROWD; i++)
		close(fds[i]);
	return answered;
}

/* Sends a report to a process that is stopped, lets it go on after a while; the answer's status. */
static int frozen(int port, int counter, pid_t pid)
{
	char text[600], buf[256] = "";
	int fd = dial(port, text, report_text(text, sizeof(text), 0, counter)), status;

	pause_s(1.5);
	kill(pid, SIGCONT);
	status = status_of(fd, 200, 0.025, buf, sizeof(buf));
	close(fd);
	return status;
}

/* Settings that are fine but for what the sockets may be. */
static void write_settings(FILE *file, int bind, int peer, int cloud_port, int state_port,
			   int sockets)
{
	fprintf(file,
		"node='n'\nzone='a'\nbind='127.0.0.1:%d'\npeer_bind='127.0.0.1:%d'\nlater=1\n"
		"[services]\ncloud='127.0.0.1:%d'\nstate='127.0.0.1:%d'\n"
		"[settings]\nzones=['a']\n[[settings.teams]]\nname='t'\ncpus=8.0\ncpus_max=16.0\n"
		"[settings.workers]\nreport_s=0.5\nlease_s=6.0\ncancel_s=20.0\n"
		"[settings.state]\nrps=200.0\nwrite_rps=100.0\nvalue_kb=4.0\ntxn_ops=12\n"
		"[settings.cloud]\nrps=5.0\nlist_lag_s=1.0\n"
		"[settings.machine_limits]\ncore_share=1.0\nram_mb=64.0\nmax_sockets=%d\n",
		bind, peer, cloud_port, state_port, sockets);
	fclose(file);
}

static int run_check(const char *bin, const char *flag, const char *file)
{
	int status = -1;
	pid_t p = fork();

	if (!p) {
		(void)!freopen("/dev/null", "w", stderr);
		(void)!freopen("/dev/null", "w", stdout);
		execl(bin, bin, flag, "--config", file, (char *)NULL);
		_exit(99);
	}
	waitpid(p, &status, 0);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int main(int argc, char **argv)
{
	static const char job[] =
	    "{\"nameId\":\"job-000001\",\"jobclass\":\"c\",\"owner\":\"t\",\"shape\":\"sweep\","
	    "\"tier\":\"normal\",\"shards\":1,\"vcpus\":1.0,\"accelerators\":0.0,\"memGb\":1.0,"
	    "\"bundle\":\"i\",\"sizeGb\":1.0,\"flavours\":null,\"hall\":null,\"samePlace\":false,"
	    "\"spread\":false,\"reclaimable\":true,\"expectedS\":1.0,\"snapshotEveryS\":0.0,"
	    "\"snapshotS\":0.0,\"dueS\":null}";
	char file[] = "/tmp/waystep-smoke-XXXXXX", err[200], text[600], path[64] = "";
	int port = free_port(), peer = free_port(), status = 0, fd, tries = 0, counter = 1;
	struct ws_http_client_options options = {
	    .max_conns = 1, .max_queue = 4, .max_reply = 65536};
	static const struct ws_http_server_options stand_in = {
	    .max = 64, .backlog = 64, .keep = {64, 64, 64}, .idle = {60, 60, 60}, .slow = 60};
	int kept;
	struct ws_http_client *client;
	ev_timer tick;
	bool ran = false;
	json_int_t attempt = 0, epoch = 0;
	pid_t pid;
	FILE *f;

	if (argc != 2)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	kv = json_object();
	gone = json_object();
	state = ws_server_new(loop, "127.0.0.1", 0, &stand_in, on_state, NULL, err, sizeof(err));
	cloud = ws_server_new(loop, "127.0.0.1", 0, &stand_in, on_cloud, NULL, err, sizeof(err));
	fd = mkstemp(file);
	f = fdopen(fd, "w");
	write_settings(f, port, peer, ws_server_port(cloud), ws_server_port(state), 96);
	check("settings that are fine pass --check", run_check(argv[1], "--check", file) == 0);
	snprintf(text, sizeof(text), "%s.bad", file);
	f = fopen(text, "w");
	fprintf(f, "node='n'\nzone='a'\nbind='nowhere'\n");
	fclose(f);
	check("settings that are not end the start", run_check(argv[1], "--check", text) == 2);
	f = fopen(text, "w");
	write_settings(f, 1, 2, 3, 4, 31);
	check("too few sockets end the start", run_check(argv[1], "--check", text) == 2);
	write_settings(fopen(text, "w"), 1, 2, 3, 4, 96);
	f = fopen(text, "a");
	fprintf(f, "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n");
	fclose(f);
	check("lower limits to come are fine", run_check(argv[1], "--check", text) == 0);
	for (int i = 0; i < 3; i++) {
		static const char *const next[] = {"[settings.state.next]\nvalue_kb = 'much'\n",
						   "[settings.state.next]\nwrite_rps = 0\n",
						   "[[settings.state.next]]\nvalue_kb = 2.0\n"};

		write_settings(fopen(text, "w"), 1, 2, 3, 4, 96);
		f = fopen(text, "a");
		fprintf(f, "%s", next[i]);
		fclose(f);
		check("limits to come that are none end the start",
		      run_check(argv[1], "--check", text) == 2);
	}
	unlink(text);
	pid = fork();
	if (!pid) {
		(void)!freopen("/dev/null", "w", stderr);
		execl(argv[1], argv[1], "--config", file, (char *)NULL);
		_exit(99);
	}
	client = ws_client_new(loop, "127.0.0.1", port, &options);
	ev_timer_init(&tick, on_tick, 0.05, 0.05);
	ev_timer_start(loop, &tick);
	while (ask(client, "GET", "/healthz", "") != 200 && ++tries < 100)
		pause_s(0.1);
	check("healthy", got_status == 200);
	check("a job is accepted", ask(client, "POST", "/v2/runs", job) == 201);
	check("and known when it comes again", ask(client, "POST", "/v2/runs", job) == 200);
	check("400", ask(client, "POST", "/v2/runs", "{}") == 400);
	check("404 for an unknown job", ask(client, "GET", "/v2/runs/job-000002", "") == 404);
	check("404 for an unknown path", ask(client, "GET", "/other", "") == 404);
	check("405", ask(client, "DELETE", "/v2/runs", "") == 405);
	check("broken HTTP", raw(port, "HELLO\r\n\r\n", 9) == 400);
	check("a body too long",
	      raw(port, "POST /v2/runs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 49) == 413);
	for (unsigned seed = 1; seed <= 60; seed++) { /* noise; the process must live on */
		char noise[1600];
		size_t len = 400;

		srand(seed);
		for (size_t i = 0; i < len; i++)
			noise[i] = (char)(rand() & (seed & 1 ? 127 : 255));
		if (seed % 3) { /* a proper request, mangled in a few places */
			int n =
			    snprintf(noise, sizeof(noise),
				     "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s",
				     seed % 3 == 1 ? "/v2/runs" : "/checkin", strlen(job), job);

			len = (size_t)n;
			for (int k = 0; k < 1 + (int)(seed % 7); k++)
				noise[(size_t)rand() % len] = (char)rand();
		}
		raw(port, noise, len);
	}
	check("alive after noise", ask(client, "GET", "/healthz", "") == 200);
	for (int i = 0; i < 60 && !ran; i++) {
		json_t *element;
		size_t k;

		snprintf(text, sizeof(text),
			 "{\"host\":\"n-000000\",\"address\":\"127.0.0.1:1\",\"flavour\":\"std\","
			 "\"hall\":\"a\","
			 "\"reclaimable\":false,\"tenure\":1,\"counter\":%d,\"epoch\":%lld,"
			 "\"warningS\":null,"
			 "\"shards\":[]}",
			 counter++, (long long)epoch);
		if (ask(client, "POST", "/checkin", text) == 200) {
			epoch = json_integer_value(json_object_get(got, "epoch"));
			json_array_foreach (json_object_get(got, "orders"), k, element)
				if (!strcmp(json_string_value(json_object_get(element, "verb")),
					    "run") &&
				    !strcmp(json_string_value(json_object_get(element, "shard")),
					    "job-000001/0")) {
					ran = true;
					attempt =
					    json_integer_value(json_object_get(element, "tryNo"));
				}
		}
		pause_s(0.1);
	}
	check("the worker is told to run the task", ran);
	snprintf(
	    text, sizeof(text),
	    "{\"host\":\"n-000000\",\"address\":\"127.0.0.1:1\",\"flavour\":\"std\",\"hall\":\"a\","
	    "\"reclaimable\":false,\"tenure\":1,\"counter\":%d,\"epoch\":%lld,\"warningS\":null,"
	    "\"shards\":[{\"shard\":\"job-000001/"
	    "0\",\"tryNo\":%lld,\"phase\":\"exited\",\"cause\":\"done\"}]}",
	    counter++, (long long)epoch, (long long)attempt);
	check("the report of its end is taken", ask(client, "POST", "/checkin", text) == 200);
	for (int i = 0; i < 40; i++) {
		snprintf(path, sizeof(path), "/v2/runs/job-000001");
		if (ask(client, "GET", path, "") == 200 &&
		    !strcmp(json_string_value(json_object_get(got, "phase")), "done"))
			break;
		pause_s(0.1);
	}
	check("and the job is done",
	      got_status == 200 && got &&
		  !strcmp(json_string_value(json_object_get(got, "phase")), "done"));
	check("more workers than sockets are all answered", crowd(port, &kept) == CROWD);
	check("and as many connections are kept as are for workers", kept <= 40 && kept > 0);
	check("and users are served meanwhile", ask(client, "GET", path, "") == 200);
	/* it stands still past its session, with a heartbeat waiting: that must not get a 200 */
	kill(pid, SIGSTOP);
	check("a leader that stood still past its hold renews no lease",
	      frozen(port, counter++, pid) == 503);
	for (int i = 0; i < 100 && ask(client, "GET", path, "") != 200; i++)
		pause_s(0.1);
	check("and serves users again", got_status == 200);
	check("a done job stays done when aborted",
	      ask(client, "POST", "/v2/runs/job-000001/abort", "") == 200 &&
		  !strcmp(json_string_value(json_object_get(got, "phase")), "done"));
	check("still running", waitpid(pid, &status, WNOHANG) == 0);
	kill(pid, SIGTERM);
	waitpid(pid, &status, 0);
	check("stops when told to", WIFEXITED(status) && WEXITSTATUS(status) == 0);
	ws_client_free(client);
	ev_timer_stop(loop, &tick);
	ws_server_free(state);
	ws_server_free(cloud);
	json_decref(kv);
	json_decref(got);
	unlink(file);
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
