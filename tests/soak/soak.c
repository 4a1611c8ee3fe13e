/* The soak's program: runs seeds one after the other and reports those with failed checks. */
#include "soak.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#define DEFAULT_SECONDS 30
#define SEEDS_WITH_ALL_BITS 67108864U /* seeds below it have no bits without a meaning */
/* Seeds below it, with its highest bit, are those in which streams are taken up after all nodes
 * were killed, or engines are faulty. */
#define SEEDS_WITH_REJOINS 8388608U
/* Of four fresh seeds, the one of the bit above. */
#define BROKEN_STREAMS_TURN 3
/* How long poison requests go on after all faults are over, when no node is disturbed. */
#define POISON_TAIL_US 6000000
/* How long connections go on to one node by turns: longer than two turns and what faults leave. */
#define FLOOD_TAIL_US 27000000

void soak_fail(soak_t *soak, const char *format, ...) {
    va_list values;
    va_start(values, format);
    char *text = g_strdup_vprintf(format, values);
    va_end(values);
    g_mutex_lock(&soak->lock);
    g_ptr_array_add(soak->failures, text);
    g_mutex_unlock(&soak->lock);
}

/* Checks that no node ended by itself. */
static void exits_check(soak_t *soak) {
    for (int i = 0; i < soak->nodes; i++) {
        process_t *process = &soak->estate->nodes[i].process;
        int status;
        if (process->pid > 0 && waitpid(process->pid, &status, WNOHANG) == process->pid) {
            process->pid = 0;
            soak_fail(soak, "node %d ended by itself, status %d", i, status);
        }
    }
}

static void spans_print(const soak_t *soak) {
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        printf("  %6.2f s  %s at node %d\n", (double)(span->from_ms - soak->began_ms) / 1000,
               span->name, span->target);
    }
}

static unsigned served_count(const soak_t *soak) {
    unsigned served = 0;
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        served += request->status == 200 && request->complete;
    }
    return served;
}

/* One engine is slow and reports it, one reports a pace out of range. */
static void paces_set(const estate_t *estate) {
    estate_command(estate, "{\"do\":\"engine-pace\",\"engine\":\"llm-1\",\"told\":\"300\","
                           "\"percent\":300}");
    estate_command(estate, "{\"do\":\"engine-pace\",\"engine\":\"llm-2\","
                           "\"told\":\"1000000000\",\"percent\":50}");
}

/* Engines keep their ids when they restart. */
static void engines_keep_ids(const estate_t *estate) {
    static const char *const engines[] = {"llm-1", "llm-2", "lock-1", "lock-2"};
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        estate_command(estate,
                       "{\"do\":\"engine-option\",\"engine\":\"%s\",\"name\":\"same_id\","
                       "\"value\":1}",
                       engines[i]);
    }
}

/* Engines of the locks have room for fewer requests than clients send, and are brittle. */
static void engines_make_brittle(const estate_t *estate) {
    static const struct {
        const char *name;
        int value;
    } options[] = {{"work_ms", 60}, {"slots", 2}, {"room", 2}, {"brittle", 6}};
    for (int i = 1; i <= ESTATE_LOCK_ENGINES; i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(options); j++) {
            estate_command(estate,
                           "{\"do\":\"engine-option\",\"engine\":\"lock-%d\",\"name\":\"%s\","
                           "\"value\":%d}",
                           i, options[j].name, options[j].value);
        }
    }
}

/* Streams last long enough to be cut off. */
static void engines_leave_out_framing(const estate_t *estate) {
    for (int i = 1; i <= ESTATE_ENGINES - ESTATE_LOCK_ENGINES; i++) {
        estate_command(estate,
                       "{\"do\":\"engine-option\",\"engine\":\"llm-%d\",\"name\":\"unframed\","
                       "\"value\":1}",
                       i);
        estate_command(estate,
                       "{\"do\":\"engine-option\",\"engine\":\"llm-%d\",\"name\":\"event_ms\","
                       "\"value\":40}",
                       i);
    }
}

typedef struct soak_options_t {
    int seconds; /* length of the faults */
    int nodes;
    int processor_percent; /* of a core, for all nodes but the first two; 0: no limit */
} soak_options_t;

/* Runs one seed. Returns TRUE when all checks passed. */
static gboolean seed_run(guint32 seed, const soak_options_t *options) {
    soak_t soak = {.seed = seed,
                   .nodes = options->nodes,
                   .processor_percent = options->processor_percent,
                   .rand = g_rand_new_with_seed(seed)};
    /* With load shedding the window is short, so that a killed node's share is available again
     * within the run. */
    soak.has_load_shedding = seed / 512 % 2 == 1;
    soak.retry_slack = soak.has_load_shedding ? 8 : 54;
    soak.retry_window_s = soak.has_load_shedding ? 3 : 10;
    g_autoptr(GString) flags = g_string_new(NULL);
    g_string_printf(flags,
                    "--lease-quiet-ms=%d --lease-duration-ms=800 --drain-ms=%d --stop-grace-s=5 "
                    "--retry-ratio=%g --retry-slack=%d --retry-window-s=%d",
                    SOAK_LEASE_HANDOVER_MS, SOAK_DRAIN_MS, SOAK_RETRY_RATIO, soak.retry_slack,
                    soak.retry_window_s);
    /* Bit 22, of seeds without higher bits. The older build sends streams to engines of any
     * version. */
    gboolean has_rejoins = seed / 4194304 == 1 && seed / 256 % 2 == 0;
    if (has_rejoins)
        g_string_append_printf(flags, " --resume-window-s=%d", SOAK_REJOIN_WINDOW_S);
    soak.began_ms = harness_now_ms();
    g_mutex_init(&soak.lock);
    soak.spans = g_array_new(FALSE, FALSE, sizeof(soak_span_t));
    soak.drains = g_array_new(FALSE, FALSE, sizeof(soak_drain_t));
    soak.requests = g_array_new(FALSE, FALSE, sizeof(soak_request_t));
    soak.failures = g_ptr_array_new_with_free_func(g_free);
    /* Bit 14. The older build connects to engines itself or not at all. */
    soak.has_partitions = seed / 16384 % 2 == 1 && seed / 256 % 2 == 0;
    soak.partitions = g_array_new(FALSE, FALSE, sizeof(soak_partition_t));
    soak.estate = soak.has_partitions ? estate_start_partitionable(soak.nodes, flags->str)
                                      : estate_start(soak.nodes, flags->str);
    soak.has_paces = seed / 64 % 2 == 1;
    soak.has_zones = seed / 128 % 2 == 1;
    soak.has_builds = seed / 256 % 2 == 1;
    /* Bit 15. The older build doesn't know that engines may be brittle. */
    soak.has_brittle_engines = seed / 32768 % 2 == 1 && !soak.has_builds;
    /* Bit 16. The older build admits requests by shares that may be out of date. */
    soak.has_tenants = seed / 65536 % 2 == 1 && !soak.has_builds;
    soak.key_header = "";
    /* Bit 17. The older build takes each plain close for the end of an answer. */
    soak.has_unframed = seed / 131072 % 2 == 1 && !soak.has_builds;
    soak.has_engine_states = seed / 1024 % 2 == 1;
    /* The older build doesn't know that a store may go back. */
    soak.has_rollbacks = seed / 4096 % 2 == 1 && !soak.has_builds;
    soak.only_rollbacks = soak.has_rollbacks && seed / 8192 % 2 == 1;
    /* Bit 18. The older build sends streams to engines of any version. */
    soak.has_versions =
        seed / 262144 % 2 == 1 && !soak.has_builds && !soak.has_partitions && !soak.has_tenants;
    /* Every stream is cut or crashes its engine at times, so that a harmless request may be refused
     * together with the poison request, which isn't what the check of streams is about. */
    soak.has_poison = seed / 16 % 2 == 0 && !soak.has_versions;
    /* Bit 19. The older build records crashes by request only. */
    soak.has_parts = seed / 524288 % 2 == 1 && !soak.has_builds;
    /* Bit 20. The older build doesn't lend its share of a limit. */
    soak.has_flood = seed / 1048576 % 2 == 1 && !soak.has_builds;
    /* Bit 21, of seeds without higher bits: older ones keep their meaning. Nothing crashes these
     * engines, which would clear the requests and parts that do. The older build takes copies of
     * answers for answers. */
    soak.has_faulty = seed / 2097152 == 1 && !soak.has_builds;
    if (soak.has_faulty) {
        soak.has_poison = FALSE;
        soak.has_parts = FALSE;
    }
    if (has_rejoins) {
        soak.has_poison = FALSE;
        soak.has_parts = FALSE;
        soak.has_versions = FALSE;
        soak.has_tenants = FALSE;
    }
    /* Bit 25 of seeds without higher bits. The older build sends streams to engines of any version.
     */
    gboolean has_steps = seed < SEEDS_WITH_ALL_BITS && seed / 33554432 % 2 == 1 && !soak.has_builds;
    /* Bits 23 and 24 of seeds without higher bits. The older build closes connections as it likes,
     * and takes rows as they are. */
    gboolean has_rests = seed < SEEDS_WITH_ALL_BITS && seed / 8388608 % 2 == 1 && !soak.has_builds;
    gboolean has_odd_rows =
        seed < SEEDS_WITH_ALL_BITS && seed / 16777216 % 2 == 1 && !soak.has_builds;
    /* Bit 26, of seeds without higher bits. The older build passes on what comes. */
    gboolean has_broken_streams = seed / SEEDS_WITH_ALL_BITS == 1 && !soak.has_builds;
    GPtrArray *versions = g_ptr_array_new();
    soak.evacuations = g_array_new(FALSE, FALSE, sizeof(soak_evacuation_t));
    if (soak.has_paces) {
        paces_set(soak.estate);
    }
    if (soak.has_zones) {
        engines_keep_ids(soak.estate);
    }
    if (soak.has_unframed) {
        engines_leave_out_framing(soak.estate);
    }
    if (soak.has_versions) {
        soak_versions_start(&soak, versions);
    }
    if (has_steps) {
        soak_steps_start(&soak, versions);
    }
    if (has_rejoins) {
        soak_rejoin_start(&soak, versions);
    }
    if (soak.has_brittle_engines) {
        engines_make_brittle(soak.estate);
    }
    GPtrArray *limits = g_ptr_array_new();
    soak_processor_limit(&soak, limits);
    GPtrArray *tenants = g_ptr_array_new();
    if (soak.has_tenants) {
        soak_tenants_start(&soak, tenants);
    }
    GPtrArray *clients = soak_clients_start(&soak);
    GPtrArray *poison = soak_poison_start(&soak);
    if (soak.has_parts) {
        soak_parts_start(&soak, poison);
    }
    if (soak.has_flood) {
        soak_flood_start(&soak, poison);
    }
    if (soak.has_faulty) {
        soak_faulty_start(&soak, clients);
    }
    if (seed / 2048 % 2 == 1 && !has_rejoins) {
        soak_config_start(&soak, clients);
    }
    if (has_odd_rows) {
        soak_odd_rows_start(&soak, clients);
    }
    if (has_broken_streams) {
        soak_broken_streams_start(&soak, clients);
    }
    if (has_rests) {
        soak_rests_start(&soak, clients);
    }
    soak_faults_run(&soak, (int64_t)options->seconds * 1000);
    g_atomic_int_set(&soak.stop, 1);
    soak_clients_join(tenants);
    soak_clients_join(versions);
    soak_clients_join(clients);
    soak_recovery_check(&soak);
    if (soak.has_flood) {
        g_usleep(FLOOD_TAIL_US);
    } else if (soak.has_poison || soak.has_parts) {
        g_usleep(POISON_TAIL_US);
    }
    g_atomic_int_set(&soak.poison_stop, 1);
    soak_clients_join(poison);
    g_atomic_int_set(&soak.processor_stop, 1);
    soak_clients_join(limits);
    exits_check(&soak);
    soak_checks_run(&soak);
    gboolean passed = soak.failures->len == 0;
    printf("seed %u: %s; %u requests, %u served whole, %u faults\n", seed,
           passed ? "all promises held" : "BROKEN", soak.requests->len, served_count(&soak),
           soak.spans->len);
    if (!passed) {
        for (guint i = 0; i < soak.failures->len; i++) {
            printf("  %s\n", (char *)soak.failures->pdata[i]);
        }
        spans_print(&soak);
        printf("  logs: %s\n", soak.estate->files.folder);
        g_test_fail(); /* makes the harness keep its logs */
    }
    fflush(stdout);
    estate_stop(soak.estate);
    soak_config_free(&soak);
    soak_rejoin_free(&soak);
    soak_rests_free(&soak);
    soak_steps_free(&soak);
    soak_odd_rows_free(&soak);
    soak_broken_streams_free(&soak);
    g_array_unref(soak.spans);
    g_array_unref(soak.drains);
    g_array_unref(soak.partitions);
    g_array_unref(soak.requests);
    g_ptr_array_unref(soak.failures);
    g_rand_free(soak.rand);
    g_mutex_clear(&soak.lock);
    return passed;
}

int main(int argc, char **argv) {
    soak_options_t options = {DEFAULT_SECONDS, SOAK_NODES, 0};
    int count = 1;
    char *seeds = NULL;
    const GOptionEntry entries[] = {
        {"seconds", 's', 0, G_OPTION_ARG_INT, &options.seconds, "Length of each seed's faults",
         "S"},
        {"nodes", 0, 0, G_OPTION_ARG_INT, &options.nodes, "Nodes to run", "N"},
        {"processor", 0, 0, G_OPTION_ARG_INT, &options.processor_percent,
         "Limit nodes but the first two to this share of a core", "PERCENT"},
        {"count", 'n', 0, G_OPTION_ARG_INT, &count, "Fresh seeds to play", "N"},
        {"seeds", 0, 0, G_OPTION_ARG_STRING, &seeds, "These seeds instead, with commas", "LIST"},
        {NULL}};
    g_autoptr(GOptionContext) context = g_option_context_new("- soak edge nodes with faults");
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error) || options.seconds < 1 ||
        count < 1 || options.nodes < 1 || options.nodes > SOAK_NODES_MAX) {
        fprintf(stderr, "wb-soak: %s\n", error != NULL ? error->message : "wrong numbers");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_ALL);
    apr_initialize();
    int failed = 0;
    int played = 0;
    g_auto(GStrv) list = g_strsplit(seeds != NULL ? seeds : "", ",", -1);
    if (seeds == NULL) {
        for (; played < count; played++) {
            guint32 seed = g_random_int();
            const guint32 ranges[] = {G_MAXUINT32, SEEDS_WITH_ALL_BITS, SEEDS_WITH_REJOINS,
                                      SEEDS_WITH_ALL_BITS};
            int turn = played % (int)G_N_ELEMENTS(ranges);
            guint32 first = turn == BROKEN_STREAMS_TURN ? SEEDS_WITH_ALL_BITS : 0;
            failed += !seed_run(first + seed % ranges[turn], &options);
        }
    }
    for (char **seed = list; *seed != NULL && **seed != '\0'; seed++, played++) {
        failed += !seed_run((guint32)g_ascii_strtoull(*seed, NULL, 10), &options);
    }
    printf("%d passed, %d failed\n", played - failed, failed);
    return failed == 0 ? 0 : 1;
}
