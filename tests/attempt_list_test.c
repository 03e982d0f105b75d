/*
 * The upper bound of the bytes that attempts take in a record, by which they are placed and
 * assigned to records: the encoded list is never larger, for any machines, attempts and order, and
 * also after attempts of the list are gone. Otherwise a record outgrows the store's limit and
 * cannot be written.
 */
#include "../src/core/core_state.h"
#include "../src/core/records/attempt_list.h"
#include "check.h"

#define LISTS 400
#define ATTEMPTS_MAX 300
#define MACHINES_MAX 60
#define ZONES 3

static uint64_t random_state = 1;

static unsigned draw(unsigned below)
{
	random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (unsigned)((random_state >> 33) % below);
}

struct drawn_list {
	struct ws_machine machines[MACHINES_MAX];
	struct ws_attempt attempts[ATTEMPTS_MAX];
	struct ws_attempt *listed[ATTEMPTS_MAX];
	size_t count, shared_prefix;
};

static void draw_machine(struct ws_machine *machine, unsigned index, bool share_prefix)
{
	static const char *const zones[ZONES] = {"a", "zone-b", "nyarugenge"};
	static const char *const prefixes[] = {"n-", "machine-of-another-name-", "x", "worker-"};

	snprintf(machine->name, sizeof(machine->name), "%s%0*u",
		 prefixes[share_prefix ? 0 : draw(4)], share_prefix ? 6 : 1, index);
	machine->zone_index = (int)draw(ZONES + 1) - 1;
	snprintf(machine->zone, sizeof(machine->zone), "%s",
		 machine->zone_index < 0 ? "" : zones[machine->zone_index]);
}

static size_t shared_prefix(const struct drawn_list *list, unsigned machines)
{
	const char *first = list->machines[0].name;
	size_t length = strlen(first) - 1;

	for (unsigned i = 1; i < machines; i++)
		length = ws_shared_name_prefix(first, length, list->machines[i].name);
	return length;
}

static void draw_list(struct drawn_list *list)
{
	unsigned machines = 1 + draw(MACHINES_MAX), run = 1 + draw(40);
	bool share_prefix = draw(2), scattered = draw(2);

	memset(list, 0, sizeof(*list));
	list->count = 1 + draw(ATTEMPTS_MAX);
	for (unsigned i = 0; i < machines; i++)
		draw_machine(&list->machines[i], i, share_prefix);
	list->shared_prefix = shared_prefix(list, machines);
	for (size_t i = 0; i < list->count; i++) {
		struct ws_attempt *attempt = &list->attempts[i];
		uint64_t term = 1 + draw(scattered ? 3 : 1);

		attempt->machine = &list->machines[scattered ? draw(machines) : i / run % machines];
		attempt->task = scattered ? draw(WS_MAX_TASKS) : (uint32_t)i;
		attempt->number = (term << WS_ATTEMPT_SHIFT) + draw(scattered ? 2000000 : 2);
		attempt->incarnation = draw(4) ? 1 : draw(1000000);
		list->listed[i] = attempt;
	}
}

static size_t bound(const struct drawn_list *list)
{
	size_t bytes = 0;

	for (size_t i = 0; i < list->count; i++)
		bytes += ws_attempt_list_growth(i ? list->listed[i - 1] : NULL, list->listed[i],
						list->shared_prefix);
	return bytes;
}

static size_t encoded_size(const struct drawn_list *list)
{
	struct ws_attempt_slice slice = {.attempts = list->listed, .count = list->count};
	json_t *value = ws_attempt_list_encode(&slice, ZONES);
	size_t bytes = ws_record_size(value);

	json_decref(value);
	return bytes - 2; /* without the brackets of the list */
}

/* Removes a drawn part of the attempts and keeps the order of the others. */
static void remove_attempts(struct drawn_list *list)
{
	unsigned percent = draw(100);
	size_t kept = 0;

	for (size_t i = 0; i < list->count; i++)
		if (draw(100) >= percent)
			list->listed[kept++] = list->listed[i];
	list->count = kept;
}

int main(void)
{
	struct drawn_list *list = calloc(1, sizeof(*list));
	bool whole = list != NULL, after_removal = true;

	for (int i = 0; list && i < LISTS; i++) {
		size_t limit;

		draw_list(list);
		limit = bound(list);
		whole &= encoded_size(list) <= limit;
		remove_attempts(list);
		after_removal &= encoded_size(list) <= limit;
	}
	check("an encoded list is not larger than its bound", whole);
	check("it is not larger after attempts of it are gone", after_removal);
	free(list);
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
