/* Parses scenarios: words, options and settings lines. */
#include "sim_cloud.h"
#include "sim_scenario.h"
#include "sim_subsystems.h"

#define OPTION_NAME_MAX 64
#define SETTING_LINE_MAX 300
#define FETCH_GB_PER_S 0.5

const char *sim_next_word(char **text)
{
	char *word = *text + strspn(*text, " \t");

	*text = word + strcspn(word, " \t");
	if (**text)
		*(*text)++ = 0;
	return word;
}

int sim_count_words(const char *text)
{
	int count = 0;

	for (text += strspn(text, " \t"); *text; text += strspn(text, " \t")) {
		text += strcspn(text, " \t");
		count++;
	}
	return count;
}

/* Returns the text behind the equals sign of an option, or NULL if the option is absent. */
static const char *option_value(const char *text, const char *name)
{
	char key[OPTION_NAME_MAX];
	const char *found;

	snprintf(key, sizeof(key), " %s=", name);
	found = strstr(text, key);
	return found ? found + strlen(key) : NULL;
}

double sim_option(const char *text, const char *name, double fallback)
{
	const char *value = option_value(text, name);

	return value ? atof(value) : fallback;
}

bool sim_option_text(const char *text, const char *name, char *target, size_t size)
{
	const char *value = option_value(text, name);

	if (!value)
		return false;
	snprintf(target, size, "%.*s", (int)strcspn(value, " "), value);
	return true;
}

bool sim_flag(const char *text, const char *name)
{
	char key[OPTION_NAME_MAX];
	size_t length = (size_t)snprintf(key, sizeof(key), " %s", name);

	for (const char *found = text; (found = strstr(found, key)); found += length)
		if (found[length] == 0 || found[length] == ' ')
			return true;
	return false;
}

int sim_node_index(struct sim *sim, const char *name)
{
	if (!strcmp(name, "leader"))
		return sim_leader(sim);
	return atoi(name) % sim->node_count;
}

bool sim_compare(double number, const char *operator, const char * text)
{
	if (!operator[0] || !text[0])
		return false;
	if (!strcmp(operator, "="))
		return number == atof(text);
	if (!strcmp(operator, ">="))
		return number >= atof(text);
	return number <= atof(text);
}

/* ---- settings lines ---- */

static double next_number(struct sim_setting *setting)
{
	return atof(sim_next_word(&setting->rest));
}

static int next_integer(struct sim_setting *setting)
{
	return atoi(sim_next_word(&setting->rest));
}

static void next_text(struct sim_setting *setting, char *target, size_t size)
{
	snprintf(target, size, "%s", sim_next_word(&setting->rest));
}

/* at TIME ACTION ... | at TIME expect EXPECTATION ... */
static const char *parse_timed_line(struct sim *sim, struct sim_setting *setting)
{
	struct sim_timed_line *timed_line = &sim->timed_lines[sim->timed_line_count];

	if (sim->timed_line_count == SIM_TIMED_LINES)
		return "too many timed lines";
	timed_line->time = next_number(setting);
	timed_line->line_number = sim->line_number;
	snprintf(timed_line->text, sizeof(timed_line->text), "%s", setting->rest);
	if (sim->timed_line_count &&
	    timed_line->time < sim->timed_lines[sim->timed_line_count - 1].time)
		return "the time is before that of the previous timed line";
	sim->timed_line_count++;
	sim->end_at = fmax(sim->end_at, timed_line->time);
	return NULL;
}

static const char *parse_nodes(struct sim *sim, struct sim_setting *setting)
{
	sim->node_count = next_integer(setting);
	return sim->node_count > 0 && sim->node_count <= SIM_NODES
		   ? NULL
		   : "the number of nodes is out of range";
}

static const char *parse_lease(struct sim *sim, struct sim_setting *setting)
{
	sim->lease_s = next_number(setting);
	return NULL;
}

static const char *parse_heartbeat_interval(struct sim *sim, struct sim_setting *setting)
{
	sim->heartbeat_s = next_number(setting);
	return NULL;
}

static const char *parse_gang_wait(struct sim *sim, struct sim_setting *setting)
{
	sim->gang_wait_s = next_number(setting);
	return NULL;
}

static const char *parse_gang_peer(struct sim *sim, struct sim_setting *setting)
{
	sim->gang_peer_s = next_number(setting);
	return NULL;
}

/* production-nodes COUNT: the number of nodes that start with the version in production */
static const char *parse_production_nodes(struct sim *sim, struct sim_setting *setting)
{
	sim->production_nodes = next_integer(setting);
	return sim_production_version() ? NULL
					: "the version in production could not be built or loaded";
}

/* upcoming-limits KIB OPERATIONS: upcoming lower limits of a value and of a transaction */
static const char *parse_upcoming_limits(struct sim *sim, struct sim_setting *setting)
{
	sim->upcoming_value_kb = next_number(setting);
	sim->upcoming_txn_ops = next_integer(setting);
	return NULL;
}

/* limits KIB OPERATIONS: limits of a value and of a transaction */
static const char *parse_limits(struct sim *sim, struct sim_setting *setting)
{
	sim->value_kb = next_number(setting);
	sim->txn_ops = next_integer(setting);
	return NULL;
}

/* starts-on-record: every task that starts must be on record, and none that is reaped may be */
static const char *parse_starts_on_record(struct sim *sim, struct sim_setting *setting)
{
	(void)setting;
	sim->starts_on_record = true;
	return NULL;
}

static const char *parse_cancel(struct sim *sim, struct sim_setting *setting)
{
	sim->cancel_s = next_number(setting);
	return NULL;
}

static const char *parse_seed(struct sim *sim, struct sim_setting *setting)
{
	sim->random_state = (uint64_t)next_integer(setting);
	return NULL;
}

/* capacity COUNT: the number of instances that the cloud grants */
static const char *parse_capacity(struct sim *sim, struct sim_setting *setting)
{
	sim->instance_limit = next_integer(setting);
	return NULL;
}

static const char *parse_zone(struct sim *sim, struct sim_setting *setting)
{
	next_text(setting, sim->zones[sim->zone_count++], sizeof(sim->zones[0]));
	return NULL;
}

/* team NAME CPUS CPUS_MAX */
static const char *parse_team(struct sim *sim, struct sim_setting *setting)
{
	struct ws_team_setting *team = &sim->teams[sim->team_count++];

	next_text(setting, team->name, sizeof(team->name));
	team->cpus = next_number(setting);
	team->cpus_max = next_number(setting);
	return NULL;
}

/* type NAME CPUS MEMORY_GB PRICE BOOT_S ZONE ... */
static const char *parse_type(struct sim *sim, struct sim_setting *setting)
{
	struct ws_machine_type *type = &sim->types[sim->type_count++];

	next_text(setting, type->name, sizeof(type->name));
	type->cpus = next_number(setting);
	type->mem_gb = next_number(setting);
	type->price = next_number(setting);
	type->preemptible_price = type->price / 2;
	type->fetch_gb_s = FETCH_GB_PER_S;
	type->boot_s = next_number(setting);
	while (sim_count_words(setting->rest))
		next_text(setting, type->zones[type->zone_count++], WS_NAME_MAX);
	return NULL;
}

/* objective KIND CLASS SECONDS */
static const char *parse_objective(struct sim *sim, struct sim_setting *setting)
{
	struct ws_objective *objective = &sim->objectives[sim->objective_count++];

	next_text(setting, objective->kind, sizeof(objective->kind));
	next_text(setting, objective->job_class, sizeof(objective->job_class));
	objective->within_s = next_number(setting);
	return NULL;
}

/* owned TYPE ZONE [COUNT] */
static const char *parse_owned(struct sim *sim, struct sim_setting *setting)
{
	int type = sim_type_index(sim, sim_next_word(&setting->rest));
	const char *zone = sim_next_word(&setting->rest);
	int count = sim_count_words(setting->rest) ? next_integer(setting) : 1;

	for (int i = 0; i < count && type < sim->type_count; i++)
		sim_cloud_add_worker(sim, type, zone, false, true);
	return NULL;
}

/* subsystem NAME [OPTION=NUMBER ...]: enables the subsystem */
static const char *parse_subsystem(struct sim *sim, struct sim_setting *setting)
{
	if (strstr(setting->text, " coldstart"))
		sim_cold_start_configure(sim, setting->text);
	else
		sim_domains_configure(sim, setting->text);
	return NULL;
}

static const struct sim_setting_word cluster_setting_words[] = {
    {"at", 1, parse_timed_line},       {"cancel", 1, parse_cancel},
    {"capacity", 1, parse_capacity},   {"gang-peer", 1, parse_gang_peer},
    {"gang-wait", 1, parse_gang_wait}, {"heartbeat", 1, parse_heartbeat_interval},
    {"lease", 1, parse_lease},	       {"limits", 2, parse_limits},
    {"nodes", 1, parse_nodes},	       {"objective", 3, parse_objective},
    {"owned", 2, parse_owned},	       {"production-nodes", 1, parse_production_nodes},
    {"seed", 1, parse_seed},	       {"starts-on-record", 0, parse_starts_on_record},
    {"subsystem", 0, parse_subsystem}, {"team", 3, parse_team},
    {"type", 5, parse_type},	       {"upcoming-limits", 2, parse_upcoming_limits},
    {"zone", 1, parse_zone},	       {NULL, 0, NULL},
};

static const struct sim_setting_word *find_setting_word(const char *word)
{
	static const struct sim_setting_word *const tables[] = {cluster_setting_words,
								sim_domains_settings_words};

	for (size_t i = 0; i < sizeof(tables) / sizeof(tables[0]); i++)
		for (const struct sim_setting_word *entry = tables[i]; entry->word; entry++)
			if (!strcmp(entry->word, word))
				return entry;
	return NULL;
}

bool sim_parse_line(struct sim *sim, char *line, char *error, size_t size)
{
	char copy[SETTING_LINE_MAX];
	struct sim_setting setting = {.rest = copy, .text = line};
	const struct sim_setting_word *entry;
	const char *word, *message;

	sim->line_number++;
	line[strcspn(line, "#\r\n")] = 0;
	snprintf(copy, sizeof(copy), "%s", line);
	word = sim_next_word(&setting.rest);
	if (!word[0])
		return true;
	entry = find_setting_word(word);
	if (!entry)
		message = "unknown word";
	else if (sim_count_words(setting.rest) < entry->operands)
		message = "operands are missing";
	else
		message = entry->parse(sim, &setting);
	if (message)
		snprintf(error, size, "line %d: %s: %s", sim->line_number, word, message);
	return !message;
}
