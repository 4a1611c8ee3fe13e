/* Measures the way of control that was not taken: leases and decisions in the table service. One
 * process plays the owners of many cells against the real platform stand-in; docs/DESIGN.md
 * compares. */
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
#define DECISIONS_PER_S 4 /* over all cells; slots and their removal */
#define RUN_MS 20000

typedef struct ways_t {
    wb_loop_t *loop;
    wb_platform_t *platform;
    int64_t versions[CELLS]; /* of the lease rows */
    gboolean renewing[CELLS];
    int renewals;
    int lost_renewals;
    wb_samples_t commits;
    int failed_commits;
    gint stopped;
} ways_t;

typedef struct ways_call_t {
    ways_t *ways;
    int cell;
    int64_t started_ms;
} ways_call_t;

static ways_call_t *call_create(ways_t *ways, int cell) {
    ways_call_t *created = g_new0(ways_call_t, 1);
    created->ways = ways;
    created->cell = cell;
    created->started_ms = wb_clock_ms();
    return created;
}

static void renewal_done(wb_platform_status_t status, const json_t *body, void *context) {
    ways_call_t *renewal = context;
    ways_t *ways = renewal->ways;
    ways->renewing[renewal->cell] = FALSE;
    if (status == WB_PLATFORM_DONE) {
        ways->versions[renewal->cell] = wb_json_integer(body, "version", 0);
        ways->renewals++;
    } else
        ways->lost_renewals++;
    g_free(renewal);
}

static void renew(ways_t *ways, int cell) {
    g_autofree char *key = g_strdup_printf("lease/%d", cell);
    json_t *checks = json_array();
    json_array_append_new(checks, wb_platform_make_check(key, ways->versions[cell]));
    json_t *writes = json_array();
    json_array_append_new(writes,
                          wb_platform_make_write(key, json_pack("{s:s, s:I}", "owner", "node", "at",
                                                           (json_int_t)wb_clock_ms())));
    ways->renewing[cell] = TRUE;
    wb_platform_transact(ways->platform, checks, writes, renewal_done, call_create(ways, cell));
}

static void renew_all(void *context) {
    ways_t *ways = context;
    for (int i = 0; i < CELLS && !g_atomic_int_get(&ways->stopped); i++)
        if (!ways->renewing[i])
            renew(ways, i);
}

static void commit_done(wb_platform_status_t status, const json_t *body, void *context) {
    (void)body;
    ways_call_t *commit = context;
    if (status == WB_PLATFORM_DONE)
        wb_samples_add(&commit->ways->commits, (double)(wb_clock_ms() - commit->started_ms));
    else
        commit->ways->failed_commits++;
    g_free(commit);
}

/* A decision: one write of the cell's slots, under the lease. */
static void decide(void *context) {
    ways_t *ways = context;
    static int turn;
    int cell = turn++ % CELLS;
    if (g_atomic_int_get(&ways->stopped) || ways->versions[cell] == 0)
        return;
    g_autofree char *lease = g_strdup_printf("lease/%d", cell);
    g_autofree char *slots = g_strdup_printf("slots/%d", cell);
    json_t *checks = json_array();
    json_array_append_new(checks, wb_platform_make_check(lease, ways->versions[cell]));
    json_t *writes = json_array();
    json_array_append_new(writes, wb_platform_make_write(slots, json_pack("{s:s}", "m1", "e1")));
    wb_platform_transact(ways->platform, checks, writes, commit_done, call_create(ways, cell));
}

static void figures_print(const char *what, ways_t *ways) {
    printf(
        "%s: %.1f renewals/s (%d not done), decisions p50 %.0f p99 %.0f ms, %u done, %d failed\n",
        what, ways->renewals / (RUN_MS / 1000.0), ways->lost_renewals,
        wb_samples_quantile(&ways->commits, 0.5), wb_samples_quantile(&ways->commits, 0.99),
        ways->commits.values->len, ways->failed_commits);
    g_array_set_size(ways->commits.values, 0);
    ways->renewals = 0;
    ways->lost_renewals = 0;
    ways->failed_commits = 0;
}

static void fault_set(int port, const char *json) {
    answer_free(call("POST", port, "/standin/v1/faults", NULL, json, 5000));
}

int main(void) {
    apr_initialize();
    curl_global_init(CURL_GLOBAL_ALL);
    cluster_options_t options = {.platform_flags = "--table-operations-per-s=200"};
    cluster_t *cluster = cluster_start(&options);
    static ways_t ways;
    wb_http_client_t *client;
    wb_error_t error;
    g_autofree char *address = g_strdup_printf("127.0.0.1:%d", cluster->platform_port);
    wb_samples_init(&ways.commits);
    if (wb_loop_create(&ways.loop, "ways", 64, &error) != APR_SUCCESS ||
        wb_http_client_start(&client, NULL, &error) != APR_SUCCESS)
        g_error("%s", error.message);
    ways.platform = wb_platform_create(client, ways.loop, address, "http", 2000);
    wb_loop_every(ways.loop, RENEW_MS, renew_all, &ways);
    wb_loop_every(ways.loop, 1000 / DECISIONS_PER_S, decide, &ways);
    wb_loop_start(ways.loop);
    printf("leases in the table service: %d cells, renewed each %d ms, lapsed after %d ms; a "
           "successor "
           "that looks each %d ms takes over after %d to %d ms\n",
           CELLS, RENEW_MS, LEASE_MS, RENEW_MS, LEASE_MS, LEASE_MS + RENEW_MS);
    g_usleep(RUN_MS * 1000);
    figures_print("table service up", &ways);
    fault_set(cluster->platform_port, "{\"table_delay_ms\":100}");
    g_usleep(RUN_MS * 1000);
    figures_print("table service slow by 100 ms", &ways);
    fault_set(cluster->platform_port, "{\"table\":\"refuse\"}");
    g_usleep(RUN_MS * 1000);
    figures_print("table service away", &ways);
    g_atomic_int_set(&ways.stopped, 1);
    cluster_stop(cluster);
    return 0;
}
