/* Functions shared by the files of leadership/. */
#ifndef WS_LEADERSHIP_INTERNAL_H
#define WS_LEADERSHIP_INTERNAL_H
#include "../core_state.h"

/* ---- leader_proof.c ---- */

/* Records that the leader of a term was active at a time. */
void ws_leader_record_active(struct ws_core *core, double active_at, uint64_t term);
/* Records that the leader key was read by a request sent at `sent_at`. */
void ws_leader_key_read(struct ws_core *core, double sent_at);

/* ---- entitlement.c ---- */

/* Sends a renewal of the store session when one is due. */
void ws_session_renew(struct ws_core *core);
/* In an outage that not all peers confirmed: pauses, and steps down when the pause ends. */
void ws_pause_or_step_down(struct ws_core *core);
/* Returns the reason why leadership is lost, or NULL if it is not. */
const char *ws_leadership_lost_reason(const struct ws_core *core);
#endif
