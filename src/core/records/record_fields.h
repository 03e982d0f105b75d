/*
 * Names of the JSON fields of the records and their meanings. The names are short because the store
 * limits the size of values. They are part of the stored format and must not change.
 */
#ifndef WS_RECORD_FIELDS_H
#define WS_RECORD_FIELDS_H

/* Fields of a job's record that describe the job. */
#define WS_FIELD_PHASE "ph"	     /* "queued", "running", "done", or "withdrawn" for cancelled */
#define WS_FIELD_SUBMITTED_AT "at"   /* wall-clock time, seconds */
#define WS_FIELD_CLASS "cl"	     /* name of the job's class */
#define WS_FIELD_TEAM "tm"	     /* name of the job's team */
#define WS_FIELD_SERVICE "sv"	     /* whether it runs until it is cancelled */
#define WS_FIELD_PRIORITY_CLASS "ti" /* value of enum ws_priority_class */
#define WS_FIELD_TASK_COUNT "n"	     /* number of tasks */
#define WS_FIELD_CPUS "c"	     /* of each task */
#define WS_FIELD_GPUS "g"	     /* of each task */
#define WS_FIELD_MEMORY "m"	     /* of each task, in GB */
#define WS_FIELD_IMAGE "im"	     /* name of the tasks' image */
#define WS_FIELD_IMAGE_SIZE "gb"     /* of the image, in GB */
#define WS_FIELD_ALLOWED_TYPES "ty"  /* names of machine types; any if empty */
#define WS_FIELD_ALLOWED_ZONE "z"    /* name of the only allowed zone; any if empty */
#define WS_FIELD_PLACEMENT_FLAGS "fl"	  /* sum of the WS_PLACEMENT_ flags below */
#define WS_FIELD_ESTIMATE "e"		  /* estimated run time of a task, seconds */
#define WS_FIELD_CHECKPOINT_INTERVAL "ck" /* checkpoint interval, seconds; 0 if none are made */
#define WS_FIELD_CHECKPOINT_DURATION "sa" /* time to write a checkpoint, seconds */
#define WS_FIELD_DEADLINE "dl"		  /* seconds after submission; negative if none */

#define WS_PLACEMENT_ONE_ZONE 1	   /* all tasks in one zone */
#define WS_PLACEMENT_SPREAD 2	   /* tasks on different machines */
#define WS_PLACEMENT_PREEMPTIBLE 4 /* preemptible instances are allowed */
#define WS_PLACEMENT_GANG 8	   /* all tasks run at the same time, or none runs */

/* Fields of a job's record that hold its state. Continuation records contain the first one too. */
#define WS_FIELD_ATTEMPTS "p"	      /* attempts that may still be running; see attempt_list.c */
#define WS_FIELD_COMPLETED_TASKS "d"  /* ranges, each followed by a comma: "0-19,33," */
#define WS_FIELD_COMPLETED_COUNT "nd" /* also in an archived job's record */
#define WS_FIELD_ATTEMPT_COUNT "nr"   /* also in an archived job's record, as 0 */
#define WS_FIELD_CONTINUATIONS "mo"   /* number of continuation records; 0 if absent */

/* Fields of a machine shard's record. */
#define WS_FIELD_IMAGE_NAMES "im" /* names of images, to which the machines refer by index */
#define WS_FIELD_MACHINES "m"	  /* list of machines; see machine_shard_record.c */

/* Fields of a scale-out request's record. */
#define WS_FIELD_MACHINE_TYPE "ty"
#define WS_FIELD_ZONE "z"
#define WS_FIELD_PREEMPTIBLE "sp"
#define WS_FIELD_INSTANCE_COUNT "n" /* number of requested instances */
#define WS_FIELD_GRANTED "got"	    /* whether the cloud has confirmed the request */
#define WS_FIELD_INSTANCES "h"	    /* names of the instances started for it */

/* Fields of the leader's record. */
#define WS_FIELD_NODE "node"
#define WS_FIELD_PROCESS_INCARNATION "life"
#endif
