/* Simulated users: their requests to the nodes, and the checks of the answers. */
#ifndef WS_SIM_USERS_H
#define WS_SIM_USERS_H
#include "sim_parts.h"

/* Sends a request to a node, either directly or as forwarded by another node. */
void sim_user_send_request(struct sim *sim, int node, const struct sim_job *job, int kind,
			   uint64_t request_id, bool forwarded);
/* Returns the kind of the pending request with this id, or 0 if no user waits for its answer. */
int sim_user_pending_kind(const struct sim *sim, uint64_t request_id);
void sim_user_receive_answer(struct sim *sim, const struct ws_effect *effect);
/* Queries the job's status at all reachable nodes, and submits the job to each of them again. */
void sim_user_check_all_nodes(struct sim *sim, struct sim_job *job);
/* Handles the end of a job's last task: a share of the users cancel the job at that moment. */
void sim_user_job_ended(struct sim *sim, struct sim_job *job);
void sim_users_step(struct sim *sim);
void sim_jobs_free(struct sim *sim);
#endif
