/*
 * Counters for operators: the evidence on which attempts were released, releases that were held
 * back, and the reasons for rejected heartbeats. The leader logs them in one line once per lease.
 */
#ifndef WS_EVENT_COUNTS_H
#define WS_EVENT_COUNTS_H
#include "jobs/jobs.h"
#include <stdint.h>

struct ws_core;

enum ws_event {
	WS_EVENT_ELECTED,
	WS_EVENT_QUARANTINED,	    /* an attempt was reported that is in no record */
	WS_EVENT_RELEASED_REPORTED, /* an attempt that this leader had released was reported again
				       and had not exited */
	WS_EVENT_RELEASE_HELD_BACK, /* an attempt was not reported, but its start command may be in
				       flight */
	WS_EVENT_AT_TEAM_LIMIT,	    /* tasks of a job wait because its team is at its limit */
	/* a message had no room for all commands due for a machine */
	WS_EVENT_COMMANDS_SLICED,
	WS_EVENT_MACHINE_UNUSED,    /* a machine in contact was empty and unusable for a lease */
	WS_EVENT_STALE_INCARNATION, /* a heartbeat of an earlier incarnation was rejected */
	WS_EVENT_STALE_SEQUENCE, /* a heartbeat that is not newer than an accepted one was rejected
				  */
	WS_EVENT_STALE_RESTART,	 /* a heartbeat from before a worker's restart was rejected */
	WS_EVENT_STALE_MACHINE,	 /* a heartbeat of a machine that was returned was rejected */
	WS_EVENT_RESTART_SUSPECTED,    /* a heartbeat may be the first sign of a worker's restart */
	WS_EVENT_RESTART_PROVED,       /* a reply proved that a worker had restarted */
	WS_EVENT_UNENTITLED_HEARTBEAT, /* a heartbeat was rejected: this node may not act as the
					  leader */
	WS_EVENT_KINDS,
};

/* Modified by event_counts.c only. */
struct ws_event_counts {
	uint32_t by_event[WS_EVENT_KINDS];		 /* events since the last log line */
	uint32_t by_evidence[WS_RELEASE_EVIDENCE_COUNT]; /* releases since the last log line */
	double next_log_at;				 /* seconds, on the core's clock */
};

void ws_event_count(struct ws_core *core, enum ws_event event);
void ws_event_count_release(struct ws_core *core, enum ws_release_evidence evidence);
/* If a log line is due, logs the counters that are not zero and resets all of them. */
void ws_event_counts_log(struct ws_core *core);
#endif
