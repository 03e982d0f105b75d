#include "queue_model_thread.h"
#include "../core/autoscaler/queue_model.h"
#include "clock.h"
#include <stdlib.h>

struct ws_queue_model_thread {
	struct ws_queue_model_thread_config config;
	pthread_t thread;
	ev_async result_ready; /* wakes the event loop */
	/* `lock` protects the fields below; it is never held together with the core's lock */
	pthread_mutex_t lock;
	pthread_cond_t state_changed;
	struct ws_queue_measurement measurement;
	bool pending;  /* the thread has not started on `measurement` yet */
	bool stopping; /* the thread must end */
};

static void run_model(struct ws_queue_model_thread *thread,
		      const struct ws_queue_measurement *measurement)
{
	const struct ws_queue_model_thread_config *config = &thread->config;
	struct ws_queue_solution solution = {0};
	int limit = ws_queue_find_limit(measurement, &solution);

	pthread_mutex_lock(config->core_lock);
	ws_core_set_scale_out_limit(config->core, ws_now(), limit, solution.mean_scaled_out,
				    solution.mean_wait_s);
	pthread_mutex_unlock(config->core_lock);
	ev_async_send(config->loop, &thread->result_ready);
}

static void *thread_main(void *context)
{
	struct ws_queue_model_thread *thread = context;

	pthread_mutex_lock(&thread->lock);
	for (;;) {
		struct ws_queue_measurement measurement;

		while (!thread->pending && !thread->stopping)
			pthread_cond_wait(&thread->state_changed, &thread->lock);
		if (thread->stopping)
			break;
		thread->pending = false;
		measurement = thread->measurement;
		pthread_mutex_unlock(&thread->lock);
		run_model(thread, &measurement);
		pthread_mutex_lock(&thread->lock);
	}
	pthread_mutex_unlock(&thread->lock);
	return NULL;
}

static void on_result_ready(struct ev_loop *loop, ev_async *watcher, int events)
{
	const struct ws_queue_model_thread *thread = watcher->data;

	(void)loop;
	(void)events;
	thread->config.on_result(thread->config.context);
}

struct ws_queue_model_thread *
ws_queue_model_thread_start(const struct ws_queue_model_thread_config *config)
{
	struct ws_queue_model_thread *thread = calloc(1, sizeof(*thread));

	if (!thread)
		return NULL;
	thread->config = *config;
	pthread_mutex_init(&thread->lock, NULL);
	pthread_cond_init(&thread->state_changed, NULL);
	ev_async_init(&thread->result_ready, on_result_ready);
	thread->result_ready.data = thread;
	ev_async_start(config->loop, &thread->result_ready);
	if (pthread_create(&thread->thread, NULL, thread_main, thread)) {
		ev_async_stop(config->loop, &thread->result_ready);
		free(thread);
		return NULL;
	}
	return thread;
}

void ws_queue_model_thread_submit(struct ws_queue_model_thread *thread,
				  const struct ws_queue_measurement *measurement)
{
	pthread_mutex_lock(&thread->lock);
	thread->measurement = *measurement;
	thread->pending = true;
	pthread_cond_signal(&thread->state_changed);
	pthread_mutex_unlock(&thread->lock);
}

void ws_queue_model_thread_stop(struct ws_queue_model_thread *thread)
{
	if (!thread)
		return;
	pthread_mutex_lock(&thread->lock);
	thread->stopping = true;
	pthread_cond_signal(&thread->state_changed);
	pthread_mutex_unlock(&thread->lock);
	pthread_join(thread->thread, NULL);
	ev_async_stop(thread->config.loop, &thread->result_ready);
	pthread_cond_destroy(&thread->state_changed);
	pthread_mutex_destroy(&thread->lock);
	free(thread);
}
