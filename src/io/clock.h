/* The clocks of the I/O layer, in seconds. */
#ifndef WS_CLOCK_H
#define WS_CLOCK_H

/* Returns the time of the monotonic clock, which all deadlines and durations use. */
double ws_now(void);
/* Returns the wall-clock time since the Unix epoch, for times that are stored or displayed. */
double ws_wall_time(void);
#endif
