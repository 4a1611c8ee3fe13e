/**
 * @file part_oracle.h
 * @brief Checks what engines received of requests with a part of the prompt that crashes engines.
 *
 * Once WB_TEST_PART_CRASHES engines have crashed under such a part and nodes had time to learn of
 * it, few further requests with it may reach engines. Reads the stand-in's records. Times in ms.
 */
#ifndef WICKBRIDGE_TEST_PART_ORACLE_H
#define WICKBRIDGE_TEST_PART_ORACLE_H

#include <glib.h>
#include <jansson.h>

#define PART_ORACLE_CRASHES 5
#define PART_ORACLE_CONTACT_MS 3000
/** Further requests that may reach engines. */
#define PART_ORACLE_LATE_MAX 3

/** @return number of engines that crashed under the part */
int part_oracle_crashes(const json_t *seen, const char *part);
/** @return time of the crash from which requests are judged: the fifth, the last if there are
 * fewer; 0: there was none */
int64_t part_oracle_from_ms(const json_t *seen, const char *part);
/**
 * Count requests with the part that reached engines later than PART_ORACLE_CONTACT_MS after the
 * fifth crash.
 * @param counts whether a request counts, by its id and when it reached the engine; NULL: each does
 */
int part_oracle_late(const json_t *seen, const char *part,
                     gboolean (*counts)(const char *id, int64_t at_ms, void *context),
                     void *context);

#endif
