/* HTTP/1.1 over TCP on libev and http-parser: a server and a pooled client. No pipelining. */
#ifndef WS_HTTP_H
#define WS_HTTP_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WS_BODY_MAX (64 * 1024)

struct ws_server;
/* A complete request. It is answered by ws_server_answer with its token, at once or later. */
typedef void (*ws_request_fn)(void *ctx, uint64_t token, const char *method, const char *path,
			      const char *body, size_t len);

struct ws_server *ws_server_new(struct ev_loop *loop, const char *host, int port, int max_conns,
				ws_request_fn fn, void *ctx, char *err, size_t n);
void ws_server_answer(struct ws_server *s, uint64_t token, int status, const char *body, size_t len,
		      int retry_after);
int ws_server_port(const struct ws_server *s);
int ws_server_conns(const struct ws_server *s);
void ws_server_free(struct ws_server *s);

struct ws_client;
/* status: 0 no answer (the outcome is unknown), -1 surely not sent. */
typedef void (*ws_reply_fn)(void *ctx, int status, const char *body, size_t len);

struct ws_client_opts {
	int max_conns;
	int max_queue;
	size_t max_reply;
	double rate; /* requests a second, 0: no limit */
	double burst;
	double idle_s; /* unused connections are closed after this, 0: kept */
};
struct ws_client *ws_client_new(struct ev_loop *loop, const char *host, int port,
				const struct ws_client_opts *o);
void ws_client_rate(struct ws_client *c, double rate, double burst);
/* False: the queue is full; nothing was sent and fn is not called. */
bool ws_client_send(struct ws_client *c, const char *method, const char *path, const char *body,
		    size_t len, double timeout_s, bool urgent, ws_reply_fn fn, void *ctx);
bool ws_client_idle(const struct ws_client *c, double now, double idle_s);
int ws_client_conns(const struct ws_client *c);
void ws_client_free(struct ws_client *c);
double ws_now(void);
#endif
