/* Faults of the loopback cluster: messages that are held back and arrive late. */
#include "loopback_parts.h"
#include <math.h>

/* Of a leader, from its election on. */
#define FIRST_MOMENTS_S 0.3

struct loopback_faults loopback_faults;

struct held_message {
	double due_at;
	loopback_deliver_fn deliver;
	struct loopback_message message; /* owns its texts */
	struct held_message *next;
};
static struct held_message *held;

double loopback_random(void)
{
	return drand48();
}

bool loopback_befalls(double share)
{
	return share > 0 && loopback_random() < share;
}

void loopback_hold(const struct loopback_message *message, double seconds,
		   loopback_deliver_fn deliver)
{
	struct held_message *copy = calloc(1, sizeof(*copy));

	copy->due_at = ws_now() + seconds;
	copy->deliver = deliver;
	copy->message = *message;
	copy->message.method = strdup(message->method ? message->method : "");
	copy->message.path = strdup(message->path ? message->path : "");
	copy->message.body = strndup(message->body ? message->body : "", message->length);
	copy->next = held;
	held = copy;
}

void loopback_hold_for_leader(const struct loopback_message *message, loopback_deliver_fn deliver)
{
	loopback_hold(message, INFINITY, deliver);
}

void loopback_leader_began(void)
{
	for (struct held_message *message = held; message; message = message->next)
		if (isinf(message->due_at))
			message->due_at = ws_now() + FIRST_MOMENTS_S * loopback_random();
}

static void held_free(struct held_message *message)
{
	free((char *)message->message.method);
	free((char *)message->message.path);
	free((char *)message->message.body);
	free(message);
}

/* Takes out one that is due; NULL: none is. */
static struct held_message *take_due(void)
{
	for (struct held_message **link = &held; *link; link = &(*link)->next)
		if ((*link)->due_at <= ws_now()) {
			struct held_message *due = *link;

			*link = due->next;
			return due;
		}
	return NULL;
}

void loopback_held_step(void)
{
	struct held_message *due;

	while ((due = take_due())) {
		due->deliver(&due->message);
		held_free(due);
	}
}

void loopback_held_drop(void)
{
	while (held) {
		struct held_message *next = held->next;

		held_free(held);
		held = next;
	}
}
