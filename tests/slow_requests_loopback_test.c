/*
 * Guards against: malformed, half-sent or slowly sent requests end or block a controller. Each node
 * gets more such connections than it has sockets, while sound users and workers go on.
 */
#include "check.h"
#include "loopback_parts.h"
#include "../src/io/sockets.h"
#include <errno.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* max_sockets of each node is 200. */
#define SLOW_CONNECTIONS 220
#define SLICE_S 0.05
#define BASELINE_S 4
#define ATTACK_S 25
#define SUBMISSION_INTERVAL_S 0.25
/* Users give up waiting for an answer after this time. */
#define ANSWER_TIMEOUT_S 5
/* A submission is retried after a second; see the protocol. */
#define RETRY_S 1
/* Users submit again for this long. */
#define GIVE_UP_S 60
#define SUBMISSIONS_MAX 200
#define RUN_S 0.5

#define POST_HEAD "POST /v2/runs HTTP/1.1\r\nHost: x\r\n"

/* What a connection sends: `text` at once, then `more` in each slice, without end if it repeats. */
static const struct {
	const char *text, *more;
	bool byte_by_byte;
} behaviours[] = {
    {"", "", false},
    {"P", "", false},
    {POST_HEAD, "", false},
    {"", POST_HEAD "Content-Length: 20\r\n\r\n{\"nameId\":\"job-1\"  ", true},
    {POST_HEAD "Content-Length: 60000\r\n\r\n{\"nameId\":", " ", false},
    {POST_HEAD, "X-Header: xxxxxxxxxxxxxxxxxxxxxxxx\r\n", false},
    {POST_HEAD "X: ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", false},
    {POST_HEAD "Transfer-Encoding: chunked\r\n\r\n", "1\r\n{\r\n", false},
    {POST_HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "", false},
    {POST_HEAD "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", "", false},
    {POST_HEAD "Content-Length: -1\r\n\r\n", "", false},
    {"POST /checkin HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"host\":\"n-000001\"", "", false},
    {"POST /checkin HTTP/1.1\r\nContent-Length: 9\r\n\r\n{\"host\":", "GET ", false},
    {"\x16\x03\x01\x02", "\x16", false},
    {"GET /healthz HTTP/1.1\r\nHost: x\r\n", "", false},
    {POST_HEAD "Content-Length: 2\r\n\r\n{}", POST_HEAD "Content-Length: 2\r\n\r\n{}", false},
};
static const unsigned behaviour_count = sizeof(behaviours) / sizeof(behaviours[0]);

struct slow_connection {
	int fd; /* -1: closed */
	size_t behaviour, sent;
};
static struct slow_connection slow[LOOPBACK_NODES][SLOW_CONNECTIONS];
static unsigned reopened;

/* A submission by a user who opens a connection of its own for each try. */
struct submission {
	struct ws_http_client *client;
	char body[700];
	double first_try_at, try_at, answered_at; /* 0: not answered */
	bool pending;
	unsigned tries;
};
static struct submission submissions[SUBMISSIONS_MAX];
static unsigned submission_count;
static bool submitting = true; /* new submissions are made */

/* ---- slow connections ---- */

static void slow_open(int node, struct slow_connection *connection)
{
	struct sockaddr_in address = ws_socket_address("127.0.0.1", loopback_nodes[node].port);

	connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	connection->behaviour = (size_t)(loopback_random() * behaviour_count);
	connection->sent = 0;
	(void)connect(connection->fd, (struct sockaddr *)&address, sizeof(address));
}

static void slow_send(struct slow_connection *connection)
{
	const char *text = behaviours[connection->behaviour].text;
	const char *more = behaviours[connection->behaviour].more;
	size_t count = strlen(more);

	if (!connection->sent && *text) {
		if (send(connection->fd, text, strlen(text), MSG_NOSIGNAL) > 0)
			connection->sent = 1;
		return;
	}
	if (behaviours[connection->behaviour].byte_by_byte) {
		more += connection->sent;
		count = *more != 0;
	}
	if (count && send(connection->fd, more, count, MSG_NOSIGNAL) > 0)
		connection->sent += count;
}

/* Sends what is next, and opens the connection again if the node has closed it. */
static void slow_step(int node, struct slow_connection *connection)
{
	char bytes[500];
	ssize_t count = connection->fd < 0 ? 0 : recv(connection->fd, bytes, sizeof(bytes), 0);

	if (count == 0 || (count < 0 && !ws_socket_would_block() && errno != ENOTCONN)) {
		if (connection->fd >= 0)
			close(connection->fd);
		slow_open(node, connection);
		reopened++;
		return;
	}
	slow_send(connection);
}

static void slow_step_all(void)
{
	for (int node = 0; node < LOOPBACK_NODES; node++)
		for (int i = 0; i < SLOW_CONNECTIONS; i++)
			slow_step(node, &slow[node][i]);
}

static void slow_close_all(void)
{
	for (int node = 0; node < LOOPBACK_NODES; node++)
		for (int i = 0; i < SLOW_CONNECTIONS; i++)
			close(slow[node][i].fd);
}

/* ---- sound submissions ---- */

static void on_answer(void *context, int status, const char *body, size_t length)
{
	struct submission *submission = context;

	(void)body;
	(void)length;
	submission->pending = false;
	if (status == 200 || status == 201)
		submission->answered_at = ws_now();
	else
		submission->try_at = ws_now() + RETRY_S;
}

static void submission_try(struct submission *submission)
{
	const struct ws_http_client_options options = {
	    .max_connections = 1, .max_queue = 1, .max_reply_bytes = 65536};
	int node = (int)(loopback_random() * LOOPBACK_NODES);

	ws_client_free(submission->client);
	submission->client =
	    ws_client_new(ev_default_loop(0), "127.0.0.1", loopback_nodes[node].port, &options);
	submission->pending = true;
	submission->tries++;
	ws_client_send(submission->client, "POST", "/v2/runs", submission->body,
		       strlen(submission->body), ANSWER_TIMEOUT_S, false, on_answer, submission);
}

/* The job is known to the workers; its other user submits it too. */
static void submission_new(void)
{
	struct submission *submission = &submissions[submission_count++];
	const struct loopback_job *job = loopback_submit_for(&loopback_teams[1], 1, 1, RUN_S);

	submission->first_try_at = submission->try_at = ws_now();
	snprintf(submission->body, sizeof(submission->body),
		 "{\"nameId\":\"%s\",\"jobclass\":\"accrual\",\"owner\":\"%s\",\"shape\":\"sweep\","
		 "\"tier\":\"urgent\",\"shards\":1,\"vcpus\":1.0,\"accelerators\":0.0,"
		 "\"memGb\":1.0,\"bundle\":\"i\",\"sizeGb\":0.1,\"samePlace\":false,"
		 "\"spread\":false,\"reclaimable\":true,\"expectedS\":0.5,\"snapshotEveryS\":0.0,"
		 "\"snapshotS\":0.0}",
		 job->id, job->team->name);
}

static void submissions_step(void)
{
	if (submitting && submission_count < SUBMISSIONS_MAX &&
	    (!submission_count ||
	     ws_now() > submissions[submission_count - 1].first_try_at + SUBMISSION_INTERVAL_S))
		submission_new();
	for (unsigned i = 0; i < submission_count; i++)
		if (!submissions[i].pending && !submissions[i].answered_at &&
		    ws_now() >= submissions[i].try_at)
			submission_try(&submissions[i]);
}

/* Prints the longest time to an answer and the tries, of the submissions from `first` on. */
static double longest_answer(const char *when, unsigned first)
{
	double longest = 0, sum = 0;
	unsigned tries = 0;

	for (unsigned i = first; i < submission_count; i++) {
		double end = submissions[i].answered_at ? submissions[i].answered_at : ws_now();
		double time = end - submissions[i].first_try_at;

		longest = time > longest ? time : longest;
		sum += time;
		tries += submissions[i].tries;
	}
	printf("%s: %u submissions, %u tries, answered after %.3f s on average, %.3f s at most\n",
	       when, submission_count - first, tries, sum / (submission_count - first), longest);
	return longest;
}

/* ---- the test ---- */

/* Returns the largest resident memory of a node so far, in kB. */
static long peak_memory(int node)
{
	char path[64], line[200];
	long peak = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)loopback_nodes[node].pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		sscanf(line, "VmHWM: %ld", &peak);
	if (file)
		fclose(file);
	return peak;
}

static bool node_is_running(int node)
{
	return waitpid(loopback_nodes[node].pid, NULL, WNOHANG) == 0;
}

static bool all_answered(void)
{
	for (unsigned i = 0; i < submission_count; i++)
		if (!submissions[i].answered_at)
			return false;
	return true;
}

/* Runs the cluster for a time, and longer until all submissions are answered or given up. */
static void run_for(double seconds, bool attack)
{
	double end = ws_now() + seconds;

	submitting = true;
	while (ws_now() < end || (!all_answered() && ws_now() < end + GIVE_UP_S)) {
		submitting = ws_now() < end;
		if (attack)
			slow_step_all();
		submissions_step();
		loopback_run(SLICE_S);
	}
}

int main(int argc, char **argv)
{
	struct loopback_job *service;
	unsigned before;

	if (argc != 4)
		return 2;
	srand48(atol(argv[3]));
	loopback_start(argv[1], argv[2]);
	service = loopback_submit("portal", 3, true, 0);
	loopback_run(BASELINE_S);
	run_for(BASELINE_S, false);
	before = submission_count;
	longest_answer("before", 0);
	for (int node = 0; node < LOOPBACK_NODES; node++)
		for (int i = 0; i < SLOW_CONNECTIONS; i++)
			slow[node][i].fd = -1;
	run_for(ATTACK_S, true);
	check("each submission is answered in time at the first or second try",
	      all_answered() && longest_answer("during", before) < RETRY_S + ANSWER_TIMEOUT_S);
	printf("%u slow connections opened again\n", reopened);
	check("the replicas of the service still run",
	      service->accepted && loopback_counts()->lost_tasks == 0);
	for (int node = 0; node < LOOPBACK_NODES; node++) {
		printf("node %d: %ld kB at most\n", node, peak_memory(node));
		check("a node is running", node_is_running(node));
	}
	slow_close_all();
	for (unsigned i = 0; i < submission_count; i++)
		ws_client_free(submissions[i].client);
	check("no invariant is violated", !loopback_first_violation());
	loopback_stop();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
