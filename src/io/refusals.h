/* Counts and logs the messages that are refused as malformed. */
#ifndef WS_REFUSALS_H
#define WS_REFUSALS_H
#include "json_members.h"

enum ws_refused_kind {
	WS_REFUSED_SUBMISSION,
	WS_REFUSED_HEARTBEAT,
	WS_REFUSED_PEER_FRAME,
	WS_REFUSED_REPLY, /* of the store, the cloud, a worker or a peer */
};
#define WS_REFUSED_KINDS 4

struct ws_refusals {
	unsigned long counts[WS_REFUSED_KINDS]; /* since the start of the process */
	double lines, refilled_at;		/* lines that may be written, and since when */
	unsigned omitted;			/* refusals since the last line that was written */
};

struct ws_refused_message {
	enum ws_refused_kind kind;
	const char *sender;  /* address, peer or target of the call */
	const char *subject; /* id of the job, or name of the machine; "" if it cannot be read */
	size_t length;
	struct ws_refusal refusal;
};

/* Counts a refused message and logs it, unless too many lines were written in this second. Messages
 * of users and workers are logged at info, those of other services as errors. */
void ws_refusals_add(struct ws_refusals *refusals, double now,
		     const struct ws_refused_message *message);
#endif
