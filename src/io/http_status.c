#include "http_status.h"

static const int outcome_statuses[] = {
    [WS_OUTCOME_NO_REPLY] = 0,	  [WS_OUTCOME_NOT_SENT] = -1,	   [WS_OUTCOME_OK] = 200,
    [WS_OUTCOME_REJECTED] = 400,  [WS_OUTCOME_NOT_FOUND] = 404,	   [WS_OUTCOME_CONFLICT] = 409,
    [WS_OUTCOME_COMPACTED] = 410, [WS_OUTCOME_RATE_LIMITED] = 429, [WS_OUTCOME_UNAVAILABLE] = 503,
    [WS_OUTCOME_OTHER] = 500,
};

static const int answer_statuses[] = {
    [WS_ANSWER_UNAVAILABLE] = 503, [WS_ANSWER_OK] = 200,	   [WS_ANSWER_ACCEPTED] = 201,
    [WS_ANSWER_NOT_FOUND] = 404,   [WS_ANSWER_OTHER_LEADER] = 421, [WS_ANSWER_NEVER_RUNNABLE] = 422,
};

enum ws_outcome ws_outcome_of_http_status(int status)
{
	size_t count = sizeof(outcome_statuses) / sizeof(outcome_statuses[0]);

	if (status < 0)
		return WS_OUTCOME_NOT_SENT;
	for (size_t i = 0; i < count; i++)
		if (outcome_statuses[i] == status)
			return (enum ws_outcome)i;
	return WS_OUTCOME_OTHER;
}

int ws_http_status_of_outcome(enum ws_outcome outcome)
{
	return outcome_statuses[outcome];
}

int ws_http_status_of_answer(enum ws_answer answer)
{
	return answer_statuses[answer];
}

enum ws_answer ws_answer_of_http_status(int status)
{
	size_t count = sizeof(answer_statuses) / sizeof(answer_statuses[0]);

	for (size_t i = 0; i < count; i++)
		if (answer_statuses[i] == status)
			return (enum ws_answer)i;
	return WS_ANSWER_UNAVAILABLE;
}
