/*
 * The state of the core, composed of the states of its parts. Each part declares its state in its
 * own header and is the only one to modify it. A part may call the parts that follow it in this
 * list of folders:
 *
 *   api, autoscaler, scheduler, fleet, extension, jobs, catalog, store, leadership, records
 *
 * tools/layers checks this and reports the calls that violate it.
 */
#ifndef WS_CORE_STATE_H
#define WS_CORE_STATE_H
#include "api/api.h"
#include "autoscaler/autoscaler.h"
#include "autoscaler/queue_model.h"
#include "catalog/catalog.h"
#include "core.h"
#include "event_counts.h"
#include "extension/subsystems.h"
#include "fleet/fleet.h"
#include "jobs/jobs.h"
#include "leadership/leadership.h"
#include "lease.h"
#include "memory.h"
#include "objectives.h"
#include "records/records.h"
#include "scheduler/scheduler.h"
#include "store/job_watch.h"
#include "store/loader.h"
#include "store/write_counts.h"
#include "store/writer.h"
#include "tombstones.h"
#include "transaction.h"
#include "workload_stats.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

struct ws_core {
	const struct ws_settings *settings;
	struct ws_policy policy;
	ws_log_fn log;
	enum ws_log_level log_level; /* more detailed lines are not formatted */
	double now;		     /* time of the event being processed */
	double last_tick_at;	     /* time of the last ws_core_tick() */
	double resumed_at;	     /* time at which the process last resumed after a stall */
	uint64_t nonce;
	uint64_t generation; /* increases at each campaign and step-down; marks stale results */
	struct ws_effect *effects_head, *effects_tail;

	/* used on every node */
	struct ws_catalog catalog;
	struct ws_leadership leadership;
	struct ws_store_health store_health;
	struct ws_status_cache status_cache;
	struct ws_status_queries status_queries;
	struct ws_follower follower;

	/* used on the leader only */
	struct ws_loader loader;
	struct ws_job_watch job_watch;
	struct ws_writer writer;
	struct ws_write_counts write_counts;
	struct ws_event_counts event_counts;
	struct ws_jobs jobs;
	struct ws_fleet fleet;
	struct ws_scheduler scheduler;
	struct ws_autoscaler autoscaler;
	struct ws_workload_stats stats;
	struct ws_subsystems subsystems;
};

/* ---- core.c ---- */

/* Logs a line if its level is enabled. Lines are truncated to 511 bytes. */
void ws_log(struct ws_core *core, enum ws_log_level level, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Appends an effect to the queue and returns it; the caller fills it in. */
struct ws_effect *ws_effect_new(struct ws_core *core, enum ws_effect_kind kind);
/* Appends an effect with a new call and returns the call; on_result receives its result. */
struct ws_call *ws_call_new(struct ws_core *core, enum ws_call_kind kind, ws_result_fn on_result);
/* Frees a call, the data that its kind owns, and its context. Accepts NULL. */
void ws_call_free(struct ws_call *call);
/* Clears the state that only the leader uses; called when leadership ends. */
void ws_core_clear_leader_state(struct ws_core *core);

/*
 * Notifications from a part to parts above it in the list. They belong to no part, so the order of
 * the list holds.
 */
/* Requests a scheduling pass, because a change may allow tasks to be placed. */
void ws_core_request_pass(struct ws_core *core);
/* Called by the fleet when a machine is gone: records of scale-out requests may be stale. */
void ws_core_instance_gone(struct ws_core *core);
/* Called by the scheduler: whether some kind of machine that fits a job can be requested in a
 * zone. */
bool ws_core_zone_can_scale_out(struct ws_core *core, const struct ws_job *job, int zone_index);
/* Called by leadership when this node is elected: starts to load the stored records. */
void ws_core_elected(struct ws_core *core);
/* Called by the job watch to apply a changed job record to the leader's replica. */
void ws_core_job_changed(struct ws_core *core, const struct ws_kv *change);
/* Called by the job watch to apply a watch result to the job status cache. */
void ws_core_job_watch_answered(struct ws_core *core, const struct ws_call *call,
				const struct ws_result *result);

/* Called by the jobs part for each record read after the election: restores the attempts in a part
 * of a job's records. */
void ws_core_attempts_read(struct ws_core *core, const char *job_id, json_t *record, uint32_t part);
/* Called by the jobs part when all records have been read. */
void ws_core_attempts_restored(struct ws_core *core);
/* Called by the jobs part when it adds a job: links the job's quarantined attempts to it. */
void ws_core_job_known(struct ws_core *core, struct ws_job *job);
/* Called by the jobs part when attempts of a job must start or stop: sends commands to the job's
 * machines that are marked. */
void ws_core_job_commands_due(struct ws_core *core, struct ws_job *job);
/* Called by subsystems to stop the quarantined attempts of a job; each may write a checkpoint for
 * grace_s seconds. */
void ws_core_stop_quarantined(struct ws_core *core, const char *job_id, double grace_s);

/* ---- outage_replica.c ---- */

/* Applies cancellations that a node confirmed to users during an outage; tasks are stopped. */
void ws_core_outage_cancellations(struct ws_core *core, const struct ws_cancellation *cancellations,
				  size_t count, const char *node);
/* Called when all peers have reported their cancellations. Applies those that this node confirmed
 * and marks the job replica as current at the time of the vote requests. Returns false if this
 * node's own list is incomplete. */
bool ws_core_outage_confirm_replica(struct ws_core *core, double current_at);
/* Called when a paused leader resumes: sends the machines the commands that are still due. */
void ws_core_outage_resumed(struct ws_core *core);
#endif
