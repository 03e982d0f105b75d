/*
 * Sorts machines in first-fit order: owned machines, then rented preemptible ones, then other
 * rented ones, each by name. The more expensive machines come last, so that they become empty and
 * are scaled in.
 */
#include "../memory.h"
#include "pass.h"

static int ws_first_fit_compare(const void *left, const void *right)
{
	const struct ws_machine *first = *(struct ws_machine *const *)left;
	const struct ws_machine *second = *(struct ws_machine *const *)right;

	if (first->owned != second->owned)
		return first->owned ? -1 : 1;
	if (!first->owned && first->preemptible != second->preemptible)
		return first->preemptible ? -1 : 1;
	return strcmp(first->name, second->name);
}

/* Returns the length of the common prefix of all machine names, which is always shorter than the
 * shortest name. */
static size_t ws_shared_name_length(struct ws_machine *const *machines, size_t count)
{
	size_t shared = count ? strlen(machines[0]->name) - 1 : 0;

	for (size_t i = 1; i < count; i++)
		for (size_t k = 0; k < shared; k++)
			if (machines[i]->name[k] != machines[0]->name[k] ||
			    !machines[i]->name[k + 1])
				shared = k;
	return shared;
}

void ws_first_fit_order_update(struct ws_core *core)
{
	struct ws_fleet *fleet = &core->fleet;
	struct ws_machine *machine, *next_machine;

	if (!fleet->first_fit_stale)
		return;
	fleet->first_fit_count = 0;
	fleet->first_fit_order =
	    ws_resize(fleet->first_fit_order, (HASH_COUNT(fleet->machines) + 1),
		      sizeof(*fleet->first_fit_order));
	HASH_ITER (hh, fleet->machines, machine, next_machine)
		fleet->first_fit_order[fleet->first_fit_count++] = machine;
	qsort(fleet->first_fit_order, fleet->first_fit_count, sizeof(*fleet->first_fit_order),
	      ws_first_fit_compare);
	fleet->shared_name_length =
	    ws_shared_name_length(fleet->first_fit_order, fleet->first_fit_count);
	fleet->first_fit_stale = false;
}
