/* The platform's settings: figures that are missing, zero, negative or too small to run with are
 * refused, and the message names the setting. */
#include "../src/config.h"
#include "check.h"
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct figure {
	const char *table, *name, *fine;
	const char *small; /* above 0 and refused all the same; NULL: none */
	bool zero_means_none;
};

static const struct figure figures[] = {
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
#define FIGURE_COUNT (sizeof(figures) / sizeof(figures[0]))

/* Settings with one figure replaced; an empty value leaves it out. */
static bool read_with(size_t which, const char *value, char *error, size_t size)
{
	static struct ws_settings settings;
	char path[] = "/tmp/waystep-settings-XXXXXX";
	FILE *file = fdopen(mkstemp(path), "w");
	const char *table = "";
	struct ws_startup_error wrong = {0};
	bool ok;

	fprintf(file, "node='n'\nzone='a'\nbind='127.0.0.1:1'\npeer_bind='127.0.0.1:2'\n"
		      "[[seeds]]\nnode='m'\nzone='b'\nendpoint='127.0.0.1:3'\n"
		      "[services]\ncloud='127.0.0.1:4'\nstate='127.0.0.1:5'\n"
		      "[settings]\nzones=['a','b']\n"
		      "[[settings.teams]]\nname='t'\ncpus=4.0\ncpus_max=8.0\n");
	for (size_t i = 0; i < FIGURE_COUNT; i++) {
		if (strcmp(table, figures[i].table))
			fprintf(file, "[%s]\n", table = figures[i].table);
		if (i != which)
			fprintf(file, "%s = %s\n", figures[i].name, figures[i].fine);
		else if (value[0])
			fprintf(file, "%s = %s\n", figures[i].name, value);
	}
	fclose(file);
	ok = ws_config_read_settings(path, &settings, &wrong);
	ws_startup_error_format(&wrong, error, size);
	unlink(path);
	return ok;
}

int main(void)
{
	char error[512], what[128];

	check("all as the platform's page has it",
	      read_with(FIGURE_COUNT, "", error, sizeof(error)));
	for (size_t i = 0; i < FIGURE_COUNT; i++) {
		const struct figure *figure = &figures[i];
		const char *const bad[] = {
		    "", "-1", "'some'", "nan", figure->zero_means_none ? NULL : "0", figure->small};

		for (size_t k = 0; k < sizeof(bad) / sizeof(bad[0]); k++) {
			if (!bad[k])
				continue;
			snprintf(what, sizeof(what), "%s = %s is refused by name", figure->name,
				 bad[k][0] ? bad[k] : "(missing)");
			check(what, !read_with(i, bad[k], error, sizeof(error)) &&
					strstr(error, figure->table) &&
					strstr(error, figure->name));
		}
	}
	printf("%d passed, %d failed\n", good, bad);
	return bad != 0;
}
