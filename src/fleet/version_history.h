/**
 * @file version_history.h
 * @brief Which software versions of each service have had engines lately. While there was only one,
 * every stream began at it.
 *
 * The history counts from its begin, and anew after each gap in this node's knowledge of engines.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_VERSION_HISTORY_H
#define WICKBRIDGE_VERSION_HISTORY_H

#include <glib.h>
#include <stdint.h>

/** Longer than any stream lasts, its client's further tries included. */
#define WB_VERSION_HISTORY_MS 60000

typedef struct wb_version_history_t wb_version_history_t;

wb_version_history_t *wb_version_history_create(int64_t now_ms);
void wb_version_history_free(wb_version_history_t *history);
/** An engine of the service with this version ("": unknown) is announced. */
void wb_version_history_see(wb_version_history_t *history, const char *service,
                            const char *software_version, int64_t now_ms);
/** Engines may have come and gone unseen until now. */
void wb_version_history_restart(wb_version_history_t *history, int64_t now_ms);
/** @return the only version that engines of the service had in the last WB_VERSION_HISTORY_MS;
 * NULL: there were several, one is unknown, or the history is too short */
const char *wb_version_history_sole(const wb_version_history_t *history, const char *service,
                                    int64_t now_ms);

#endif
