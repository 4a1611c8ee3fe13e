/* Declarations are checked before they are accepted. */
#include "unit.h"

#include "wickbridge/declaration.h"

#include <string.h>

static void wrong(const char *text, const char *key, const char *member, const char *expected) {
    json_t *objects = json_loads(text, 0, NULL);
    wb_config_t *config = NULL;
    wb_config_fault_t fault;
    wb_error_t error;
    g_assert_cmpint(wb_config_parse(objects, 1, &config, &fault, &error), ==, APR_EINVAL);
    g_assert_cmpstr(fault.key, ==, key);
    g_assert_cmpstr(fault.member, ==, member);
    g_assert_nonnull(strstr(error.message, expected));
    json_decref(objects);
}

static void test_faults_are_named(void) {
    wrong("{\"thing/x\":{}}", "thing/x", "kind", "must be service, model");
    wrong("{\"service/a b\":{}}", "service/a b", "name", "letters, digits");
    wrong("{\"service/s\":{\"cells\":0}}", "service/s", "cells", "from 1 to 1024");
    wrong("{\"service/s\":{\"cells\":\"x\"}}", "service/s", "cells", "whole number");
    wrong("{\"service/s\":{\"sells\":1}}", "service/s", "sells", "no member 'sells'");
    wrong("{\"model/m\":{\"memory_mib\":1}}", "model/m", "service", "must be given");
    wrong("{\"model/m\":{\"service\":\"s\",\"memory_mib\":1}}", "model/m", "service",
          "no service 's'");
    wrong("{\"service/s\":{},\"model/m\":{\"service\":\"s\",\"memory_mib\":1,\"max_replicas\":1,"
          "\"min_replicas\":2}}",
          "model/m", "min_replicas", "max_replicas is 1");
    wrong("{\"adapter/a\":{\"model\":\"m\",\"memory_mib\":1}}", "adapter/a", "model",
          "no model 'm'");
    wrong("{\"service/s\":{\"policy\":\"p\"}}", "service/s", "policy", "no policy 'p'");
}

static void test_change_is_applied(void) {
    json_t *objects = json_loads("{\"owner/a\":{\"share\":1},\"owner/b\":{\"share\":1}}", 0, NULL);
    json_t *change =
        json_loads("{\"set\":{\"owner/c\":{\"share\":2}},\"remove\":[\"owner/a\"]}", 0, NULL);
    json_t *result = wb_config_objects_apply(objects, change);
    g_assert_cmpuint(json_object_size(result), ==, 2);
    g_assert_nonnull(json_object_get(result, "owner/c"));
    g_assert_cmpuint(json_object_size(objects), ==, 2);
    json_decref(result);
    json_decref(change);
    json_decref(objects);
}

static void test_keys_spread_over_cells(void) {
    wb_service_t service = {.name = "s", .cells = 8};
    int counts[8] = {0};
    for (int i = 0; i < 800; i++) {
        g_autofree char *key = g_strdup_printf("model-%d", i);
        g_autofree char *cell = wb_cell_name_for(&service, key);
        counts[cell[2] - '0']++;
    }
    for (int i = 0; i < 8; i++) {
        g_assert_cmpint(counts[i], >, 60);
        g_assert_cmpint(counts[i], <, 140);
    }
}

static void tests_add(void) {
    g_test_add_func("/declaration/faults-are-named", test_faults_are_named);
    g_test_add_func("/declaration/change-is-applied", test_change_is_applied);
    g_test_add_func("/declaration/keys-spread-over-cells", test_keys_spread_over_cells);
}

UNIT_TEST_MAIN(tests_add)
