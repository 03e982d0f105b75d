/*
 * A thread that runs the queue model of queue_model.h. The model computes the scale-out limit
 * and may take longer than the event loop may be blocked. The event loop submits measurements to
 * the thread, which sets the result in the core and wakes the event loop.
 */
#ifndef WS_QUEUE_MODEL_THREAD_H
#define WS_QUEUE_MODEL_THREAD_H
#include "../core/core.h"
#include <ev.h>
#include <pthread.h>

struct ws_queue_model_thread;

/* The objects that the thread uses, which must outlive it. */
struct ws_queue_model_thread_config {
	struct ev_loop *loop;
	struct ws_core *core;
	pthread_mutex_t *core_lock;	  /* held only while a result is set */
	void (*on_result)(void *context); /* called on the loop's thread after a result */
	void *context;
};

/* Starts the thread. Returns NULL if memory is exhausted or the thread cannot be created. */
struct ws_queue_model_thread *
ws_queue_model_thread_start(const struct ws_queue_model_thread_config *config);
/* Submits a measurement to the model. It replaces one that the thread has not started on yet. */
void ws_queue_model_thread_submit(struct ws_queue_model_thread *thread,
				  const struct ws_queue_measurement *measurement);
/* Waits until the thread has ended and frees it. `thread` may be NULL. */
void ws_queue_model_thread_stop(struct ws_queue_model_thread *thread);
#endif
