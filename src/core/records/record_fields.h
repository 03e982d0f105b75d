/*
 * Names of the JSON fields of the records, short since values are limited in size, and what they
 * mean. They are part of the stored format and never change.
 */
#ifndef WS_RECORD_FIELDS_H
#define WS_RECORD_FIELDS_H

/* A job's record: its description. */
#define WS_FIELD_PHASE "ph"	       /* "queued", "running", "done" or "withdrawn": cancelled */
#define WS_FIELD_SUBMITTED_AT "at"     /* seconds of the time of day */
#define WS_FIELD_CLASS "cl"	       /* name of the job's class */
#define WS_FIELD_TEAM "tm"	       /* name of its team */
#define WS_FIELD_SERVICE "sv"	       /* it runs until it is cancelled */
#define WS_FIELD_PRIORITY_CLASS "ti"   /* as in enum ws_priority_class */
#define WS_FIELD_TASK_COUNT "n"	       /* number of tasks */
#define WS_FIELD_CPUS "c"	       /* of each task */
#define WS_FIELD_GPUS "g"	       /* of each task */
#define WS_FIELD_MEMORY "m"	       /* of each task, GB */
#define WS_FIELD_IMAGE "im"	       /* name of the image */
#define WS_FIELD_IMAGE_SIZE "gb"       /* GB */
#define WS_FIELD_ALLOWED_TYPES "ty"    /* names of machine types; none: any */
#define WS_FIELD_ALLOWED_ZONE "z"      /* name of the only zone allowed; empty: any */
#define WS_FIELD_PLACEMENT_FLAGS "fl"  /* sum of WS_PLACEMENT_... below */
#define WS_FIELD_ESTIMATE "e"	       /* run time of a task, seconds */
#define WS_FIELD_CHECKPOINT_EVERY "ck" /* seconds; 0: no checkpoints */
#define WS_FIELD_SAVE_TIME "sa"	       /* that a checkpoint takes, seconds */
#define WS_FIELD_DEADLINE "dl"	       /* seconds from submission; negative: none */

#define WS_PLACEMENT_ONE_ZONE 1	   /* all tasks in one zone */
#define WS_PLACEMENT_SPREAD 2	   /* tasks on different machines */
#define WS_PLACEMENT_PREEMPTIBLE 4 /* preemptible instances will do */
#define WS_PLACEMENT_GANG 8	   /* all tasks run at once or none */

/* A job's record: its state. The first one is also that of a continuation record. */
#define WS_FIELD_ATTEMPTS "p"	      /* attempts that may be alive: see attempt_list.c */
#define WS_FIELD_COMPLETED_TASKS "d"  /* ranges, each with a comma: "0-19,33," */
#define WS_FIELD_COMPLETED_COUNT "nd" /* also of an archived job */
#define WS_FIELD_ATTEMPT_COUNT "nr"   /* also of an archived job, where it is 0 */
#define WS_FIELD_CONTINUATIONS "mo"   /* number of continuation records; absent: none */

/* A machine shard's record. */
#define WS_FIELD_IMAGE_NAMES "im" /* which images the machines refer to, by index */
#define WS_FIELD_MACHINES "m"	  /* see machine_shard_record.c */

/* A scale-out request's record. */
#define WS_FIELD_MACHINE_TYPE "ty"
#define WS_FIELD_ZONE "z"
#define WS_FIELD_PREEMPTIBLE "sp"
#define WS_FIELD_INSTANCE_COUNT "n" /* instances asked for */
#define WS_FIELD_ACQUIRED "got"	    /* the cloud has confirmed it */
#define WS_FIELD_INSTANCES "h"	    /* names of the instances that it brought */

/* The leader's record. */
#define WS_FIELD_NODE "node"
#define WS_FIELD_PROCESS_INCARNATION "life"
#endif
