/*
 * HTTP statuses and the core's terms for them: outcomes of calls, and answers to requests. This is
 * the only place where the two meet.
 */
#ifndef WS_HTTP_STATUS_H
#define WS_HTTP_STATUS_H
#include "../core/core.h"

/* The outcome of a call by the status of its answer; 0: there was none; below 0: never sent. */
enum ws_outcome ws_outcome_of_http_status(int status);
/* The status of an outcome; of WS_OUTCOME_OTHER, which stands for many: 500. */
int ws_http_status_of_outcome(enum ws_outcome outcome);

/* The status of an answer. */
int ws_http_status_of_answer(enum ws_answer answer);
/* The answer of a status; WS_ANSWER_UNAVAILABLE where no answer has that status. */
enum ws_answer ws_answer_of_http_status(int status);
#endif
