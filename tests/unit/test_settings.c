/* Guards against invalid settings that are accepted, or rejected without a one-line reason. */
#include "unit.h"

#include "wickbridge/settings.h"

#include <glib.h>
#include <string.h>

typedef struct sample_t {
    const char *name;
    const char *address;
    int64_t count;
    int64_t flag;
} sample_t;

static const wb_setting_t rows[] = {
    {"name", WB_SETTING_TEXT, "", 0, 0, NULL, offsetof(sample_t, name), "A name"},
    {"address", WB_SETTING_ADDRESS, "", 0, 0, "127.0.0.1:1", offsetof(sample_t, address), "Where"},
    {"count", WB_SETTING_INTEGER, "ms", 1, 10, "5", offsetof(sample_t, count), "How many"},
    {"flag", WB_SETTING_BOOLEAN, "", 0, 0, "false", offsetof(sample_t, flag), "Whether"},
};
static const wb_settings_table_t table = {"sample", "A sample.", rows, G_N_ELEMENTS(rows)};

static void test_defaults_and_flags(void) {
    char *argv[] = {"sample", "--name=x", "--count=7", NULL};
    sample_t sample;
    wb_error_t error;
    g_assert_cmpint(wb_settings_read(&table, 3, argv, &sample, &error), ==, APR_SUCCESS);
    g_assert_cmpstr(sample.name, ==, "x");
    g_assert_cmpstr(sample.address, ==, "127.0.0.1:1");
    g_assert_cmpint(sample.count, ==, 7);
    g_assert_cmpint(sample.flag, ==, 0);
}

static void assert_invalid(const char *flag, const char *expected) {
    char *argv[] = {"sample", "--name=x", (char *)flag, NULL};
    sample_t sample;
    wb_error_t error;
    g_assert_cmpint(wb_settings_read(&table, 3, argv, &sample, &error), ==, APR_EINVAL);
    g_assert_nonnull(strstr(error.message, expected));
    g_assert_null(strchr(error.message, '\n'));
}

static void test_wrong_values(void) {
    assert_invalid("--count=11", "must be from 1 to 10");
    assert_invalid("--count=x", "whole number of ms");
    assert_invalid("--address=here", "IP:PORT");
    assert_invalid("--address=localhost:1", "IP:PORT");
    assert_invalid("--flag=yes", "true or false");
    char *argv[] = {"sample", NULL};
    sample_t sample;
    wb_error_t error;
    g_assert_cmpint(wb_settings_read(&table, 1, argv, &sample, &error), ==, APR_EINVAL);
    g_assert_nonnull(strstr(error.message, "'name' must be given"));
}

/* Guards against addresses with a sign, a blank or a line break before the port, which then stand
 * in a Host header. */
static void test_addresses(void) {
    static const struct {
        const char *text;
        int port;
    } cases[] = {{"127.0.0.1:1", 1},
                 {"10.0.0.1:65535", 65535},
                 {"127.0.0.1:0", 0},
                 {"127.0.0.1:00080", 80},
                 {"127.0.0.1:65536", -1},
                 {"127.0.0.1:99999", -1},
                 {"127.0.0.1:000080", -1},
                 {"127.0.0.1:-1", -1},
                 {"127.0.0.1:-0", -1},
                 {"127.0.0.1:+9", -1},
                 {"127.0.0.1: 9", -1},
                 {"127.0.0.1:\r\n9", -1},
                 {"127.0.0.1:9\r\n", -1},
                 {"127.0.0.1:9 ", -1},
                 {" 127.0.0.1:9", -1},
                 {"127.0.0.1:4294967305", -1},
                 {"127.0.0.1:99999999999999999999", -1},
                 {"127.0.0.1:9:9", -1},
                 {"127.0.0.1:x", -1},
                 {"127.0.0.1:", -1},
                 {"127.0.0.1", -1},
                 {":9", -1},
                 {":", -1},
                 {"", -1},
                 {"::1", -1},
                 {"[::1]:9", -1},
                 {"300.1.1.1:9", -1},
                 {"localhost:9", -1}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(wb_address_port(cases[i].text), ==, cases[i].port);
        g_assert_cmpint(wb_address_is_valid(cases[i].text), ==, cases[i].port >= 0);
    }
    g_autofree char *long_host = g_strnfill(20000, 'a');
    g_autofree char *long_address = g_strconcat(long_host, ":9", NULL);
    g_assert_cmpint(wb_address_port(long_address), ==, -1);
}

static void tests_add(void) {
    g_test_add_func("/settings/addresses", test_addresses);
    g_test_add_func("/settings/defaults-and-flags", test_defaults_and_flags);
    g_test_add_func("/settings/wrong-values", test_wrong_values);
}

UNIT_TEST_MAIN(tests_add)
