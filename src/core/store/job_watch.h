/*
 * The job watch: keeps the leader's replica of the jobs current.
 *
 * The replica starts from the listing that the loader reads. From the revision of that listing on,
 * a watch of the job records is kept open. A leader may act only while its replica is recent, since
 * users cancel jobs through any node.
 */
#ifndef WS_STORE_JOB_WATCH_H
#define WS_STORE_JOB_WATCH_H
#include <stdbool.h>
#include <stdint.h>

struct ws_core;
struct ws_call;
struct ws_result;

/* Modified only by job_watch.c. Times are in seconds on the core's clock. */
struct ws_job_watch {
	bool open;		   /* a watch request is in flight */
	uint64_t revision;	   /* store revision of the replica */
	double next_at;		   /* earliest time to open the next watch */
	double replica_current_at; /* the replica contained all changes up to then */
};

/* Resets the watch at step-down. */
void ws_job_watch_reset(struct ws_core *core);

/* Starts watching from the revision of a listing of the jobs that was requested at requested_at. */
void ws_job_watch_start(struct ws_core *core, uint64_t revision, double requested_at);

/* Keeps a watch of the jobs open while this node is the leader. */
void ws_job_watch_tick(struct ws_core *core);

/* Applies the result of a watch of the jobs, also one that another module opened, to the replica
 * and to the job status cache. */
void ws_job_watch_apply(struct ws_core *core, const struct ws_call *call,
			const struct ws_result *result);

/* Notes that the replica is known from another source to have been current at a time. */
void ws_job_watch_confirm(struct ws_core *core, double current_at);
#endif
