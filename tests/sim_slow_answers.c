/*
 * Answers to heartbeats that are slow on their way: held by a busy follower that forwarded the
 * heartbeat, or in a socket. Direct commands, which take another connection, overtake them.
 */
#include "sim_workers.h"

static bool answer_is_slow(struct sim *sim, const struct ws_effect *answer)
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
	struct sim_slow_answer **link = &sim->slow_answers, *slow;

	if (!answer_is_slow(sim, answer))
		return false;
	slow = calloc(1, sizeof(*slow));
	slow->due_at = sim->now + sim->slow_answers_by_s;
	slow->answer = *answer;
	slow->answer.next = NULL;
	copy_commands(&slow->answer, answer);
	while (*link) /* delivered in order */
		link = &(*link)->next;
	*link = slow;
	return true;
}

static void slow_answer_free(struct sim_slow_answer *slow)
{
	free(slow->answer.heartbeat.commands);
	free(slow);
}

void sim_slow_answers_deliver(struct sim *sim)
{
	struct sim_slow_answer **link = &sim->slow_answers, *slow;

	while ((slow = *link)) {
		if (slow->due_at > sim->now) {
			link = &slow->next;
			continue;
		}
		*link = slow->next;
		sim_worker_receive_answer(sim, &slow->answer);
		slow_answer_free(slow);
	}
}

void sim_slow_answers_free(struct sim *sim)
{
	while (sim->slow_answers) {
		struct sim_slow_answer *slow = sim->slow_answers;

		sim->slow_answers = slow->next;
		slow_answer_free(slow);
	}
}
