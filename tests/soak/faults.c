/* Faults of the soak: each kind is an object whose first member tells how it begins and ends. */
#include "soak.h"

#include <signal.h>
#include <string.h>

#define GAP_LIMIT_MS 900 /* between the beginnings of two faults */
#define FAULTS_AT_ONCE 3
#define STOP_LIMIT_MS 12000
/* A SIGTERM that comes before the program's own code runs ends it, as the system does: a node that
 * is killed, begun anew and stopped within some ms. It has taken no request. */
#define STOPPED_BEFORE_MAIN (128 + SIGTERM)

typedef struct soak_fault_t soak_fault_t;

/* What a kind of fault does. */
typedef struct soak_fault_kind_t {
    const char *name;
    void (*begin)(soak_fault_t *fault, soak_t *soak);
    void (*end)(soak_fault_t *fault, soak_t *soak);
    int least_ms;
    int most_ms;
    gboolean spares_others; /* it hits one node only */
} soak_fault_kind_t;

/* A fault at work. */
struct soak_fault_t {
    const soak_fault_kind_t *kind;
    int node;
    int variant;
    int64_t end_ms;
    guint span; /* its place in soak->spans */
};

static void nothing(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    (void)soak;
}

static process_t *process_of(const soak_fault_t *fault, soak_t *soak) {
    return &soak->estate->nodes[fault->node].process;
}

static void node_launch_again(soak_fault_t *fault, soak_t *soak) {
    process_t *process = process_of(fault, soak);
    if (process->pid <= 0) {
        estate_node_launch(soak->estate, fault->node);
    }
}

static void kill_begin(soak_fault_t *fault, soak_t *soak) {
    process_kill(process_of(fault, soak));
}

static void pause_begin(soak_fault_t *fault, soak_t *soak) {
    process_signal(process_of(fault, soak), SIGSTOP);
}

static void pause_end(soak_fault_t *fault, soak_t *soak) {
    process_signal(process_of(fault, soak), SIGCONT);
}

static void stop_begin(soak_fault_t *fault, soak_t *soak) {
    process_signal(process_of(fault, soak), SIGTERM);
}

static void stop_end(soak_fault_t *fault, soak_t *soak) {
    int status = process_stop(process_of(fault, soak), STOP_LIMIT_MS);
    gboolean before_main =
        status == STOPPED_BEFORE_MAIN && !estate_node_has_started(soak->estate, fault->node);
    if (status != 0 && !before_main) {
        soak_broken(soak, "node %d: a planned stop ended with %d", fault->node, status);
    }
    process_kill(process_of(fault, soak));
    node_launch_again(fault, soak);
}

static void reload_begin(soak_fault_t *fault, soak_t *soak) {
    process_signal(process_of(fault, soak), SIGHUP);
}

static void all_killed_begin(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    for (int i = 0; i < SOAK_NODES; i++) {
        process_kill(&soak->estate->nodes[i].process);
    }
}

static void all_killed_end(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    for (int i = 0; i < SOAK_NODES; i++) {
        if (soak->estate->nodes[i].process.pid <= 0) {
            estate_node_launch(soak->estate, i);
        }
    }
}

static const char *const ways[] = {"delay", "cut", "freeze", "freeze_request", "freeze_answer"};

static const char *way_of(const soak_fault_t *fault) {
    return ways[fault->variant % (int)G_N_ELEMENTS(ways)];
}

static int delay_of(const soak_fault_t *fault) {
    return 30 + fault->variant % 300;
}

static void store_way_begin(soak_fault_t *fault, soak_t *soak) {
    estate_store_fault(soak->estate, fault->node, way_of(fault), delay_of(fault));
}

static void store_way_end(soak_fault_t *fault, soak_t *soak) {
    estate_store_fault(soak->estate, fault->node, "pass", 0);
}

static void link_way_begin(soak_fault_t *fault, soak_t *soak) {
    estate_link_fault(soak->estate, fault->node, way_of(fault), delay_of(fault));
}

static void link_way_end(soak_fault_t *fault, soak_t *soak) {
    estate_link_fault(soak->estate, fault->node, "pass", 0);
}

static void engine_way_begin(soak_fault_t *fault, soak_t *soak) {
    estate_engine_fault(soak->estate, fault->variant % ESTATE_PROXIED_ENGINES, way_of(fault), 0, 0);
}

static void engine_way_end(soak_fault_t *fault, soak_t *soak) {
    estate_engine_fault(soak->estate, fault->variant % ESTATE_PROXIED_ENGINES, "pass", 0, 0);
}

static void store_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const faults[] = {"busy", "silent", "reset", "lost", "late", ""};
    const char *name = faults[fault->variant % (int)G_N_ELEMENTS(faults)];
    estate_do(soak->estate, "{\"do\":\"store-fault\",\"fault\":\"%s\",\"delay_ms\":%d}", name,
              *name == '\0' ? 200 : 0);
}

static void store_end(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    estate_do(soak->estate, "{\"do\":\"store-fault\",\"fault\":\"\",\"delay_ms\":0}");
}

static void history_begin(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    estate_do(soak->estate, "{\"do\":\"compact\"}");
}

/* Engines that answer wrongly some times; each of the four that the estate starts with. */
static void answers_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const faults[] = {"error",  "reset",    "mute",       "cut",
                                         "reject", "unsealed", "order-lost", "order-late"};
    static const char *const engines[] = {"llm-1", "llm-2", "lock-1", "lock-2"};
    estate_do(soak->estate,
              "{\"do\":\"engine-fault\",\"engine\":\"%s\",\"fault\":\"%s\",\"count\":%d}",
              engines[fault->variant % (int)G_N_ELEMENTS(engines)],
              faults[(fault->variant / 4) % (int)G_N_ELEMENTS(faults)], 1 + fault->variant % 3);
}

/* One more engine for locks, that leaves after a while and ends later. */
static void guest_name(const soak_fault_t *fault, char name[32]) {
    g_snprintf(name, 32, "guest-%d", fault->variant);
}

static void guest_begin(soak_fault_t *fault, soak_t *soak) {
    char name[32];
    fault->variant = ++soak->engines_started;
    guest_name(fault, name);
    estate_do(soak->estate,
              "{\"do\":\"engine-start\",\"engine\":\"%s\",\"options\":{\"service\":\"lock\","
              "\"zone\":\"zone-1\",\"work_ms\":10}}",
              name);
}

static void guest_end(soak_fault_t *fault, soak_t *soak) {
    soak_leave_t leave;
    guest_name(fault, leave.engine);
    leave.at_ms = harness_now_ms();
    estate_do(soak->estate, "{\"do\":\"engine-leave\",\"engine\":\"%s\"}", leave.engine);
    g_mutex_lock(&soak->lock);
    g_array_append_val(soak->leaves, leave);
    g_mutex_unlock(&soak->lock);
}

static void crash_end(soak_fault_t *fault, soak_t *soak) {
    char name[32];
    guest_name(fault, name);
    estate_do(soak->estate, "{\"do\":\"engine-stop\",\"engine\":\"%s\",\"announce\":true}", name);
}

static void config_begin(soak_fault_t *fault, soak_t *soak) {
    (void)fault;
    estate_configure(soak->estate, NULL);
}

static const char *estate_engine(const soak_fault_t *fault) {
    static const char *const engines[] = {"llm-1", "llm-2", "lock-1", "lock-2"};
    return engines[fault->variant % (int)G_N_ELEMENTS(engines)];
}

/* Back within a tenth of a second to one second, before its row could lapse. */
static void restart_begin(soak_fault_t *fault, soak_t *soak) {
    estate_do(soak->estate,
              "{\"do\":\"engine-option\",\"engine\":\"%s\",\"name\":\"back_ms\",\"value\":%d}",
              estate_engine(fault), 100 + fault->variant);
    estate_do(soak->estate, "{\"do\":\"engine-crash\",\"engine\":\"%s\"}", estate_engine(fault));
}

static void rows_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const values[] = {"{}", "[[[[", "{\\\"service\\\":\\\"lock\\\"}",
                                         "{\\\"state\\\":\\\"asleep\\\"}", "x"};
    estate_do(soak->estate,
              "{\"do\":\"put\",\"table\":\"servers\",\"key\":\"foreign-%d\",\"value\":\"%s\"}",
              fault->variant % 7, values[fault->variant % (int)G_N_ELEMENTS(values)]);
}

static void zone_of(const soak_fault_t *fault, char zone[32]) {
    g_snprintf(zone, 32, "zone-%d", 1 + fault->variant % 2);
}

static void evacuation_begin(soak_fault_t *fault, soak_t *soak) {
    soak_evacuation_t evacuation = {.to_ms = G_MAXINT64};
    zone_of(fault, evacuation.zone);
    estate_do(soak->estate,
              "{\"do\":\"put\",\"table\":\"op\",\"key\":\"evacuate/%s\",\"value\":\"{}\"}",
              evacuation.zone);
    evacuation.from_ms = harness_now_ms();
    g_mutex_lock(&soak->lock);
    g_array_append_val(soak->evacuations, evacuation);
    g_mutex_unlock(&soak->lock);
}

static void evacuation_end(soak_fault_t *fault, soak_t *soak) {
    char zone[32];
    zone_of(fault, zone);
    g_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->evacuations->len; i++) {
        soak_evacuation_t *evacuation = &g_array_index(soak->evacuations, soak_evacuation_t, i);
        if (strcmp(evacuation->zone, zone) == 0) {
            evacuation->to_ms = MIN(evacuation->to_ms, harness_now_ms());
        }
    }
    g_mutex_unlock(&soak->lock);
    estate_do(soak->estate, "{\"do\":\"put\",\"table\":\"op\",\"key\":\"evacuate/%s\"}", zone);
}

static void build_begin(soak_fault_t *fault, soak_t *soak) {
    process_kill(process_of(fault, soak));
    soak->estate->nodes[fault->node].older = !soak->estate->nodes[fault->node].older;
}

static const soak_fault_kind_t zone_kinds[] = {
    {"engine-restarts", restart_begin, nothing, 10, 20, FALSE},
    {"foreign-rows", rows_begin, nothing, 10, 20, FALSE},
    {"evacuation", evacuation_begin, evacuation_end, 500, 6000, FALSE},
};

static void engines_shed(const soak_t *soak, int count) {
    static const char *const engines[] = {"llm-1", "llm-2", "lock-1", "lock-2"};
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        estate_do(soak->estate,
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

static void engine_tells(const soak_t *soak, const char *engine, const char *lines) {
    estate_do(soak->estate, "{\"do\":\"engine-state\",\"engine\":\"%s\",\"lines\":\"%s\"}", engine,
              lines);
}

/* Some of the limits can't be. */
static void limited_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const limits[] = {"1", "0.4", "0", "3", "12", "nan", "-1", "1000000000000"};
    g_autofree char *lines = g_strdup_printf(
        "Server-Limit: %s\\r\\n", limits[fault->variant / 4 % (int)G_N_ELEMENTS(limits)]);
    engine_tells(soak, estate_engine(fault), lines);
}

static void limited_end(soak_fault_t *fault, soak_t *soak) {
    engine_tells(soak, estate_engine(fault), "");
}

static void engine_backoffs(const soak_t *soak, const char *engine, const char *retry_after) {
    estate_do(soak->estate, "{\"do\":\"engine-rest\",\"engine\":\"%s\",\"retry_after\":\"%s\"}",
              engine, retry_after);
}

static void rest_begin(soak_fault_t *fault, soak_t *soak) {
    static const char *const times[] = {"0.8", "1", "2.5", "4"};
    engine_backoffs(soak, estate_engine(fault), times[fault->variant / 4 % (int)G_N_ELEMENTS(times)]);
}

static void rest_end(soak_fault_t *fault, soak_t *soak) {
    engine_backoffs(soak, estate_engine(fault), "");
}

/* It leaves by its answers alone: its row says that it is ready. */
static void guest_tells_leaving(soak_fault_t *fault, soak_t *soak) {
    char name[32];
    guest_name(fault, name);
    engine_tells(soak, name, "Server-Leaving: 1\\r\\n");
}

static const soak_fault_kind_t state_kinds[] = {
    {"engine-limited", limited_begin, limited_end, 3000, 12000, FALSE},
    {"engine-rests", rest_begin, rest_end, 300, 4000, FALSE},
    {"guest-tells-leaving", guest_begin, guest_tells_leaving, 500, 2500, FALSE},
};

static const soak_fault_kind_t shed_kind = {"engines-shed", shed_begin, shed_end,
                                            2000,           8000,       FALSE};

static const soak_fault_kind_t build_kind = {"other-build", build_begin, node_launch_again, 50,
                                             300,           TRUE};

static const soak_fault_kind_t kinds[] = {
    {"kill", kill_begin, node_launch_again, 50, 1500, TRUE},
    {"pause", pause_begin, pause_end, 200, 6000, TRUE},
    {"planned-stop", stop_begin, stop_end, 300, 500, TRUE},
    {"reload", reload_begin, nothing, 10, 20, TRUE},
    {"all-killed", all_killed_begin, all_killed_end, 50, 800, FALSE},
    {"way-to-store", store_way_begin, store_way_end, 300, 5000, TRUE},
    {"way-to-node", link_way_begin, link_way_end, 300, 5000, FALSE},
    {"way-to-engine", engine_way_begin, engine_way_end, 300, 4000, FALSE},
    {"store", store_begin, store_end, 300, 4000, FALSE},
    {"history-forgotten", history_begin, nothing, 10, 20, FALSE},
    {"answers", answers_begin, nothing, 10, 20, FALSE},
    {"guest-leaves", guest_begin, guest_end, 500, 2500, FALSE},
    {"guest-crashes", guest_begin, crash_end, 500, 2500, FALSE},
    {"configuration", config_begin, nothing, 10, 20, FALSE},
};

/* A process that isn't running can't be stopped, paused or reloaded; nor can one be twice. */
static gboolean fits(const soak_t *soak, const soak_fault_t *fault, const GArray *active) {
    gboolean is_all = fault->kind->begin == all_killed_begin;
    for (guint i = 0; i < active->len; i++) {
        const soak_fault_t *other = &g_array_index(active, soak_fault_t, i);
        gboolean same_kind = other->kind == fault->kind;
        gboolean hits_process = other->kind->spares_others && other->node == fault->node;
        gboolean other_is_all = other->kind->begin == all_killed_begin;
        if (same_kind || hits_process || is_all || (other_is_all && fault->kind->spares_others)) {
            return FALSE;
        }
    }
    return is_all || soak->estate->nodes[fault->node].process.pid > 0;
}

/* Seeds without zones, builds, sheds or states draw as they always did. */
static const soak_fault_kind_t *kind_draw(soak_t *soak) {
    if (soak->has_states && g_rand_int_range(soak->plan, 0, 3) == 0) {
        return &state_kinds[g_rand_int_range(soak->plan, 0, G_N_ELEMENTS(state_kinds))];
    }
    if (soak->has_builds && g_rand_int_range(soak->plan, 0, 5) == 0) {
        return &build_kind;
    }
    if (soak->has_sheds) {
        int draw = g_rand_int_range(soak->plan, 0, 4);
        if (draw < 2) {
            return draw == 0 ? &shed_kind : &kinds[0]; /* processes are killed all the while */
        }
    }
    if (soak->has_zones && g_rand_int_range(soak->plan, 0, 3) == 0) {
        return &zone_kinds[g_rand_int_range(soak->plan, 0, G_N_ELEMENTS(zone_kinds))];
    }
    return &kinds[g_rand_int_range(soak->plan, 0, G_N_ELEMENTS(kinds))];
}

static void fault_begin(soak_t *soak, GArray *active) {
    soak_fault_t fault = {.kind = kind_draw(soak),
                          .node = g_rand_int_range(soak->plan, 0, SOAK_NODES),
                          .variant = g_rand_int_range(soak->plan, 0, 1000)};
    int holder = -1;
    int lasts_ms = g_rand_int_range(soak->plan, fault.kind->least_ms, fault.kind->most_ms);
    if (g_rand_int_range(soak->plan, 0, 2) == 0 &&
        (holder = estate_controller(soak->estate)) >= 0) {
        fault.node = holder; /* every other fault is for the lease's holder */
    }
    if (active->len >= FAULTS_AT_ONCE || !fits(soak, &fault, active)) {
        return;
    }
    soak_span_t span = {.node = fault.kind->spares_others ? fault.node : -1,
                        .from_ms = harness_now_ms(),
                        .to_ms = G_MAXINT64};
    g_strlcpy(span.name, fault.kind->name, sizeof(span.name));
    g_mutex_lock(&soak->lock);
    fault.span = soak->spans->len;
    g_array_append_val(soak->spans, span);
    g_mutex_unlock(&soak->lock);
    fault.kind->begin(&fault, soak);
    fault.end_ms = harness_now_ms() + lasts_ms;
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

void soak_faults_play(soak_t *soak, int64_t duration_ms) {
    g_autoptr(GArray) active = g_array_new(FALSE, FALSE, sizeof(soak_fault_t));
    int64_t until_ms = harness_now_ms() + duration_ms;
    int64_t next_ms = 0;
    while (harness_now_ms() < until_ms) {
        int64_t now_ms = harness_now_ms();
        faults_end(soak, active, now_ms);
        if (now_ms >= next_ms) {
            fault_begin(soak, active);
            next_ms = now_ms + g_rand_int_range(soak->plan, 50, GAP_LIMIT_MS);
        }
        g_usleep(10000);
    }
    faults_end(soak, active, G_MAXINT64);
    for (int i = 0; i < SOAK_NODES; i++) {
        estate_wait_ready(soak->estate, i);
    }
}

/* Whether a fault of one of these names was at work at a node. */
static gboolean was_hit(soak_t *soak, int node, int64_t from_ms, int64_t to_ms,
                        const char *const *names) {
    gboolean hit = FALSE;
    g_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        gboolean here = (span->node < 0 || span->node == node) && span->from_ms <= to_ms &&
                        span->to_ms >= from_ms;
        hit |= here && g_strv_contains(names, span->name);
    }
    g_mutex_unlock(&soak->lock);
    return hit;
}

gboolean soak_is_halted(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const halts[] = {"kill", "pause", "all-killed", "other-build", NULL};
    return was_hit(soak, node, from_ms, to_ms, halts);
}

gboolean soak_is_restarted(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const restarts[] = {"kill",       "pause",       "planned-stop",
                                           "all-killed", "other-build", NULL};
    return was_hit(soak, node, from_ms, to_ms, restarts);
}

gboolean soak_is_excused(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const excuses[] = {"kill",        "pause",         "planned-stop",
                                          "all-killed",  "way-to-store",  "way-to-node",
                                          "other-build", "way-to-engine", NULL};
    return was_hit(soak, node, from_ms, to_ms, excuses);
}

gboolean soak_is_disturbed(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    return soak_is_disturbed_but(soak, node, from_ms, to_ms, "");
}

gboolean soak_is_disturbed_but(soak_t *soak, int node, int64_t from_ms, int64_t to_ms,
                               const char *name) {
    gboolean disturbed = FALSE;
    g_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        disturbed |= strcmp(span->name, name) != 0 &&
                     (node < 0 || span->node < 0 || span->node == node) && span->from_ms <= to_ms &&
                     span->to_ms >= from_ms;
    }
    g_mutex_unlock(&soak->lock);
    return disturbed;
}
