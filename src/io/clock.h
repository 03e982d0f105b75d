/* The clocks of the I/O layer, in seconds. */
#ifndef WS_CLOCK_H
#define WS_CLOCK_H

/* The monotonic clock; all deadlines and durations are measured on it. */
double ws_now(void);
/* Time since the fencing token, for what is stored and shown. */
double ws_wall(void);
#endif
