/* Faults of the soak. Each kind is a vtable (soak_fault_kind_t) in the first member of a fault. */
#include "faults.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#define GAP_MAX_MS 900 /* between the starts of two faults */
#define FAULTS_AT_ONCE 3
#define CALM_DRAWS 25 /* one in so many faults is a rollback, where nothing else is disturbed */
#define STOP_TIMEOUT_MS 12000
/* Exit status of a node that SIGTERM ended before its main() ran: it was killed, relaunched and
 * stopped within a few ms, and has accepted no request. */
#define STOPPED_BEFORE_MAIN (128 + SIGTERM)

void soak_fault_end_nothing(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    (void)soak;
}

static process_t *process_of(const soak_fault_t *fault, soak_t *soak) {
    return &soak->estate->nodes[fault->node].process;
}

static void node_relaunch(soak_fault_t *fault, soak_t *soak) {
    process_t *process = process_of(fault, soak);
    if (process->pid <= 0) {
        estate_node_launch(soak->estate, fault->node);
    }
}

static void kill_begin(soak_fault_t *fault, soak_t *soak) {
    process_kill(process_of(fault, soak));
}

void soak_pause_begin(soak_fault_t *fault, soak_t *soak) {
    g_atomic_int_set(&soak->paused[fault->node], 1);
    process_signal(process_of(fault, soak), SIGSTOP);
}

void soak_pause_end(soak_fault_t *fault, soak_t *soak) {
    g_atomic_int_set(&soak->paused[fault->node], 0);
    process_signal(process_of(fault, soak), SIGCONT);
}

static void stop_begin(soak_fault_t *fault, soak_t *soak) {
    process_signal(process_of(fault, soak), SIGTERM);
}

static void stop_end(soak_fault_t *fault, soak_t *soak) {
    int status = process_stop(process_of(fault, soak), STOP_TIMEOUT_MS);
    gboolean before_main =
        status == STOPPED_BEFORE_MAIN && !estate_node_has_started(soak->estate, fault->node);
    if (status != 0 && !before_main) {
        soak_fail(soak, "node %d: a planned stop ended with %d", fault->node, status);
    }
    process_kill(process_of(fault, soak));
    node_relaunch(fault, soak);
}

static void reload_begin(soak_fault_t *fault, soak_t *soak) {
    process_signal(process_of(fault, soak), SIGHUP);
}

static void all_killed_begin(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    for (int i = 0; i < soak->nodes; i++) {
        process_kill(&soak->estate->nodes[i].process);
    }
}

static void all_killed_end(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    for (int i = 0; i < soak->nodes; i++) {
        if (soak->estate->nodes[i].process.pid <= 0) {
            estate_node_launch(soak->estate, i);
        }
    }
}

static const char *const link_modes[] = {"delay", "cut", "freeze", "freeze_request",
                                         "freeze_answer"};

static const char *link_mode(const soak_fault_t *fault) {
    return link_modes[fault->variant % (int)G_N_ELEMENTS(link_modes)];
}

static int link_delay_ms(const soak_fault_t *fault) {
    return 30 + fault->variant % 300;
}

static void store_link_begin(soak_fault_t *fault, soak_t *soak) {
    estate_store_fault(soak->estate, fault->node, link_mode(fault), link_delay_ms(fault));
}

static void store_link_end(soak_fault_t *fault, soak_t *soak) {
    estate_store_fault(soak->estate, fault->node, "pass", 0);
}

static void peer_link_begin(soak_fault_t *fault, soak_t *soak) {
    estate_link_fault(soak->estate, fault->node, link_mode(fault), link_delay_ms(fault));
}

static void peer_link_end(soak_fault_t *fault, soak_t *soak) {
    estate_link_fault(soak->estate, fault->node, "pass", 0);
}

static void engine_link_begin(soak_fault_t *fault, soak_t *soak) {
    estate_engine_fault(soak->estate, fault->variant % ESTATE_LOCK_ENGINES, link_mode(fault), 0, 0);
}

static void engine_link_end(soak_fault_t *fault, soak_t *soak) {
    estate_engine_fault(soak->estate, fault->variant % ESTATE_LOCK_ENGINES, "pass", 0, 0);
}

/* Wrong responses for a few requests, at one of the four initial engines. */
static void engine_fault_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const faults[] = {"error",  "reset",    "mute",       "cut",
                                         "reject", "unsealed", "order-lost", "order-late"};
    static const char *const engines[] = {"llm-1", "llm-2", "lock-1", "lock-2"};
    estate_command(
        soak->estate, "{\"do\":\"engine-fault\",\"engine\":\"%s\",\"fault\":\"%s\",\"count\":%d}",
        engines[fault->variant % (int)G_N_ELEMENTS(engines)],
        faults[(fault->variant / 4) % (int)G_N_ELEMENTS(faults)], 1 + fault->variant % 3);
}

/* Names a guest: an additional engine for the lock service, which drains or crashes after a while.
 */
static void guest_name(const soak_fault_t *fault, char name[32]) {
    g_snprintf(name, 32, "guest-%d", fault->variant);
}

static void guest_begin(soak_fault_t *fault, soak_t *soak) {
    char name[32];
    fault->variant = ++soak->engines_started;
    guest_name(fault, name);
    estate_command(soak->estate,
                   "{\"do\":\"engine-start\",\"engine\":\"%s\",\"options\":{\"service\":\"lock\","
                   "\"zone\":\"zone-1\",\"work_ms\":10}}",
                   name);
}

static void guest_end(soak_fault_t *fault, soak_t *soak) {
    soak_drain_t drain;
    guest_name(fault, drain.engine);
    drain.at_ms = harness_now_ms();
    estate_command(soak->estate, "{\"do\":\"engine-leave\",\"engine\":\"%s\"}", drain.engine);
    g_mutex_lock(&soak->lock);
    g_array_append_val(soak->drains, drain);
    g_mutex_unlock(&soak->lock);
}

static void guest_crash_end(soak_fault_t *fault, soak_t *soak) {
    char name[32];
    guest_name(fault, name);
    estate_command(soak->estate, "{\"do\":\"engine-stop\",\"engine\":\"%s\",\"announce\":true}",
                   name);
}

void soak_config_rewrite(soak_t *soak) {
    if (soak->config_writer != NULL) {
        soak_config_change(soak);
    } else if (soak->rejoin != NULL) {
        soak_rejoin_move_route(soak);
    } else {
        estate_configure(soak->estate, NULL);
    }
}

static void config_begin(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    soak_tenants_change(soak);
    soak_config_rewrite(soak);
}

const char *soak_fault_engine(const soak_fault_t *fault) {
    static const char *const engines[] = {"llm-1", "llm-2", "lock-1", "lock-2"};
    return engines[fault->variant % (int)G_N_ELEMENTS(engines)];
}

static void build_begin(soak_fault_t *fault, soak_t *soak) {
    process_kill(process_of(fault, soak));
    soak->estate->nodes[fault->node].older = !soak->estate->nodes[fault->node].older;
}

static void engines_shed(const soak_t *soak, int count) {
    static const char *const engines[] = {"llm-1", "llm-2", "lock-1", "lock-2"};
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        estate_command(
            soak->estate,
            "{\"do\":\"engine-fault\",\"engine\":\"%s\",\"fault\":\"reject\",\"count\":%d}",
            engines[i], count);
    }
}

static void shed_begin(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    engines_shed(soak, G_MAXINT);
}

static void shed_end(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    engines_shed(soak, 0);
}

static void engine_report_state(const soak_t *soak, const char *engine, const char *lines) {
    estate_command(soak->estate, "{\"do\":\"engine-state\",\"engine\":\"%s\",\"lines\":\"%s\"}",
                   engine, lines);
}

/* Some of the limits are malformed or out of range. */
static void limit_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const limits[] = {"1", "0.4", "0", "3", "12", "nan", "-1", "1000000000000"};
    g_autofree char *lines = g_strdup_printf(
        "Server-Limit: %s\\r\\n", limits[fault->variant / 4 % (int)G_N_ELEMENTS(limits)]);
    engine_report_state(soak, soak_fault_engine(fault), lines);
}

static void limit_end(soak_fault_t *fault, soak_t *soak) {
    engine_report_state(soak, soak_fault_engine(fault), "");
}

static void engine_set_backoff(const soak_t *soak, const char *engine, const char *retry_after) {
    estate_command(soak->estate,
                   "{\"do\":\"engine-rest\",\"engine\":\"%s\",\"retry_after\":\"%s\"}", engine,
                   retry_after);
}

static void backoff_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const times[] = {"0.8", "1", "2.5", "4"};
    engine_set_backoff(soak, soak_fault_engine(fault),
                       times[fault->variant / 4 % (int)G_N_ELEMENTS(times)]);
}

static void backoff_end(soak_fault_t *fault, soak_t *soak) {
    engine_set_backoff(soak, soak_fault_engine(fault), "");
}

/* Draining is reported in responses only: its row still says ready. */
static void guest_report_draining(soak_fault_t *fault, soak_t *soak) {
    char name[32];
    guest_name(fault, name);
    engine_report_state(soak, name, "Server-Leaving: 1\\r\\n");
}

static const soak_fault_kind_t state_kinds[] = {
    {"engine-limited", limit_begin, limit_end, 3000, 12000, FALSE},
    {"engine-rests", backoff_begin, backoff_end, 300, 4000, FALSE},
    {"guest-tells-leaving", guest_begin, guest_report_draining, 500, 2500, FALSE},
};

/* Streams of one of the engines with models end inside an event, as if they were complete. */
static void stream_end_begin(soak_fault_t *fault, soak_t *soak) {
    estate_command(soak->estate,
                   "{\"do\":\"engine-fault\",\"engine\":\"llm-%d\",\"fault\":\"cut-plain\","
                   "\"count\":%d}",
                   1 + fault->variant % 2, 1 + fault->variant % 3);
}

static void stream_engine_crash_begin(soak_fault_t *fault, soak_t *soak) {
    estate_command(soak->estate, "{\"do\":\"engine-crash\",\"engine\":\"llm-%d\"}",
                   1 + fault->variant % 2);
}

static const soak_fault_kind_t unframed_kinds[] = {
    {"streams-end-early", stream_end_begin, soak_fault_end_nothing, 10, 20, FALSE},
    {"stream-engine-crashes", stream_engine_crash_begin, soak_fault_end_nothing, 10, 20, FALSE},
};

/* Short enough that a node's leases and shares stay with it. */
static const soak_fault_kind_t rest_kinds[] = {
    {"pause", soak_pause_begin, soak_pause_end, 300, 1200, TRUE},
    {"pause", soak_pause_begin, soak_pause_end, 300, 1200, TRUE},
    {"planned-stop", stop_begin, stop_end, 300, 500, TRUE},
    {"reload", reload_begin, soak_fault_end_nothing, 10, 20, TRUE},
};

static const soak_fault_kind_t shed_kind = {"engines-shed", shed_begin, shed_end,
                                            2000,           8000,       FALSE};

static const soak_fault_kind_t build_kind = {"other-build", build_begin, node_relaunch, 50,
                                             300,           TRUE};

static const soak_fault_kind_t kinds[] = {
    {"kill", kill_begin, node_relaunch, 50, 1500, TRUE},
    {"pause", soak_pause_begin, soak_pause_end, 200, 6000, TRUE},
    {"planned-stop", stop_begin, stop_end, 300, 500, TRUE},
    {"reload", reload_begin, soak_fault_end_nothing, 10, 20, TRUE},
    {"all-killed", all_killed_begin, all_killed_end, 50, 800, FALSE},
    {"way-to-store", store_link_begin, store_link_end, 300, 5000, TRUE},
    {"way-to-node", peer_link_begin, peer_link_end, 300, 5000, FALSE},
    {"way-to-engine", engine_link_begin, engine_link_end, 300, 4000, FALSE},
    {"store", soak_store_fault_begin, soak_store_fault_end, 300, 4000, FALSE},
    {"history-forgotten", soak_store_compact, soak_fault_end_nothing, 10, 20, FALSE},
    {"answers", engine_fault_begin, soak_fault_end_nothing, 10, 20, FALSE},
    {"guest-leaves", guest_begin, guest_end, 500, 2500, FALSE},
    {"guest-crashes", guest_begin, guest_crash_end, 500, 2500, FALSE},
    {"configuration", config_begin, soak_fault_end_nothing, 10, 20, FALSE},
};

/* A process that isn't running can't be stopped, paused or reloaded. Active faults differ in
 * kind and process, and all nodes are killed only while no other fault is active. */
static gboolean can_begin(const soak_t *soak, const soak_fault_t *fault, const GArray *active) {
    gboolean is_all = fault->kind->begin == all_killed_begin;
    for (guint i = 0; i < active->len; i++) {
        const soak_fault_t *other = &g_array_index(active, soak_fault_t, i);
        gboolean same_kind = other->kind == fault->kind;
        gboolean same_node = other->kind->single_node && other->node == fault->node;
        gboolean other_is_all = other->kind->begin == all_killed_begin;
        if (same_kind || same_node || is_all || (other_is_all && fault->kind->single_node)) {
            return FALSE;
        }
    }
    return is_all || soak->estate->nodes[fault->node].process.pid > 0;
}

/* Rollbacks, with some ten seconds in between, beside what operators and engines do as planned. */
static const soak_fault_kind_t *calm_kind_draw(soak_t *soak) {
    static const soak_fault_kind_t planned[] = {
        /* long enough to be there before a rollback and to leave after it */
        {"guest-leaves", guest_begin, guest_end, 500, 20000, FALSE},
        {"guest-crashes", guest_begin, guest_crash_end, 500, 2500, FALSE},
        {"configuration", config_begin, soak_fault_end_nothing, 10, 20, FALSE},
    };
    if (g_rand_int_range(soak->rand, 0, CALM_DRAWS) == 0) {
        return &soak_rollback_faults[g_rand_int_range(soak->rand, 0, SOAK_ROLLBACK_FAULTS)];
    }
    return &planned[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(planned))];
}

/* Seeds without an option draw the same sequence as before that option existed. */
static const soak_fault_kind_t *kind_draw(soak_t *soak) {
    if (soak->rests != NULL && g_rand_int_range(soak->rand, 0, 2) == 0) {
        return &rest_kinds[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(rest_kinds))];
    }
    if (soak->steps != NULL && g_rand_int_range(soak->rand, 0, 2) == 0) {
        return &soak_step_faults[g_rand_int_range(soak->rand, 0, SOAK_STEP_FAULTS)];
    }
    if (soak->rejoin != NULL && g_rand_int_range(soak->rand, 0, 3) == 0) {
        return &kinds[4]; /* kill all */
    }
    if (soak->has_versions && g_rand_int_range(soak->rand, 0, 2) == 0) {
        return &soak_version_faults[g_rand_int_range(soak->rand, 0, SOAK_VERSION_FAULTS)];
    }
    if (soak->has_unframed && g_rand_int_range(soak->rand, 0, 3) == 0) {
        return &unframed_kinds[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(unframed_kinds))];
    }
    if (soak->has_partitions && g_rand_int_range(soak->rand, 0, 4) == 0) {
        return &soak_partition_fault;
    }
    if (soak->only_rollbacks) {
        return calm_kind_draw(soak);
    }
    if (soak->has_rollbacks && g_rand_int_range(soak->rand, 0, 5) == 0) {
        return &soak_rollback_faults[g_rand_int_range(soak->rand, 0, SOAK_ROLLBACK_FAULTS)];
    }
    if (soak->config_writer != NULL && g_rand_int_range(soak->rand, 0, 6) == 0) {
        return &soak_config_faults[g_rand_int_range(soak->rand, 0, SOAK_CONFIG_FAULTS)];
    }
    if (soak->has_engine_states && g_rand_int_range(soak->rand, 0, 3) == 0) {
        return &state_kinds[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(state_kinds))];
    }
    if (soak->has_builds && g_rand_int_range(soak->rand, 0, 5) == 0) {
        return &build_kind;
    }
    if (soak->has_load_shedding) {
        int draw = g_rand_int_range(soak->rand, 0, 4);
        if (draw < 2) {
            return draw == 0 ? &shed_kind : &kinds[0]; /* kill processes throughout */
        }
    }
    if (soak->has_zones && g_rand_int_range(soak->rand, 0, 3) == 0) {
        return &soak_zone_faults[g_rand_int_range(soak->rand, 0, SOAK_ZONE_FAULTS)];
    }
    return &kinds[g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(kinds))];
}

static void fault_begin(soak_t *soak, GArray *active) {
    soak_fault_t fault = {.kind = kind_draw(soak),
                          .node = g_rand_int_range(soak->rand, 0, soak->nodes),
                          .variant = g_rand_int_range(soak->rand, 0, 1000)};
    int controller = -1;
    int duration_ms = g_rand_int_range(soak->rand, fault.kind->min_ms, fault.kind->max_ms);
    if (g_rand_int_range(soak->rand, 0, 2) == 0 &&
        (controller = estate_controller(soak->estate)) >= 0) {
        fault.node = controller; /* every second fault on average is for the controller */
    }
    if (active->len >= FAULTS_AT_ONCE || !can_begin(soak, &fault, active)) {
        return;
    }
    soak_span_t span = {.node = fault.kind->single_node ? fault.node : -1,
                        .target = fault.node,
                        .from_ms = harness_now_ms(),
                        .to_ms = G_MAXINT64};
    g_strlcpy(span.name, fault.kind->name, sizeof(span.name));
    g_mutex_lock(&soak->lock);
    fault.span = soak->spans->len;
    g_array_append_val(soak->spans, span);
    g_mutex_unlock(&soak->lock);
    fault.kind->begin(&fault, soak);
    fault.end_ms = harness_now_ms() + duration_ms;
    g_array_append_val(active, fault);
}

static void faults_end(soak_t *soak, GArray *active, int64_t now_ms) {
    for (guint i = active->len; i-- > 0;) {
        soak_fault_t fault = g_array_index(active, soak_fault_t, i);
        if (now_ms < fault.end_ms) {
            continue;
        }
        g_array_remove_index_fast(active, i);
        fault.kind->end(&fault, soak);
        g_mutex_lock(&soak->lock);
        g_array_index(soak->spans, soak_span_t, fault.span).to_ms =
            harness_now_ms() + SOAK_DISTURBED_AFTER_MS;
        g_mutex_unlock(&soak->lock);
    }
}

static gboolean is_being_stopped(const GArray *active, int node) {
    for (guint i = 0; i < active->len; i++) {
        const soak_fault_t *fault = &g_array_index(active, soak_fault_t, i);
        if (fault->kind->begin == stop_begin && fault->node == node) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Checks that no node has ended by itself, and starts those again that have. */
static void exits_check(soak_t *soak, const GArray *active) {
    for (int i = 0; i < soak->nodes; i++) {
        process_t *process = &soak->estate->nodes[i].process;
        int status;
        if (process->pid > 0 && !is_being_stopped(active, i) &&
            waitpid(process->pid, &status, WNOHANG) == process->pid) {
            process->pid = 0;
            soak_fail(soak, "node %d ended by itself at %.2f s, status %d", i,
                      (double)(harness_now_ms() - soak->began_ms) / 1000, status);
            estate_node_launch(soak->estate, i);
        }
    }
}

void soak_faults_run(soak_t *soak, int64_t duration_ms) {
    g_autoptr(GArray) active = g_array_new(FALSE, FALSE, sizeof(soak_fault_t));
    int64_t until_ms = harness_now_ms() + duration_ms;
    int64_t next_ms = 0;
    while (harness_now_ms() < until_ms) {
        int64_t now_ms = harness_now_ms();
        faults_end(soak, active, now_ms);
        exits_check(soak, active);
        if (now_ms >= next_ms) {
            fault_begin(soak, active);
            next_ms = now_ms + g_rand_int_range(soak->rand, 50, GAP_MAX_MS);
        }
        g_usleep(10000);
    }
    faults_end(soak, active, G_MAXINT64);
    for (int i = 0; i < soak->nodes; i++) {
        estate_wait_ready(soak->estate, i);
    }
}
