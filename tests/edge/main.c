/* Runs the tests of edge nodes: real processes before the platform's stand-in. */
#include "edge.h"

#include <curl/curl.h>

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_ALL);
    edge_path_tests_add();
    edge_stops_tests_add();
    edge_callers_tests_add();
    edge_once_tests_add();
    edge_control_tests_add();
    edge_store_tests_add();
    return g_test_run();
}
