/* Copies of calls that were executed and answered: each arrives once more, and nobody awaits its
 * answer. */
#ifndef WS_SIM_CALL_COPIES_H
#define WS_SIM_CALL_COPIES_H
#include "sim_parts.h"

/* Returns a copy of a call, without its context. The values of a transaction are shared. */
struct ws_call *sim_call_copy(const struct ws_call *call);
/* Schedules copies of a call that has just been executed, if the scenario repeats its kind. */
void sim_call_copies_schedule(struct sim *sim, const struct ws_call *call);
/* Holds up a call that has arrived, if the scenario does so with its kind: it is carried out later,
 * and not answered. Returns whether it is held up. */
bool sim_call_hold_up(struct sim *sim, const struct ws_call *call);
/* Executes the copies that are due. */
void sim_call_copies_deliver(struct sim *sim);
/* Frees the copies that have not arrived. */
void sim_call_copies_free(struct sim *sim);
#endif
