/* Prints records of the store for the operators' commands. */
#ifndef WS_RECORD_VIEW_H
#define WS_RECORD_VIEW_H
#include "store_client.h"

/* How to print the records whose keys begin with `prefix`. */
struct ws_record_view {
	const char *prefix;
	/*
	 * Prints a record; `name` is the rest of its key after the prefix. Returns whether the
	 * record counts as found.
	 */
	bool (*print_record)(const char *name, json_t *record);
	const char *empty_text; /* printed if no record counts as found */
};

/* Prints all records. Returns the exit status: 0, or 1 if the store could not be read. */
int ws_record_view_print(const struct ws_record_view *view, struct ws_store_client *store);

/* Return a field of a record for printing: "?", 0 or false if the field is missing. */
const char *ws_record_view_text(json_t *record, const char *name);
long long ws_record_view_count(json_t *record, const char *name);
double ws_record_view_number(json_t *record, const char *name);
bool ws_record_view_is_true(json_t *record, const char *name);
#endif
