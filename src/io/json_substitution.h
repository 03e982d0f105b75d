/*
 * Substitutes values that RFC 8259 allows and the JSON parser cannot represent: numbers beyond 64
 * bits or a double, and halves of surrogate pairs. Documents with such values are rare, so only a
 * document that the parser has refused is searched for them.
 */
#ifndef WS_JSON_SUBSTITUTION_H
#define WS_JSON_SUBSTITUTION_H
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Returns a copy of a document of the same length, which the caller frees, or NULL if memory is
 * exhausted. In the copy a number beyond the range reads as plus or minus 1e308, which is beyond
 * the range of every known field as well, and half a surrogate pair as U+FFFD. The document need
 * not be well-formed; what is not JSON stays so.
 */
char *ws_json_substitute(const char *text, size_t length);

#ifdef __cplusplus
}
#endif
#endif
