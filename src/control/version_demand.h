/**
 * @file version_demand.h
 * @brief Requests of gateways that wait for a model or adapter at engines of one software version,
 * as they continue a stream that began at it.
 *
 * Pure: the time is passed in, in ms of the monotonic clock. Keeps copies of the reports.
 */
#ifndef WICKBRIDGE_VERSION_DEMAND_H
#define WICKBRIDGE_VERSION_DEMAND_H

#include "wickbridge/message.h"

typedef struct wb_version_demand_t wb_version_demand_t;

wb_version_demand_t *wb_version_demand_create(void);
void wb_version_demand_free(wb_version_demand_t *demand);
/** Take a gateway's report, which replaces its last one. */
void wb_version_demand_update(wb_version_demand_t *demand, const char *node,
                              const wb_wire_version_waits *waits, int64_t now_ms);
/** Call `visit` for each wait of a service in recent reports; the same model, adapter and version
 * may come once per gateway. `waited_ms`: for how long that gateway has reported it. */
void wb_version_demand_each(wb_version_demand_t *demand, const char *service, int64_t now_ms,
                            void (*visit)(const wb_wire_version_wait *wait, int64_t waited_ms,
                                          void *context),
                            void *context);
/** @return TRUE when there is any wait */
gboolean wb_version_demand_any(const wb_version_demand_t *demand);

#endif
