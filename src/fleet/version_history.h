/**
 * @file version_history.h
 * @brief Which software versions of each service streams can have begun at. While there was only
 * one, every stream of the service began at it, also one of which nothing else is known.
 *
 * That holds only if each version is stored where it outlives all nodes before a stream begins at
 * it. So entries are numbered; the owner stores all of them and confirms the number up to which
 * they are stored, and streams begin at those. They may also begin at the only version of a service
 * that the owner knows before that is stored: whatever it stores of the service then has the
 * version, and a successor that finds nothing of the service doubts it.
 *
 * A version counts until no engine has had it for the horizon. Owners don't see engines leave and
 * return at the same time: one may still let streams begin at a version that the other counts no
 * more. So a version that comes back after half of the horizon is stored again first. Times are
 * monotonic and in milliseconds. Pure: the time is passed in. No errors.
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
 * @return TRUE if the version wasn't known, or has come back after half of the horizon */
gboolean wb_version_history_see(wb_version_history_t *history, const char *service,
                                const char *software_version, int64_t now_ms);
/** The same for one that is known to be stored. @param seen_ms when engines last had it, as stored
 * @return TRUE if streams may begin there only now */
gboolean wb_version_history_see_stored(wb_version_history_t *history, const char *service,
                                       const char *software_version, int64_t seen_ms);
/** @return number of the latest entry; 0: there is none */
uint64_t wb_version_history_number(const wb_version_history_t *history);
/** All entries up to a number are stored. @return TRUE if one of them wasn't before */
gboolean wb_version_history_confirm(wb_version_history_t *history, uint64_t number);
/** Streams may begin at the service's version if it is the only one. */
void wb_version_history_allow_only(wb_version_history_t *history, const char *service);
/** Count an unknown version for each service at none of whose versions streams may begin. */
void wb_version_history_doubt(wb_version_history_t *history, int64_t now_ms);
/** @return TRUE if a version of the service is known */
gboolean wb_version_history_has_service(const wb_version_history_t *history, const char *service);
/** @return TRUE if streams may begin at the version */
gboolean wb_version_history_may_begin(const wb_version_history_t *history, const char *service,
                                      const char *software_version);
/** Set since when the history is whole: no stream began since at a version that it lacks. */
void wb_version_history_set_began(wb_version_history_t *history, int64_t began_ms);
/** @return since when the history is whole */
int64_t wb_version_history_began_ms(const wb_version_history_t *history);
/** Call a function for each version within the horizon. @param open_only skip those at which
 * no stream may begin */
void wb_version_history_each(const wb_version_history_t *history, gboolean open_only,
                             int64_t now_ms,
                             void (*visit)(const char *service, const char *software_version,
                                           int64_t age_ms, void *context),
                             void *context);
/** @return TRUE if the service has had several versions since then */
gboolean wb_version_history_is_mixed(const wb_version_history_t *history, const char *service,
                                     int64_t since_ms);
/** @return TRUE if any service has */
gboolean wb_version_history_any_is_mixed(const wb_version_history_t *history, int64_t since_ms);
/** @return the only version that streams of the service can have begun at within the horizon;
 * NULL: there were several, one is unknown, or the history isn't whole for so long */
const char *wb_version_history_sole(const wb_version_history_t *history, const char *service,
                                    int64_t now_ms);

#endif
