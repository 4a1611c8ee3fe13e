/* Guards against invalid engine rows that are accepted. */
#include "unit.h"

#include "../../platform/platform.h"

#include <jansson.h>
#include <string.h>

#define DAY_MS (24 * 3600 * 1000LL)

#define VALID_FIELDS                                                                               \
    "\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"slots\":64,"                \
    "\"state\":\"ready\",\"sequence\":4"

static wb_engine_state_t *parse(const char *text, gsize length, wb_error_t *error) {
    return wb_platform_engine_parse("e1", (const guchar *)text, length, error);
}

static void assert_valid(const char *text, int64_t born_ms) {
    wb_error_t error = {0};
    wb_engine_state_t *state = parse(text, strlen(text), &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_nonnull(state);
    g_assert_cmpint(state->born_ms, ==, born_ms);
    wb_engine_state_free(state);
}

static void assert_invalid(const char *text, gsize length) {
    wb_error_t error = {0};
    g_assert_null(parse(text, length, &error));
    g_assert_cmpstr(error.message, !=, "");
}

static void test_good_rows(void) {
    assert_valid("{" VALID_FIELDS "}", 0);
    assert_valid("{" VALID_FIELDS ",\"coldRemainingMs\":0,\"models\":[],\"born\":1700000000123}",
                 1700000000123);
    assert_valid("{" VALID_FIELDS ",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                 "\"atHand\":{\"resident\":[\"m\"]},\"unheardOf\":{\"x\":[1]}}",
                 0);
}

/* Guards against engines of an unknown software version that count as of the same one. */
static void test_software_version(void) {
    g_autofree char *longest = g_strnfill(WB_SOFTWARE_VERSION_MAX, 'v');
    g_autofree char *too_long = g_strnfill(10000, 'v');
    const struct {
        const char *field;
        const char *version;
    } cases[] = {{"", ""},
                 {",\"version\":\"\"", ""},
                 {",\"version\":7", ""},
                 {",\"version\":null", ""},
                 {",\"version\":\"v1.2\"", "v1.2"},
                 {NULL, longest},
                 {NULL, too_long}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        wb_error_t error = {0};
        g_autofree char *row =
            cases[i].field != NULL
                ? g_strdup_printf("{" VALID_FIELDS "%s}", cases[i].field)
                : g_strdup_printf("{" VALID_FIELDS ",\"version\":\"%s\"}", cases[i].version);
        wb_engine_state_t *state = parse(row, strlen(row), &error);
        g_assert_nonnull(state);
        g_assert_cmpstr(state->software_version, ==, i == 6 ? "" : cases[i].version);
        wb_engine_state_free(state);
    }
}

/* Each required field missing once, and once of another type. */
static void test_fields_missing_or_of_another_type(void) {
    static const char *const invalid[] = {
        "{}",
        "[]",
        "null",
        "7",
        "\"text\"",
        "",
        "{\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"slots\":64,\"state\":\"ready\","
        "\"sequence\":4}",
        "{\"service\":\"llm\",\"zone\":\"z1\",\"slots\":64,\"state\":\"ready\",\"sequence\":4}",
        "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"slots\":64,\"state\":\"ready\","
        "\"sequence\":4}",
        "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"state\":\"ready\","
        "\"sequence\":4}",
        "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"slots\":64,"
        "\"sequence\":4}",
        "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"slots\":64,"
        "\"state\":\"ready\"}",
        "{" VALID_FIELDS ",\"service\":7}",
        "{" VALID_FIELDS ",\"service\":\"\"}",
        "{" VALID_FIELDS ",\"address\":80}",
        "{" VALID_FIELDS ",\"address\":\"nowhere\"}",
        "{" VALID_FIELDS ",\"zone\":[]}",
        "{" VALID_FIELDS ",\"slots\":\"64\"}",
        "{" VALID_FIELDS ",\"slots\":6.5}",
        "{" VALID_FIELDS ",\"slots\":0}",
        "{" VALID_FIELDS ",\"slots\":-1}",
        "{" VALID_FIELDS ",\"slots\":1000000000000}",
        "{" VALID_FIELDS ",\"state\":\"sleeping\"}",
        "{" VALID_FIELDS ",\"state\":true}",
        "{" VALID_FIELDS ",\"sequence\":null}",
        "{" VALID_FIELDS ",\"sequence\":\"4\"}",
        "{" VALID_FIELDS ",\"coldRemainingMs\":\"soon\"}",
        "{" VALID_FIELDS ",\"models\":{}}",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(invalid); i++) {
        assert_invalid(invalid[i], strlen(invalid[i]));
    }
}

/* A start time is a whole number of ms in the past; clock skew of seconds is tolerated, of days
 * not. */
static void test_starts_that_cannot_be(void) {
    static const char *const invalid[] = {
        "\"1700000000123\"", "1700000000123.5", "-5",  "0", "null",
        "[1700000000123]",   "1e300",           "true"};
    for (gsize i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_autofree char *text = g_strdup_printf("{" VALID_FIELDS ",\"born\":%s}", invalid[i]);
        assert_invalid(text, strlen(text));
    }
    int64_t now_ms = g_get_real_time() / 1000;
    g_autofree char *ahead =
        g_strdup_printf("{" VALID_FIELDS ",\"born\":%lld}", (long long)(now_ms + 2 * DAY_MS));
    assert_invalid(ahead, strlen(ahead));
    g_autofree char *skewed =
        g_strdup_printf("{" VALID_FIELDS ",\"born\":%lld}", (long long)(now_ms + 10000));
    assert_valid(skewed, now_ms + 10000);
}

static void test_absurd_cold_times_are_bounded(void) {
    static const char *const values[] = {"-7", "1000000000000", "1e300"};
    for (gsize i = 0; i < G_N_ELEMENTS(values); i++) {
        g_autofree char *text =
            g_strdup_printf("{" VALID_FIELDS ",\"coldRemainingMs\":%s}", values[i]);
        wb_error_t error = {0};
        wb_engine_state_t *state = parse(text, strlen(text), &error);
        g_assert_nonnull(state);
        g_assert_cmpint(state->cold_ms, >=, 0);
        g_assert_cmpint(state->cold_ms, <=, 600000);
        wb_engine_state_free(state);
    }
}

/* Unreadable bytes: not UTF-8, truncated, nested 10,000 deep, 1 MiB long. */
static void test_unreadable_bytes(void) {
    static const char not_utf8[] = "{" VALID_FIELDS ",\"x\":\"\xff\xfe\"}";
    static const char valid[] = "{" VALID_FIELDS "}";
    assert_invalid(not_utf8, sizeof(not_utf8) - 1);
    for (gsize length = 0; length + 1 < sizeof(valid) - 1; length++) {
        assert_invalid(valid, length);
    }
    g_autoptr(GString) deep = g_string_new("{" VALID_FIELDS ",\"x\":");
    for (int i = 0; i < 10000; i++) {
        g_string_append_c(deep, '[');
    }
    assert_invalid(deep->str, deep->len);
    g_autofree char *large = g_malloc(1 << 20);
    memset(large, 'a', 1 << 20);
    assert_invalid(large, 1 << 20);
    memset(large, 0, 1 << 20);
    assert_invalid(large, 1 << 20);
}

/* Guards against rows whose address is found to be none only when a request is sent there. */
static void test_addresses(void) {
    static const char *const invalid[] = {"127.0.0.1:0",
                                          "127.0.0.1:65536",
                                          "127.0.0.1:99999999999999999999",
                                          "127.0.0.1:-1",
                                          "127.0.0.1: 80",
                                          "127.0.0.1:80\\r\\nA: b",
                                          "127.0.0.1:\\r\\n80",
                                          "127.0.0.1:",
                                          ":80",
                                          "[::1]:80",
                                          "host.invalid:80",
                                          "300.1.1.1:80",
                                          "%s%n:80"};
    for (gsize i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_autofree char *row = g_strdup_printf("{" VALID_FIELDS ",\"address\":\"%s\"}", invalid[i]);
        assert_invalid(row, strlen(row));
    }
    assert_valid("{" VALID_FIELDS ",\"address\":\"127.0.0.1:1\"}", 0);
    assert_valid("{" VALID_FIELDS ",\"address\":\"255.255.255.255:65535\"}", 0);
}

static wb_engine_state_t *parse_keyed(const char *key, wb_error_t *error) {
    static const char row[] = "{" VALID_FIELDS "}";
    return wb_platform_engine_parse(key, (const guchar *)row, sizeof(row) - 1, error);
}

/* Guards against ids that end a line of a request's head, that a receiver reads without their
 * blanks, or that messages between nodes have no room for. */
static void test_keys(void) {
    static const char *const invalid[] = {"",     "a\r\nX: 1", "a\nb", "a\rb",        "a\tb",
                                          " a",   "a ",        "\177", "\x01",        "a\x1b[0m",
                                          "\xff", "\xc3",      "\t",   "\xed\xa0\x80"};
    static const char *const valid[] = {"e-1", "o\"\\,{", "%s%n", "a b", "\xc3\xa9"};
    g_autofree char *longest = g_strnfill(WB_ENGINE_ID_MAX, 'k');
    g_autofree char *too_long = g_strnfill(WB_ENGINE_ID_MAX + 1, 'k');
    for (gsize i = 0; i < G_N_ELEMENTS(invalid); i++) {
        wb_error_t error = {0};
        g_assert_null(parse_keyed(invalid[i], &error));
        g_assert_nonnull(strstr(error.message, "key"));
    }
    for (gsize i = 0; i < G_N_ELEMENTS(valid); i++) {
        wb_error_t error = {0};
        wb_engine_state_t *state = parse_keyed(valid[i], &error);
        g_assert_cmpstr(error.message, ==, "");
        g_assert_cmpstr(state->id, ==, valid[i]);
        wb_engine_state_free(state);
    }
    wb_error_t error = {0};
    wb_engine_state_t *state = parse_keyed(longest, &error);
    g_assert_nonnull(state);
    wb_engine_state_free(state);
    g_assert_null(parse_keyed(too_long, &error));
    g_assert_nonnull(strstr(error.message, "181 bytes"));
}

/* Guards against texts of a row with control characters, or longer than messages take. */
static void test_texts(void) {
    static const char *const fields[] = {"service", "zone", "version"};
    static const char *const invalid[] = {"a\\r\\nX: 1", "a\\nb", "a\\u0001",
                                          "a\\u007f",    " a",    "a "};
    g_autofree char *too_long = g_strnfill(WB_ENGINE_NAME_MAX + 1, 'a');
    for (gsize i = 0; i < G_N_ELEMENTS(fields); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(invalid); j++) {
            g_autofree char *row =
                g_strdup_printf("{" VALID_FIELDS ",\"%s\":\"%s\"}", fields[i], invalid[j]);
            assert_invalid(row, strlen(row));
        }
    }
    for (gsize i = 0; i < 2; i++) {
        g_autofree char *row =
            g_strdup_printf("{" VALID_FIELDS ",\"%s\":\"%s\"}", fields[i], too_long);
        assert_invalid(row, strlen(row));
    }
}

/* Guards against names of models that no request and no message can have: the row is used without
 * them. */
static void test_names_of_models(void) {
    g_autofree char *too_long = g_strnfill(WB_ENGINE_NAME_MAX + 1, 'm');
    g_autofree char *row = g_strdup_printf(
        "{" VALID_FIELDS ",\"models\":[{\"name\":\"m\",\"adapters\":[\"a\",\"b\\r\\nX: 1\",\"%s\","
        "{\"name\":\"c\\u0001\"}]},{\"name\":\"m\\n\"},{\"name\":\"%s\"}],"
        "\"atHand\":{\"resident\":[\"m\",\"x\\n\"],\"onDisk\":[\"%s\",7,\"d\"]}}",
        too_long, too_long, too_long);
    wb_error_t error = {0};
    wb_engine_state_t *state = parse(row, strlen(row), &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_cmpuint(g_hash_table_size(state->models), ==, 1);
    const wb_engine_model_t *model = g_hash_table_lookup(state->models, "m");
    g_assert_cmpuint(g_hash_table_size(model->adapters), ==, 1);
    g_assert_true(g_hash_table_contains(model->adapters, "a"));
    g_assert_cmpuint(g_hash_table_size(state->in_memory), ==, 1);
    g_assert_cmpuint(g_hash_table_size(state->on_disk), ==, 1);
    wb_engine_state_free(state);
}

static char *nested_row(const char *opening, const char *closing, unsigned depth) {
    GString *text = g_string_new("{" VALID_FIELDS ",\"x\":");
    for (unsigned i = 0; i < depth; i++)
        g_string_append(text, opening);
    g_string_append_c(text, '1');
    for (unsigned i = 0; i < depth; i++)
        g_string_append(text, closing);
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
}

/* Guards against rows nested so deep that reading them ends the process. The row itself and the
 * innermost number count as well. */
static void test_nesting(void) {
    static const unsigned too_deep[] = {JSON_PARSER_MAX_DEPTH - 1, JSON_PARSER_MAX_DEPTH, 100000};
    g_autofree char *deepest_list = nested_row("[", "]", JSON_PARSER_MAX_DEPTH - 2);
    g_autofree char *deepest_object = nested_row("{\"a\":", "}", JSON_PARSER_MAX_DEPTH - 2);
    assert_valid(deepest_list, 0);
    assert_valid(deepest_object, 0);
    for (gsize i = 0; i < G_N_ELEMENTS(too_deep); i++) {
        g_autofree char *lists = nested_row("[", "]", too_deep[i]);
        g_autofree char *objects = nested_row("{\"a\":", "}", too_deep[i]);
        assert_invalid(lists, strlen(lists));
        assert_invalid(objects, strlen(objects));
    }
}

/* Guards against a reason that doesn't say what is wrong, or that quotes the row. */
static void test_reasons(void) {
    static const struct {
        const char *row;
        const char *reason;
    } cases[] = {{"{\"a\":99999999999999999999999}", "row is not JSON: too big integer at byte 28"},
                 {"{\"a\":\"b\nc\"}", "row is not JSON: unexpected newline at byte 7"},
                 {"[]", "row is not a JSON object"}};
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        wb_error_t error = {0};
        g_assert_null(parse(cases[i].row, strlen(cases[i].row), &error));
        g_assert_cmpstr(error.message, ==, cases[i].reason);
    }
}

static void tests_add(void) {
    g_test_add_func("/engine-rows/keys", test_keys);
    g_test_add_func("/engine-rows/texts", test_texts);
    g_test_add_func("/engine-rows/names-of-models", test_names_of_models);
    g_test_add_func("/engine-rows/nesting", test_nesting);
    g_test_add_func("/engine-rows/reasons", test_reasons);
    g_test_add_func("/engine-rows/addresses", test_addresses);
    g_test_add_func("/engine-rows/software-version", test_software_version);
    g_test_add_func("/engine-rows/good", test_good_rows);
    g_test_add_func("/engine-rows/fields", test_fields_missing_or_of_another_type);
    g_test_add_func("/engine-rows/starts-that-cannot-be", test_starts_that_cannot_be);
    g_test_add_func("/engine-rows/absurd-cold-times", test_absurd_cold_times_are_bounded);
    g_test_add_func("/engine-rows/unreadable-bytes", test_unreadable_bytes);
}

UNIT_TEST_MAIN(tests_add)
