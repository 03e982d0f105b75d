/*
 * Delayed answers to heartbeats. This models an answer that is held up by a busy follower, which
 * forwarded the heartbeat, or in a socket. Direct commands use another connection and overtake it.
 */
#include "sim_workers.h"

static bool should_delay(struct sim *sim, const struct ws_effect *answer)
{
	return answer->answer == WS_ANSWER_OK && sim->now < sim->slow_answers_until &&
	       sim_random(sim) < sim->slow_answers_share;
}

static void copy_commands(struct ws_effect *copy, const struct ws_effect *answer)
{
	size_t bytes = answer->heartbeat.command_count * sizeof(*answer->heartbeat.commands);

	copy->heartbeat.commands = calloc(1, bytes + 1);
	if (bytes)
		memcpy(copy->heartbeat.commands, answer->heartbeat.commands, bytes);
}

bool sim_slow_answer_add(struct sim *sim, const struct ws_effect *answer)
{
	struct sim_slow_answer **link = &sim->slow_answers, *delayed;

	if (!should_delay(sim, answer))
		return false;
	delayed = calloc(1, sizeof(*delayed));
	delayed->due_at = sim->now + sim->slow_answer_delay_s;
	delayed->answer = *answer;
	delayed->answer.next = NULL;
	copy_commands(&delayed->answer, answer);
	while (*link) /* appended, so that answers are delivered in order */
		link = &(*link)->next;
	*link = delayed;
	return true;
}

static void delayed_free(struct sim_slow_answer *delayed)
{
	free(delayed->answer.heartbeat.commands);
	free(delayed);
}

void sim_slow_answers_deliver(struct sim *sim)
{
	struct sim_slow_answer **link = &sim->slow_answers, *delayed;

	while ((delayed = *link)) {
		if (delayed->due_at > sim->now) {
			link = &delayed->next;
			continue;
		}
		*link = delayed->next;
		sim_worker_receive_answer(sim, &delayed->answer);
		delayed_free(delayed);
	}
}

void sim_slow_answers_free(struct sim *sim)
{
	while (sim->slow_answers) {
		struct sim_slow_answer *delayed = sim->slow_answers;

		sim->slow_answers = delayed->next;
		delayed_free(delayed);
	}
}
