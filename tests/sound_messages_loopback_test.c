/* Real controllers refuse sound messages that have a field which they do not know. */
#include "check.h"
#include "loopback.h"
#include "odd_json.h"
#include <string.h>

#define JOBS 6
#define TASKS 4
#define RUN_S 0.5
/* Ample for an election and all tasks. */
#define DONE_TIMEOUT_S 30

static enum loopback_sender sender_of_name(const char *name)
{
	if (!strcmp(name, "users"))
		return LOOPBACK_USERS;
	if (!strcmp(name, "store"))
		return LOOPBACK_STORE;
	return strcmp(name, "cloud") ? LOOPBACK_WORKER : LOOPBACK_CLOUD;
}

int main(int argc, char **argv)
{
	if (argc != 4)
		return 2;
	loopback_unknown_field =
	    (struct loopback_unknown_field){ODD_VALUES, (unsigned)sender_of_name(argv[3])};
	loopback_start(argv[1], argv[2]);
	for (int i = 0; i < JOBS; i++)
		loopback_submit("accrual", TASKS, false, RUN_S);
	check("all jobs are done", loopback_run_until(loopback_all_done, DONE_TIMEOUT_S));
	check("no submission was refused", loopback_counts()->refused_submissions == 0);
	check("each task finished once", loopback_counts()->finishes == JOBS * TASKS);
	loopback_stop();
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
