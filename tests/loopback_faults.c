/* Faults of the loopback cluster: messages that are delayed. */
#include "loopback_parts.h"
#include <math.h>

/* Messages held until an election are delivered within this time after it. */
#define AFTER_ELECTION_MAX_S 0.3

struct loopback_faults loopback_faults;

struct delayed_message {
	double due_at;
	loopback_deliver_fn deliver;
	struct loopback_message message; /* owns its strings */
	struct delayed_message *next;
};
static struct delayed_message *delayed_messages;

double loopback_random(void)
{
	return drand48();
}

bool loopback_fault_occurs(double share)
{
	return share > 0 && loopback_random() < share;
}

void loopback_delay_message(const struct loopback_message *message, double seconds,
			    loopback_deliver_fn deliver)
{
	struct delayed_message *copy = calloc(1, sizeof(*copy));

	copy->due_at = ws_now() + seconds;
	copy->deliver = deliver;
	copy->message = *message;
	copy->message.method = strdup(message->method ? message->method : "");
	copy->message.path = strdup(message->path ? message->path : "");
	copy->message.body = strndup(message->body ? message->body : "", message->length);
	copy->next = delayed_messages;
	delayed_messages = copy;
}

void loopback_delay_until_election(const struct loopback_message *message,
				   loopback_deliver_fn deliver)
{
	loopback_delay_message(message, INFINITY, deliver);
}

void loopback_leader_elected(void)
{
	for (struct delayed_message *message = delayed_messages; message; message = message->next)
		if (isinf(message->due_at))
			message->due_at = ws_now() + AFTER_ELECTION_MAX_S * loopback_random();
}

static void delayed_message_free(struct delayed_message *message)
{
	free((char *)message->message.method);
	free((char *)message->message.path);
	free((char *)message->message.body);
	free(message);
}

/* Removes a message that is due from the list. Returns NULL if none is due. */
static struct delayed_message *remove_due(void)
{
	for (struct delayed_message **link = &delayed_messages; *link; link = &(*link)->next)
		if ((*link)->due_at <= ws_now()) {
			struct delayed_message *due = *link;

			*link = due->next;
			return due;
		}
	return NULL;
}

void loopback_deliver_due(void)
{
	struct delayed_message *due;

	while ((due = remove_due())) {
		due->deliver(&due->message);
		delayed_message_free(due);
	}
}

void loopback_discard_delayed(void)
{
	while (delayed_messages) {
		struct delayed_message *next = delayed_messages->next;

		delayed_message_free(delayed_messages);
		delayed_messages = next;
	}
}
