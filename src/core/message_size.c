#include "message_size.h"
#include <string.h>

/* Decimal digits of the largest attempt number, and of the largest duration with its fraction. */
#define ATTEMPT_DIGITS 20
#define DURATION_DIGITS 24

static size_t ws_decimal_digits(uint32_t number)
{
	size_t digits = 1;

	for (; number >= 10; number /= 10)
		digits++;
	return digits;
}

size_t ws_report_entry_bytes(const char *job_id, uint32_t task)
{
	static const char longest[] = "{\"shard\": \"/\", \"tryNo\": , \"phase\": \"flushing\", "
				      "\"cause\": \"incomplete\", \"saved\": false}, ";

	return sizeof(longest) - 1 + strlen(job_id) + ws_decimal_digits(task) + ATTEMPT_DIGITS;
}

size_t ws_job_report_entry_bytes(const struct ws_job_spec *spec)
{
	return ws_report_entry_bytes(spec->id, spec->tasks ? spec->tasks - 1 : 0);
}

size_t ws_command_bytes(const struct ws_command *command)
{
	static const char longest[] =
	    "{\"verb\":\"stop\",\"shard\":\"/\",\"tryNo\":,\"windDownS\":},";

	return sizeof(longest) - 1 + strlen(command->job) + ws_decimal_digits(command->task) +
	       ATTEMPT_DIGITS + DURATION_DIGITS;
}
