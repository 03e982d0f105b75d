/*
 * Runs scenario files: runner [-v] [-c] [-d] [-t] FILE...
 *
 * -v prints the log. -c enables the subsystem coldstart in every scenario. -d prints a digest of
 * all effects that the cores emitted. -t writes these effects as text to standard error.
 */
#include "sim.h"

int main(int argc, char **argv)
{
	int failed = 0, passed = 0;
	bool digests = false;

	for (int i = 1; i < argc; i++) {
		struct sim *sim;
		FILE *file;
		char line[300], error[512] = "";
		bool ok = true;

		if (!strcmp(argv[i], "-v")) {
			sim_verbose = true;
			continue;
		}
		if (!strcmp(argv[i], "-c")) {
			sim_cold_start_always = true;
			continue;
		}
		if (!strcmp(argv[i], "-d")) {
			digests = true;
			continue;
		}
		if (!strcmp(argv[i], "-t")) {
			sim_digest_trace = stderr;
			continue;
		}
		file = fopen(argv[i], "r");
		if (!file) {
			perror(argv[i]);
			return 2;
		}
		sim = sim_new();
		while (ok && fgets(line, sizeof(line), file))
			ok = sim_parse_line(sim, line, error, sizeof(error));
		fclose(file);
		ok = ok && sim_run(sim, error, sizeof(error));
		printf("%s %s%s%s\n", ok ? "ok  " : "FAIL", argv[i], ok ? "" : ": ", error);
		if (digests)
			sim_print_digest(sim, strrchr(argv[i], '/') ? strrchr(argv[i], '/') + 1
								    : argv[i]);
		sim_free(sim);
		ok ? passed++ : failed++;
	}
	printf("%d passed, %d failed\n", passed, failed);
	return failed || !passed;
}
