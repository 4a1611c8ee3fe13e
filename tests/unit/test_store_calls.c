/* Calls to the store, counted by table and cause. */
#include "unit.h"

#include "wickbridge/store_calls.h"

#include <string.h>

static void test_store_calls_by_cause(void) {
    wb_store_calls_t calls = {0};
    wb_store_calls_note(&calls, WB_TABLE_ENGINES, WB_STORE_CAUSE_STALE);
    wb_store_calls_note(&calls, WB_TABLE_ENGINES, WB_STORE_CAUSE_STALE);
    wb_store_calls_note(&calls, WB_TABLE_NODES, WB_STORE_CAUSE_WRITE);
    wb_store_calls_note_failure(&calls);
    g_assert_cmpuint(wb_store_calls_sum(&calls), ==, 3);
    g_assert_cmpuint(calls.failed, ==, 1);
    g_autoptr(GString) text = g_string_new(NULL);
    wb_store_calls_write(&calls, text);
    const char *engines = "{table=\"engines\",cause=\"lapsed\"} 2\n";
    const char *nodes = "{table=\"nodes\",cause=\"write\"} 1\n";
    g_assert_nonnull(strstr(text->str, engines));
    g_assert_nonnull(strstr(text->str, nodes));
}

static void tests_add(void) {
    g_test_add_func("/store-calls/by-cause", test_store_calls_by_cause);
}

UNIT_TEST_MAIN(tests_add)
