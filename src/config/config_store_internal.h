/* Inner types of the configuration store, shared by its files. */
#ifndef WICKBRIDGE_CONFIG_APPLY_H
#define WICKBRIDGE_CONFIG_APPLY_H

#include "wickbridge/config_store.h"

struct wb_config_store_t {
    wb_loop_t *loop;
    wb_platform_t *platform;
    wb_peers_t *peers;
    wb_config_store_events_t events;
    wb_config_t *current;
    GPtrArray *changes;     /* the newest accepted changes, the last one made `current` */
    GHashTable *heard_same; /* neighbour -> heartbeats that showed nothing newer */
    gboolean ready;
    gboolean catching_up;
    int64_t fetch_asked_ms;
    int64_t poll_interval_ms;
    int64_t next_poll_ms;
    wb_timer_t *poll_timer;
};

/* Take an accepted change that follows `current`, and pass it on. */
gboolean wb_config_change_take(wb_config_store_t *store, const json_t *change, uint64_t to,
                               const char *from_node);

/* Take a whole newer configuration. */
gboolean wb_config_snapshot_take(wb_config_store_t *store, const json_t *objects, uint64_t version);

/* Read from the table service at once, then regularly. */
void wb_config_catch_up_start(wb_config_store_t *store);
void wb_config_catch_up_stop(wb_config_store_t *store);
void wb_config_catch_up_now(wb_config_store_t *store);

/* Names of rows and objects. */
#define WB_CONFIG_ROW_CURRENT "config/current"
#define WB_CONFIG_ROW_SNAPSHOT "config/snapshot"
#define WB_CONFIG_CHANGE_PREFIX "config/change/"

/* @return "config/change/0000000012" for 12; freed by the caller */
char *wb_config_change_key(uint64_t version);

#endif
