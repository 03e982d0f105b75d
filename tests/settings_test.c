/* Tests of the platform's settings: a number that is missing, zero, negative or below the minimum
 * is refused, and the message names the setting. */
#include "../src/config.h"
#include "check.h"
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct setting {
	const char *table, *name, *valid;
	const char *too_small; /* above 0 but below the minimum; NULL: none */
	bool zero_allowed;
};

static const struct setting numbers[] = {
    {"settings.workers", "report_s", "2.0", "0.001", false},
    {"settings.workers", "lease_s", "16.0", "1.5", false}, /* shorter than report_s */
    {"settings.workers", "cancel_s", "46.0", NULL, false},
    {"settings.state", "rps", "250.0", "0.5", false},
    {"settings.state", "write_rps", "50.0", "0.5", false},
    {"settings.state", "value_kb", "16.0", "0.5", false},
    {"settings.state", "txn_ops", "24", "2", false},
    {"settings.cloud", "rps", "2.0", "0.001", false},
    {"settings.cloud", "list_lag_s", "5.0", NULL, true},
    {"settings.machine_limits", "core_share", "0.16", "0.001", false},
    {"settings.machine_limits", "ram_mb", "72.0", "7.0", false},
    {"settings.machine_limits", "max_sockets", "900", "40", false},
};
#define NUMBER_COUNT (sizeof(numbers) / sizeof(numbers[0]))

/* Reads settings with one number replaced; an empty value omits it. The message goes to `error`.
 * Returns whether the settings are accepted. */
static bool read_settings(size_t replaced, const char *value, char *error, size_t size)
{
	static struct ws_settings settings;
	char path[] = "/tmp/waystep-settings-XXXXXX";
	FILE *file = fdopen(mkstemp(path), "w");
	const char *table = "";
	struct ws_startup_error startup_error = {0};
	bool ok;

	fprintf(file, "node='n'\nzone='a'\nbind='127.0.0.1:1'\npeer_bind='127.0.0.1:2'\n"
		      "[[seeds]]\nnode='m'\nzone='b'\nendpoint='127.0.0.1:3'\n"
		      "[services]\ncloud='127.0.0.1:4'\nstate='127.0.0.1:5'\n"
		      "[settings]\nzones=['a','b']\n"
		      "[[settings.teams]]\nname='t'\ncpus=4.0\ncpus_max=8.0\n");
	for (size_t i = 0; i < NUMBER_COUNT; i++) {
		if (strcmp(table, numbers[i].table))
			fprintf(file, "[%s]\n", table = numbers[i].table);
		if (i != replaced)
			fprintf(file, "%s = %s\n", numbers[i].name, numbers[i].valid);
		else if (value[0])
			fprintf(file, "%s = %s\n", numbers[i].name, value);
	}
	fclose(file);
	ok = ws_config_read_settings(path, &settings, &startup_error);
	ws_startup_error_format(&startup_error, error, size);
	unlink(path);
	return ok;
}

int main(void)
{
	char error[512], what[128];

	check("valid settings are accepted", read_settings(NUMBER_COUNT, "", error, sizeof(error)));
	for (size_t i = 0; i < NUMBER_COUNT; i++) {
		const struct setting *setting = &numbers[i];
		const char *const invalid[] = {"",
					       "-1",
					       "'some'",
					       "nan",
					       setting->zero_allowed ? NULL : "0",
					       setting->too_small};

		for (size_t k = 0; k < sizeof(invalid) / sizeof(invalid[0]); k++) {
			if (!invalid[k])
				continue;
			snprintf(what, sizeof(what), "%s = %s is refused, and the message names it",
				 setting->name, invalid[k][0] ? invalid[k] : "(missing)");
			check(what, !read_settings(i, invalid[k], error, sizeof(error)) &&
					strstr(error, setting->table) &&
					strstr(error, setting->name));
		}
	}
	printf("%d passed, %d failed\n", passed_checks, failed_checks);
	return failed_checks != 0;
}
