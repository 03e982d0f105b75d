/* Draws JSON values by the grammar of RFC 8259, for tests of decoders. */
#ifndef WS_TEST_RANDOM_JSON_H
#define WS_TEST_RANDOM_JSON_H
#include <stddef.h>

/* Sets the seed of the following draws. */
void random_json_seed(unsigned long seed);
/* Writes a value of fewer than `size` bytes. Returns `text`. */
const char *random_json(char *text, size_t size);
/* Replaces, removes or doubles a few bytes. */
void random_json_damage(char *text, size_t size);
#endif
