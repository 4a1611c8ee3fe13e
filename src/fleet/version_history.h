/**
 * @file version_history.h
 * @brief Which software versions of each service have had engines lately. While there was only one,
 * every stream began at it.
 *
 * The history counts from its begin, and anew (wb_version_history_restart) after a time without
 * knowledge of engines in which some may have come and gone.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_VERSION_HISTORY_H
#define WICKBRIDGE_VERSION_HISTORY_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_version_history_t wb_version_history_t;

/** @param window_ms longer than any stream lasts, its client's further tries included */
wb_version_history_t *wb_version_history_create(int64_t window_ms, int64_t now_ms);
/** @return the window */
int64_t wb_version_history_window_ms(const wb_version_history_t *history);
void wb_version_history_free(wb_version_history_t *history);
/** An engine of the service has this version ("": unknown), or has served with it. */
void wb_version_history_see(wb_version_history_t *history, const char *service,
                            const char *software_version, int64_t now_ms);
/** Another node knows that no engine came and went unseen since a time, up to now.
 * wb_version_history_see adds what it has seen. */
void wb_version_history_extend(wb_version_history_t *history, int64_t began_ms);
/** @return since when no engine can have come and gone unseen */
int64_t wb_version_history_began_ms(const wb_version_history_t *history);
/** Call a function for each version seen in the window. */
void wb_version_history_each(const wb_version_history_t *history, int64_t now_ms,
                             void (*visit)(const char *service, const char *software_version,
                                           int64_t age_ms, void *context),
                             void *context);
/** Engines may have come and gone unseen until now. */
void wb_version_history_restart(wb_version_history_t *history, int64_t now_ms);
/** @return the only version that engines of the service had in the window;
 * NULL: there were several, one is unknown, or the history is too short */
const char *wb_version_history_sole(const wb_version_history_t *history, const char *service,
                                    int64_t now_ms);

#endif
