#include "record_view.h"
#include <stdio.h>
#include <string.h>

struct print_context {
	const struct ws_record_view *view;
	bool found;
};

static bool print_record(void *context, const struct ws_kv *record)
{
	struct print_context *print_context = context;
	const struct ws_record_view *view = print_context->view;

	if (view->print_record(record->key + strlen(view->prefix), record->value))
		print_context->found = true;
	return true;
}

int ws_record_view_print(const struct ws_record_view *view, struct ws_store_client *store)
{
	struct print_context print_context = {.view = view};

	if (!ws_store_client_list(store, view->prefix, print_record, &print_context)) {
		fprintf(stderr, "waystep: the records could not be read from the store\n");
		return 1;
	}
	if (!print_context.found)
		printf("%s\n", view->empty_text);
	return 0;
}

const char *ws_record_view_text(json_t *record, const char *name)
{
	const char *text = json_string_value(json_object_get(record, name));

	return text ? text : "?";
}

long long ws_record_view_count(json_t *record, const char *name)
{
	return json_integer_value(json_object_get(record, name));
}

double ws_record_view_number(json_t *record, const char *name)
{
	return json_number_value(json_object_get(record, name));
}

bool ws_record_view_is_true(json_t *record, const char *name)
{
	return json_is_true(json_object_get(record, name));
}
