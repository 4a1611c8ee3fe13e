/* Runs the unit tests: pure parts, no processes. */
#include "unit.h"

#include <apr_general.h>
#include <glib.h>

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    apr_initialize();
    settings_tests_add();
    member_tests_add();
    queue_tests_add();
    group_tests_add();
    cell_tests_add();
    declaration_tests_add();
    message_tests_add();
    policy_tests_add();
    edge_tests_add();
    table_watch_tests_add();
    target_tests_add();
    return g_test_run();
}
