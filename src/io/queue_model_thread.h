/*
 * The thread that runs Algorithm 1, the queueing model behind scale-out: it may take longer than
 * the event loop can stand still. The loop hands it measurements; it sets the result in the core
 * and wakes the loop.
 */
#ifndef WS_QUEUE_MODEL_THREAD_H
#define WS_QUEUE_MODEL_THREAD_H
#include "../core/core.h"
#include <ev.h>
#include <pthread.h>

struct ws_queue_model_thread;

/* What the thread works on. */
struct ws_queue_model_target {
	struct ev_loop *loop;
	struct ws_core *core;
	pthread_mutex_t *core_lock;	  /* taken for the moment in which a result is set */
	void (*on_result)(void *context); /* on the loop's thread, after a result was set */
	void *context;
};

/* Starts the thread; NULL if that can't be done. */
struct ws_queue_model_thread *
ws_queue_model_thread_start(const struct ws_queue_model_target *target);
/* Has the model run on a measurement; one that was not begun yet is replaced. */
void ws_queue_model_thread_run(struct ws_queue_model_thread *thread,
			       const struct ws_queue_measurement *measure);
/* Waits for the thread's end and frees it; a NULL thread is none. */
void ws_queue_model_thread_stop(struct ws_queue_model_thread *thread);
#endif
