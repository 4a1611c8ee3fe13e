/**
 * @file served_set.h
 * @brief Requests that engines have lately answered whole at this node.
 *
 * What many callers ask for alike (a status, an empty search) is under way at nearly every engine
 * that crashes, and would soon look like a request that crashes engines. But such a request ends
 * well all the time, and poison never does: so nothing is held against what was lately served.
 *
 * Bounded: WB_SERVED_SLOTS of 16 bytes; a later request takes an earlier one's place.
 */
#ifndef WICKBRIDGE_SERVED_SET_H
#define WICKBRIDGE_SERVED_SET_H

#include "poison/request_digest.h"

#include <stdint.h>

/** What is asked for alike comes often, so it keeps its place among some hundred others. */
#define WB_SERVED_SLOTS 1024
/** A minute: requests that come more rarely are few among those that run at an engine, and one that
 * newly crashes engines, after a change of theirs, is known a minute later. */
#define WB_SERVED_MS 60000
/** Longer bodies aren't remembered: they are hardly ever asked for twice, and a digest of 18 KB
 * takes 0.1 ms of a core. */
#define WB_SERVED_BODY_BYTES 4096

typedef struct wb_served_set_t wb_served_set_t;

wb_served_set_t *wb_served_set_create(void);
void wb_served_set_free(wb_served_set_t *set);
/** An engine has answered a request whole. */
void wb_served_set_add(wb_served_set_t *set, const wb_request_digest_t *digest, int64_t now_ms);
/** @return TRUE when that was less than WB_SERVED_MS ago, as far as is remembered */
gboolean wb_served_set_has(const wb_served_set_t *set, const wb_request_digest_t *digest,
                           int64_t now_ms);

#endif
