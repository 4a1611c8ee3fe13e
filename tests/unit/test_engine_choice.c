/* Which engine a request is sent to, by load: a table of fleets, and properties over drawn ones. */
#include "unit.h"

#include "dispatch/engine_choice.h"
#include "dispatch/length_estimate.h"

/* As measured on engines of the users' second sheet: 30 tokens a ms, 5.3 ms a step. */
static const wb_choice_setup_t setup = {
    .tokens_per_ms = 30, .step_ms = 5.3, .chunk_tokens = 2048, .event_tokens = 5, .use_pace = TRUE};
static const wb_choice_request_t chat = {
    .has_prompt = TRUE, .out_tokens = 290, .target_ms = 500, .target_gap_ms = 400, .wait_scale = 1};
static const wb_choice_request_t draft = {
    .has_prompt = TRUE, .out_tokens = 50, .target_ms = 800, .target_gap_ms = 400, .wait_scale = 1};
static const wb_choice_request_t lookup = {.target_ms = 150, .wait_scale = 1};

/* A fleet of two, and which of them a request should go to. */
typedef struct load_t {
    const char *name;
    const wb_choice_request_t *request;
    wb_choice_engine_t engines[2];
    unsigned best;
} load_t;

#define ENGINE(pace_, running_, unread_, share_)                                                   \
    {                                                                                              \
        .pace = (pace_), .slots = 48, .running = (running_), .uncached_tokens = (unread_),           \
        .reading_share = (share_)                                                                  \
    }

static const load_t loads[] = {
    {"a chat goes to the fast one", &chat, {ENGINE(1.2, 0, 600, 0), ENGINE(0.55, 0, 600, 0)}, 1},
    {"a chat goes to the fast one though it reads more",
     &chat,
     {ENGINE(1.2, 4, 600, 0.3), ENGINE(0.55, 10, 600, 0.5)},
     1},
    {"but not when that is behind for longer than its target",
     &chat,
     {ENGINE(1.2, 0, 600, 0.02), ENGINE(0.55, 30, 600, 0.95)},
     0},
    {"a long prompt goes where no stream runs, within its target",
     &draft,
     {ENGINE(1.2, 0, 5000, 0.05), ENGINE(0.55, 24, 5000, 0.6)},
     0},
    {"a long prompt goes to the fast one when streams run at both",
     &draft,
     {ENGINE(1.2, 10, 5000, 0.3), ENGINE(0.55, 10, 5000, 0.3)},
     1},
    {"a neighbour's moment at the fast one",
     &draft,
     {ENGINE(1.2, 0, 3000, 0.1), ENGINE(3.0, 0, 3000, 0.1)},
     0},
    {"a kept prompt is worth more than a little load",
     &draft,
     {ENGINE(1, 2, 1500, 0.2), ENGINE(1, 1, 9000, 0.2)},
     0},
    {"a full engine", &lookup, {ENGINE(1, 60, 0, 0), ENGINE(1, 40, 0, 0)}, 1},
};

static void test_loads(void) {
    for (guint i = 0; i < G_N_ELEMENTS(loads); i++) {
        const load_t *load = &loads[i];
        double costs[2];
        for (unsigned j = 0; j < 2; j++) {
            costs[j] = wb_choice_estimate(&setup, load->request, &load->engines[j]).cost_ms;
        }
        g_test_message("%s: %.0f, %.0f", load->name, costs[0], costs[1]);
        g_assert_cmpuint(costs[1] < costs[0], ==, load->best);
    }
}

/* At any equal load, more of anything that makes an engine worse never makes it cheaper. */
static void test_worse_is_never_cheaper(void) {
    GRand *rand = g_rand_new_with_seed(7);
    for (unsigned i = 0; i < 20000; i++) {
        wb_choice_request_t request = i % 2 == 0 ? chat : draft;
        request.out_tokens = g_rand_double_range(rand, 1, 1000);
        wb_choice_engine_t engine = {.pace = g_rand_double_range(rand, 0.1, 5),
                                     .slots = 48,
                                     .running = g_rand_int_range(rand, 0, 100),
                                     .uncached_tokens = g_rand_double_range(rand, 0, 20000),
                                     .backlog_tokens = g_rand_double_range(rand, 0, 20000),
                                     .reading_share = g_rand_double_range(rand, 0, 1.2)};
        double cost = wb_choice_estimate(&setup, &request, &engine).cost_ms;
        for (unsigned j = 0; j < 6; j++) {
            wb_choice_engine_t worse = engine;
            worse.pace *= j == 0 ? 1.5 : 1;
            worse.running += j == 1 ? 3 : 0;
            worse.uncached_tokens += j == 2 ? 2000 : 0;
            worse.backlog_tokens += j == 3 ? 3000 : 0;
            worse.reading_share += j == 4 ? 0.1 : 0;
            worse.backlog_ms += j == 5 ? 300 : 0;
            g_assert_cmpfloat(wb_choice_estimate(&setup, &request, &worse).cost_ms, >=, cost);
        }
    }
    g_rand_free(rand);
}

/* Switched off, paces and streams count for nothing. */
static void test_switched_off(void) {
    wb_choice_setup_t off = setup;
    off.use_pace = FALSE;
    wb_choice_engine_t quiet = ENGINE(1, 0, 3000, 0);
    wb_choice_estimate_t estimate = wb_choice_estimate(&off, &draft, &quiet);
    g_assert_cmpfloat_with_epsilon(estimate.cost_ms, 100 + 5.3, 0.1);
}

/* Hints that are far off move the guess by their square root only, and never over the limit. */
static void test_length_guess(void) {
    wb_length_estimate_t *guess = wb_length_estimate_create();
    for (unsigned i = 0; i < 200; i++) {
        wb_length_estimate_learn(guess, "chat", 290);
    }
    g_assert_cmpfloat_with_epsilon(wb_length_estimate_tokens(guess, "chat", 0, 0), 290, 1);
    g_assert_cmpfloat_with_epsilon(wb_length_estimate_tokens(guess, "chat", 290, 0), 290, 1);
    g_assert_cmpfloat(wb_length_estimate_tokens(guess, "chat", 29000, 0), <, 3000);
    g_assert_cmpfloat(wb_length_estimate_tokens(guess, "chat", 29000, 400), ==, 400);
    g_assert_cmpfloat(wb_length_estimate_tokens(guess, "other", 0, 10), ==, 10);
    wb_length_estimate_free(guess);
}

static void tests_add(void) {
    g_test_add_func("/engine-choice/loads", test_loads);
    g_test_add_func("/engine-choice/worse-is-never-cheaper", test_worse_is_never_cheaper);
    g_test_add_func("/engine-choice/switched-off", test_switched_off);
    g_test_add_func("/engine-choice/length-guess", test_length_guess);
}

UNIT_TEST_MAIN(tests_add)
