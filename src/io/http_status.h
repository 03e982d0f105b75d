/*
 * Converts between HTTP statuses and the core's outcomes of calls and answers to requests. The core
 * itself uses no HTTP status.
 */
#ifndef WS_HTTP_STATUS_H
#define WS_HTTP_STATUS_H
#include "../core/core.h"

/* Returns the outcome of a call with this status: 0 means no reply, below 0 that it was not sent.
 */
enum ws_outcome ws_outcome_of_http_status(int status);
/* Returns the status of an outcome. WS_OUTCOME_OTHER, which covers many statuses, gives 500. */
int ws_http_status_of_outcome(enum ws_outcome outcome);

/* Returns the status of an answer. */
int ws_http_status_of_answer(enum ws_answer answer);
/* Returns the answer with a status, or WS_ANSWER_UNAVAILABLE if no answer has that status. */
enum ws_answer ws_answer_of_http_status(int status);
#endif
