/* Timed actions: what befalls single machines. */
#include "sim_scenario.h"
#include "sim_workers.h"

#define UNRECORDED_ATTEMPT 7
#define NEVER_S 1e6

static int live_task_count(const struct sim_worker *worker)
{
	int count = 0;

	for (int i = 0; i < worker->task_count; i++)
		count += worker->tasks[i].state != WS_TASK_EXITED;
	return count;
}

/* The machine of this name; else the one with most tasks: of "rental" or "owned" ones, or of all.
 */
static struct sim_worker *named_machine(struct sim *sim, const char *name)
{
	struct sim_worker *busiest = NULL;

	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (!strcmp(name, worker->name))
			return worker;
		if (worker->deleted || worker->dead || !worker->is_up)
			continue;
		if (!strcmp(name, "rental") && worker->owned)
			continue;
		if (!strcmp(name, "owned") && !worker->owned)
			continue;
		if (!busiest || live_task_count(worker) > live_task_count(busiest))
			busiest = worker;
	}
	if (!busiest)
		sim_fail(sim, "no machine %s", name);
	return busiest;
}

/* ---- faults of a machine; span: how long they last, in seconds ---- */

typedef void (*machine_fault)(struct sim *sim, struct sim_worker *worker, double span);

/* To as many machines as times=N says, those with most tasks first. */
static void apply_fault(struct sim *sim, const struct sim_action *action, machine_fault fault)
{
	for (int times = (int)sim_option(action->text, "times", 1); times > 0; times--) {
		struct sim_worker *worker = named_machine(sim, action->name);

		if (!worker)
			return;
		fault(sim, worker, action->span);
	}
}

static void hang(struct sim *sim, struct sim_worker *worker, double span)
{
	worker->hang_until = sim->now + span;
}

static void pin(struct sim *sim, struct sim_worker *worker, double span)
{
	worker->pin = sim_leader(sim) + 1;
	worker->pin_until = sim->now + span;
}

static void reboot(struct sim *sim, struct sim_worker *worker, double span)
{
	(void)span;
	worker->task_count = 0;
	worker->image_count = 0;
	worker->sequence = 0;
	worker->fencing_token = 0;
	worker->incarnation = 1;
	worker->heartbeat_pending = false;
	worker->answered_sent = sim->now;
	worker->next_heartbeat_at = sim->now;
}

static void deafen(struct sim *sim, struct sim_worker *worker, double span)
{
	worker->deaf_until = sim->now + span;
}

static void mute(struct sim *sim, struct sim_worker *worker, double span)
{
	worker->mute_until = sim->now + span;
}

static void cut_off(struct sim *sim, struct sim_worker *worker, double span)
{
	worker->cut_until = sim->now + span;
}

static void kill_machine(struct sim *sim, struct sim_worker *worker, double span)
{
	(void)span;
	worker->dead = true;
	worker->died_at = sim->now;
}

static void fail_tasks(struct sim *sim, struct sim_worker *worker, double span)
{
	(void)sim;
	(void)span;
	worker->failing = true;
}

static void take_away(struct sim *sim, struct sim_worker *worker, double span)
{
	(void)span;
	worker->deleted = true;
	worker->deleted_at = sim->now;
}

static void give_preemption_notice(struct sim *sim, struct sim_worker *worker, double span)
{
	worker->preemption_notice_at = sim->now;
	worker->preempted_at = sim->now + span;
	sim_worker_expedite_heartbeat(worker, sim->now);
}

/* ---- actions: WORD MACHINE|rental|owned|any [times=N] [for=S] ---- */

/* hang: it stands still; its lease may run out meanwhile */
static void run_hang(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, hang);
}

/* pin: it reaches the node that leads now and no other */
static void run_pin(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, pin);
}

/* reboot: an empty worker under the same name */
static void run_reboot(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, reboot);
}

/* deaf: its heartbeats arrive, nothing reaches it */
static void run_deaf(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, deafen);
}

/* mute: it can't open connections, commands reach it */
static void run_mute(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, mute);
}

/* cut-machine: from the network */
static void run_cut_machine(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, cut_off);
}

/* die: it is gone, and the cloud lists it for a while */
static void run_die(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, kill_machine);
}

/* fail-tasks: from now on */
static void run_fail_tasks(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, fail_tasks);
}

/* take: the cloud deletes it */
static void run_take(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, take_away);
}

/* notice: it will be preempted at the end of the span */
static void run_notice(struct sim *sim, const struct sim_action *action)
{
	apply_fault(sim, action, give_preemption_notice);
}

/* foreign MACHINE job=ID: an attempt of the job's task 0 that nobody started runs there */
static void run_foreign(struct sim *sim, const struct sim_action *action)
{
	struct sim_worker *worker = named_machine(sim, action->name);
	struct sim_task *task;

	if (!worker)
		return;
	if (worker->task_count == SIM_TASKS) {
		sim_fail(sim, "no room on machine %s", action->name);
		return;
	}
	task = &worker->tasks[worker->task_count++];
	memset(task, 0, sizeof(*task));
	sim_option_text(action->text, "job", task->job, sizeof(task->job));
	task->attempt = UNRECORDED_ATTEMPT;
	task->state = WS_TASK_FETCHING;
	task->seconds_left = NEVER_S;
	sim_worker_expedite_heartbeat(worker, sim->now);
}

/* no-boot COUNT: so many instances never boot */
static void run_no_boot(struct sim *sim, const struct sim_action *action)
{
	sim->boot_failures = atoi(action->name);
}

/* instant-boot: instances are there at once */
static void run_instant_boot(struct sim *sim, const struct sim_action *action)
{
	(void)action;
	sim->instant_boot = true;
}

const struct sim_action_word sim_machine_actions[] = {
    {"cut-machine", run_cut_machine},
    {"deaf", run_deaf},
    {"die", run_die},
    {"fail-tasks", run_fail_tasks},
    {"foreign", run_foreign},
    {"hang", run_hang},
    {"instant-boot", run_instant_boot},
    {"mute", run_mute},
    {"no-boot", run_no_boot},
    {"notice", run_notice},
    {"pin", run_pin},
    {"reboot", run_reboot},
    {"take", run_take},
    {NULL, NULL},
};
