/* Guards against nodes that together spend more than a shared amount. */
#include "unit.h"

#include "quota/equal_share.h"

#define WINDOW_MS 4000
#define SETTLED_MS (WB_SHARE_VALID_MS + WB_SHARE_DELAY_MS + WINDOW_MS)

/* @return the share of node "own", which has known itself and `others` more since now_ms */
static wb_equal_share_t *share_create(int others, int64_t now_ms) {
    wb_equal_share_t *share = wb_equal_share_create("own", WINDOW_MS);
    wb_equal_share_add(share, "own", now_ms);
    for (int i = 0; i < others; i++) {
        g_autofree char *id = g_strdup_printf("other-%d", i);
        wb_equal_share_add(share, id, now_ms);
    }
    wb_equal_share_set_as_of(share, now_ms);
    return share;
}

static unsigned nodes_at(wb_equal_share_t *share, int64_t now_ms) {
    wb_equal_share_set_as_of(share, now_ms);
    return wb_equal_share_nodes(share, WINDOW_MS, now_ms);
}

static void test_start(void) {
    wb_equal_share_t *share = wb_equal_share_create("own", WINDOW_MS);
    /* The node list is unknown. */
    g_assert_cmpuint(wb_equal_share_nodes(share, WINDOW_MS, 1000), ==, 0);
    wb_equal_share_free(share);
    share = share_create(2, 1000);
    g_assert_cmpuint(nodes_at(share, 1000 + SETTLED_MS - 1), ==, 0);
    g_assert_cmpuint(nodes_at(share, 1000 + SETTLED_MS), ==, 3);
    wb_equal_share_after_pause(share, 1000 + SETTLED_MS);
    g_assert_cmpuint(nodes_at(share, 1000 + SETTLED_MS), ==, 0);
    g_assert_cmpuint(nodes_at(share, 1000 + 2 * SETTLED_MS), ==, 3);
    wb_equal_share_free(share);
}

static void test_old_view(void) {
    wb_equal_share_t *share = share_create(2, 1000);
    int64_t known_ms = 1000 + SETTLED_MS;
    g_assert_cmpuint(nodes_at(share, known_ms), ==, 3);
    int64_t old_ms = known_ms + WB_SHARE_VALID_MS;
    g_assert_cmpuint(wb_equal_share_nodes(share, WINDOW_MS, old_ms - 1), ==, 3);
    g_assert_cmpuint(wb_equal_share_nodes(share, WINDOW_MS, old_ms), ==, 0);
    wb_equal_share_set_as_of(share, old_ms - 1000); /* updates arrive again: no wait */
    g_assert_cmpuint(wb_equal_share_nodes(share, WINDOW_MS, old_ms), ==, 3);
    wb_equal_share_free(share);
}

static void test_come_and_go(void) {
    wb_equal_share_t *share = share_create(2, 1000);
    int64_t now_ms = 1000 + SETTLED_MS;
    uint64_t digest = wb_equal_share_digest(share);
    wb_equal_share_add(share, "other-2", now_ms);
    g_assert_cmpuint(nodes_at(share, now_ms), ==, 4); /* counted at once */
    g_assert_cmpuint(wb_equal_share_digest(share), !=, digest);
    wb_equal_share_remove(share, "other-2", now_ms);
    g_assert_cmpuint(wb_equal_share_digest(share), ==, digest);
    /* And for SETTLED_MS after. */
    g_assert_cmpuint(nodes_at(share, now_ms + SETTLED_MS - 1), ==, 4);
    g_assert_cmpuint(nodes_at(share, now_ms + SETTLED_MS), ==, 3);
    wb_equal_share_sweep(share, now_ms + SETTLED_MS);
    g_assert_cmpuint(g_hash_table_size(wb_equal_share_ids(share)), ==, 3);
    wb_equal_share_remove(share, "own", now_ms + SETTLED_MS);
    /* A node that isn't listed has no share. */
    g_assert_cmpuint(nodes_at(share, now_ms + SETTLED_MS), ==, 0);
    wb_equal_share_free(share);
}

/* The first process of the first machine has the whole amount at once; a process that finds another
 * node listed waits. */
static void test_begin_first(void) {
    wb_equal_share_t *share = wb_equal_share_create("own", WINDOW_MS);
    wb_equal_share_set_first_process(share, 1000);
    g_assert_cmpuint(nodes_at(share, 1000), ==, 0); /* it isn't listed yet */
    wb_equal_share_add(share, "own", 1000);
    wb_equal_share_set_first_process(share, 1000);
    g_assert_cmpuint(nodes_at(share, 1000), ==, 1);
    wb_equal_share_add(share, "other", 2000);
    g_assert_cmpuint(nodes_at(share, 2000), ==, 2);
    wb_equal_share_free(share);
    share = share_create(1, 1000);
    wb_equal_share_set_first_process(share, 1000);
    g_assert_cmpuint(nodes_at(share, 1000 + SETTLED_MS - 1), ==, 0);
    wb_equal_share_free(share);
}

/* wb_equal_share_listed waits only for the window: its callers reserve a part for nodes not counted
 * yet. */
static void test_listed(void) {
    wb_equal_share_t *share = share_create(2, 1000);
    g_assert_cmpuint(wb_equal_share_listed(share, WINDOW_MS, 1000 + WINDOW_MS - 1), ==, 0);
    g_assert_cmpuint(wb_equal_share_listed(share, WINDOW_MS, 1000 + WINDOW_MS), ==, 3);
    wb_equal_share_remove(share, "own", 1000 + WINDOW_MS);
    g_assert_cmpuint(wb_equal_share_listed(share, WINDOW_MS, 1000 + WINDOW_MS), ==, 0);
    wb_equal_share_free(share);
    share = share_create(2, 1000);
    wb_equal_share_set_first_process(share, 1000); /* nothing was spent there before */
    g_assert_cmpuint(wb_equal_share_listed(share, WINDOW_MS, 1000), ==, 3);
    wb_equal_share_free(share);
}

/* @return the amount of node `number` of `nodes` that all know each other */
static double amount_of(int number, int nodes, double total) {
    g_autofree char *own = g_strdup_printf("node-%d", number);
    wb_equal_share_t *share = wb_equal_share_create(own, WINDOW_MS);
    for (int i = 0; i < nodes; i++) {
        g_autofree char *id = g_strdup_printf("node-%d", i);
        wb_equal_share_add(share, id, 0);
    }
    wb_equal_share_set_as_of(share, SETTLED_MS);
    double amount = wb_equal_share_amount(share, total, WINDOW_MS, SETTLED_MS);
    wb_equal_share_free(share);
    return amount;
}

/* The amounts add up to the total; with more nodes than units, as many nodes have a unit as there
 * are units. */
static void test_parts_add_up(void) {
    enum { TOTAL = 54 };
    static const int sizes[] = {1, 7, TOTAL, TOTAL + 1, 2 * TOTAL, 4 * TOTAL};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        double sum = 0;
        int usable = 0;
        for (int j = 0; j < sizes[i]; j++) {
            double amount = amount_of(j, sizes[i], TOTAL);
            sum += amount;
            usable += amount >= 1;
        }
        g_assert_cmpfloat(sum, >, TOTAL - 1e-6);
        g_assert_cmpfloat(sum, <, TOTAL + 1e-6);
        g_assert_cmpint(usable, ==, MIN(sizes[i], TOTAL));
    }
}

/* Simulation: machines that a store lists, with what each process there knows and has spent. */
enum {
    SEEDS = 800,
    MACHINES = 9,
    STEP_MS = 100,
    DURATION_MS = 200000,
    STEPS = DURATION_MS / STEP_MS
};

typedef struct sim_machine_t {
    char *id;
    wb_equal_share_t *share; /* NULL: no process is running */
    gboolean listed;         /* in the store */
    gboolean was_listed;     /* ever */
    gboolean created;        /* its row was created by the running process, and not read back yet */
    gboolean knows[MACHINES];
    int cut_step;        /* step at which it lost the store and all updates; 0: connected */
    double spent[STEPS]; /* by this process */
} sim_machine_t;

typedef struct sim_t {
    sim_machine_t machines[MACHINES];
    gboolean listed[STEPS][MACHINES]; /* rows in the store at each step */
    GRand *random;
    int count; /* number of machines in this run */
    double total_amount;
    int fault_interval; /* mean steps between two faults of one kind at a machine */
} sim_t;

static int64_t time_of(int step) {
    return (int64_t)(step + 1) * STEP_MS;
}

static void process_end(sim_machine_t *machine) {
    if (machine->share != NULL) {
        wb_equal_share_free(machine->share);
    }
    machine->share = NULL;
}

static void process_start(sim_machine_t *machine) {
    process_end(machine);
    machine->share = wb_equal_share_create(machine->id, WINDOW_MS);
    machine->created = FALSE;
    memset(machine->knows, 0, sizeof(machine->knows));
    memset(machine->spent, 0, sizeof(machine->spent));
}

static void view_set(sim_t *sim, sim_machine_t *machine, const gboolean *listed, int64_t now_ms) {
    for (int i = 0; i < MACHINES; i++) {
        if (listed[i] && !machine->knows[i]) {
            wb_equal_share_add(machine->share, sim->machines[i].id, now_ms);
        } else if (!listed[i] && machine->knows[i]) {
            wb_equal_share_remove(machine->share, sim->machines[i].id, now_ms);
        }
        machine->knows[i] = listed[i];
    }
}

/* The process reads the store and writes its row. */
static void process_read(sim_t *sim, sim_machine_t *machine, int step) {
    int64_t now_ms = time_of(step);
    view_set(sim, machine, sim->listed[step], now_ms);
    wb_equal_share_set_as_of(machine->share, now_ms);
    if (machine->created && machine->knows[machine - sim->machines]) {
        machine->created = FALSE;
        wb_equal_share_set_first_process(machine->share, now_ms);
    }
    machine->created |= !machine->was_listed;
    machine->was_listed = TRUE;
    machine->listed = TRUE;
}

/* The process receives an earlier read from another node and takes it as current. A process that is
 * cut off may still receive a read that was in transit. */
static void process_receive(sim_t *sim, sim_machine_t *machine, int step) {
    int then = step - g_rand_int_range(sim->random, 0, WB_SHARE_DELAY_MS / STEP_MS);
    gboolean arrives = then >= 0 && (machine->cut_step == 0 || then < machine->cut_step);
    if (arrives && memcmp(machine->knows, sim->listed[then], sizeof(machine->knows)) == 0) {
        wb_equal_share_set_as_of(machine->share, time_of(step));
    }
}

static double spent_in_window(const sim_machine_t *machine, int step) {
    double sum = 0;
    for (int i = MAX(step - WINDOW_MS / STEP_MS + 1, 0); i <= step; i++) {
        sum += machine->spent[i];
    }
    return sum;
}

/* Spends all that is left, at random steps. @return what it spent */
static double process_spend(sim_t *sim, sim_machine_t *machine, int step) {
    double amount =
        wb_equal_share_amount(machine->share, sim->total_amount, WINDOW_MS, time_of(step));
    double left = amount - spent_in_window(machine, step);
    gboolean spends = g_rand_int_range(sim->random, 0, 10) == 0;
    machine->spent[step] = spends ? MAX(left, 0) : 0;
    return machine->spent[step];
}

static gboolean others_listed(const sim_t *sim, const sim_machine_t *machine) {
    gboolean listed = FALSE;
    for (int i = 0; i < MACHINES; i++) {
        listed |= &sim->machines[i] != machine && sim->machines[i].listed;
    }
    return listed;
}

/* Kills and starts processes, cuts machines off and removes rows at random. */
static void machine_inject_fault(sim_t *sim, sim_machine_t *machine, int step) {
    switch (g_rand_int_range(sim->random, 0, sim->fault_interval)) {
    case 0:
        process_start(machine);
        break;
    case 1:
        process_end(machine);
        break;
    case 2:
        machine->cut_step = machine->cut_step == 0 ? step : 0;
        break;
    case 3:
        if (others_listed(sim, machine)) { /* one of them removes its row */
            machine->listed = FALSE;
        }
        break;
    default:
        break;
    }
}

/* @return the max spent in any window, as a fraction of the total */
static double sim_run(guint32 seed, double *all_spent) {
    sim_t *sim = g_new0(sim_t, 1);
    double *total = g_new0(double, STEPS);
    double max_spent = 0;
    sim->random = g_rand_new_with_seed(seed);
    sim->total_amount = seed % 2 == 0 ? 1000 : 3; /* more units than machines, or mostly fewer */
    sim->fault_interval = 150 << (seed % 4);
    sim->count = 2 + (int)(seed / 4 % (MACHINES - 1));
    for (int i = 0; i < sim->count; i++) {
        sim->machines[i].id = g_strdup_printf("machine-%d", i);
    }
    for (int step = 0; step < STEPS; step++) {
        for (int i = 0; i < sim->count; i++) {
            sim->listed[step][i] = sim->machines[i].listed;
        }
        for (int i = 0; i < sim->count; i++) {
            sim_machine_t *machine = &sim->machines[i];
            machine_inject_fault(sim, machine, step);
            if (machine->share == NULL) {
                continue;
            }
            if (machine->cut_step == 0 && g_rand_int_range(sim->random, 0, 16) == 0) {
                process_read(sim, machine, step);
            }
            if (g_rand_int_range(sim->random, 0, 8) == 0) {
                process_receive(sim, machine, step);
            }
            total[step] += process_spend(sim, machine, step);
        }
        double window = 0;
        for (int i = MAX(step - WINDOW_MS / STEP_MS + 1, 0); i <= step; i++) {
            window += total[i];
        }
        max_spent = MAX(max_spent, window / sim->total_amount);
        *all_spent += total[step] / sim->total_amount;
    }
    for (int i = 0; i < sim->count; i++) {
        process_end(&sim->machines[i]);
        g_free(sim->machines[i].id);
    }
    g_rand_free(sim->random);
    g_free(total);
    g_free(sim);
    return max_spent;
}

static void test_never_spent_twice(void) {
    double max_spent = 0;
    double all_spent = 0;
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        double window = sim_run(seed, &all_spent);
        g_assert_cmpfloat(window, <=, 1 + 1e-9);
        max_spent = MAX(max_spent, window);
    }
    g_test_message("at most %.3f of the whole in a window, %.3f on average", max_spent,
                   all_spent / SEEDS / DURATION_MS * WINDOW_MS);
    /* The bound is nearly reached, so it isn't trivially kept. */
    g_assert_cmpfloat(max_spent, >, 0.9);
}

static void tests_add(void) {
    g_test_add_func("/equal-share/start", test_start);
    g_test_add_func("/equal-share/old-view", test_old_view);
    g_test_add_func("/equal-share/come-and-go", test_come_and_go);
    g_test_add_func("/equal-share/begin-first", test_begin_first);
    g_test_add_func("/equal-share/parts-add-up", test_parts_add_up);
    g_test_add_func("/equal-share/listed", test_listed);
    g_test_add_func("/equal-share/never-spent-twice", test_never_spent_twice);
}

UNIT_TEST_MAIN(tests_add)
