/* The wire: JSON of users, workers, cloud and store to the core's terms and back. */
#ifndef WS_CODEC_H
#define WS_CODEC_H
#include "../core/core.h"

/* 0, or the HTTP status that refuses the body. */
int ws_decode_job(const char *body, size_t len, struct ws_job_spec *spec);
bool ws_job_id_ok(const char *id);
bool ws_decode_heartbeat(const char *body, size_t len, struct ws_heartbeat *heartbeat);
void ws_heartbeat_free(struct ws_heartbeat *heartbeat);
char *ws_encode_user(const struct ws_effect *effect);
char *ws_encode_heartbeat_answer(const struct ws_effect *effect);
char *ws_encode_commands(uint64_t epoch, uint64_t tenure, const struct ws_command *command,
			 size_t count);

/* Requests to the store and the cloud; paths go to buffers of this size. */
#define WS_URL_MAX 900
char *ws_encode_call(const struct ws_call *call, const char **method, char *path);
/* Fills r; what it allocates is freed by ws_result_free. A body that makes no sense: status 0. */
void ws_decode_reply(const struct ws_call *call, int status, const char *body, size_t len,
		     struct ws_result *result);
void ws_result_free(struct ws_result *result);
#endif
