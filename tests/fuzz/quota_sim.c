/* Plays demand of tenants before many gateways. */
#include "quota_sim.h"

#include "quota/token_bucket.h"

#include <math.h>
#include <string.h>

/* As on the users' shifted deployment: 16 tenants, a few of them large; 368 requests a second, 47
 * in 100 drafts of 9,700 tokens, 24 questions of 1,100, 29 locks of 200; limits 1.8 times what is
 * usual, bursts of a second; windows of 8 s with a tenth and 110,000 tokens on top. */
#define TENANTS 16
#define REQUESTS_PER_S 368.0
#define LIMIT_TIMES 1.8
#define HOT_TIMES 7.5
#define WINDOW_S 8
/* Refused requests come back once after so long, as the users' clients do. */
#define RETRY_STEPS 40
#define OVERAGE 0.1
#define SLACK 110000.0
#define STEP_MS 10
#define PLAY_S 40
#define TROUBLE_S 15
#define TROUBLE_END_S 22
#define STEPS_PER_S (1000 / STEP_MS)

static const char *const names[QUOTA_TROUBLES] = {"calm",
                                                  "hot",
                                                  "hot small",
                                                  "hot, a sixth cut before",
                                                  "hot, a sixth cut after",
                                                  "hot, a third cut before",
                                                  "hot, two deciding",
                                                  "hot, take-over",
                                                  "hot, all alone",
                                                  "hot, all restarted",
                                                  "limit lowered",
                                                  "a sixth cut",
                                                  "two deciding",
                                                  "take-over"};

const char *quota_trouble_name(quota_trouble_t trouble) {
    return names[trouble];
}

typedef struct tenant_play_t {
    wb_tenant_t *tenant;
    double share;     /* of all requests */
    double *admitted; /* by step */
    double oracle_sum;
    double admitted_sum;
    double refused_sum; /* of what the oracle admits */
    wb_token_bucket_t oracle;
} tenant_play_t;

typedef struct play_t {
    wb_tenants_t *tenants;
    tenant_play_t plays[TENANTS];
    quota_way_t *way;
    GRand *random;
    int nodes;
    quota_trouble_t trouble;
    gboolean down;   /* all nodes are */
    GArray *retries; /* of retry_t, oldest first */
    guint retried;   /* of them */
} play_t;

typedef struct retry_t {
    int tenant;
    int step;
    double cost;
} retry_t;

static double cost_draw(GRand *random) {
    double kind = g_rand_double(random);
    /* A long tail: the logarithm is spread evenly enough for our purpose. */
    double spread = exp(1.2 * (g_rand_double(random) + g_rand_double(random) - 1));
    if (kind < 0.47) {
        return MIN(9000 * spread, 46000);
    }
    return kind < 0.71 ? MIN(1000 * spread, 5000) : 200;
}

static double mean_cost(void) {
    GRand *random = g_rand_new_with_seed(1);
    double sum = 0;
    for (int i = 0; i < 20000; i++) {
        sum += cost_draw(random);
    }
    g_rand_free(random);
    return sum / 20000;
}

static void tenants_make(play_t *play) {
    play->tenants = wb_tenants_create();
    double sum = 0;
    for (int i = 0; i < TENANTS; i++) {
        sum += 1 / pow(i + 1, 1.1);
    }
    double mean = mean_cost();
    for (int i = 0; i < TENANTS; i++) {
        tenant_play_t *one = &play->plays[i];
        g_autofree char *name = g_strdup_printf("tenant-%d", i);
        one->share = 1 / pow(i + 1, 1.1) / sum;
        one->tenant = wb_tenants_add(play->tenants, name);
        one->tenant->unit = WB_QUOTA_TOKENS;
        one->tenant->rate_per_s = LIMIT_TIMES * one->share * REQUESTS_PER_S * mean;
        one->tenant->burst = one->tenant->rate_per_s;
        one->oracle.level = one->tenant->burst;
        one->admitted = g_new0(double, PLAY_S *STEPS_PER_S);
    }
}

static gboolean is_hot(const play_t *play) {
    return play->trouble >= QUOTA_HOT && play->trouble <= QUOTA_HOT_RESTART;
}

static int hot_tenant(const play_t *play) {
    return play->trouble == QUOTA_HOT_SMALL ? TENANTS - 1 : 1;
}

static double requests_per_s(const play_t *play, int tenant, double now_s) {
    double usual = REQUESTS_PER_S * play->plays[tenant].share;
    usual *= 1 + 0.27 * sin(2 * G_PI * now_s / 11);
    gboolean hot =
        is_hot(play) && tenant == hot_tenant(play) && now_s >= TROUBLE_S && now_s < TROUBLE_END_S;
    return hot ? HOT_TIMES * usual : usual;
}

static void request_play(play_t *play, int tenant, double cost, gboolean is_retry, int step) {
    tenant_play_t *one = &play->plays[tenant];
    int64_t now_ms = 1000000 + step * STEP_MS;
    /* Clients keep to some nodes, so demand is uneven: the square crowds it. */
    double place = g_rand_double(play->random);
    int node = (int)(place * place * play->nodes);
    wb_token_bucket_fill(&one->oracle, one->tenant->rate_per_s, one->tenant->burst, now_ms);
    /* Nobody would have come back to the oracle, which admits all that it ever will at once. */
    gboolean owed = !is_retry && one->oracle.level > 0;
    if (play->down) {
        return;
    }
    gboolean admitted = play->way->ask(play->way, node, one->tenant, cost, now_ms);
    if (owed) {
        one->oracle.level -= cost;
        one->oracle_sum += cost;
    }
    if (admitted) {
        one->admitted[step] += cost;
        one->admitted_sum += cost;
    } else if (!is_retry) {
        retry_t retry = {tenant, step + RETRY_STEPS, cost};
        g_array_append_val(play->retries, retry);
    }
}

static void retries_play(play_t *play, int step) {
    for (; play->retried < play->retries->len; play->retried++) {
        const retry_t retry = g_array_index(play->retries, retry_t, play->retried);
        if (retry.step > step) {
            break;
        }
        request_play(play, retry.tenant, retry.cost, TRUE, step);
    }
}

static void nodes_cut(play_t *play, gboolean reached, int64_t now_ms) {
    int each = play->trouble == QUOTA_HOT_CUT_MANY ? 3 : 6;
    for (int i = 0; i < play->nodes; i += each) {
        play->way->set_reached(play->way, i, reached, now_ms);
    }
}

static void trouble_play(play_t *play, int step) {
    int64_t now_ms = 1000000 + step * STEP_MS;
    double now_s = (double)step / STEPS_PER_S;
    gboolean begins = now_s == TROUBLE_S - 1;
    gboolean amid = now_s == TROUBLE_S + 2;
    gboolean after = now_s == TROUBLE_S + 5;
    gboolean ends = now_s == TROUBLE_END_S;
    switch (play->trouble) {
    case QUOTA_CUT:
    case QUOTA_HOT_CUT:
    case QUOTA_HOT_CUT_MANY:
        if (begins || ends) {
            nodes_cut(play, ends, now_ms);
        }
        break;
    case QUOTA_HOT_CUT_AFTER:
        if (amid || ends) {
            nodes_cut(play, ends, now_ms);
        }
        break;
    case QUOTA_SPLIT:
    case QUOTA_HOT_SPLIT:
        if (begins || ends) {
            play->way->split(play->way, begins, now_ms);
        }
        break;
    case QUOTA_TAKE_OVER:
    case QUOTA_HOT_TAKE_OVER:
        if (after) {
            play->way->take_over(play->way, now_ms);
        }
        for (int i = 0; i < play->nodes && (amid || after); i++) {
            play->way->set_reached(play->way, i, after, now_ms);
        }
        break;
    case QUOTA_HOT_ALONE:
        if (ends) {
            play->way->take_over(play->way, now_ms);
        }
        for (int i = 0; i < play->nodes && (begins || ends); i++) {
            play->way->set_reached(play->way, i, ends, now_ms);
        }
        break;
    case QUOTA_HOT_RESTART:
        if (amid) {
            play->down = TRUE;
        }
        if (now_s == TROUBLE_S + 3) {
            play->down = FALSE;
            play->way->take_over(play->way, now_ms);
            for (int i = 0; i < play->nodes; i++) {
                play->way->restart(play->way, i, now_ms);
            }
        }
        break;
    case QUOTA_LOWERED:
        if (begins) {
            play->plays[0].tenant->rate_per_s /= 5;
            play->plays[0].tenant->burst /= 5;
            play->way->set_limits(play->way, play->tenants, now_ms);
        }
        break;
    default:
        break;
    }
}

/* Most that was admitted in a window, in units of what `allowed` gives; windows that begin before a
 * lower limit holds aren't counted. */
static double most_in_window(const play_t *play, const tenant_play_t *one, double allowed) {
    double sum = 0;
    double most = 0;
    int window = WINDOW_S * STEPS_PER_S;
    int from = play->trouble == QUOTA_LOWERED ? (TROUBLE_S + 1) * STEPS_PER_S : 0;
    for (int step = from; step < PLAY_S * STEPS_PER_S; step++) {
        sum += one->admitted[step];
        if (step - from >= window) {
            sum -= one->admitted[step - window];
        }
        most = MAX(most, sum);
    }
    return most / allowed;
}

static quota_result_t result_make(const play_t *play) {
    quota_result_t result = {0};
    double owed = 0;
    double missed = 0;
    for (int i = 0; i < TENANTS; i++) {
        const tenant_play_t *one = &play->plays[i];
        double limit = one->tenant->rate_per_s * WINDOW_S + one->tenant->burst;
        result.most = MAX(result.most, most_in_window(play, one, limit));
        result.most_of_rule =
            MAX(result.most_of_rule, most_in_window(play, one, limit * (1 + OVERAGE) + SLACK));
        owed += one->oracle_sum;
        missed += MAX(one->oracle_sum - one->admitted_sum, 0);
    }
    const tenant_play_t *hot = &play->plays[hot_tenant(play)];
    result.refused = missed / owed;
    result.hot_served = hot->admitted_sum / hot->oracle_sum;
    return result;
}

quota_result_t quota_sim_play(quota_way_t *(*create)(int nodes, const wb_tenants_t *tenants),
                              int nodes, quota_trouble_t trouble, unsigned seed) {
    play_t play = {.nodes = nodes, .trouble = trouble, .random = g_rand_new_with_seed(seed)};
    g_random_set_seed(seed);
    tenants_make(&play);
    play.way = create(nodes, play.tenants);
    play.retries = g_array_new(FALSE, FALSE, sizeof(retry_t));
    for (int step = 0; step < PLAY_S * STEPS_PER_S; step++) {
        int64_t now_ms = 1000000 + step * STEP_MS;
        trouble_play(&play, step);
        for (int i = 0; i < TENANTS; i++) {
            double expected = requests_per_s(&play, i, (double)step / STEPS_PER_S) / STEPS_PER_S;
            while (g_rand_double(play.random) < expected) {
                request_play(&play, i, cost_draw(play.random), FALSE, step);
                expected -= 1;
            }
        }
        retries_play(&play, step);
        if (!play.down) {
            play.way->tick(play.way, now_ms);
        }
    }
    quota_result_t result = result_make(&play);
    play.way->destroy(play.way);
    for (int i = 0; i < TENANTS; i++) {
        g_free(play.plays[i].admitted);
    }
    wb_tenants_free(play.tenants);
    g_array_unref(play.retries);
    g_rand_free(play.random);
    return result;
}
