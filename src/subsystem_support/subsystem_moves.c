/* Limit on the number of jobs that a subsystem moves ahead in the queue at a time. */
#include "subsystem_moves.h"

#define STORE_WRITE_SHARE 0.25
#define MOVES_MIN 8

size_t ws_subsystem_moves_max(const struct ws_cluster_limits *limits)
{
	double moves = STORE_WRITE_SHARE * limits->store_write_rps * limits->heartbeat_s;

	return moves > MOVES_MIN ? (size_t)moves : MOVES_MIN;
}
