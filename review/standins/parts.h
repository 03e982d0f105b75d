/* Declarations that the parts of the stand-ins share. */
#ifndef REVIEW_PARTS_H
#define REVIEW_PARTS_H
#include "../../src/io/clock.h"
#include "../../src/io/http_client.h"
#include "../../src/io/http_server.h"
#include "cluster.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

struct node {
	pid_t pid;
	int port, peer_port;
	struct ws_http_server *store, *cloud; /* each node has ports of its own */
	struct ws_http_client *users;
};
extern struct node nodes[NODES_MAX];
extern struct ev_loop *loop;
extern const struct ws_http_server_options server_options;

int free_port(void);
void answer(struct ws_http_server *server, uint64_t request_id, int status, json_t *body);

/* delayed messages */
typedef void (*deliver_fn)(void *context, uint64_t id, const char *method, const char *path,
			   const char *body, size_t length);
void delay(double seconds, deliver_fn deliver, void *context, uint64_t id, const char *method,
	   const char *path, const char *body, size_t length);
void delayed_step(void);
/* Delivers now, in their order, those for a context that are held. */
void delayed_release(void *context);

void store_open(void);
void store_step(void);
/* Index of the node whose leadership has this revision of the leader key, -1 if unknown. */
int node_of_leader_revision(uint64_t revision);
void cloud_open(void);
void proxies_open(void);
int proxy_port(int from, int to);
void proxies_update(void);
void workers_open(void);
void workers_step(void);
void users_open(void);
void users_step(void);
struct job *job_find(const char *id);
#endif
