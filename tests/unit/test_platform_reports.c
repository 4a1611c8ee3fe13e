/* Guards against reports of engines that overflow what is counted from them, or keep later ones
 * from being taken. */
#include "unit.h"

#include "../../platform/platform.h"

#include <string.h>

#define DEEP 30000

static wb_engine_state_t *parse(const char *text) {
    return wb_platform_report_parse("e1", text, strlen(text));
}

static void test_sequences(void) {
    static const char *const invalid[] = {"9223372036854775807",
                                          "9007199254740992",
                                          "-1",
                                          "-9223372036854775808",
                                          "1e300",
                                          "-1e300",
                                          "\"5\"",
                                          "[]"};
    static const char *const valid[] = {"0", "5", "5.0", "9007199254740991"};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_autofree char *text = g_strdup_printf("{\"sequence\":%s,\"models\":[]}", invalid[i]);
        g_test_message("%s", text);
        g_assert_null(parse(text));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(valid); i++) {
        g_autofree char *text = g_strdup_printf("{\"sequence\":%s,\"models\":[]}", valid[i]);
        wb_engine_state_t *state = parse(text);
        g_assert_nonnull(state);
        wb_engine_state_free(state);
    }
}

/* What is of another type counts as absent, and hides nothing else. */
static void test_odd_members(void) {
    wb_engine_state_t *state =
        parse("{\"sequence\":5,\"busy\":\"no\",\"coming\":{},\"atHand\":[[]],\"models\":[5,null,[],"
              "{\"name\":7},{\"name\":\"m\",\"version\":-1e300,\"adapters\":{\"a\":1}},"
              "{\"name\":\"n\",\"version\":9223372036854775807,\"adapters\":[1,null,[],\"a1\"]}]}");
    g_assert_nonnull(state);
    g_assert_false(state->busy);
    g_assert_cmpuint(state->coming, ==, 0);
    g_assert_cmpuint(g_hash_table_size(state->models), ==, 2);
    const wb_engine_model_t *model = g_hash_table_lookup(state->models, "n");
    g_assert_cmpuint(g_hash_table_size(model->adapters), ==, 1);
    wb_engine_state_free(state);
}

static void test_no_reports(void) {
    g_autofree char *deep = g_strnfill(DEEP, '[');
    g_autofree char *deep_member = g_strconcat("{\"models\":", deep, NULL);
    const char *const texts[] = {"",
                                 "null",
                                 "[]",
                                 "5",
                                 "{",
                                 "\xff",
                                 "{\"sequence\":1e999}",
                                 "{\"sequence\":99999999999999999999}",
                                 "{\"born\":1e18}",
                                 "{\"born\":-1}",
                                 "{\"born\":9223372036854775807}",
                                 deep,
                                 deep_member};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
        g_assert_null(parse(texts[i]));
}

static void tests_add(void) {
    g_test_add_func("/platform-reports/sequences", test_sequences);
    g_test_add_func("/platform-reports/odd-members", test_odd_members);
    g_test_add_func("/platform-reports/no-reports", test_no_reports);
}

UNIT_TEST_MAIN(tests_add)
