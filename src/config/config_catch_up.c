/* Reads the accepted configuration from the table service and the object store. */
#include "config_store_internal.h"

#include "wickbridge/log.h"

#include <stdio.h>
#include <string.h>

#define RETRY_MS 1000

static void poll_schedule(wb_config_store_t *store, gboolean success) {
    int64_t wait_ms = success ? store->poll_interval_ms : RETRY_MS;
    wait_ms += g_random_int_range(0, (gint32)(wait_ms / 2) + 1);
    store->next_poll_ms = wb_clock_ms() + wait_ms;
    store->catching_up = FALSE;
}

char *wb_config_change_key(uint64_t version) {
    return g_strdup_printf(WB_CONFIG_CHANGE_PREFIX "%010" G_GUINT64_FORMAT, (guint64)version);
}

static void changes_read(wb_platform_status_t status, const json_t *body, void *context) {
    wb_config_store_t *store = context;
    if (status != WB_PLATFORM_DONE) {
        poll_schedule(store, FALSE);
        return;
    }
    size_t index;
    json_t *row;
    json_array_foreach(json_object_get(body, "rows"), index, row) {
        const char *key = wb_json_text(row, "key", "");
        uint64_t version = g_ascii_strtoull(key + strlen(WB_CONFIG_CHANGE_PREFIX), NULL, 10);
        wb_config_change_take(store, json_object_get(row, "value"), version, NULL);
    }
    poll_schedule(store, TRUE);
    store->next_poll_ms = wb_clock_ms(); /* once more: are we at the newest one now? */
}

static void changes_fetch(wb_config_store_t *store) {
    wb_platform_scan_rows(store->platform, WB_CONFIG_CHANGE_PREFIX, changes_read, store);
}

static void snapshot_read(wb_platform_status_t status, const json_t *body, void *context) {
    wb_config_store_t *store = context;
    if (status != WB_PLATFORM_DONE) {
        poll_schedule(store, FALSE);
        return;
    }
    wb_config_snapshot_take(store, json_object_get(body, "objects"),
                            (uint64_t)wb_json_integer(body, "version", 0));
    changes_fetch(store);
}

static void snapshot_row_read(wb_platform_status_t status, const json_t *body, void *context) {
    wb_config_store_t *store = context;
    if (status != WB_PLATFORM_DONE) {
        poll_schedule(store, FALSE);
        return;
    }
    const json_t *value = json_object_get(body, "value");
    uint64_t version = (uint64_t)wb_json_integer(value, "version", 0);
    if (version > store->current->version)
        wb_platform_object_get(store->platform, wb_json_text(value, "object", "none"),
                               snapshot_read, store);
    else
        changes_fetch(store);
}

static void current_read(wb_platform_status_t status, const json_t *body, void *context) {
    wb_config_store_t *store = context;
    if (status != WB_PLATFORM_DONE) {
        poll_schedule(store, FALSE);
        return;
    }
    uint64_t version = (uint64_t)wb_json_integer(json_object_get(body, "value"), "version", 0);
    if (version > store->current->version) {
        wb_platform_read_row(store->platform, WB_CONFIG_ROW_SNAPSHOT, snapshot_row_read, store);
        return;
    }
    if (!store->ready)
        wb_log_message(WB_LOG_CONFIG, "The table service has no newer configuration than ours.");
    store->ready = TRUE;
    poll_schedule(store, TRUE);
}

void wb_config_catch_up_now(wb_config_store_t *store) {
    if (store->catching_up)
        return;
    store->catching_up = TRUE;
    wb_platform_read_row(store->platform, WB_CONFIG_ROW_CURRENT, current_read, store);
}

static void poll_tick(void *context) {
    wb_config_store_t *store = context;
    if (wb_clock_ms() >= store->next_poll_ms)
        wb_config_catch_up_now(store);
}

void wb_config_catch_up_start(wb_config_store_t *store) {
    store->poll_timer = wb_loop_every(store->loop, 100, poll_tick, store);
    wb_config_catch_up_now(store);
}

void wb_config_catch_up_stop(wb_config_store_t *store) {
    wb_timer_cancel(store->poll_timer);
}
