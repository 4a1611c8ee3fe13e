/**
 * @file served_set.h
 * @brief Requests to which engines have recently given complete successful responses at this node.
 *
 * A request that many clients send alike (a status query, an empty search) runs on nearly every
 * engine that crashes and would soon be taken for a poison request. But it also succeeds all the
 * time, which a poison request never does. So no crashes are recorded against a recently served
 * request.
 *
 * Memory is bounded by WB_SERVED_SLOTS slots of 16 bytes. The slot is chosen by the digest; a new
 * entry overwrites the one in its slot.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_SERVED_SET_H
#define WICKBRIDGE_SERVED_SET_H

#include "poison/request_digest.h"

#include <stdint.h>

/** Number of slots. A frequent request renews its entry before others overwrite it. */
#define WB_SERVED_SLOTS 1024
/** Lifetime of an entry. It delays the detection of a request that begins to crash engines. */
#define WB_SERVED_MS 60000
/** Requests with larger bodies aren't recorded: they rarely repeat, and the digest costs time. */
#define WB_SERVED_BODY_BYTES 4096

typedef struct wb_served_set_t wb_served_set_t;

wb_served_set_t *wb_served_set_create(void);
void wb_served_set_free(wb_served_set_t *set);
/** Record that an engine has run a request to its end. */
void wb_served_set_add(wb_served_set_t *set, const wb_request_digest_t *digest, int64_t now_ms);
/** @return TRUE when the request was served less than WB_SERVED_MS ago and isn't overwritten */
gboolean wb_served_set_has(const wb_served_set_t *set, const wb_request_digest_t *digest,
                           int64_t now_ms);

/** @return when the request was last recorded, however long ago; 0: it isn't, or is overwritten */
int64_t wb_served_set_last_ms(const wb_served_set_t *set, const wb_request_digest_t *digest);

#endif
