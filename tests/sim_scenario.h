/* The scenario language: its keywords and options, and the tables of keywords and handlers. */
#ifndef WS_SIM_SCENARIO_H
#define WS_SIM_SCENARIO_H
#include "sim_parts.h"

/* A settings line, which is parsed before the scenario runs. */
struct sim_setting {
	char *rest;	  /* the unparsed text behind the first word */
	const char *text; /* the whole line, from which options are read */
};

/* A keyword of a settings line. Tables end with an entry whose word is NULL. */
struct sim_setting_word {
	const char *word;
	int operands; /* minimum number of words that must follow */
	/* Returns an error message, or NULL if the line is valid. */
	const char *(*parse)(struct sim *sim, struct sim_setting *setting);
};

/* A timed action. */
struct sim_action {
	const char *word;
	const char *operand; /* the first operand; "" if there is none */
	char *rest;	     /* the unparsed text behind the first operand */
	const char *text;    /* the whole action, from which options are read */
	double duration_s;   /* duration from the option for=S, 5 s by default */
};

struct sim_action_word {
	const char *word;
	void (*run)(struct sim *sim, const struct sim_action *action);
};

/* An expectation of the scenario. A missing operand is "". */
struct sim_expectation {
	const char *word;
	const char *first, *second, *third; /* operands */
};

/*
 * A keyword of an expectation. Exactly one of the three functions is set; the counts are compared
 * with the operands that follow.
 */
struct sim_expect_word {
	const char *word;
	int operands; /* minimum number of words that must follow */
	void (*check)(struct sim *sim, const struct sim_expectation *expectation);
	double (*count)(struct sim *sim);			  /* WORD OPERATOR NUMBER */
	double (*count_of)(struct sim *sim, const char *subject); /* WORD SUBJECT OPERATOR NUMBER */
};

extern const struct sim_action_word sim_user_actions[], sim_message_actions[],
    sim_machine_actions[], sim_leader_actions[], sim_cold_start_actions[], sim_domains_actions[];
extern const struct sim_expect_word sim_cold_start_expectations[], sim_domains_expectations[];
extern const struct sim_setting_word sim_domains_settings_words[];

/* Terminates and returns the next word and advances `text` past it. Returns "" at the end. */
const char *sim_next_word(char **text);
/* Returns the number of words in `text`. */
int sim_count_words(const char *text);
/* Returns the value of the option NAME=NUMBER, or `fallback` if it is absent. */
double sim_option(const char *text, const char *name, double fallback);
/* Copies the value of the option NAME=TEXT. Returns false without writing if it is absent. */
bool sim_option_text(const char *text, const char *name, char *target, size_t size);
/* Returns whether the flag NAME stands behind the first word. */
bool sim_flag(const char *text, const char *name);
/* Returns the index of a node given by number or as "leader", or -1 if no node leads. */
int sim_node_index(struct sim *sim, const char *name);
/* Returns whether NUMBER OPERATOR TEXT holds. The operators are =, >= and <=. */
bool sim_compare(double number, const char *operator, const char * text);

/* Runs a timed line: an action, or the check of an expectation. */
void sim_run_action(struct sim *sim, const struct sim_timed_line *timed_line);
/* Checks an expectation. `text` is what follows the word "expect"; the buffer is modified. */
void sim_expect(struct sim *sim, char *text);
#endif
