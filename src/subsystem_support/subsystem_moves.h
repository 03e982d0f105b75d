/* Limit on the number of jobs that a subsystem moves ahead in the queue at a time. */
#ifndef WS_SUBSYSTEM_MOVES_H
#define WS_SUBSYSTEM_MOVES_H
#include "../core/extension/hooks.h"
#include <stddef.h>

/*
 * Returns the number of jobs to which a subsystem may assign a queue position at a time: a quarter
 * of the store writes of one heartbeat interval, so that the leader's other writes are not delayed,
 * but at least 8.
 */
size_t ws_subsystem_moves_max(const struct ws_cluster_limits *limits);
#endif
