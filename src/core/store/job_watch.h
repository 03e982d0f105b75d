/*
 * The job watch: keeps the leader's replica of the jobs current.
 *
 * The replica begins with the listing that the loader read; from its revision on a watch of the job
 * records is kept open. A leader may act only while its replica is recent, since users cancel jobs
 * through any node.
 */
#ifndef WS_STORE_JOB_WATCH_H
#define WS_STORE_JOB_WATCH_H
#include <stdbool.h>
#include <stdint.h>

struct ws_core;
struct ws_call;
struct ws_result;

/* Written by job_watch.c alone. Times are those of the core's clock, in seconds. */
struct ws_job_watch {
	bool open;		   /* a watch is under way */
	uint64_t revision;	   /* that the replica holds */
	double next_at;		   /* the next watch is opened then */
	double replica_current_at; /* the replica is no older than this */
};

/* At step-down: no watch is under way. */
void ws_job_watch_reset(struct ws_core *core);

/* The jobs were listed as of a revision, by a request sent at asked_at: watches begin there. */
void ws_job_watch_start(struct ws_core *core, uint64_t revision, double asked_at);

/* Keeps a watch of the jobs open while this node leads. */
void ws_job_watch_tick(struct ws_core *core);

/* The changes that a watch of the jobs brought, whoever opened it: for the replica and for the job
 * status cache. */
void ws_job_watch_apply(struct ws_core *core, const struct ws_call *call,
			const struct ws_result *result);

/* It is known otherwise that the replica held everything at a time. */
void ws_job_watch_confirm(struct ws_core *core, double current_at);
#endif
