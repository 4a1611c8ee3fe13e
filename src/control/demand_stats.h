/**
 * @file demand_stats.h
 * @brief What all gateways ask for, by model and adapter: what they said last, and rates of
 * arrivals.
 *
 * Pure but for the copies it keeps: it is told the time.
 */
#ifndef WICKBRIDGE_DEMAND_STATS_H
#define WICKBRIDGE_DEMAND_STATS_H

#include "control/placement.h"

#include "wickbridge/message.h"

/** A model's or adapter's use, kept between messages. */
typedef struct wb_usage_t {
    wb_model_use_t use;
    int64_t rated_ms;      /**< when the rates were last decayed */
    int64_t waited_ms;     /**< since when it is waited for; 0: it isn't */
    int64_t used_ms;       /**< when it was last asked for */
    unsigned time_left_ms; /**< of the tightest that waits */
    unsigned missed;       /**< requests for it since no engine holds it */
    int64_t told_ready_ms; /**< steady time for which gateways expect it; 0: they weren't told */
} wb_usage_t;

typedef struct wb_demand_stats_t wb_demand_stats_t;

wb_demand_stats_t *wb_demand_stats_create(void);
void wb_demand_stats_free(wb_demand_stats_t *book);
/** A gateway's message; it replaces what that gateway said before. @return TRUE when someone waits
 */
gboolean wb_demand_stats_update(wb_demand_stats_t *book, const wb_wire_demand *demand, int64_t now_ms);
/** Add up what all gateways said lately; replicas and loads are set to none, for the caller to
 * count. */
void wb_demand_stats_aggregate(wb_demand_stats_t *book, int64_t now_ms);
/** Let rates decay, note since when models are waited for, forget what isn't asked for any more. */
void wb_demand_stats_expire(wb_demand_stats_t *book, int64_t now_ms);
/** @return the use of a model (adapter "") or adapter, or NULL */
wb_usage_t *wb_demand_stats_find(const wb_demand_stats_t *book, const char *service,
                                const char *model, const char *adapter);
/** As wb_demand_stats_find, made if it isn't there. */
wb_usage_t *wb_demand_stats_get(wb_demand_stats_t *book, const char *service, const char *model,
                               const char *adapter, int64_t now_ms);
/** Who waited for a model or adapter is served now; gateways say so if someone still waits. */
void wb_demand_stats_mark_served(wb_demand_stats_t *book, const char *service, const char *model,
                           const char *adapter);
gboolean wb_demand_stats_has_waiting(const wb_demand_stats_t *book);
/** Call for each adapter that someone waits for, once a gateway. */
void wb_demand_stats_each_waiting_adapter(const wb_demand_stats_t *book, const char *service,
                                 void (*visit)(const wb_wire_demand_entry *entry, void *context),
                                 void *context);

#endif
