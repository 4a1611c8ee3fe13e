/**
 * @file json.h
 * @brief Accessors with fallback values for jansson objects.
 */
#ifndef WICKBRIDGE_JSON_H
#define WICKBRIDGE_JSON_H

#include <jansson.h>
#include <stdint.h>

/** @return the member's string, or `fallback` if it is absent or not a string; owned by `object` */
const char *wb_json_text(const json_t *object, const char *key, const char *fallback);

/** @return the member's number, or `fallback` if it is absent or not a number. A real number is
 * truncated to an integer and clamped to +-2^53. */
int64_t wb_json_integer(const json_t *object, const char *key, int64_t fallback);

/** @return the member's boolean (0 or 1), or `fallback` if it is absent or not a boolean */
int wb_json_boolean(const json_t *object, const char *key, int fallback);

/** @return the value as compact JSON with sorted keys, to be freed with free(); never NULL */
char *wb_json_dump(const json_t *value);

#endif
