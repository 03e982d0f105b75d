/* Scenarios of calls that arrive late or again, shared by the generators. */
#ifndef WS_TEST_RANDOM_CALL_FAULTS_H
#define WS_TEST_RANDOM_CALL_FAULTS_H
#include <stdbool.h>

/* The last fault begins before this time. */
#define RANDOM_LAST_FAULT_S 170

/* Draws a cluster, jobs and faults; `draw_calls` draws what happens to calls. Returns whether
 * machines reboot, which makes them forget their attempts and their fencing token. */
bool random_call_scenario(void (*draw_calls)(void));
#endif
