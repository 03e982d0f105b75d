/* Workers: reports, commands, leases, gangs. */
#include "sim_parts.h"

void sim_worker_changed(struct sim_worker *worker, double now)
{
	if (worker->next_heartbeat_at > now + 0.5)
		worker->next_heartbeat_at = now + 0.5;
}

static void worker_orders(struct sim *sim, struct sim_worker *worker,
			  const struct ws_command *command, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct sim_task *task = NULL, *same = NULL;
		struct sim_job *job = sim_job_of(sim, command[i].job);

		for (int k = 0; k < worker->task_count; k++) {
			if (strcmp(worker->tasks[k].job, command[i].job) ||
			    worker->tasks[k].task != command[i].task)
				continue;
			if (worker->tasks[k].attempt == command[i].attempt)
				task = &worker->tasks[k];
			else if (worker->tasks[k].state != WS_TASK_EXITED)
				same = &worker->tasks[k];
		}
		sim_cold_start_order(sim, worker, &command[i], task);
		if (command[i].kind == WS_COMMAND_RUN && !task) {
			double cpus = 0, mem = 0;
			bool cached = false;

			if (worker->task_count == SIM_TASKS) {
				sim_fail(sim, "%s has too many tasks", worker->name);
				return;
			}
			for (int k = 0; k < worker->task_count; k++) {
				struct sim_job *other_job = sim_job_of(sim, worker->tasks[k].job);

				if (worker->tasks[k].state != WS_TASK_EXITED && other_job) {
					cpus += other_job->spec.cpus;
					mem += other_job->spec.mem_gb;
				}
			}
			task = &worker->tasks[worker->task_count++];
			memset(task, 0, sizeof(*task));
			strcpy(task->job, command[i].job);
			task->task = command[i].task;
			task->attempt = command[i].attempt;
			task->state = WS_TASK_EXITED;
			if (!job || !job->submitted)
				task->exit_reason = WS_EXIT_UNKNOWN;
			else if (same)
				task->exit_reason = WS_EXIT_BUSY;
			else if (cpus + job->spec.cpus >
				     sim->types[worker->type].type.cpus + 1e-9 ||
				 mem + job->spec.mem_gb >
				     sim->types[worker->type].type.mem_gb + 1e-9)
				task->exit_reason = WS_EXIT_FULL;
			else {
				for (int k = 0; k < worker->image_count; k++)
					cached |= !strcmp(worker->images[k], job->spec.image);
				task->state = WS_TASK_FETCHING;
				task->seconds_left = cached ? 0 : job->spec.image_gb / 0.5;
			}
			sim_worker_changed(worker, sim->now);
		} else if (command[i].kind == WS_COMMAND_STOP && task && job && job->spec.gang &&
			   (task->state == WS_TASK_RUNNING || task->state == WS_TASK_SAVING) &&
			   command[i].grace_s >= job->spec.save_s && job->spec.checkpoint_s > 0) {
			if (task->state == WS_TASK_RUNNING)
				task->stopped_at = sim->now;
			task->state = WS_TASK_SAVING;
			sim_worker_changed(worker, sim->now);
		} else if (command[i].kind == WS_COMMAND_STOP && task &&
			   task->state != WS_TASK_EXITED) {
			task->state = WS_TASK_EXITED;
			task->exit_reason = WS_EXIT_STOPPED;
			sim_worker_changed(worker, sim->now);
		} else if (command[i].kind == WS_COMMAND_REAP && task &&
			   task->state == WS_TASK_EXITED) {
			*task = worker->tasks[--worker->task_count];
			sim_worker_changed(worker, sim->now);
		}
	}
}

/* The number of the worker at an address, see sim_worker_report(). */
int sim_worker_at(const char *host)
{
	int high = 0, low = 0;

	sscanf(host, "10.1.%d.%d", &high, &low);
	return high * 250 + low - 1;
}

void sim_worker_report(struct sim_worker *worker, struct ws_heartbeat *heartbeat, struct sim *sim)
{
	memset(heartbeat, 0, sizeof(*heartbeat));
	strcpy(heartbeat->machine, worker->name);
	snprintf(heartbeat->address, sizeof(heartbeat->address), "10.1.%d.%d",
		 (int)(worker - sim->workers) / 250, (int)(worker - sim->workers) % 250 + 1);
	heartbeat->port = 9000;
	strcpy(heartbeat->type, sim->types[worker->type].type.name);
	strcpy(heartbeat->zone, worker->zone);
	heartbeat->preemptible = worker->preemptible;
	heartbeat->incarnation = worker->incarnation;
	heartbeat->sequence = ++worker->sequence;
	heartbeat->fencing_token = worker->fencing_token;
	heartbeat->preemption_notice_s =
	    worker->preemption_notice_at > 0 && sim->now >= worker->preemption_notice_at
		? worker->preempted_at - sim->now
		: -1;
	heartbeat->tasks = calloc(2 * (size_t)SIM_TASKS, sizeof(*heartbeat->tasks));
	for (int k = 0; k < worker->task_count * (sim->stutter ? 2 : 1); k++) {
		int i = k % worker->task_count;
		struct ws_task_status *status = &heartbeat->tasks[heartbeat->task_count++];

		strcpy(status->job, worker->tasks[i].job);
		status->task = worker->tasks[i].task;
		status->attempt = worker->tasks[i].attempt;
		status->state = worker->tasks[i].state;
		status->exit_reason = worker->tasks[i].exit_reason;
	}
}

bool sim_worker_live(const struct sim *sim, const struct sim_worker *worker)
{
	return worker->is_up && !worker->dead && !worker->deleted && sim->now >= worker->hang_until;
}

/* A direct command reaches the worker; the answer is its heartbeat. */
int sim_worker_command(struct sim *sim, struct sim_worker *worker, uint64_t epoch, uint64_t tenure,
		       const struct ws_command *command, size_t count,
		       struct ws_heartbeat *heartbeat)
{
	int status = 200;

	if (epoch < worker->fencing_token || tenure != worker->incarnation) {
		status = 409;
	} else {
		if (epoch > worker->fencing_token) {
			worker->fencing_token = epoch;
			sim_worker_changed(worker, sim->now);
		}
		worker_orders(sim, worker, command, count);
	}
	if (heartbeat)
		sim_worker_report(worker, heartbeat, sim);
	return status;
}

/* Whether node and machine can't reach each other now. */
bool sim_apart(const struct sim *sim, const struct sim_worker *worker, const struct sim_node *node)
{
	return sim->now < worker->cut_until || sim->now < node->cut_workers ||
	       sim->now < node->frozen ||
	       (sim->now < sim->zone_cut && strcmp(node->settings.zone, worker->zone)) ||
	       (sim->now < worker->pin_until && node != &sim->nodes[worker->pin - 1]);
}

static void task_finished(struct sim *sim, struct sim_job *job, const struct sim_task *task)
{
	job->finishes++;
	if (!job->task_done[task->task]) {
		job->task_done[task->task] = true;
		if (++job->completed == job->spec.tasks)
			sim_user_end(sim, job);
	}
}

static void gang_exit(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
		      enum ws_exit_reason why)
{
	task->state = WS_TASK_EXITED;
	task->exit_reason = why;
	sim->alone += why == WS_EXIT_GANG_INCOMPLETE;
	sim->mates += why == WS_EXIT_MEMBER_LOST;
	sim_worker_changed(worker, sim->now);
}

/*
 * One attempt of a gang, after the operators' page: its tasks wait for each other, run together,
 * save together when all are told in time, and end when one is gone.
 */
static void gang_step(struct sim *sim, struct sim_job *job, struct sim_gang *gang)
{
	struct {
		struct sim_worker *w;
		struct sim_task *t;
	} m[SIM_TASKS];
	uint32_t n = 0, waiting = 0, on = 0, told = 0;
	double first = 1e18, last = 0, ck = job->spec.checkpoint_s;
	bool hung = false;

	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		for (int k = 0;
		     !worker->dead && !worker->deleted && worker->is_up && k < worker->task_count;
		     k++) {
			struct sim_task *task = &worker->tasks[k];

			if (task->attempt != gang->attempt || task->state == WS_TASK_EXITED ||
			    strcmp(task->job, job->spec.id) || n == SIM_TASKS)
				continue;
			m[n].w = worker;
			m[n++].t = task;
			hung |= sim->now < worker->hang_until;
			waiting += task->state == WS_TASK_WAITING;
			on += task->state == WS_TASK_RUNNING || task->state == WS_TASK_SAVING;
			if (task->state == WS_TASK_SAVING) {
				told++;
				first = fmin(first, task->stopped_at);
				last = fmax(last, task->stopped_at);
			}
		}
	}
	if (!gang->running && waiting == job->spec.tasks && !hung) {
		gang->running = true;
		gang->progress = job->progress_saved;
		sim->gang_runs++;
		for (uint32_t i = 0; i < n; i++) {
			m[i].t->state = WS_TASK_RUNNING;
			sim_worker_changed(m[i].w, sim->now);
		}
		return;
	}
	for (uint32_t i = 0; i < n; i++)
		if (m[i].t->state == WS_TASK_WAITING && sim->now >= m[i].w->hang_until &&
		    sim->now - m[i].t->waiting_since > sim->gang_wait)
			gang_exit(sim, m[i].w, m[i].t, WS_EXIT_GANG_INCOMPLETE);
	if (!gang->running || !on)
		return;
	/* progress stops with the first stop, with a loss and with a hang */
	if (on < job->spec.tasks || hung) {
		if (!gang->lost_at)
			gang->lost_at = sim->now;
	} else {
		gang->lost_at = 0;
	}
	if (!told && !gang->lost_at)
		gang->progress += STEP;
	enum ws_exit_reason all = WS_EXIT_NONE;

	if (!told && !gang->lost_at && gang->progress >= job->run_s)
		all = WS_EXIT_DONE;
	else if (told == job->spec.tasks && !hung && sim->now >= last + job->spec.save_s)
		all = WS_EXIT_STOPPED;
	else if ((gang->lost_at && sim->now > gang->lost_at + sim->gang_peer * 0.8) ||
		 (told && told < on && sim->now > first + sim->gang_peer))
		all = WS_EXIT_MEMBER_LOST;
	if (all == WS_EXIT_NONE)
		return;
	if (all == WS_EXIT_STOPPED) { /* safe with the first that exits */
		job->progress_saved = gang->progress;
		sim->saved++;
	} else if (ck > 0) {
		job->progress_saved = fmax(job->progress_saved, floor(gang->progress / ck) * ck);
	}
	for (uint32_t i = 0; i < n; i++) {
		if (sim->now < m[i].w->hang_until || m[i].t->state == WS_TASK_WAITING ||
		    m[i].t->state == WS_TASK_FETCHING)
			continue;
		if (all == WS_EXIT_DONE)
			task_finished(sim, job, m[i].t);
		gang_exit(sim, m[i].w, m[i].t, all);
	}
}

void sim_gangs_step(struct sim *sim)
{
	for (int i = 0; i < sim->job_count; i++)
		for (int k = 0; k < sim->jobs[i].gang_count; k++)
			gang_step(sim, &sim->jobs[i], &sim->jobs[i].gangs[k]);
}

/* A run of a gang's task began: its attempt is followed from now on. */
static void gang_known(struct sim *sim, struct sim_job *job, uint64_t attempt)
{
	for (int i = 0; i < job->gang_count; i++)
		if (job->gangs[i].attempt == attempt)
			return;
	if (job->gang_count == SIM_GANGS)
		sim_fail(sim, "%s began too often", job->spec.id);
	else
		job->gangs[job->gang_count++].attempt = attempt;
}

void sim_worker_step(struct sim *sim, struct sim_worker *worker)
{
	if (worker->deleted || worker->dead)
		return;
	if (!worker->is_up) {
		if (!worker->never && sim->now >= worker->boots) {
			worker->is_up = true;
			worker->incarnation = 1;
			worker->answered_sent = sim->now;
			worker->next_heartbeat_at = sim->now;
			worker->node = (int)(sim_rnd(sim) * sim->node_count);
		}
		return;
	}
	if (worker->preempted_at > 0 && sim->now >= worker->preempted_at) {
		worker->deleted = true;
		worker->deleted_at = sim->now;
		return;
	}
	/* a hanging machine can go on only within its lease; past it, its tasks are no more */
	if (sim->now - worker->answered_sent > sim->lease && sim->now < worker->hang_until) {
		sim_cold_start_killed(sim, worker);
		worker->task_count = 0;
	}
	if (sim->now < worker->hang_until)
		return;
	if (sim->now - worker->answered_sent > sim->lease) {
		sim_cold_start_killed(sim, worker);
		worker->task_count = 0;
		worker->incarnation++;
		worker->answered_sent = sim->now;
		worker->next_heartbeat_at = sim->now;
		worker->waiting = false;
	}
	for (int i = 0; i < worker->task_count; i++) {
		struct sim_task *task = &worker->tasks[i];
		struct sim_job *job = sim_job_of(sim, task->job);

		if (task->state == WS_TASK_FETCHING) {
			task->seconds_left -= STEP;
			if (task->seconds_left > 0)
				continue;
			task->state = job->spec.gang ? WS_TASK_WAITING : WS_TASK_RUNNING;
			task->waiting_since = sim->now;
			if (job->spec.gang)
				gang_known(sim, job, task->attempt);
			task->seconds_left = job->run_s * (worker->slow ? 10 : 1);
			if (worker->image_count < 32)
				strcpy(worker->images[worker->image_count++], job->spec.image);
			sim_check_start(sim, worker, task);
			sim_worker_changed(worker, sim->now);
		} else if (task->state == WS_TASK_RUNNING &&
			   (!job->spec.gang || worker->failing || job->bad)) {
			task->seconds_left -= STEP;
			if (worker->failing || job->bad) {
				task->state = WS_TASK_EXITED;
				task->exit_reason = WS_EXIT_ERROR;
				sim->failures++;
				sim_worker_changed(worker, sim->now);
			} else if (!job->spec.service && task->seconds_left <= 0) {
				task->state = WS_TASK_EXITED;
				task->exit_reason = WS_EXIT_DONE;
				task_finished(sim, job, task);
				sim_worker_changed(worker, sim->now);
			}
		}
	}
	if (worker->waiting && sim->now - worker->sent_at > 4) {
		worker->waiting = false;
		worker->node = (worker->node + 1) % sim->node_count;
		worker->next_heartbeat_at = sim->now + 1;
	}
	if (!worker->waiting && sim->now >= worker->next_heartbeat_at) {
		struct sim_node *node = &sim->nodes[worker->node];
		struct ws_heartbeat heartbeat;

		worker->sent_at = sim->now;
		sim->reports++;
		worker->waiting = true;
		sim_worker_report(worker, &heartbeat, sim);
		worker->next_heartbeat_at = sim->now + sim->report * (0.75 + 0.5 * sim_rnd(sim));
		worker->heartbeat_id = (++sim->next_token << SIM_TOKEN_SHIFT) |
				       (uint64_t)(worker - sim->workers) | 1ULL << 62;
		if (sim_apart(sim, worker, node)) {
			double until =
			    fmax(fmax(worker->cut_until, worker->pin_until),
				 fmax(fmax(node->cut_workers, node->frozen), sim->zone_cut));
			struct sim_delayed_heartbeat *delayed = calloc(1, sizeof(*delayed)),
						     **delayed_link = &sim->delayed_heartbeats;

			delayed->due_at = until + STEP;
			delayed->node = worker->node;
			delayed->heartbeat = heartbeat;
			heartbeat.tasks = NULL;
			while (*delayed_link) /* delivered in order */
				delayed_link = &(*delayed_link)->next;
			*delayed_link = delayed;
		} else if (!node->is_up || sim->now < worker->mute_until) {
			worker->waiting = false;
			worker->node = (worker->node + 1) % sim->node_count;
			worker->next_heartbeat_at = sim->now + 1;
		} else {
			if (sim->copies_by > 0 && sim->now < sim->copies_until &&
			    sim_rnd(sim) < sim->copies_share) { /* and once more later */
				struct sim_delayed_heartbeat *other_delayed =
								 calloc(1, sizeof(*other_delayed)),
							     **p = &sim->delayed_heartbeats;

				other_delayed->due_at =
				    sim->now + sim->copies_by * (0.2 + 0.8 * sim_rnd(sim));
				other_delayed->node = (int)(sim_rnd(sim) * sim->node_count);
				if (sim->copies_for_next) { /* to all nodes, when one begins to lead
							     */
					other_delayed->due_at = 1e18;
					other_delayed->node = -1;
				}
				other_delayed->heartbeat = heartbeat;
				other_delayed->heartbeat.tasks =
				    calloc(2 * (size_t)SIM_TASKS, sizeof(*heartbeat.tasks));
				memcpy(other_delayed->heartbeat.tasks, heartbeat.tasks,
				       heartbeat.task_count * sizeof(*heartbeat.tasks));
				while (*p && (*p)->due_at <= other_delayed->due_at)
					p = &(*p)->next;
				other_delayed->next = *p;
				*p = other_delayed;
			}
			node->version->report(node->core, sim->now * (1 + node->skew),
					      worker->heartbeat_id, &heartbeat, false);
		}
		free(heartbeat.tasks);
	}
}

void sim_worker_answer(struct sim *sim, const struct ws_effect *effect)
{
	struct sim_worker *worker = &sim->workers[effect->request_id & (SIM_WORKERS - 1)];

	if (effect->request_id >> 60 == 1 || effect->request_id != worker->heartbeat_id ||
	    !worker->waiting || !sim_worker_live(sim, worker) || sim->now < worker->deaf_until ||
	    sim_apart(sim, worker, &sim->nodes[worker->node]))
		return;
	worker->waiting = false;
	if (effect->status == 200) {
		if (effect->fencing_token < worker->fencing_token)
			return;
		if (effect->fencing_token > worker->fencing_token) {
			worker->fencing_token = effect->fencing_token;
			sim_worker_changed(worker, sim->now);
		}
		worker->answered_sent = worker->sent_at;
		if (worker->answered_since <= sim->stop.stopped_at)
			worker->answered_since = sim->now;
		worker_orders(sim, worker, effect->commands, effect->command_count);
		return;
	}
	if (effect->status == 421 && effect->name[0])
		for (int i = 0; i < sim->node_count; i++)
			if (!strcmp(sim->nodes[i].settings.node, effect->name) &&
			    i != worker->node) {
				worker->node = i;
				worker->next_heartbeat_at = sim->now + 0.2;
				return;
			}
	worker->node = (worker->node + 1) % sim->node_count;
	worker->next_heartbeat_at = sim->now + 1;
}
