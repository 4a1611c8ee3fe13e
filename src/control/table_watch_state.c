/* What a table watch knows, and as of when. */
#include "control/table_watch_types.h"

gboolean wb_watch_row_is_missing(const wb_table_watch_t *watch) {
    return watch->peer_newest_row > MAX(watch->newest_row, watch->version);
}

int64_t wb_table_watch_newest_row(const wb_table_watch_t *watch) {
    return watch->newest_row;
}

int64_t wb_table_watch_known_ms(const wb_table_watch_t *watch) {
    return watch->known_ms;
}

int64_t wb_table_watch_fresh_ms(const wb_table_watch_t *watch) {
    return MAX(MAX(watch->known_ms, watch->empty_until_ms), watch->peer_known_ms);
}

int64_t wb_table_watch_newest_named(const wb_table_watch_t *watch) {
    return MAX(watch->newest_row, watch->peer_newest_row);
}

int64_t wb_table_watch_behind_since_ms(const wb_table_watch_t *watch) {
    return wb_watch_row_is_missing(watch) ? watch->named_ms : 0;
}

int64_t wb_table_watch_named_ms(const wb_table_watch_t *watch, int64_t row_version) {
    return watch->peer_newest_row == row_version ? watch->named_ms : 0;
}

uint64_t wb_table_watch_ignored_rows(const wb_table_watch_t *watch) {
    return watch->ignored_rows;
}

int64_t wb_table_watch_read_era(const wb_table_watch_t *watch) {
    return wb_store_version_era(watch->version);
}

int64_t wb_table_watch_fresh_before_rollback_ms(const wb_table_watch_t *watch) {
    return watch->fresh_before_ms;
}

gboolean wb_table_watch_is_settling(const wb_table_watch_t *watch) {
    return watch->rollback_ms != 0 &&
           (wb_clock_ms() - watch->rollback_ms < WB_WATCH_LOST_ROW_GRACE_MS ||
            watch->settle_timer != NULL);
}

gboolean wb_table_watch_is_reading(const wb_table_watch_t *watch) {
    return watch->state == WB_WATCH_READING;
}

gboolean wb_table_watch_is_synced(const wb_table_watch_t *watch) {
    return watch->synced;
}

int64_t wb_table_watch_age_ms(const wb_table_watch_t *watch) {
    int64_t contact_ms = MAX(watch->answered_ms, watch->peer_known_ms);
    return contact_ms == 0 ? G_MAXINT64 : wb_clock_ms() - contact_ms;
}
