/* Prints records of the store for operators. */
#ifndef WS_RECORD_VIEW_H
#define WS_RECORD_VIEW_H
#include "store_client.h"

/* What is printed of the records whose keys begin with `prefix`. */
struct ws_record_view {
	const char *prefix;
	/* Prints a record, whose key goes on with `name`; true: it is one of those looked for. */
	bool (*print)(const char *name, json_t *record);
	const char *none_text; /* printed if none was among them */
};

/* Prints all records, page by page. The exit status: 0, 1 if they could not be read. */
int ws_record_view_print(const struct ws_record_view *view, struct ws_store_client *store);

/* Fields of a record, to be printed: "?", 0 and false where it has none. */
const char *ws_record_view_text(json_t *record, const char *name);
long long ws_record_view_count(json_t *record, const char *name);
double ws_record_view_number(json_t *record, const char *name);
bool ws_record_view_is_true(json_t *record, const char *name);
#endif
