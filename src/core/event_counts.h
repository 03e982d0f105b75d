/*
 * Counts of what a leader decides and refuses, for operators: by what evidence attempts were
 * released, what was held back and why heartbeats were refused. Logged in one line now and then.
 */
#ifndef WS_EVENT_COUNTS_H
#define WS_EVENT_COUNTS_H
#include "jobs/jobs.h"
#include <stdint.h>

struct ws_core;

enum ws_event {
	WS_EVENT_ELECTED,
	WS_EVENT_QUARANTINED,	       /* an attempt that no record names */
	WS_EVENT_RELEASE_HELD_BACK,    /* not reported, but a start may still arrive */
	WS_EVENT_AT_TEAM_LIMIT,	       /* tasks of a job wait since its team is at its limit */
	WS_EVENT_STALE_INCARNATION,    /* a heartbeat of an incarnation that is over */
	WS_EVENT_STALE_SEQUENCE,       /* a heartbeat no newer than one taken in */
	WS_EVENT_STALE_MACHINE,	       /* a heartbeat of a machine that was returned */
	WS_EVENT_UNENTITLED_HEARTBEAT, /* this node may not answer as the leader */
	WS_EVENT_KINDS,
};

/* Written by event_counts.c alone. */
struct ws_event_counts {
	uint32_t by_event[WS_EVENT_KINDS];		 /* since the last line */
	uint32_t by_evidence[WS_RELEASE_EVIDENCE_COUNT]; /* releases */
	double next_log_at;				 /* on the core's clock, in seconds */
};

void ws_event_count(struct ws_core *core, enum ws_event event);
void ws_event_count_release(struct ws_core *core, enum ws_release_evidence evidence);
/* Logs the counts that are not zero and begins anew, if that is due. */
void ws_event_counts_log(struct ws_core *core);
#endif
