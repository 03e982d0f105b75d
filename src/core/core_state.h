/*
 * The core's state: composed of the state of its parts, each of which stands in its part's header
 * and is written by that part. A part may call those below it in this list of folders:
 *
 *   api, autoscaler, scheduler, fleet, extension, jobs, catalog, store, leadership, records
 *
 * tools/layers checks that, and names the calls that still go upwards.
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
	enum ws_log_level log_level; /* lines above it are not made */
	double now;		     /* the time of the event being taken in */
	double last_tick_at;	     /* by the same clock */
	double resumed_at;	     /* when the process last went on after standing still */
	uint64_t nonce;
	uint64_t generation; /* rises whenever leadership ends: late results are told apart */
	struct ws_effect *effects_head, *effects_tail;

	/* of every node */
	struct ws_catalog catalog;
	struct ws_leadership leadership;
	struct ws_store_health store_health;
	struct ws_status_cache status_cache;
	struct ws_status_queries status_queries;
	struct ws_follower follower;

	/* of the leader */
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

/* A line for the log sink, if its level is on; cut at 511 bytes. */
void ws_log(struct ws_core *core, enum ws_log_level level, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Adds an effect to those that leave the core, and returns it to be filled in. */
struct ws_effect *ws_effect_new(struct ws_core *core, enum ws_effect_kind kind);
/* The same for a call, whose result goes to a function. */
struct ws_call *ws_call_new(struct ws_core *core, enum ws_call_kind kind, ws_result_fn on_result);
/* Frees a call with all that its kind holds, and its context. NULL is none. */
void ws_call_free(struct ws_call *call);
/* Forgets all that is the leader's; called when leadership ends. */
void ws_core_forget_cluster(struct ws_core *core);

/*
 * What a part has to say upwards goes through these, which stand above all parts.
 */
/* Something changed that may let tasks be placed: the scheduler is to make a pass. */
void ws_core_request_pass(struct ws_core *core);
/* The fleet: a machine is gone, so records of scale-out requests may be out of date. */
void ws_core_instance_gone(struct ws_core *core);
/* Leadership: this node was elected; its records are to be read. */
void ws_core_elected(struct ws_core *core);
/* The job watch: the record of a job changed, for the leader's replica. */
void ws_core_job_changed(struct ws_core *core, const struct ws_kv *change);
/* The job watch: all that a watch of the jobs brought, for the job status cache. */
void ws_core_job_watch_answered(struct ws_core *core, const struct ws_call *call,
				const struct ws_result *result);

/* Jobs: a record that was read after the election names these attempts. */
void ws_core_attempts_read(struct ws_core *core, const char *job_id, json_t *record);
/* Jobs: all records are read. */
void ws_core_attempts_restored(struct ws_core *core);
/* Jobs: a job has just become known; attempts of it may be quarantined. */
void ws_core_job_known(struct ws_core *core, struct ws_job *job);
/* Jobs: attempts of a job are to start or stop; its machines that are marked are to be told. */
void ws_core_job_commands_due(struct ws_core *core, struct ws_job *job);
/* Subsystems: the quarantined attempts of a job are to end, with so many seconds to save. */
void ws_core_end_quarantined(struct ws_core *core, const char *job_id, double grace_s);

/* ---- outage_replica.c ---- */

/* Outage votes: cancellations that a node confirmed to users; their tasks are to end. */
void ws_core_outage_cancellations(struct ws_core *core, const struct ws_cancellation *cancellations,
				  size_t count, const char *node);
/* Outage votes: all are told. Takes in what this node itself confirmed; then the replica is as
 * current as the time at which the voters were asked. False: this node can't tell. */
bool ws_core_outage_confirm_replica(struct ws_core *core, double current_at);
/* Outage votes: a paused leader goes on; machines are told what it could not say. */
void ws_core_outage_resumed(struct ws_core *core);
#endif
