/*
 * Packs unmet demand into machines by first fit. Machines of the same kind with the same free
 * resources share a bin, so the cost depends on the number of different bins, not of machines.
 */
#include "../memory.h"
#include "autoscaler_internal.h"

#define INITIAL_BIN_CAPACITY 64
/* Upper bound on the rounding error of a sum of CPUs. */
#define CPU_TOLERANCE 1e-9

void ws_packing_add_bin(struct ws_packing *packing, const struct ws_bin *bin)
{
	/* A copy, because the bin may be in the array that is reallocated. */
	const struct ws_bin added = *bin;

	if (packing->bin_count == packing->bin_capacity) {
		packing->bin_capacity =
		    packing->bin_capacity ? 2 * packing->bin_capacity : INITIAL_BIN_CAPACITY;
		packing->bins =
		    ws_resize(packing->bins, packing->bin_capacity, sizeof(*packing->bins));
	}
	packing->bins[packing->bin_count++] = added;
}

struct ws_bin ws_bin_of_empty(const struct ws_machine_kind *kind, uint32_t machine_count)
{
	return (struct ws_bin){
	    .kind = *kind, .machine_count = machine_count, .free = ws_type_capacity(kind->type)};
}

static bool ws_kinds_are_equal(const struct ws_machine_kind *left,
			       const struct ws_machine_kind *right)
{
	return left->type == right->type && left->zone_index == right->zone_index &&
	       left->preemptible == right->preemptible;
}

void ws_packing_add_machines(struct ws_core *core, struct ws_packing *packing,
			     const struct ws_machine_kind *kind, uint32_t machine_count)
{
	struct ws_bin bin;

	if (kind->zone_index >= 0)
		packing->machine_counts[kind->type - core->catalog.types][kind->zone_index] +=
		    machine_count;
	for (int i = 0; i < packing->bin_count; i++)
		if (ws_kinds_are_equal(&packing->bins[i].kind, kind)) {
			packing->bins[i].machine_count += machine_count;
			return;
		}
	bin = ws_bin_of_empty(kind, machine_count);
	ws_packing_add_bin(packing, &bin);
}

uint32_t ws_bin_tasks_fit(const struct ws_core *core, const struct ws_bin *bin,
			  const struct ws_unmet_demand *demand)
{
	const struct ws_job_spec *spec = &demand->job->spec;
	const struct ws_machine_kind *kind = &bin->kind;

	if (!bin->machine_count || bin->free.cpus + CPU_TOLERANCE < spec->cpus)
		return 0;
	if (kind->preemptible && !spec->allows_preemptible)
		return 0;
	if (kind->zone_index < 0 || !(demand->zones >> kind->zone_index & 1))
		return 0;
	if (!(demand->job->eligible_types >> (kind->type - core->catalog.types) & 1))
		return 0;
	return ws_tasks_fit(&demand->job->task_capacity, &bin->free, demand->tasks);
}

/* Places tasks on some machines of a bin. If these are not all of its machines, they are split off
 * into a new bin. Returns the number of tasks placed. */
static uint32_t ws_packing_fill(struct ws_packing *packing, int index,
				const struct ws_capacity *task, uint32_t machine_count,
				uint32_t tasks_each)
{
	struct ws_bin *bin = &packing->bins[index];

	if (machine_count < bin->machine_count) {
		struct ws_bin part = *bin;

		part.machine_count = machine_count;
		bin->machine_count -= machine_count;
		ws_packing_add_bin(packing, &part);
		bin = &packing->bins[packing->bin_count - 1];
	}
	ws_capacity_add(&bin->free, task, -(double)tasks_each);
	return machine_count * tasks_each;
}

uint32_t ws_packing_place(const struct ws_core *core, struct ws_packing *packing, int index,
			  const struct ws_unmet_demand *demand, uint32_t tasks)
{
	const struct ws_capacity *task = &demand->job->task_capacity;
	const uint32_t machine_count = packing->bins[index].machine_count;
	const uint32_t fit = ws_bin_tasks_fit(core, &packing->bins[index], demand);
	uint32_t filled, placed = 0;

	if (!fit)
		return 0;
	filled = tasks / fit < machine_count ? tasks / fit : machine_count;
	if (filled)
		placed = ws_packing_fill(packing, index, task, filled, fit);
	/* unless all machines are filled, the remaining tasks fit on one */
	if (filled < machine_count && placed < tasks)
		placed += ws_packing_fill(packing, index, task, 1, tasks - placed);
	return placed;
}

void ws_packing_drop_full(struct ws_packing *packing)
{
	int left = 0;

	for (int i = 0; i < packing->bin_count; i++) {
		const struct ws_bin *bin = &packing->bins[i];

		if (bin->machine_count &&
		    bin->free.cpus + CPU_TOLERANCE >= packing->smallest_task_cpus)
			packing->bins[left++] = *bin;
	}
	packing->bin_count = left;
}

void ws_packing_clear(struct ws_packing *packing)
{
	free(packing->bins);
	packing->bins = NULL;
	packing->bin_count = packing->bin_capacity = 0;
}
