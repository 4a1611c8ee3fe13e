/* Counts a node's calls to the store by table and cause. */
#include "wickbridge/store_calls.h"

#include "wickbridge/event_log.h"

#include <string.h>

static const char *const table_names[WB_STORE_TABLES] = {"catalog", "engines", "nodes", "streams"};
static const char *const cause_names[WB_STORE_CAUSE_COUNT] = {"read", "pace",  "lapsed", "safety",
                                                              "look", "hurry", "retry",  "write"};

void wb_store_calls_note(wb_store_calls_t *calls, wb_table_name_t table, wb_store_cause_t cause) {
    calls->made[table][cause]++;
}

void wb_store_calls_note_failure(wb_store_calls_t *calls) {
    calls->failed++;
}

uint64_t wb_store_calls_sum(const wb_store_calls_t *calls) {
    uint64_t sum = 0;
    for (size_t table = 0; table < WB_STORE_TABLES; table++) {
        for (size_t cause = 0; cause < WB_STORE_CAUSE_COUNT; cause++) {
            sum += calls->made[table][cause];
        }
    }
    return sum;
}

void wb_store_calls_log(wb_store_calls_t *calls, int64_t interval_ms, int64_t now_ms) {
    if (now_ms - calls->logged_ms < interval_ms) {
        return;
    }
    int64_t elapsed_ms = calls->logged_ms == 0 ? 0 : now_ms - calls->logged_ms;
    gboolean has_called = FALSE;
    g_autoptr(GString) members = g_string_new(NULL);
    g_string_printf(members, ",\"for_ms\":%lld,\"failed\":%llu", (long long)elapsed_ms,
                    (unsigned long long)(calls->failed - calls->failed_logged));
    for (size_t table = 0; table < WB_STORE_TABLES; table++) {
        for (size_t cause = 0; cause < WB_STORE_CAUSE_COUNT; cause++) {
            uint64_t made = calls->made[table][cause] - calls->logged[table][cause];
            if (made > 0) {
                has_called = TRUE;
                g_string_append_printf(members, ",\"%s-%s\":%llu", table_names[table],
                                       cause_names[cause], (unsigned long long)made);
            }
        }
    }
    calls->logged_ms = now_ms;
    if (!has_called) {
        return;
    }
    wb_event_members("store-calls", members->str);
    memcpy(calls->logged, calls->made, sizeof(calls->logged));
    calls->failed_logged = calls->failed;
}

void wb_store_calls_write(const wb_store_calls_t *calls, GString *text) {
    const char *name = "wickbridge_store_calls_by_cause_total";
    g_string_append_printf(text,
                           "# HELP %s Calls to the store by table and cause.\n"
                           "# TYPE %s counter\n",
                           name, name);
    for (size_t table = 0; table < WB_STORE_TABLES; table++) {
        for (size_t cause = 0; cause < WB_STORE_CAUSE_COUNT; cause++) {
            g_string_append_printf(text, "%s{table=\"%s\",cause=\"%s\"} %llu\n", name,
                                   table_names[table], cause_names[cause],
                                   (unsigned long long)calls->made[table][cause]);
        }
    }
}
