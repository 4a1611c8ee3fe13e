/**
 * @file version_history.h
 * @brief Which software versions of each service streams can have begun at. While there was only
 * one, every stream of the service began at it, also one of which nothing else is known.
 *
 * That holds only if each version is stored where it outlives all nodes before a stream begins at
 * it. So entries are numbered; the owner stores all of them, confirms the number up to which they
 * are stored, and lets streams begin at stored versions only.
 *
 * A version counts until no engine has had it for the horizon. Times are monotonic and in
 * milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_VERSION_HISTORY_H
#define WICKBRIDGE_VERSION_HISTORY_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_version_history_t wb_version_history_t;

/** @param horizon_ms max age of a stream that its client takes up */
wb_version_history_t *wb_version_history_create(int64_t horizon_ms, int64_t now_ms);
/** @return the horizon */
int64_t wb_version_history_horizon_ms(const wb_version_history_t *history);
void wb_version_history_free(wb_version_history_t *history);
/** An engine of the service has this version ("": unknown).
 * @return TRUE if the version wasn't known */
gboolean wb_version_history_see(wb_version_history_t *history, const char *service,
                                const char *software_version, int64_t now_ms);
/** The same for one that is known to be stored. @return TRUE if that wasn't known */
gboolean wb_version_history_see_stored(wb_version_history_t *history, const char *service,
                                       const char *software_version, int64_t now_ms);
/** @return number of the latest entry; 0: there is none */
uint64_t wb_version_history_number(const wb_version_history_t *history);
/** All entries up to a number are stored. @return TRUE if one of them wasn't before */
gboolean wb_version_history_confirm(wb_version_history_t *history, uint64_t number);
/** @return TRUE if the version is stored, so that streams may begin at it */
gboolean wb_version_history_is_stored(const wb_version_history_t *history, const char *service,
                                      const char *software_version);
/** Set since when the history is whole: no stream began since at a version that it lacks. */
void wb_version_history_set_began(wb_version_history_t *history, int64_t began_ms);
/** @return since when the history is whole */
int64_t wb_version_history_began_ms(const wb_version_history_t *history);
/** Call a function for each version within the horizon. @param stored_only skip the others */
void wb_version_history_each(const wb_version_history_t *history, gboolean stored_only,
                             int64_t now_ms,
                             void (*visit)(const char *service, const char *software_version,
                                           int64_t age_ms, void *context),
                             void *context);
/** @return the only version that streams of the service can have begun at within the horizon;
 * NULL: there were several, one is unknown, or the history isn't whole for so long */
const char *wb_version_history_sole(const wb_version_history_t *history, const char *service,
                                    int64_t now_ms);

#endif
