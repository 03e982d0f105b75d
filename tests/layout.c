#include "layout.h"
#include "core.h"

#ifdef LAYOUT_THEN
#define FIELD(structure, then, now) {#structure "." #then, offsetof(struct structure, then)},
#define ELEMENT(then, now) {"size of " #then, sizeof(struct then)},
#define VALUE(then, now) {#then, then},
#define TABLE layout_then
#define COUNT layout_then_count
#else
#define FIELD(structure, then, now) {#structure "." #then, offsetof(struct structure, now)},
#define ELEMENT(then, now) {"size of " #then, sizeof(struct now)},
#define VALUE(then, now) {#then, now},
#define TABLE layout_now
#define COUNT layout_now_count
#endif

/* clang-format off */
const struct layout_entry TABLE[] = {
#include "layout_fields.def"
};
/* clang-format on */
const size_t COUNT = sizeof(TABLE) / sizeof(TABLE[0]);
