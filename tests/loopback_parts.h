/* Declarations shared by the parts of the loopback cluster. */
#ifndef WS_TEST_LOOPBACK_PARTS_H
#define WS_TEST_LOOPBACK_PARTS_H
#include "../src/io/clock.h"
#include "../src/io/http_client.h"
#include "../src/io/http_server.h"
#include "loopback.h"
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#define LOOPBACK_TASKS_MAX 32

enum loopback_task_state { LOOPBACK_FETCHING, LOOPBACK_RUNNING, LOOPBACK_EXITED };

struct loopback_task {
	char job[32];
	unsigned number;
	uint64_t attempt;
	enum loopback_task_state state;
	const char *exit_reason;
	double next_state_at;
};

struct loopback_worker {
	char name[32];
	int zone, port, node;
	struct ws_http_server *server;
	struct ws_http_client *clients[LOOPBACK_NODES];
	uint64_t incarnation, sequence, fencing_token;
	uint64_t sent_incarnation; /* incarnation in the last heartbeat */
	double lease_renewed_at, heartbeat_sent_at, next_heartbeat_at;
	bool heartbeat_pending, partitioned;
	struct loopback_task tasks[LOOPBACK_TASKS_MAX];
	unsigned task_count;
};

struct loopback_node {
	pid_t pid;
	int port, peer_port;
	char settings_path[64], log_path[64];
	struct ws_http_client *client, *duplicates_client;
};

extern const char *const loopback_zones[LOOPBACK_NODES];
extern struct loopback_worker loopback_workers[LOOPBACK_WORKERS];
extern struct loopback_node loopback_nodes[LOOPBACK_NODES];
extern struct loopback_counts loopback_total_counts;

/* Returns the text of a message, with the unknown field if its sender has one. Releases the body;
 * the caller frees the text. */
char *loopback_message_text(enum loopback_sender sender, json_t *body);
/* Answers a request and releases the body. */
void loopback_answer_request(enum loopback_sender sender, struct ws_http_server *server,
			     uint64_t request_id, int status, json_t *body);

/* loopback_faults.c: delayed messages */
struct loopback_message {
	void *context;
	uint64_t id;
	int status;
	const char *method, *path, *body;
	size_t length;
};
typedef void (*loopback_deliver_fn)(const struct loopback_message *message);
/* Returns true with this probability: whether a fault applies to the current message. */
bool loopback_fault_occurs(double share);
/* Delivers a copy of a message after this delay. */
void loopback_delay_message(const struct loopback_message *message, double seconds,
			    loopback_deliver_fn deliver);
/* Delivers a copy of a message shortly after the next election of a leader. */
void loopback_delay_until_election(const struct loopback_message *message,
				   loopback_deliver_fn deliver);
/* Schedules the messages that wait for the election of a leader. */
void loopback_leader_elected(void);
/* Delivers the messages that are due. */
void loopback_deliver_due(void);
/* Discards all delayed messages. */
void loopback_discard_delayed(void);

/* loopback_checks.c: the invariants; each check reports violations */
void loopback_check_start(const struct loopback_worker *worker, const struct loopback_task *task);
void loopback_check_cancelled(void);

/* loopback_store.c: the store */
struct ws_http_server *loopback_store_open(struct ev_loop *loop,
					   const struct ws_http_server_options *options);
void loopback_store_close(void);
/* Ends expired sessions and answers watches. */
void loopback_store_step(void);
/* Answers watches that have changes to deliver or have timed out. */
void loopback_store_wake_watches(void);
/* Returns the largest number of watches that were open at once. */
unsigned loopback_store_most_watches(void);
/* Returns the value of a record, NULL if there is none. */
json_t *loopback_record_value(const char *key);

/* loopback_cloud.c: a cloud without capacity to scale out */
struct loopback_cloud_request {
	uint64_t id;
	const char *method, *path;
};
/*
 * Answers a request as a cloud with one machine type, available in `zones`, and with these running
 * instances. Takes ownership of both arrays.
 */
void loopback_cloud_answer(struct ws_http_server *server,
			   const struct loopback_cloud_request *request, json_t *zones,
			   json_t *instances);
/* Returns a running instance for `instances`. */
json_t *loopback_cloud_instance(const char *name, const char *address, const char *zone);
struct ws_http_server *loopback_cloud_open(struct ev_loop *loop,
					   const struct ws_http_server_options *options);

/* loopback_workers.c */
void loopback_worker_open(struct ev_loop *loop, int index,
			  const struct ws_http_server_options *options);
void loopback_workers_close(void);
void loopback_workers_step(void);

/* loopback_users.c */
struct loopback_job *loopback_job_find(const char *id);
void loopback_users_step(void);
#endif
