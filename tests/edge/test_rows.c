/* Guards against rows of another writer that end a process, keep it from following the table of
 * engines, or put bytes of their own into requests, orders, messages between nodes or log lines. */
#include "edge.h"

#include <string.h>

#define SETTLE_MS 1500
#define REQUESTS 40
#define LONG_ID_BYTES 190  /* a key, and no engine's id */
#define LONG_KEY_BYTES 250 /* no key */
/* The library that reads rows reads no deeper. */
#define NESTING_MAX 2048

static void engine_start(const estate_t *estate, const char *id, const char *service) {
    estate_command_json(estate, json_pack("{s:s, s:s, s:{s:s}}", "do", "engine-start", "engine", id,
                                          "options", "service", service));
}

static void assert_all_served(const estate_t *estate, const char *prefix) {
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *id = g_strdup_printf("%s%d", prefix, i);
        g_assert_cmpint(asked(estate, i % estate->node_count, "/lock/x", id, EDGE_DEADLINE), ==,
                        200);
    }
}

/* Returns how many requests reached an engine, whether it took them or not. */
static unsigned arrivals_at(const estate_t *estate, const char *engine) {
    json_t *seen = estate_records(estate);
    unsigned count = 0;
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        count += strcmp(json_string_value(json_object_get(arrival, "engine")), engine) == 0;
    }
    json_decref(seen);
    return count;
}

/* Asserts that each line of a node's log is a JSON object. */
static void assert_log_is_json(const estate_t *estate, int node) {
    g_autofree char *log = NULL;
    g_assert_true(g_file_get_contents(estate->nodes[node].process.log_path, &log, NULL, NULL));
    g_auto(GStrv) lines = g_strsplit(log, "\n", -1);
    for (guint i = 0; lines[i] != NULL && lines[i + 1] != NULL; i++) {
        json_t *line = json_loads(lines[i], 0, NULL);
        if (!json_is_object(line)) {
            g_test_message("line %u of node %d: %s", i + 1, node, lines[i]);
        }
        g_assert_true(json_is_object(line));
        json_decref(line);
    }
}

static void assert_refused(const estate_t *estate, int node, const char *metric,
                           const char *event) {
    g_autofree char *member = g_strdup_printf("\"event\":\"%s\"", event);
    g_assert_cmpfloat(estate_metric(estate, node, metric), >, 0);
    g_assert_true(estate_log_has(estate, node, member));
}

/* Asserts that the nodes run, follow rows that were written later, and wrote nothing but JSON, and
 * that the controller refused rows; it alone reads the table. */
static void assert_sound(const estate_t *estate, const char *later_engine) {
    int controller = estate_wait_controller(estate, 3000);
    assert_refused(estate, controller, "engine_rows_refused_total", "engine-row-refused");
    engine_start(estate, later_engine, "lock");
    g_usleep(SETTLE_MS * 1000);
    assert_all_served(estate, later_engine);
    g_assert_cmpuint(arrivals_at(estate, later_engine), >, 0);
    for (int node = 0; node < estate->node_count; node++) {
        g_assert_true(estate_node_is_ready(estate, node));
        g_assert_false(estate_log_has(estate, node, "\"event\":\"message-refused\""));
        assert_log_is_json(estate, node);
    }
}

/* Guards against an id that ends its line in the head of a request and begins another. */
static void test_odd_ids(void) {
    static const char *const refused[] = {
        "odd\r\nX-Odd: 1", "odd\nX-Odd: 1", "odd\rX-Odd: 1", "odd\tid", " odd", "odd ", "odd\177"};
    estate_t *estate = estate_start(2, NULL);
    for (gsize i = 0; i < G_N_ELEMENTS(refused); i++) {
        engine_start(estate, refused[i], "lock");
    }
    g_usleep(SETTLE_MS * 1000);
    assert_all_served(estate, "i");
    for (gsize i = 0; i < G_N_ELEMENTS(refused); i++) {
        g_assert_cmpuint(arrivals_at(estate, refused[i]), ==, 0);
    }
    assert_sound(estate, "later-lock");
    estate_stop(estate);
}

/* Guards against an id that ends its string in a log line. A header can have it, so the engine is
 * used. */
static void test_quoted_id(void) {
    static const char id[] = "o\"\\,{%s%n";
    estate_t *estate = estate_start(2, NULL);
    engine_start(estate, id, "lock");
    g_usleep(SETTLE_MS * 1000);
    assert_all_served(estate, "q");
    g_assert_cmpuint(arrivals_at(estate, id), >, 0);
    for (int node = 0; node < estate->node_count; node++) {
        assert_log_is_json(estate, node);
    }
    estate_stop(estate);
}

/* Guards against a key that is longer than messages between nodes take: the holder's update then
 * went to nobody, with all other rows in it, and so did its placement. */
static void test_long_ids(void) {
    estate_t *estate = estate_start(2, NULL);
    g_autofree char *engine = g_strnfill(LONG_ID_BYTES, 'e');
    g_autofree char *beyond = g_strnfill(LONG_KEY_BYTES, 'b');
    g_autofree char *removed = g_strnfill(LONG_KEY_BYTES, 'r');
    int controller = estate_wait_controller(estate, 3000);
    double token = estate_metric(estate, controller, "lease_token");
    engine_start(estate, engine, "llm");
    engine_start(estate, beyond, "llm");
    estate_engine_row_write(estate, removed, "{}");
    g_usleep(SETTLE_MS * 1000);
    estate_engine_row_write(estate, removed, NULL);
    g_assert_cmpint(asked(estate, 0, "/chat/x", "l0", EDGE_MODEL("m3")), ==, 200);
    g_assert_cmpint(asked(estate, 1, "/chat/x", "l1", EDGE_MODEL("m4")), ==, 200);
    assert_sound(estate, "later-long");
    assert_refused(estate, controller, "rows_refused_total", "store-rows-refused");
    g_assert_cmpuint(arrivals_at(estate, engine), ==, 0);
    g_assert_cmpuint(arrivals_at(estate, beyond), ==, 0);
    g_assert_cmpint(estate_controller(estate), ==, controller);
    g_assert_cmpfloat(estate_metric(estate, controller, "lease_token"), ==, token);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* The members of a valid row without its service. */
#define VALID_FIELDS                                                                               \
    "\"address\":\"127.0.0.1:1\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":8,"              \
    "\"state\":\"ready\",\"sequence\":1,\"born\":1700000000123"

/* Writes a row that nests lists or objects. */
static void nested_row_write(const estate_t *estate, const char *key, const char *opening,
                             const char *closing, unsigned depth) {
    g_autoptr(GString) text = g_string_new("{\"service\":\"other\"," VALID_FIELDS ",\"extra\":");
    for (unsigned i = 0; i < depth; i++) {
        g_string_append(text, opening);
    }
    g_string_append_c(text, '1');
    for (unsigned i = 0; i < depth; i++) {
        g_string_append(text, closing);
    }
    g_string_append_c(text, '}');
    estate_engine_row_write(estate, key, text->str);
}

static void nested_rows_write(const estate_t *estate) {
    static const unsigned depths[] = {50, NESTING_MAX - 2, NESTING_MAX - 1, NESTING_MAX, 30000};
    static const struct {
        const char *opening;
        const char *closing;
    } kinds[] = {{"[", "]"}, {"{\"a\":", "}"}, {"[", ""}};
    for (gsize i = 0; i < G_N_ELEMENTS(depths); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(kinds); j++) {
            g_autofree char *key = g_strdup_printf("nested-%u-%zu", depths[i], j);
            nested_row_write(estate, key, kinds[j].opening, kinds[j].closing, depths[i]);
        }
    }
}

static void odd_rows_write(const estate_t *estate, const char *service, const char *const *members,
                           gsize count) {
    for (gsize i = 0; i < count; i++) {
        g_autofree char *key = g_strdup_printf("%s-%zu", service, i);
        g_autofree char *row =
            g_strdup_printf("{\"service\":\"%s\"," VALID_FIELDS ",%s}", service, members[i]);
        estate_engine_row_write(estate, key, row);
    }
}

/* Each is the only odd member of its row. These must not count as engines of the service "lock";
 * nothing listens at their address. */
static const char *const refused_members[] = {
    "\"extra\":1e999",
    "\"extra\":99999999999999999999999",
    "\"sequence\":18446744073709551616",
    "\"slots\":4611686018427387904",
    "\"slots\":1e300",
    "\"born\":9223372036854775807",
    "\"zone\":\"zone\\r\\nX: y\"",
    "\"zone\":\"a\\u0000b\"",
    "\"version\":\"v1\\r\\nX: y\"",
    "\"address\":\"127.0.0.1:65536\"",
    "\"address\":\"127.0.0.1:0\"",
    "\"address\":\"127.0.0.1:-1\"",
    "\"address\":\"127.0.0.1:99999999999999999999\"",
    "\"address\":\"127.0.0.1:\\r\\n9\"",
    "\"address\":\"127.0.0.1:9\\r\\nA: b\"",
    "\"address\":\"%s%n:9\"",
    "\"address\":\"[::1]:9\"",
};

/* These are bounded or left out. */
static const char *const tolerated_members[] = {
    "\"sequence\":9223372036854775807",
    "\"coldRemainingMs\":1e308",
    "\"coldRemainingMs\":-4611686018427387904",
    "\"state\":\"draining\",\"remainingMs\":9223372036854775807",
    "\"state\":\"draining\",\"remainingMs\":-1e300",
    "\"models\":[{\"name\":\"m0\",\"version\":9223372036854775807,\"adapters\":[]}]",
    "\"models\":[1,null,{\"name\":5},{\"name\":\"m\\r\\nX: 1\",\"adapters\":[\"a\\u0001\"]}]",
};

/* Guards against nodes that end or stop reading at rows that are deeply nested. */
static void test_nested(void) {
    estate_t *estate = estate_start(2, NULL);
    nested_rows_write(estate);
    g_usleep(SETTLE_MS * 1000);
    assert_all_served(estate, "n");
    assert_sound(estate, "later-nested");
    estate_stop(estate);
}

/* Guards against rows with values out of range that count as engines, or end a node. */
static void test_odd_values(void) {
    estate_t *estate = estate_start(2, NULL);
    odd_rows_write(estate, "lock", refused_members, G_N_ELEMENTS(refused_members));
    odd_rows_write(estate, "other", tolerated_members, G_N_ELEMENTS(tolerated_members));
    g_usleep(SETTLE_MS * 1000);
    for (int node = 0; node < estate->node_count; node++) {
        g_assert_cmpfloat(estate_metric(estate, node, "engines"), ==,
                          ESTATE_ENGINES + G_N_ELEMENTS(tolerated_members));
    }
    assert_all_served(estate, "v");
    assert_sound(estate, "later-odd");
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/rows/odd-ids", test_odd_ids);
    g_test_add_func("/edge/rows/quoted-id", test_quoted_id);
    g_test_add_func("/edge/rows/long-ids", test_long_ids);
    g_test_add_func("/edge/rows/odd-values", test_odd_values);
    g_test_add_func("/edge/rows/nested", test_nested);
}

PROCESS_TEST_MAIN(tests_add)
