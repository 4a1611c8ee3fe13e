/**
 * @file demand_stats.h
 * @brief Aggregates the demand that gateways report, per model and adapter: the last report of each
 * gateway, and decayed arrival rates.
 *
 * Pure: the time is passed in, in ms of the monotonic clock; rates are per second. Keeps copies of
 * the reports. A report that can't be copied is ignored; nothing else fails.
 */
#ifndef WICKBRIDGE_DEMAND_STATS_H
#define WICKBRIDGE_DEMAND_STATS_H

#include "control/placement.h"

#include "wickbridge/message.h"

/** Demand for a model or adapter, kept between reports. */
typedef struct wb_usage_t {
    wb_model_use_t use;
    int64_t decayed_ms;       /**< when the rates were last decayed */
    int64_t waiting_since_ms; /**< when requests began to wait for it; 0: none wait */
    int64_t last_used_ms;     /**< when the last request for it arrived */
    unsigned time_left_ms;    /**< minimum over the waiting requests of the time until their latency
                                 target (without one: until their answer is due), as reported;
                                 G_MAXUINT: none wait */
    unsigned missed_requests; /**< requests for it that arrived while no engine held it */
    int64_t announced_ready_ms; /**< time at which gateways expect it, by the last load estimate; 0:
                                   none was sent */
} wb_usage_t;

typedef struct wb_demand_stats_t wb_demand_stats_t;

wb_demand_stats_t *wb_demand_stats_create(void);
void wb_demand_stats_free(wb_demand_stats_t *stats);
/** Take a gateway's report, which replaces its last one. @return TRUE when requests wait in it */
gboolean wb_demand_stats_update(wb_demand_stats_t *stats, const wb_wire_demand *demand,
                                int64_t now_ms);
/** Sum up all recent reports. Replicas and loads are set to 0, for the caller to count. */
void wb_demand_stats_aggregate(wb_demand_stats_t *stats, int64_t now_ms);
/** Decay rates, record since when requests wait for each model, and drop entries that are no longer
 * used. */
void wb_demand_stats_expire(wb_demand_stats_t *stats, int64_t now_ms);
/** @return the demand for a model (adapter "") or adapter, owned by the stats, or NULL */
wb_usage_t *wb_demand_stats_find(const wb_demand_stats_t *stats, const char *service,
                                 const char *model, const char *adapter);
/** As wb_demand_stats_find, but creates the entry when there is none. */
wb_usage_t *wb_demand_stats_get(wb_demand_stats_t *stats, const char *service, const char *model,
                                const char *adapter, int64_t now_ms);
/** Count requests that wait for a model or adapter as running, as it is loaded now. A gateway's
 * next report replaces this. */
void wb_demand_stats_mark_served(wb_demand_stats_t *stats, const char *service, const char *model,
                                 const char *adapter);
/** @return TRUE when requests wait for any model, by the last wb_demand_stats_aggregate */
gboolean wb_demand_stats_has_waiting(const wb_demand_stats_t *stats);
/** Call `visit` for each adapter that requests wait for, once per gateway. */
void wb_demand_stats_each_waiting_adapter(const wb_demand_stats_t *stats, const char *service,
                                          void (*visit)(const wb_wire_demand_entry *entry,
                                                        void *context),
                                          void *context);

#endif
