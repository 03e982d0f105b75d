/* The cluster: controller processes, time, the record, faults; see cluster.h. */
#include "parts.h"
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define STEP_S 0.02
/* A script runs for 120 s at most, with the build of the stand-ins. */
#define RUN_MAX_S 114.0

struct cluster_settings settings;
struct cluster_faults faults;
struct node nodes[NODES_MAX];
struct ev_loop *loop;
unsigned violation_count;
void (*on_store_request)(int node, const char *method, const char *path);
void (*on_step)(void);
void (*on_leader_gone)(void);
void (*on_report_answered)(struct worker *worker, int node, uint64_t epoch, bool accepted);
void (*on_direct_command)(struct worker *worker, const char *body);

static FILE *record_file;
static char folder[64];
static char **program;
static int program_count;
static double started_at;
static ev_timer stepper;
static ev_signal interrupt_signal, terminate_signal;

double now_s(void)
{
	return ws_now() - started_at;
}

double random_unit(void)
{
	return drand48();
}

static void record_line(const char *prefix, const char *format, va_list arguments)
{
	if (!record_file)
		return;
	fprintf(record_file, "%9.3f %s", now_s(), prefix);
	vfprintf(record_file, format, arguments);
	fputc('\n', record_file);
	fflush(record_file);
}

void record(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	record_line("", format, arguments);
	va_end(arguments);
}

void violation(const char *rule, const char *format, ...)
{
	char prefix[64], text[400];
	va_list arguments;

	snprintf(prefix, sizeof(prefix), "BROKEN %s: ", rule);
	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	record("%s%s", prefix, text);
	printf("%9.3f %s%s\n", now_s(), prefix, text);
	fflush(stdout);
	violation_count++;
}

static void remove_folder(void)
{
	char path[128];

	for (int i = 0; i < settings.nodes; i++) {
		snprintf(path, sizeof(path), "%s/node-%d.toml", folder, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/node-%d.log", folder, i);
		if (!getenv("KEEP_LOGS"))
			unlink(path);
	}
	if (getenv("KEEP_LOGS"))
		printf("logs are in %s\n", folder);
	else
		rmdir(folder);
}

void cannot_run(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	record_line("CANNOT RUN ", format, arguments);
	va_end(arguments);
	va_start(arguments, format);
	vprintf(format, arguments);
	va_end(arguments);
	putchar('\n');
	for (int i = 0; i < settings.nodes; i++)
		node_kill(i);
	remove_folder();
	exit(2);
}

/* ---- the controller processes ---- */

static void settings_write(int index)
{
	struct node *node = &nodes[index];
	char path[128];
	FILE *file;

	snprintf(path, sizeof(path), "%s/node-%d.toml", folder, index);
	file = fopen(path, "w");
	if (!file)
		cannot_run("can't write %s", path);
	fprintf(file, "node = \"node-%d\"\nzone = \"%s\"\nbind = \"127.0.0.1:%d\"\n"
		      "peer_bind = \"127.0.0.1:%d\"\n",
		index, settings.zone_names[settings.node_zone[index]], node->port,
		node->peer_port);
	for (int i = 0; i < settings.nodes; i++)
		if (i != index)
			fprintf(file, "[[seeds]]\nnode = \"node-%d\"\nzone = \"%s\"\n"
				      "endpoint = \"127.0.0.1:%d\"\n",
				i, settings.zone_names[settings.node_zone[i]],
				proxy_port(index, i));
	fprintf(file, "[services]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n",
		ws_server_port(node->cloud), ws_server_port(node->store));
	fprintf(file, "[settings]\ninitial_size = %d\nclock_error_ms = 250.0\nzones = [",
		settings.nodes);
	for (int i = 0; i < settings.zones; i++)
		fprintf(file, "%s\"%s\"", i ? ", " : "", settings.zone_names[i]);
	fprintf(file, "]\n");
	for (int i = 0; i < settings.teams; i++)
		fprintf(file, "[[settings.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\n"
			      "gpus = 0.0\ngpus_max = 0.0\n",
			settings.team_names[i], settings.team_cpus[i], settings.team_cpus_max[i]);
	fprintf(file, "[settings.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\n"
		      "gang_peer_s = %g\ncancel_s = %g\n",
		settings.report_s, settings.lease_s, settings.gang_wait_s, settings.gang_peer_s,
		settings.cancel_s);
	fprintf(file, "[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\n"
		      "txn_ops = %d\n",
		settings.store_rps, settings.store_write_rps, settings.value_kb, settings.txn_ops);
	fprintf(file, "[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n"
		      "[settings.machine_limits]\ncore_share = %.2f\nram_mb = %.1f\n"
		      "max_sockets = %d\n",
		settings.cloud_rps, settings.list_lag_s, settings.core_share, settings.ram_mb,
		settings.max_sockets);
	fclose(file);
}

void node_start(int index)
{
	char *arguments[32], path[128], log_path[128];
	pid_t parent = getpid();
	int count = 0;

	if (nodes[index].pid > 0)
		return;
	snprintf(path, sizeof(path), "%s/node-%d.toml", folder, index);
	snprintf(log_path, sizeof(log_path), "%s/node-%d.log", folder, index);
	for (; count < program_count && count < 30; count++)
		arguments[count] = program[count];
	arguments[count++] = path;
	arguments[count] = NULL;
	nodes[index].pid = fork();
	if (!nodes[index].pid) {
		int log = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL); /* it ends with this test in any case */
		if (getppid() != parent)
			_exit(99);
		dup2(log, STDERR_FILENO);
		for (int fd = 3; fd < 4096; fd++)
			close(fd);
		execvp(arguments[0], arguments);
		_exit(99);
	}
	record("controller node-%d started, process %d", index, (int)nodes[index].pid);
}

void node_kill(int index)
{
	if (nodes[index].pid <= 0)
		return;
	kill(nodes[index].pid, SIGKILL);
	waitpid(nodes[index].pid, NULL, 0);
	record("controller node-%d killed", index);
	nodes[index].pid = 0;
}

void node_signal(int index, int signal_number)
{
	if (nodes[index].pid <= 0)
		return;
	kill(nodes[index].pid, signal_number);
	record("controller node-%d gets signal %d", index, signal_number);
}

bool node_is_up(int index)
{
	return nodes[index].pid > 0;
}

/* A controller must not end by itself. */
static void check_processes(void)
{
	for (int i = 0; i < settings.nodes; i++) {
		int status;

		if (nodes[i].pid <= 0 || waitpid(nodes[i].pid, &status, WNOHANG) != nodes[i].pid)
			continue;
		nodes[i].pid = 0;
		if (WIFEXITED(status) && !WEXITSTATUS(status)) {
			record("controller node-%d ended after a stop signal", i);
			continue;
		}
		if (WIFEXITED(status) && WEXITSTATUS(status) == 99)
			cannot_run("controller node-%d can't be started", i);
		violation("crash", "controller node-%d ended by itself, status %d", i, status);
	}
}

/* ---- faults ---- */

void zone_cut(int zone, bool on)
{
	record("zone %s %s", settings.zone_names[zone],
	       on ? "is cut off from everything" : "is reachable again");
	for (int i = 0; i < settings.nodes; i++) {
		bool inside = settings.node_zone[i] == zone;

		if (inside)
			faults.store_cut[i] = faults.users_cut[i] = faults.cloud_cut[i] = on;
		for (int k = 0; k < settings.workers; k++)
			if (inside != (settings.worker_zone[k] == zone))
				faults.worker_cut[i][k] = on;
		for (int k = 0; k < settings.nodes; k++)
			if (inside != (settings.node_zone[k] == zone))
				faults.peer_cut[i][k] = on;
	}
	proxies_update();
}

void worker_cut(int index, bool on)
{
	record("%s %s", workers[index].name, on ? "loses the network" : "has the network again");
	for (int i = 0; i < settings.nodes; i++)
		faults.worker_cut[i][index] = on;
}

void faults_clear(void)
{
	bool outage = faults.outage;

	memset(&faults, 0, sizeof(faults));
	faults.outage = outage;
	if (outage)
		outage_set(false);
	proxies_update();
	record("all disruptions are over");
}

/* ---- the loop ---- */

static void step(struct ev_loop *ev, ev_timer *timer, int events)
{
	(void)ev;
	(void)timer;
	(void)events;
	if (now_s() > RUN_MAX_S)
		cannot_run("the test took more than %.0f s", RUN_MAX_S);
	check_processes();
	delayed_step();
	store_step();
	workers_step();
	users_step();
	if (on_step)
		on_step();
}

static void on_stop(struct ev_loop *ev, ev_signal *watcher, int events)
{
	(void)ev;
	(void)watcher;
	(void)events;
	cannot_run("interrupted");
}

bool run_until(bool (*condition)(void), double seconds)
{
	double end = ws_now() + seconds;

	while (ws_now() < end) {
		if (condition && condition())
			return true;
		ev_run(loop, EVRUN_ONCE);
	}
	return condition && condition();
}

void run_for(double seconds)
{
	run_until(NULL, seconds);
}

const struct ws_http_server_options server_options = {.max_connections = 3000,
						      .backlog = 128,
						      .keep_alive_max = {3000, 3000, 3000},
						      .idle_timeout_s = {300, 300, 300},
						      .receive_timeout_s = 60};

/* The port stays bound here, without listening, so that nobody else gets it before the controller
 * listens on it. */
int free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)))
		cannot_run("no free port");
	getsockname(fd, (struct sockaddr *)&address, &length);
	return ntohs(address.sin_port);
}

void answer(struct ws_http_server *server, uint64_t request_id, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	ws_server_respond(server, request_id, status, text, strlen(text), 0);
	free(text);
	json_decref(body);
}

void cluster_start(int count, char **arguments, const char *record_path)
{
	struct rlimit limit;

	signal(SIGPIPE, SIG_IGN);
	started_at = ws_now();
	program_count = count;
	program = arguments;
	if (!settings.gang_wait_s)
		settings.gang_wait_s = settings.lease_s;
	if (!settings.gang_peer_s)
		settings.gang_peer_s = 4;
	if (record_path) {
		record_file = fopen(record_path, "w");
		if (!record_file)
			cannot_run("can't write %s", record_path);
	}
	if (!getrlimit(RLIMIT_NOFILE, &limit) && limit.rlim_cur < 4096) {
		limit.rlim_cur = limit.rlim_max < 4096 ? limit.rlim_max : 4096;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
	snprintf(folder, sizeof(folder), "/tmp/waystep-review-XXXXXX");
	if (!mkdtemp(folder))
		cannot_run("can't make a temporary folder");
	loop = ev_loop_new(0); /* the default loop would wait for the controllers itself */
	for (int i = 0; i < settings.nodes; i++) {
		nodes[i].port = free_port();
		nodes[i].peer_port = free_port();
	}
	store_open();
	cloud_open();
	proxies_open();
	workers_open();
	users_open();
	for (int i = 0; i < settings.nodes; i++)
		settings_write(i);
	ev_timer_init(&stepper, step, STEP_S, STEP_S);
	ev_timer_start(loop, &stepper);
	ev_signal_init(&interrupt_signal, on_stop, SIGINT);
	ev_signal_start(loop, &interrupt_signal);
	ev_signal_init(&terminate_signal, on_stop, SIGTERM);
	ev_signal_start(loop, &terminate_signal);
}

void cluster_stop(void)
{
	for (int i = 0; i < settings.nodes; i++)
		node_kill(i);
	remove_folder();
	record("end, %u broken rules", violation_count);
	if (record_file)
		fclose(record_file);
	record_file = NULL;
}
