/* Guards against values that end their line in a head and begin another. */
#include "unit.h"

#include "request/request_types.h"
#include "wickbridge/http_head.h"

#include <string.h>

#define BREAKING "a\r\nX-Odd: 1\n\rb\001\177"
#define MENDED "a  X-Odd: 1  b  "

static void test_values(void) {
    static const char *const valid[] = {"a", "a b", "o\"\\,{", "\xc3\xa9"};
    static const char *const invalid[] = {"", " ", " a", "a ", "a\tb", "a\r\nb", "\177", "\xff"};
    for (size_t i = 0; i < G_N_ELEMENTS(valid); i++)
        g_assert_true(wb_http_value_is_valid(valid[i]));
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
        g_assert_false(wb_http_value_is_valid(invalid[i]));
}

static void test_lines(void) {
    g_autoptr(GString) head = g_string_new("A: \r\n");
    wb_http_header_append(head, "B", "plain\tvalue \xc3\xa9\xff");
    wb_http_header_append(head, "C", BREAKING);
    wb_http_header_append(head, "D", "");
    g_assert_cmpstr(head->str, ==,
                    "A: \r\nB: plain\tvalue \xc3\xa9\xff\r\nC: " MENDED "\r\nD: \r\n");
}

/* Each text of another party that goes into a request to an engine. */
static void test_request(void) {
    static const char *const reserved[] = {NULL};
    static const wb_dialect_t dialect = {.deadline_ms = "Deadline",
                                         .expected_engine = "Expected",
                                         .urgency = "Urgency",
                                         .tenant = "Tenant",
                                         .last_event_id = "Last-Event",
                                         .reserved = reserved};
    wb_http_header_t header = {g_strdup("Client"), g_strdup(BREAKING)};
    wb_tenant_t tenant = {.name = BREAKING};
    wb_engine_state_t state = {.id = BREAKING};
    wb_engine_t engine = {.state = &state};
    g_autofree wb_edge_t *edge = g_new0(wb_edge_t, 1);
    g_autofree wb_exchange_t *exchange = g_new0(wb_exchange_t, 1);
    wb_catalog_t catalog = {0};
    edge->dialect = &dialect;
    exchange->edge = edge;
    exchange->catalog = &catalog;
    exchange->tenant = &tenant;
    exchange->resuming = TRUE;
    exchange->last_event_id = BREAKING;
    exchange->body = g_byte_array_new();
    exchange->head = wb_http_head_create();
    exchange->head->method = g_strdup("GET");
    exchange->head->target = g_strdup("/x");
    g_array_append_val(exchange->head->headers, header);
    g_autoptr(GString) text = wb_attempt_request_text(exchange, &engine, 0);
    g_assert_cmpstr(text->str, ==,
                    "GET /x HTTP/1.1\r\nClient: " MENDED "\r\nDeadline: 1\r\nUrgency: 0\r\n"
                    "Expected: " MENDED "\r\nTenant: " MENDED "\r\nLast-Event: " MENDED "\r\n\r\n");
    g_byte_array_unref(exchange->body);
    wb_http_head_free(exchange->head);
}

static void tests_add(void) {
    g_test_add_func("/http-head/values", test_values);
    g_test_add_func("/http-head/lines", test_lines);
    g_test_add_func("/http-head/request", test_request);
}

UNIT_TEST_MAIN(tests_add)
