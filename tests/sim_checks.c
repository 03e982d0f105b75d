/* The rules about what runs, and what scenarios expect. */
#include "sim_parts.h"

struct sim_job *sim_job_of(struct sim *sim, const char *id)
{
	struct sim_job *job;

	HASH_FIND(hh, sim->by_id, id, strlen(id), job);
	return job;
}

bool sim_on_machine(const struct sim_task *task)
{
	return task->state == WS_TASK_RUNNING || task->state == WS_TASK_SAVING ||
	       task->state == WS_TASK_WAITING;
}

void sim_check_start(struct sim *sim, struct sim_worker *worker, struct sim_task *task)
{
	struct sim_job *job = sim_job_of(sim, task->job);
	uint32_t in_zone = 0, other_zone = 0;

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++) {
			struct sim_task *other_task = &sim->workers[i].tasks[k];

			if (other_task == task || sim->workers[i].dead || sim->workers[i].deleted ||
			    !sim_on_machine(other_task) || strcmp(other_task->job, task->job))
				continue;
			if (other_task->task == task->task)
				sim_fail(sim, "ran_twice: %s/%u starts on %s while on %s",
					 task->job, task->task, worker->name, sim->workers[i].name);
			if (job && job->spec.gang && other_task->attempt != task->attempt)
				sim_fail(sim, "%s/%u: a start beside another attempt of its gang",
					 task->job, task->task);
			if (strcmp(sim->workers[i].zone, worker->zone))
				other_zone++;
			else
				in_zone++;
		}
	if (!job)
		return;
	if (job->spec.one_zone && other_zone)
		sim_fail(sim, "wrong_place: %s/%u in zone %s", task->job, task->task, worker->zone);
	if (job->spec.spread && in_zone + 1 > (job->spec.tasks + 1) / 2)
		sim_fail(sim, "wrong_place: %s/%u makes %u in zone %s", task->job, task->task,
			 in_zone + 1, worker->zone);
	if (job->spec.zone[0] && strcmp(job->spec.zone, worker->zone))
		sim_fail(sim, "wrong_place: %s/%u in zone %s", task->job, task->task, worker->zone);
	if (worker->preemptible && !job->spec.allows_preemptible)
		sim_fail(sim, "wrong_place: %s/%u on a spot machine", task->job, task->task);
	if (!ws_machine_type_fits(&sim->types[worker->type].type, &job->spec))
		sim_fail(sim, "wrong_place: %s/%u on type %s", task->job, task->task,
			 sim->types[worker->type].type.name);
	if (job->told_cancelled > 0 && sim->now > job->told_cancelled + sim->cancel_s)
		sim_fail(sim, "ran_cancelled: %s/%u starts on %s", task->job, task->task,
			 worker->name);
	sim->starts++;
	sim_domains_started(sim, job, task->task);
	sim_cold_start_started(sim, job, task->task);
	if (!job->started_at)
		job->started_at = sim->now;
}

int sim_running(struct sim *sim, const char *id)
{
	int n = 0;

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++)
			n += !sim->workers[i].dead && !sim->workers[i].deleted &&
			     sim_on_machine(&sim->workers[i].tasks[k]) &&
			     !strcmp(sim->workers[i].tasks[k].job, id);
	return n;
}

bool sim_compare(double number, const char *operator, const char * text)
{
	if (!operator|| !text)
		return false;
	return !strcmp(operator, "=")	 ? number == atof(text)
	       : !strcmp(operator, ">=") ? number >= atof(text)
					 : number <= atof(text);
}

/* The leader's core, to be looked into: one of this version; else NULL, and the play fails. */
static const struct ws_core *leading_core(struct sim *sim)
{
	int leader = sim_leader(sim);

	if (leader < 0) {
		sim_fail(sim, "nobody leads");
		return NULL;
	}
	if (sim->nodes[leader].version != &sim_this_version) {
		sim_fail(sim, "node %d leads, which is of the version in production", leader);
		return NULL;
	}
	return sim->nodes[leader].core;
}

void sim_expect(struct sim *sim, char *text)
{
	const char *what = sim_word(&text), *first = sim_word(&text), *second = sim_word(&text),
		   *third = sim_word(&text);
	struct sim_job *job = first ? sim_job_of(sim, first) : NULL;
	const struct ws_core *core;
	int n = 0, m = 0, i;

	if (!what)
		return;
	if (!strcmp(what, "done")) {
		if (!job || !job->done)
			sim_fail(sim, "%s is not done (%u tasks are)", first,
				 job ? job->completed : 0);
	} else if (!strcmp(what, "cancelled")) {
		if (!job || !job->cancelled || sim_running(sim, first))
			sim_fail(sim, "%s is not cancelled, %d run", first,
				 sim_running(sim, first));
	} else if (!strcmp(what, "status")) {
		if (!job || job->status != atoi(second))
			sim_fail(sim, "%s was answered %d", first, job ? job->status : 0);
	} else if (!strcmp(what, "running") || !strcmp(what, "rented") || !strcmp(what, "held") ||
		   !strcmp(what, "returned") || !strcmp(what, "finishes") ||
		   !strcmp(what, "failures")) {
		const char *op = first, *num = second;

		if (!strcmp(what, "running") || !strcmp(what, "finishes")) {
			op = second;
			num = third;
			n = !strcmp(what, "running") ? sim_running(sim, first)
			    : job		     ? job->finishes
						     : 0;
		} else if (!strcmp(what, "rented")) {
			n = sim->rented;
		} else if (!strcmp(what, "returned")) {
			n = sim->returned;
		} else if (!strcmp(what, "failures")) {
			n = sim->failures;
		} else {
			for (int i = 0; i < sim->worker_count; i++)
				n += !sim->workers[i].owned && !sim->workers[i].deleted;
		}
		m = num ? atoi(num) : 0;
		if (!op || !num ||
		    !(!strcmp(op, "=")	  ? n == m
		      : !strcmp(op, ">=") ? n >= m
					  : n <= m))
			sim_fail(sim, "%s %s: %d, not %s %d", what, first, n, op, m);
	} else if (!strcmp(what, "alone") || !strcmp(what, "mates") || !strcmp(what, "saved") ||
		   !strcmp(what, "gang-runs") || !strcmp(what, "refused")) {
		n = !strcmp(what, "alone")	 ? sim->alone
		    : !strcmp(what, "mates")	 ? sim->mates
		    : !strcmp(what, "saved")	 ? sim->saved
		    : !strcmp(what, "gang-runs") ? sim->gang_runs
						 : sim->refused_writes;
		if (!first || !second ||
		    !(!strcmp(first, "=")    ? n == atoi(second)
		      : !strcmp(first, ">=") ? n >= atoi(second)
					     : n <= atoi(second)))
			sim_fail(sim, "%s: %d", what, n);
	} else if (!strcmp(what, "all-done")) {
		for (i = 0; i < sim->job_count; i++)
			if (!sim->jobs[i].done)
				sim_fail(sim, "%s is not done", sim->jobs[i].spec.id);
	} else if (!strcmp(what, "all-finished")) { /* arrays, that is */
		for (i = 0; i < sim->job_count; i++)
			if (!sim->jobs[i].done && !sim->jobs[i].spec.service)
				sim_fail(sim, "%s is not done", sim->jobs[i].spec.id);
	} else if (!strcmp(what, "all-answered")) { /* within so many seconds */
		for (i = 0; i < sim->job_count; i++)
			if (sim->jobs[i].accepted &&
			    sim->now - sim->jobs[i].answered_at > atof(first))
				sim_fail(sim, "forgotten: no answer about %s for %.0f s",
					 sim->jobs[i].spec.id, sim->now - sim->jobs[i].answered_at);
	} else if (!strcmp(what, "gone")) {
		for (i = 0; i < sim->worker_count; i++)
			if (!strcmp(sim->workers[i].name, first) && !sim->workers[i].deleted)
				sim_fail(sim, "%s is still there", first);
	} else if (!strcmp(what, "healthy-nodes")) {
		for (i = 0; i < sim->node_count; i++)
			n +=
			    sim->nodes[i].is_up && sim->nodes[i].version->ready(sim->nodes[i].core);
		if (n != atoi(first))
			sim_fail(sim, "%d healthy nodes", n);
	} else if (!strcmp(what, "elections")) { /* how often the leader's key was written */
		for (size_t h = 0; h < sim->history_count; h++)
			n += !strcmp(sim->history[h].key, "leader") && sim->history[h].value;
		if (n != atoi(first))
			sim_fail(sim, "%d elections", n);
	} else if (!strcmp(what, "live-jobs")) { /* that the leader keeps in memory */
		core = leading_core(sim);
		n = core ? (int)HASH_COUNT(core->jobs.by_id) : -1;
		if (n < 0 || n > atoi(first))
			sim_fail(sim, "the leader keeps %d jobs", n);
	} else if (!strcmp(what, "leader")) {
		if (sim_leader(sim) < 0)
			sim_fail(sim, "nobody leads");
	} else if (!strcmp(what, "healthy") || !strcmp(what, "unhealthy")) {
		i = atoi(first) % sim->node_count;
		if (!sim->nodes[i].is_up ||
		    sim->nodes[i].version->ready(sim->nodes[i].core) != !strcmp(what, "healthy"))
			sim_fail(sim, "node %d: not %s", i, what);
	} else if (!strcmp(what, "per-pass")) { /* steps of the longest pass of this leader */
		core = leading_core(sim);
		if (core && core->scheduler.longest_pass_steps > (uint64_t)atoll(second))
			sim_fail(sim, "a pass took %llu steps",
				 (unsigned long long)core->scheduler.longest_pass_steps);
	} else if (!strcmp(what, "per-start") || !strcmp(what, "per-poll")) {
		/* of changes, of commands or of steps in placement; of requests */
		double of = !strcmp(what, "per-poll") ? (double)sim->polls : (double)sim->starts,
		       v = 0;

		if (!strcmp(first, "requests"))
			v = (double)sim->asked;
		else if (!strcmp(first, "changes"))
			v = (double)sim->changes;
		else if (!strcmp(first, "commands"))
			v = (double)sim->commands;
		else if (!strcmp(first, "watched"))
			v = (double)sim->watched;
		else if (!strcmp(first, "bytes-watched"))
			v = (double)sim->watched_size;
		else if (!strcmp(first, "bytes-written"))
			v = (double)sim->written_size;
		else if (!(core = leading_core(sim)))
			return; /* said there */
		else if (!strcmp(first, "idle-looks"))
			v = (double)core->writer.empty_passes;
		else if (!strcmp(first, "machines"))
			v = (double)core->fleet.sweep_steps;
		else
			v = (double)core->scheduler.steps;
		if (!of || v / of > atof(second))
			sim_fail(sim, "%.3f %s %s", of ? v / of : -1, first, what);
	} else if (!strcmp(what, "started-within")) { /* job seconds */
		if (!job || !job->started_at || job->started_at - job->submit_at > atof(second))
			sim_fail(sim, "%s began after %.1f s", first,
				 job && job->started_at ? job->started_at - job->submit_at : -1.0);
	} else if (!strcmp(what, "leader-version")) {
		if (sim_leader(sim) < 0 || (sim->nodes[sim_leader(sim)].version ==
					    &sim_this_version) != !strcmp(first, "new"))
			sim_fail(sim, "node %d leads", sim_leader(sim));
	} else if (!strcmp(what, "value-of")) { /* KEY <= BYTES; 0: there is none */
		struct sim_entry *entry;

		HASH_FIND_STR(sim->entries, first, entry);
		n = entry ? (int)json_dumpb(entry->value, NULL, 0, JSON_COMPACT) : 0;
		if (!(!strcmp(second, ">=")  ? n >= atoi(third)
		      : !strcmp(second, "=") ? n == atoi(third)
					     : n <= atoi(third)))
			sim_fail(sim, "%s has %d bytes", first, n);
	} else if (!strcmp(what, "no-leader")) {
		if (sim_leader(sim) >= 0)
			sim_fail(sim, "node %d leads", sim_leader(sim));
	} else if (!strcmp(what, "lost")) { /* tasks that were killed by their lease since start */
		for (int i = 0; i < sim->worker_count; i++)
			n += sim->workers[i].is_up && sim->workers[i].incarnation > 1;
		if (n > atoi(first))
			sim_fail(sim, "%d machines lost their lease", n);
	} else if (!sim_domains_expect(sim, what, first, second, third) &&
		   !sim_cold_start_expect(sim, what, first, second, third)) {
		sim_fail(sim, "expect %s?", what);
	}
}

void sim_check_quota(struct sim *sim)
{
	double used[16] = {0};

	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->workers[i].task_count; k++) {
			struct sim_job *job = sim_job_of(sim, sim->workers[i].tasks[k].job);

			if (sim->workers[i].dead || sim->workers[i].deleted ||
			    !sim_on_machine(&sim->workers[i].tasks[k]) || !job)
				continue;
			if (job->told_cancelled > 0 &&
			    sim->now > job->told_cancelled + sim->cancel_s)
				sim_fail(sim, "ran_cancelled: %s is on %s", job->spec.id,
					 sim->workers[i].name);
			for (int t = 0; t < sim->team_count; t++)
				if (!strcmp(sim->teams[t].name, job->spec.team))
					used[t] += job->spec.cpus;
		}
	for (int t = 0; t < sim->team_count; t++)
		if (used[t] > sim->teams[t].cpus_max + 1e-9)
			sim_fail(sim, "quota: %s uses %.1f", sim->teams[t].name, used[t]);
}
