/* The language of scenarios: words, options, and the tables of words with their handlers. */
#ifndef WS_SIM_SCENARIO_H
#define WS_SIM_SCENARIO_H
#include "sim_parts.h"

/* A settings line, which is taken before the play. */
struct sim_setting {
	char *rest;	  /* behind the first word */
	const char *text; /* the whole line, for its options */
};

/* Tables end with an entry whose word is NULL. */
struct sim_setting_word {
	const char *word;
	int operands; /* words that must follow at least */
	/* What is wrong with it; NULL: nothing. */
	const char *(*take)(struct sim *sim, struct sim_setting *setting);
};

/* A timed action. */
struct sim_action {
	const char *word;
	const char *name; /* the word that follows; "" without one */
	char *rest;	  /* behind the name */
	const char *text; /* the whole action, for its options */
	double span;	  /* the option for=S; 5 without it */
};

struct sim_action_word {
	const char *word;
	void (*run)(struct sim *sim, const struct sim_action *action);
};

/* What a scenario expects; a word that is missing is "". */
struct sim_expectation {
	const char *word;
	const char *first, *second, *third; /* operands */
};

/* One of the three functions is set; the counts are compared with the operands that follow. */
struct sim_expect_word {
	const char *word;
	int operands; /* words that must follow at least */
	void (*check)(struct sim *sim, const struct sim_expectation *expectation);
	double (*count)(struct sim *sim);			  /* WORD OPERATOR NUMBER */
	double (*count_of)(struct sim *sim, const char *subject); /* WORD SUBJECT OPERATOR NUMBER */
};

extern const struct sim_action_word sim_machine_actions[], sim_cold_start_actions[],
    sim_domains_actions[];
extern const struct sim_expect_word sim_cold_start_expectations[], sim_domains_expectations[];
extern const struct sim_setting_word sim_domains_settings_words[];

/* Cuts the next word off a text and moves behind it; "" at its end. */
const char *sim_next_word(char **text);
/* How many words a text has. */
int sim_count_words(const char *text);
/* The number of an option NAME=NUMBER. */
double sim_option(const char *text, const char *name, double otherwise);
/* Copies the text of an option NAME=TEXT; without it, false and `target` stays. */
bool sim_option_text(const char *text, const char *name, char *target, size_t size);
/* Whether a word stands in the text behind its first one. */
bool sim_flag(const char *text, const char *name);
/* The node of this number, or "leader"; -1: nobody leads. */
int sim_node_named(struct sim *sim, const char *name);
/* Whether "NUMBER OPERATOR TEXT" holds: =, >= or <=. */
bool sim_compare(double number, const char *operator, const char * text);

/* Runs a timed action. */
void sim_act(struct sim *sim, const struct sim_timed_line *timed_line);
/* Checks what the scenario expects; `text` is what follows the word "expect", and is changed. */
void sim_expect(struct sim *sim, char *text);
#endif
