/* Users: what they ask of the nodes, and the rules for the answers. */
#ifndef WS_SIM_USERS_H
#define WS_SIM_USERS_H
#include "sim_parts.h"

/* Puts a request to a node, directly or as another node forwards it. */
void sim_user_request(struct sim *sim, int node, const struct sim_job *job, int kind,
		      uint64_t request_id, bool forwarded);
/* What a user still waits for under this id; 0: nothing. */
int sim_user_pending_kind(const struct sim *sim, uint64_t request_id);
void sim_user_answer(struct sim *sim, const struct ws_effect *effect);
/* Asks all nodes for the job, and sends it to them again. */
void sim_user_check_all_nodes(struct sim *sim, struct sim_job *job);
/* The last task of a job has just ended: a share of the users cancel it in that moment. */
void sim_user_job_ended(struct sim *sim, struct sim_job *job);
void sim_users_step(struct sim *sim);
void sim_jobs_free(struct sim *sim);
#endif
