/**
 * @file config_oracle.h
 * @brief Checks which version of the configuration a node used for a request, from what the
 * operator wrote, clients sent and engines ran.
 *
 * A request may be handled by any version that may be in force: one is out of force once a newer
 * one has been acknowledged for the time within which changes must take effect. Times are in ms.
 * The nodes' own logs aren't used.
 */
#ifndef WICKBRIDGE_TEST_CONFIG_ORACLE_H
#define WICKBRIDGE_TEST_CONFIG_ORACLE_H

#include <glib.h>
#include <stdint.h>

typedef struct config_oracle_t config_oracle_t;

/** How a request was handled. */
typedef struct config_outcome_t {
    guint route;
    const char *service; /**< service that ran it; NULL: refused with 404 */
    int64_t sent_ms;
    int64_t ended_ms;
} config_outcome_t;

typedef enum config_verdict_t {
    CONFIG_ALLOWED,
    CONFIG_OUTDATED, /**< only a version that is out of force allows it */
    CONFIG_INVALID   /**< no version written so far allows it */
} config_verdict_t;

/** @param in_force_ms time from the acknowledgement within which a version takes effect */
config_oracle_t *config_oracle_create(guint routes, int64_t in_force_ms);
void config_oracle_free(config_oracle_t *oracle);
/** Record a version. Versions are recorded in order, right after the store's acknowledgement.
 * @param services per route: the services it leads to, separated by commas; NULL: no such route */
void config_oracle_write(config_oracle_t *oracle, const char *const *services, int64_t sent_ms,
                         int64_t acked_ms);
config_verdict_t config_oracle_judge(const config_oracle_t *oracle,
                                     const config_outcome_t *outcome);
/** @return index of the oldest version that allows the outcome, -1: none does. Effects of this
 * version or a newer one were seen */
int config_oracle_oldest(const config_oracle_t *oracle, const config_outcome_t *outcome);
/** @return TRUE when a version at or after this index, sent before the request ended, allows it */
gboolean config_oracle_allows_since(const config_oracle_t *oracle, const config_outcome_t *outcome,
                                    int oldest);
/** @return TRUE when each version that may be in force has the route */
gboolean config_oracle_has_route(const config_oracle_t *oracle, guint route, int64_t sent_ms,
                                 int64_t ended_ms);
/** @return TRUE when the first version has the route */
gboolean config_oracle_is_first(const config_oracle_t *oracle, guint route);

#endif
