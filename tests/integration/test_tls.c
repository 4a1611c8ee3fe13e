/* TLS on all links; clients, operators and nodes are authenticated separately. */
#include "integration.h"

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

static void openssl(const char *folder, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void openssl(const char *folder, const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *command = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_autofree char *line = g_strdup_printf("openssl %s", command);
    g_auto(GStrv) argv = g_strsplit(line, " ", -1);
    int status = -1;
    g_assert_true(
        g_spawn_sync(folder, argv, NULL,
                     G_SPAWN_SEARCH_PATH | G_SPAWN_STDERR_TO_DEV_NULL | G_SPAWN_STDOUT_TO_DEV_NULL,
                     NULL, NULL, NULL, NULL, &status, NULL));
    g_assert_cmpint(status, ==, 0);
}

static void authority_create(const char *folder, const char *name) {
    openssl(folder,
            "req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 30 -subj "
            "/CN=%s -keyout %s.key -out %s.pem",
            name, name, name);
}

static void certificate_create(const char *folder, const char *issuer, const char *name) {
    openssl(folder,
            "req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -subj /CN=%s -keyout "
            "%s.key -out %s.csr",
            name, name, name);
    openssl(folder,
            "x509 -req -in %s.csr -CA %s.pem -CAkey %s.key -CAcreateserial -days 30 -out %s.pem",
            name, issuer, issuer, name);
}

/* "ca" signs nodes, engines and the platform, "operators" signs operators; "stranger" is not
 * trusted. */
static char *certificates_create(void) {
    char *folder = g_dir_make_tmp("wickbridge-tls-XXXXXX", NULL);
    authority_create(folder, "ca");
    authority_create(folder, "operators");
    authority_create(folder, "stranger");
    certificate_create(folder, "ca", "node");
    certificate_create(folder, "stranger", "wrong");
    certificate_create(folder, "operators", "caller");
    return folder;
}

static void folder_remove(char *folder) {
    GDir *directory = g_dir_open(folder, 0, NULL);
    const char *name;
    while ((name = g_dir_read_name(directory)) != NULL) {
        g_autofree char *path = g_build_filename(folder, name, NULL);
        g_unlink(path);
    }
    g_dir_close(directory);
    g_rmdir(folder);
    g_free(folder);
}

static char *node_flags(const char *folder, const char *certificate) {
    return g_strdup_printf("--tls-key=%s/%s.key --tls-certificate=%s/%s.pem "
                           "--tls-trust=%s/operators.pem --tls-node-trust=%s/ca.pem "
                           "--tls-platform-trust=%s/ca.pem",
                           folder, certificate, folder, certificate, folder, folder, folder);
}

static void test_each_link(void) {
    char *folder = certificates_create();
    g_autofree char *trusted_flags = node_flags(folder, "node");
    g_autofree char *server_flags =
        g_strdup_printf("--tls-key=%s/node.key --tls-certificate=%s/node.pem", folder, folder);
    g_autofree char *engine_flags = g_strconcat(server_flags, " --weights=", NULL);
    cluster_options_t options = {.nodes = 3,
                                 .engines = 2,
                                 .node_flags = trusted_flags,
                                 .engine_flags = engine_flags,
                                 .platform_flags = server_flags};
    harness_tls_folder = folder;
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 8, ",\"stream\":true", NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 8));
    answer_free(answer);
    /* the operators' API is not served on the clients' port */
    answer = call("GET", cluster->nodes[0].clients_port, "/operators/v1/config", NULL, NULL, 5000);
    g_assert_cmpint(answer->status, ==, 404);
    answer_free(answer);
    /* a node with an untrusted certificate can't join */
    g_autofree char *untrusted_flags = node_flags(folder, "wrong");
    cluster->options.node_flags = untrusted_flags;
    node_launch(cluster, 3); /* not node_start: the harness would not trust its operators' port */
    g_usleep(1500000);
    g_assert_cmpint(members_alive(cluster, 0), ==, 3);
    process_kill(&cluster->nodes[3].process);
    /* a request without an operator's certificate is refused */
    g_autofree char *certificate = g_build_filename(folder, "caller.pem", NULL);
    g_unlink(certificate);
    answer =
        call("GET", cluster->nodes[0].operators_port, "/operators/v1/config", NULL, NULL, 5000);
    g_assert_cmpint(answer->status, ==, 403);
    g_assert_nonnull(strstr(answer->body, "certificate_needed"));
    answer_free(answer);
    answer = chat(cluster->nodes[1].clients_port, "m1", 8, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 8));
    answer_free(answer);
    harness_tls_folder = NULL;
    cluster_stop(cluster);
    folder_remove(folder);
}

static void tests_add(void) {
    g_test_add_func("/tls/each-link", test_each_link);
}

PROCESS_TEST_MAIN(tests_add)
