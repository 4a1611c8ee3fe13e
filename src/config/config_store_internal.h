/* Private declarations of the configuration store, shared by config_store.c, config_apply.c and
 * config_catch_up.c. Times are in milliseconds of wb_clock_ms. Everything runs on the loop's
 * thread. */
#ifndef WICKBRIDGE_CONFIG_STORE_INTERNAL_H
#define WICKBRIDGE_CONFIG_STORE_INTERNAL_H

#include "wickbridge/config_store.h"

struct wb_config_store_t {
    wb_loop_t *loop;
    wb_platform_t *platform;
    wb_peers_t *peers;
    wb_config_store_events_t events;
    wb_config_t *current;
    GPtrArray *changes;           /* the latest accepted changes, oldest first, up to `current` */
    GHashTable *heartbeat_counts; /* node -> heartbeats that showed no newer version */
    gboolean ready;
    gboolean catching_up;
    int64_t fetch_sent_ms;
    int64_t poll_interval_ms;
    int64_t next_poll_ms;
    wb_timer_t *poll_timer;
};

/* Apply an accepted change if it directly follows `current`, and broadcast it to the overlay.
 * `from_node`, if not NULL, is left out. Returns FALSE when the change was not applied. */
gboolean wb_config_change_apply(wb_config_store_t *store, const json_t *change, uint64_t to,
                                const char *from_node);

/* Replace the configuration with a complete newer one. Returns FALSE when it isn't newer or is
 * invalid. */
gboolean wb_config_snapshot_apply(wb_config_store_t *store, const json_t *objects,
                                  uint64_t version);

/* Start and stop reading the table service: once at the start, then regularly.
 * wb_config_catch_up_now reads at once unless a read is in progress. */
void wb_config_catch_up_start(wb_config_store_t *store);
void wb_config_catch_up_stop(wb_config_store_t *store);
void wb_config_catch_up_now(wb_config_store_t *store);

/* Keys of rows in the table service. */
#define WB_CONFIG_ROW_CURRENT "config/current"
#define WB_CONFIG_ROW_SNAPSHOT "config/snapshot"
#define WB_CONFIG_CHANGE_PREFIX "config/change/"

/* @return "config/change/0000000012" for 12; freed by the caller */
char *wb_config_change_key(uint64_t version);

#endif
