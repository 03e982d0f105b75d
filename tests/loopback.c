/* A cluster on loopback sockets: the controller processes and the event loop of the simulated
 * services. */
#include "loopback_parts.h"
#include "ports.h"
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#define TICK_S 0.05
/* Limit of user requests that wait for a connection to a node. */
#define USER_REQUESTS 64

const char *const loopback_zones[LOOPBACK_NODES] = {"a", "b", "c"};
struct loopback_node loopback_nodes[LOOPBACK_NODES];
static struct ev_loop *loop;
static struct ws_http_server *store, *cloud;
static const char *program, *subsystems;
static ev_timer ticker;

struct loopback_unknown_field loopback_unknown_field;

char *loopback_message_text(enum loopback_sender sender, json_t *body)
{
	const struct loopback_unknown_field *field = &loopback_unknown_field;
	char *plain = json_dumps(body, 0), *text = NULL;
	bool empty = json_object_size(body) == 0;

	json_decref(body);
	if (!field->value || !(field->senders & sender) || plain[0] != '{')
		return plain;
	if (asprintf(&text, "{\"x_field\":%s%s%s", field->value, empty ? "" : ",", plain + 1) < 0)
		abort();
	free(plain);
	return text;
}

void loopback_answer_request(enum loopback_sender sender, struct ws_http_server *server,
			     uint64_t request_id, int status, json_t *body)
{
	char *text = loopback_message_text(sender, body);

	ws_server_respond(server, request_id, status, text, strlen(text), 0);
	free(text);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	loopback_deliver_due();
	loopback_store_step();
	loopback_workers_step();
	loopback_check_cancelled();
	loopback_users_step();
}

static void settings_write(int index)
{
	struct loopback_node *node = &loopback_nodes[index];
	FILE *file;

	snprintf(node->settings_path, sizeof(node->settings_path), "/tmp/waystep-loopback-XXXXXX");
	file = fdopen(mkstemp(node->settings_path), "w");
	fprintf(file, "node='node-%d'\nzone='%s'\nbind='127.0.0.1:%d'\npeer_bind='127.0.0.1:%d'\n",
		index, loopback_zones[index], node->port, node->peer_port);
	for (int i = 0; i < LOOPBACK_NODES; i++)
		if (i != index)
			fprintf(file,
				"[[seeds]]\nnode='node-%d'\nzone='%s'\nendpoint='127.0.0.1:%d'\n",
				i, loopback_zones[i], loopback_nodes[i].peer_port);
	fprintf(file,
		"[services]\ncloud='127.0.0.1:%d'\nstate='127.0.0.1:%d'\n"
		"[settings]\nzones=['a','b','c']\n"
		"[settings.workers]\nreport_s=%g\nlease_s=%g\ncancel_s=%g\n"
		"[settings.state]\nrps=400.0\nwrite_rps=100.0\nvalue_kb=4.0\ntxn_ops=12\n"
		"[settings.cloud]\nrps=5.0\nlist_lag_s=1.0\n"
		"[settings.machine_limits]\ncore_share=1.0\nram_mb=64.0\nmax_sockets=200\n",
		ws_server_port(cloud), ws_server_port(store), LOOPBACK_HEARTBEAT_S,
		LOOPBACK_LEASE_S, LOOPBACK_CANCEL_S);
	for (int i = 0; i < LOOPBACK_TEAMS; i++)
		fprintf(file, "[[settings.teams]]\nname='%s'\ncpus=%g\ncpus_max=%g\n",
			loopback_teams[i].name, loopback_teams[i].cpus_max / 2,
			loopback_teams[i].cpus_max);
	fclose(file);
}

void loopback_start_node(int index)
{
	loopback_nodes[index].pid = fork();
	if (loopback_nodes[index].pid)
		return;
	if (loopback_nodes[index].log_path[0])
		(void)!freopen(loopback_nodes[index].log_path, "a", stderr);
	else if (!getenv("LOG_LEVEL"))
		(void)!freopen("/dev/null", "w", stderr);
	if (subsystems)
		execl(program, program, "--subsystems", subsystems, "--config",
		      loopback_nodes[index].settings_path, (char *)NULL);
	else
		execl(program, program, "--config", loopback_nodes[index].settings_path,
		      (char *)NULL);
	_exit(99);
}

void loopback_kill_node(int index)
{
	if (loopback_nodes[index].pid <= 0)
		return;
	kill(loopback_nodes[index].pid, SIGKILL);
	waitpid(loopback_nodes[index].pid, NULL, 0);
	loopback_nodes[index].pid = 0;
}

void loopback_pause_node(int index, bool paused)
{
	if (loopback_nodes[index].pid > 0)
		kill(loopback_nodes[index].pid, paused ? SIGSTOP : SIGCONT);
}

void loopback_kill_all(void)
{
	for (int i = 0; i < LOOPBACK_NODES; i++)
		loopback_kill_node(i);
}

void loopback_start_all(void)
{
	for (int i = 0; i < LOOPBACK_NODES; i++)
		loopback_start_node(i);
}

void loopback_start(const char *program_path, const char *subsystem_settings)
{
	static const struct ws_http_server_options options = {.max_connections = 200,
							      .backlog = 64,
							      .keep_alive_max = {200, 200, 200},
							      .idle_timeout_s = {60, 60, 60},
							      .receive_timeout_s = 60};
	struct ws_http_client_options users = {
	    .max_connections = 4, .max_queue = USER_REQUESTS, .max_reply_bytes = 65536};

	signal(SIGPIPE, SIG_IGN);
	program = program_path;
	subsystems = subsystem_settings;
	loop = ev_default_loop(0);
	store = loopback_store_open(loop, &options);
	cloud = loopback_cloud_open(loop, &options);
	for (int i = 0; i < LOOPBACK_NODES; i++) {
		loopback_nodes[i].port = free_port();
		loopback_nodes[i].peer_port = free_port();
		loopback_nodes[i].client =
		    ws_client_new(loop, "127.0.0.1", loopback_nodes[i].port, &users);
		loopback_nodes[i].duplicates_client =
		    ws_client_new(loop, "127.0.0.1", loopback_nodes[i].port, &users);
	}
	for (int i = 0; i < LOOPBACK_WORKERS; i++)
		loopback_worker_open(loop, i, &options);
	for (int i = 0; i < LOOPBACK_NODES; i++) {
		settings_write(i);
		loopback_start_node(i);
	}
	ev_timer_init(&ticker, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &ticker);
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)loop;
	(void)watcher;
	(void)events;
	loopback_kill_all();
	for (int i = 0; i < LOOPBACK_NODES; i++)
		unlink(loopback_nodes[i].settings_path);
	exit(130);
}

void loopback_exit_on_signals(void)
{
	static ev_signal interrupt, terminate;

	ev_signal_init(&interrupt, on_signal, SIGINT);
	ev_signal_start(loop, &interrupt);
	ev_signal_init(&terminate, on_signal, SIGTERM);
	ev_signal_start(loop, &terminate);
}

void loopback_write_logs(void)
{
	for (int i = 0; i < LOOPBACK_NODES; i++) {
		struct loopback_node *node = &loopback_nodes[i];

		snprintf(node->log_path, sizeof(node->log_path),
			 "/tmp/waystep-loopback-log-XXXXXX");
		close(mkstemp(node->log_path));
	}
}

void loopback_stop(void)
{
	ev_timer_stop(loop, &ticker);
	loopback_discard_delayed();
	for (int i = 0; i < LOOPBACK_NODES; i++) {
		loopback_kill_node(i);
		unlink(loopback_nodes[i].settings_path);
		if (loopback_nodes[i].log_path[0])
			unlink(loopback_nodes[i].log_path);
		ws_client_free(loopback_nodes[i].client);
		ws_client_free(loopback_nodes[i].duplicates_client);
	}
	loopback_workers_close();
	loopback_store_close();
	ws_server_free(cloud);
	ev_loop_destroy(loop);
}

bool loopback_run_until(bool (*condition)(void), double seconds)
{
	double end = ws_now() + seconds;

	while (ws_now() < end) {
		if (condition && condition())
			return true;
		ev_run(loop, EVRUN_ONCE);
	}
	return condition && condition();
}

double loopback_now(void)
{
	return ws_now();
}

void loopback_run(double seconds)
{
	loopback_run_until(NULL, seconds);
}

const char *loopback_record_text(const char *key, const char *field)
{
	const char *text = json_string_value(json_object_get(loopback_record_value(key), field));

	return text ? text : "";
}

long long loopback_record_integer(const char *key, const char *field)
{
	return json_integer_value(json_object_get(loopback_record_value(key), field));
}

const char *loopback_domain_state(const char *name)
{
	char key[64];

	snprintf(key, sizeof(key), "zones/domain/%s", name);
	return loopback_record_text(key, "state");
}

int loopback_command(const char *option, const char *argument, char *output, unsigned size)
{
	int pipe_fds[2], status = 0;
	pid_t pid;
	ssize_t length;

	if (pipe(pipe_fds))
		return -1;
	pid = fork();
	if (!pid) {
		dup2(pipe_fds[1], STDOUT_FILENO);
		close(pipe_fds[0]);
		close(pipe_fds[1]);
		if (argument)
			execl(program, program, option, argument, "--config",
			      loopback_nodes[0].settings_path, (char *)NULL);
		else
			execl(program, program, option, "--config", loopback_nodes[0].settings_path,
			      (char *)NULL);
		_exit(99);
	}
	close(pipe_fds[1]);
	while (waitpid(pid, &status, WNOHANG) == 0) /* serves its requests */
		ev_run(loop, EVRUN_ONCE);
	length = read(pipe_fds[0], output, size - 1);
	output[length > 0 ? length : 0] = 0;
	close(pipe_fds[0]);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
