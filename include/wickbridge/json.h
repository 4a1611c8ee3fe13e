/**
 * @file json.h
 * @brief Small helpers over jansson that every program here needs.
 */
#ifndef WICKBRIDGE_JSON_H
#define WICKBRIDGE_JSON_H

#include <jansson.h>
#include <stdint.h>

/** @return the member's text, or `fallback` when it is absent or no text; owned by `object` */
const char *wb_json_text(const json_t *object, const char *key, const char *fallback);

/** @return the member's whole number, or `fallback` when it is absent or no number */
int64_t wb_json_integer(const json_t *object, const char *key, int64_t fallback);

/** @return the member's truth, or `fallback` when it is absent or no boolean */
int wb_json_boolean(const json_t *object, const char *key, int fallback);

/** @return compact text with sorted keys, to be freed with free(); never NULL */
char *wb_json_dump(const json_t *value);

#endif
