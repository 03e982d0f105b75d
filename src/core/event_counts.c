/* Counters of the leader's decisions and of rejected heartbeats. */
#include "core_state.h"

#define LINE_MAX_BYTES 480

void ws_event_count(struct ws_core *core, enum ws_event event)
{
	core->event_counts.by_event[event]++;
}

void ws_event_count_release(struct ws_core *core, enum ws_release_evidence evidence)
{
	core->event_counts.by_evidence[evidence]++;
}

/* Appends " PREFIXNAME=COUNT" to a line unless the count is zero. */
static void ws_event_counts_add(char *line, const char *prefix, const char *name, uint32_t count)
{
	size_t length = strlen(line);

	if (count)
		snprintf(line + length, LINE_MAX_BYTES - length, " %s%s=%u", prefix, name, count);
}

void ws_event_counts_log(struct ws_core *core)
{
	static const char *const names[WS_EVENT_KINDS] = {
	    [WS_EVENT_ELECTED] = "elections",
	    [WS_EVENT_QUARANTINED] = "quarantines",
	    [WS_EVENT_RELEASED_REPORTED] = "released_attempts_reported",
	    [WS_EVENT_RELEASE_HELD_BACK] = "releases_held_back",
	    [WS_EVENT_AT_TEAM_LIMIT] = "at_team_limit",
	    [WS_EVENT_COMMANDS_SLICED] = "commands_sliced",
	    [WS_EVENT_MACHINE_UNUSED] = "machines_unused",
	    [WS_EVENT_STALE_INCARNATION] = "heartbeats_of_old_incarnation",
	    [WS_EVENT_STALE_SEQUENCE] = "heartbeats_of_old_sequence",
	    [WS_EVENT_STALE_RESTART] = "heartbeats_before_restart",
	    [WS_EVENT_STALE_MACHINE] = "heartbeats_of_returned_machine",
	    [WS_EVENT_RESTART_SUSPECTED] = "restarts_suspected",
	    [WS_EVENT_RESTART_PROVED] = "restarts_proved",
	    [WS_EVENT_UNENTITLED_HEARTBEAT] = "heartbeats_unentitled",
	};
	struct ws_event_counts *counts = &core->event_counts;
	char line[LINE_MAX_BYTES] = "";

	if (core->now < counts->next_log_at)
		return;
	for (size_t event = 0; event < WS_EVENT_KINDS; event++)
		ws_event_counts_add(line, "", names[event], counts->by_event[event]);
	for (size_t evidence = 0; evidence < WS_RELEASE_EVIDENCE_COUNT; evidence++)
		ws_event_counts_add(line, "released_", ws_release_evidence_text(evidence),
				    counts->by_evidence[evidence]);
	if (line[0])
		ws_log(core, WS_LOG_INFO, "leader counts%s", line);
	memset(counts->by_event, 0, sizeof(counts->by_event));
	memset(counts->by_evidence, 0, sizeof(counts->by_evidence));
	counts->next_log_at = core->now + core->settings->lease_s;
}
