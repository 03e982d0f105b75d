/* What the modules of leadership/ share. */
#ifndef WS_LEADERSHIP_INTERNAL_H
#define WS_LEADERSHIP_INTERNAL_H
#include "../core_state.h"

/* ---- leader_proof.c ---- */

/* A leader of this term lived at a time. */
void ws_leader_proven(struct ws_core *core, double alive_at, uint64_t term);
/* The leader key was read, by a request sent at asked_at. */
void ws_leader_key_read(struct ws_core *core, double asked_at);

/* ---- entitlement.c ---- */

/* Sends a renewal of the store session when one is due. */
void ws_session_renew(struct ws_core *core);
/* In an outage that not all peers confirmed: pauses, and gives up after a while. */
void ws_pause_or_step_down(struct ws_core *core);
/* Why leadership can't be kept; NULL: it can. */
const char *ws_leadership_lost_reason(const struct ws_core *core);
#endif
