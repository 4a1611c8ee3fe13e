/* Benchmark of the rejected alternative for control: leases and decisions stored in the table
 * service. One process simulates the owners of many cells against the platform stand-in. See
 * docs/DESIGN.md for the comparison. */
#include "../harness/harness_types.h"

#include "wickbridge/load.h"
#include "wickbridge/platform.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CELLS 44
#define LEASE_MS 3000
#define RENEW_MS 1000
#define DECISIONS_PER_S 4 /* all cells together */
#define RUN_MS 20000

typedef struct table_control_t {
    wb_loop_t *loop;
    wb_platform_t *platform;
    int64_t versions[CELLS]; /* of the lease rows */
    gboolean renewing[CELLS];
    int renewals;
    int failed_renewals;
    wb_samples_t commits;
    int failed_commits;
    gint stopped;
} table_control_t;

typedef struct table_call_t {
    table_control_t *control;
    int cell;
    int64_t started_ms;
} table_call_t;

static table_call_t *call_create(table_control_t *control, int cell) {
    table_call_t *new_call = g_new0(table_call_t, 1);
    new_call->control = control;
    new_call->cell = cell;
    new_call->started_ms = wb_clock_ms();
    return new_call;
}

static void renewal_done(wb_platform_status_t status, const json_t *body, void *context) {
    table_call_t *renewal = context;
    table_control_t *control = renewal->control;
    control->renewing[renewal->cell] = FALSE;
    if (status == WB_PLATFORM_DONE) {
        control->versions[renewal->cell] = wb_json_integer(body, "version", 0);
        control->renewals++;
    } else
        control->failed_renewals++;
    g_free(renewal);
}

static void lease_renew(table_control_t *control, int cell) {
    g_autofree char *key = g_strdup_printf("lease/%d", cell);
    json_t *checks = json_array();
    json_array_append_new(checks, wb_platform_make_check(key, control->versions[cell]));
    json_t *writes = json_array();
    json_array_append_new(writes,
                          wb_platform_make_write(key, json_pack("{s:s, s:I}", "owner", "node", "at",
                                                                (json_int_t)wb_clock_ms())));
    control->renewing[cell] = TRUE;
    wb_platform_transact(control->platform, checks, writes, renewal_done,
                         call_create(control, cell));
}

static void leases_renew(void *context) {
    table_control_t *control = context;
    for (int i = 0; i < CELLS && !g_atomic_int_get(&control->stopped); i++)
        if (!control->renewing[i])
            lease_renew(control, i);
}

static void commit_done(wb_platform_status_t status, const json_t *body, void *context) {
    (void)body;
    table_call_t *commit = context;
    if (status == WB_PLATFORM_DONE)
        wb_samples_add(&commit->control->commits, (double)(wb_clock_ms() - commit->started_ms));
    else
        commit->control->failed_commits++;
    g_free(commit);
}

/* Commits a decision: one write of the cell's slots, conditional on the lease row. */
static void decision_commit(void *context) {
    table_control_t *control = context;
    static int next_cell;
    int cell = next_cell++ % CELLS;
    if (g_atomic_int_get(&control->stopped) || control->versions[cell] == 0)
        return;
    g_autofree char *lease = g_strdup_printf("lease/%d", cell);
    g_autofree char *slots = g_strdup_printf("slots/%d", cell);
    json_t *checks = json_array();
    json_array_append_new(checks, wb_platform_make_check(lease, control->versions[cell]));
    json_t *writes = json_array();
    json_array_append_new(writes, wb_platform_make_write(slots, json_pack("{s:s}", "m1", "e1")));
    wb_platform_transact(control->platform, checks, writes, commit_done,
                         call_create(control, cell));
}

static void statistics_print(const char *what, table_control_t *control) {
    printf(
        "%s: %.1f renewals/s (%d not done), decisions p50 %.0f p99 %.0f ms, %u done, %d failed\n",
        what, control->renewals / (RUN_MS / 1000.0), control->failed_renewals,
        wb_samples_quantile(&control->commits, 0.5), wb_samples_quantile(&control->commits, 0.99),
        control->commits.values->len, control->failed_commits);
    g_array_set_size(control->commits.values, 0);
    control->renewals = 0;
    control->failed_renewals = 0;
    control->failed_commits = 0;
}

static void fault_set(int port, const char *json) {
    answer_free(call("POST", port, "/standin/v1/faults", NULL, json, 5000));
}

int main(void) {
    apr_initialize();
    curl_global_init(CURL_GLOBAL_ALL);
    cluster_options_t options = {.platform_flags = "--table-operations-per-s=200"};
    cluster_t *cluster = cluster_start(&options);
    static table_control_t control;
    wb_http_client_t *client;
    wb_error_t error;
    g_autofree char *address = g_strdup_printf("127.0.0.1:%d", cluster->platform_port);
    wb_samples_init(&control.commits);
    if (wb_loop_create(&control.loop, "ways", 64, &error) != APR_SUCCESS ||
        wb_http_client_start(&client, NULL, &error) != APR_SUCCESS)
        g_error("%s", error.message);
    control.platform = wb_platform_create(client, control.loop, address, "http", 2000);
    wb_loop_every(control.loop, RENEW_MS, leases_renew, &control);
    wb_loop_every(control.loop, 1000 / DECISIONS_PER_S, decision_commit, &control);
    wb_loop_start(control.loop);
    printf("leases in the table service: %d cells, renewed each %d ms, lapsed after %d ms; a "
           "successor "
           "that looks each %d ms takes over after %d to %d ms\n",
           CELLS, RENEW_MS, LEASE_MS, RENEW_MS, LEASE_MS, LEASE_MS + RENEW_MS);
    g_usleep(RUN_MS * 1000);
    statistics_print("table service up", &control);
    fault_set(cluster->platform_port, "{\"table_delay_ms\":100}");
    g_usleep(RUN_MS * 1000);
    statistics_print("table service slow by 100 ms", &control);
    fault_set(cluster->platform_port, "{\"table\":\"refuse\"}");
    g_usleep(RUN_MS * 1000);
    statistics_print("table service away", &control);
    g_atomic_int_set(&control.stopped, 1);
    cluster_stop(cluster);
    return 0;
}
