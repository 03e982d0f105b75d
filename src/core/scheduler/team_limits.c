/*
 * Enforces the resource limits of teams and logs their usage.
 *
 * A team's usage counts all of its live attempts. In addition, capacity within its limit is
 * reserved for attempts of unknown teams and for the team's waiting gangs.
 */
#include "pass.h"

/* Fraction of its CPU limit above which a team's usage is logged when its tasks are placed. */
#define WS_NEAR_LIMIT_FRACTION 0.9

uint32_t ws_tasks_within_team_limit(const struct ws_job *job)
{
	const struct ws_team *team = job->team;
	const struct ws_job_spec *spec = &job->spec;
	double tasks = job->waiting;

	if (spec->cpus > 0)
		tasks = fmin(tasks, floor((team->settings->cpus_max + WS_CAPACITY_TOLERANCE -
					   team->used_cpus - team->reserved_cpus) /
					  spec->cpus));
	if (spec->gpus > 0)
		tasks = fmin(tasks, floor((team->settings->gpus_max + WS_CAPACITY_TOLERANCE -
					   team->used_gpus - team->reserved_gpus) /
					  spec->gpus));
	return tasks > 0 ? (uint32_t)tasks : 0;
}

void ws_report_team_limit(struct ws_core *core, struct ws_job *job)
{
	ws_event_count(core, WS_EVENT_AT_TEAM_LIMIT);
	ws_log_wait_reason(core, job, "team limit reached");
}

void ws_log_team_near_limit(struct ws_core *core, const struct ws_job *job)
{
	const struct ws_team *team = job->team;

	if (team->used_cpus + team->reserved_cpus >
	    WS_NEAR_LIMIT_FRACTION * team->settings->cpus_max)
		ws_log(core, WS_LOG_DEBUG,
		       "team near limit team=%s job=%s used_cpus=%.2f reserved_cpus=%.2f "
		       "limit_cpus=%.2f used_gpus=%.2f limit_gpus=%.2f",
		       team->settings->name, job->spec.id, team->used_cpus, team->reserved_cpus,
		       team->settings->cpus_max, team->used_gpus, team->settings->gpus_max);
}

void ws_log_unknown_team_reserve(struct ws_core *core, double reserved_cpus)
{
	struct ws_scheduler *scheduler = &core->scheduler;

	if (reserved_cpus == scheduler->unknown_team_cpus_logged ||
	    core->now < scheduler->unknown_teams_logged_at + core->settings->heartbeat_s)
		return;
	scheduler->unknown_team_cpus_logged = reserved_cpus;
	scheduler->unknown_teams_logged_at = core->now;
	ws_log(core, WS_LOG_INFO, "capacity reserved for unknown teams cpus=%.2f attempts=%u",
	       reserved_cpus, core->jobs.attempts_of_unknown_teams);
}

void ws_log_team_usage(struct ws_core *core)
{
	for (size_t i = 0; i < core->settings->team_count; i++) {
		const struct ws_team *team = &core->jobs.teams[i];

		if (team->used_cpus > 0 || team->reserved_cpus > 0)
			ws_log(
			    core, WS_LOG_INFO,
			    "team usage team=%s used_cpus=%.2f reserved_cpus=%.2f limit_cpus=%.2f",
			    team->settings->name, team->used_cpus, team->reserved_cpus,
			    team->settings->cpus_max);
	}
}
