/*
 * Definitions of the iteration macros of uthash, utlist and jansson for cppcheck, which does not
 * read those headers and must treat the macros as loops. This file is never compiled.
 */
#define HASH_ITER(hh, head, el, tmp) for ((el) = (head), (tmp) = (el); (el); (el) = (tmp))
#define DL_FOREACH(head, el) for ((el) = (head); (el); (el) = (el)->next)
#define DL_FOREACH2(head, el, next) for ((el) = (head); (el); (el) = (el)->next)
#define DL_FOREACH_SAFE(head, el, tmp) for ((el) = (head), (tmp) = (el); (el); (el) = (tmp))
#define DL_FOREACH_SAFE2(head, el, tmp, next) for ((el) = (head), (tmp) = (el); (el); (el) = (tmp))
#define json_array_foreach(array, i, v) \
	for ((i) = 0; (i) < json_array_size(array) && ((v) = json_array_get(array, i)); (i)++)
#define json_object_foreach(object, key, v) \
	for ((key) = json_object_iter_key(json_object_iter(object)); (key) && ((v) = json_object_get(object, key)); (key) = 0)
