/* Chooses the engine of each attempt, and computes when engines become available to this node.
 * Times are monotonic, in ms. */
#include "request/exchange_internal.h"

#include "dispatch/engine_choice.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Costs of an engine's state, in ms of the client's time. */
#define AVOIDED_COST_MS 100000.0
#define REJECTED_COST_MS 2000.0
#define DRAINING_COST_MS 1000000.0
#define OTHER_ZONE_COST_MS 3.0
#define FAILURE_COST_MS 200.0
/* Time constant of the decay of engine-reported load: it changes with each request. */
#define REPORT_DECAY_MS 1000.0
/* How long a prompt prefix is taken to stay cached at an engine. */
#define PREFIX_KEPT_MS 30000
/* Time without a byte, beyond twice the estimated prefill, after which an engine is unresponsive.
 */
#define UNRESPONSIVE_MS 300.0
/* A cold engine can sustain few requests, so it is used only where no warm engine would answer much
 * earlier. */
#define COLD_COST_MS 200.0
/* The capacity of a limited engine is kept for models that no other engine holds. */
#define LIMITED_COST_MS 1000.0
/* Interval at which this node's shares are recomputed, as nodes join and leave. */
#define SHARE_REFRESH_MS 1000
/* Age of a report that a brittle engine is full, up to which it gets no request, and the time after
 * which that is looked at again. */
#define FULL_REPORT_MS 150
#define FULL_RECHECK_MS 50
/* Time for which other nodes aren't asked again for a share of an engine's limit. */
#define SHARE_REFUSED_MS 100
/* Prefixes kept for an engine; beyond that all are dropped. */
#define PREFIXES_MAX 512

/* Key of a prompt prefix that ends with this part. `before` is the key of the parts before it, or
 * of the model and adapter. */
static uint64_t part_hash(uint64_t before, const char *id) {
    return XXH64(id, strlen(id), before);
}

static uint64_t prompt_seed(const wb_exchange_t *exchange) {
    uint64_t seed = XXH64(exchange->model, strlen(exchange->model), 0);
    return XXH64(exchange->adapter, strlen(exchange->adapter), seed);
}

/* Hash of all parts but the last: the prefix that similar requests share. */
static uint64_t shared_hash(const wb_exchange_t *exchange) {
    uint64_t hash = prompt_seed(exchange);
    for (guint i = 0; i + 1 < exchange->parts->len; i++)
        hash = part_hash(hash, g_array_index(exchange->parts, wb_prompt_part_t, i).id);
    return hash;
}

int64_t wb_balancer_prefill_tokens(const wb_engine_t *engine, const wb_exchange_t *exchange,
                                   int64_t now_ms) {
    if (exchange->model == NULL)
        return 0;
    int64_t uncached = exchange->prompt_tokens;
    uint64_t hash = prompt_seed(exchange);
    for (guint i = 0; i < exchange->parts->len; i++) {
        const wb_prompt_part_t *part = &g_array_index(exchange->parts, wb_prompt_part_t, i);
        hash = part_hash(hash, part->id);
        const int64_t *prefilled_ms = g_hash_table_lookup(engine->prefixes, &hash);
        if (prefilled_ms == NULL || now_ms - *prefilled_ms > PREFIX_KEPT_MS)
            break;
        uncached -= part->tokens;
    }
    return MAX(uncached, 0);
}

void wb_balancer_note_prefilled(wb_engine_t *engine, const wb_exchange_t *exchange,
                                int64_t now_ms) {
    if (exchange->model == NULL)
        return;
    if (g_hash_table_size(engine->prefixes) > PREFIXES_MAX)
        g_hash_table_remove_all(engine->prefixes);
    uint64_t hash = prompt_seed(exchange);
    for (guint i = 0; i < exchange->parts->len; i++) {
        hash = part_hash(hash, g_array_index(exchange->parts, wb_prompt_part_t, i).id);
        int64_t *prefilled_ms = g_hash_table_lookup(engine->prefixes, &hash);
        if (prefilled_ms != NULL)
            *prefilled_ms = now_ms;
        else
            g_hash_table_insert(engine->prefixes, g_memdup2(&hash, sizeof(hash)),
                                g_memdup2(&now_ms, sizeof(now_ms)));
    }
}

/* Requests that run or wait at the engine: the larger of this node's count and the decayed load of
 * the engine's last response. */
static double engine_load(const wb_engine_t *engine, int64_t now_ms) {
    double own = engine->running;
    if (engine->reported_ms == 0)
        return own;
    double age_ms = (double)(now_ms - engine->reported_ms);
    double decay = exp(-age_ms / REPORT_DECAY_MS);
    double reported = engine->reported_running + engine->reported_waiting;
    return MAX(own, decay * reported);
}

/* Prompt tokens that the engine is expected to prefill. All nodes prefer the same engine for a
 * shared prefix, so that engine is taken to have it cached, whichever node sent it. */
static double expected_tokens(const wb_engine_t *engine, const wb_exchange_t *exchange,
                              gboolean is_preferred, int64_t now_ms) {
    double uncached = (double)wb_balancer_prefill_tokens(engine, exchange, now_ms);
    guint parts = exchange->parts->len;
    if (is_preferred && parts > 1) {
        const wb_prompt_part_t *last = &g_array_index(exchange->parts, wb_prompt_part_t, parts - 1);
        uncached = MIN(uncached, (double)last->tokens);
    }
    return uncached;
}

/* No byte for UNRESPONSIVE_MS and twice the estimated time to prefill its pending requests. */
gboolean wb_balancer_is_unresponsive(const wb_edge_t *edge, const wb_engine_t *engine,
                                     int64_t now_ms) {
    if (engine->unanswered_since_ms == 0)
        return FALSE;
    double allowed_ms =
        UNRESPONSIVE_MS + 2 * (double)engine->prefill_tokens / edge->settings.prefill_tokens_per_ms;
    return (double)(now_ms - engine->unanswered_since_ms) > allowed_ms;
}

/* Cost of an engine's state other than its load. */
static double penalty_ms(const wb_edge_t *edge, const wb_engine_t *engine, int64_t now_ms) {
    double cost = FAILURE_COST_MS * MIN(engine->failures, 8);
    if (strcmp(engine->state->zone, edge->settings.zone) != 0)
        cost += OTHER_ZONE_COST_MS;
    if (wb_balancer_is_unresponsive(edge, engine, now_ms))
        cost += AVOIDED_COST_MS;
    if (now_ms < engine->avoid_until_ms)
        cost += AVOIDED_COST_MS;
    if (now_ms < engine->cold_until_ms)
        cost += COLD_COST_MS;
    if (engine->limit.named)
        cost += LIMITED_COST_MS;
    if (now_ms < engine->rejected_until_ms)
        cost += REJECTED_COST_MS;
    if (!wb_engine_is_available(engine))
        cost += DRAINING_COST_MS;
    return cost;
}

static wb_choice_setup_t choice_setup(const wb_edge_settings_t *settings) {
    return (wb_choice_setup_t){.tokens_per_ms = settings->prefill_tokens_per_ms,
                               .step_ms = settings->step_ms,
                               .chunk_tokens = (double)settings->read_piece_tokens,
                               .event_tokens = (double)settings->event_tokens,
                               .use_pace = settings->engine_pace != 0};
}

wb_choice_request_t wb_balancer_request(const wb_exchange_t *exchange, int64_t now_ms) {
    return (wb_choice_request_t){
        .has_prompt = exchange->model != NULL,
        .out_tokens = (double)exchange->out_tokens,
        .target_ms = (double)exchange->route->target_latency_ms,
        .target_gap_ms = (double)exchange->route->target_gap_ms,
        .waited_ms = (double)(now_ms - exchange->began_ms),
        .wait_scale = wb_wait_scale_get(exchange->edge->wait_scale, exchange->route->name)};
}

static wb_choice_engine_t choice_engine(const wb_edge_t *edge, const wb_engine_t *engine,
                                        const wb_exchange_t *exchange, gboolean is_preferred,
                                        int64_t now_ms) {
    wb_choice_engine_t choice = {.pace = 1,
                                 .slots = MAX(engine->state->slots, 1),
                                 .running = engine_load(engine, now_ms),
                                 .uncached_tokens =
                                     expected_tokens(engine, exchange, is_preferred, now_ms),
                                 .backlog_tokens = (double)engine->prefill_tokens,
                                 .penalty_ms = penalty_ms(edge, engine, now_ms)};
    if (edge->settings.engine_pace == 0) {
        return choice;
    }
    choice.pace = wb_engine_pace_current_factor(&engine->pace, now_ms);
    if (edge->shared_loads_valid) {
        double tokens_per_ms = edge->settings.prefill_tokens_per_ms;
        choice.reading_share = WB_UNCACHED_SHARE * engine->total_tokens_per_s / 1000.0 /
                               tokens_per_ms *
                               wb_engine_pace_intrinsic_factor(&engine->pace, now_ms);
        choice.backlog_ms =
            MAX(engine->total_backlog_ms - (double)(now_ms - engine->shared_received_ms), 0);
    }
    return choice;
}

/* Time from which a request may be sent again to an engine that it was sent to; 0: it was not sent
 * there; G_MAXINT64: never. */
static int64_t tried_until_ms(const wb_exchange_t *exchange, const wb_engine_t *engine) {
    for (guint i = exchange->tried->len; i > 0; i--) {
        const wb_tried_engine_t *tried = &g_array_index(exchange->tried, wb_tried_engine_t, i - 1);
        if (strcmp(tried->id, engine->state->id) == 0) {
            return tried->eligible_at_ms != 0 ? tried->eligible_at_ms : G_MAXINT64;
        }
    }
    return 0;
}

/* Time from which a cold engine accepts another request of this node. */
static int64_t cold_available_ms(const wb_edge_t *edge, wb_engine_t *engine,
                                 const wb_service_t *service, unsigned ahead, int64_t now_ms) {
    const wb_edge_settings_t *settings = &edge->settings;
    if (now_ms >= engine->cold_until_ms || service->cold_capacity_per_s <= 0) {
        return now_ms;
    }
    if (engine->cold_share_updated_ms == 0 ||
        now_ms - engine->cold_share_updated_ms > SHARE_REFRESH_MS) {
        double per_s = service->cold_capacity_per_s * settings->cold_overage + settings->cold_slack;
        engine->cold_share_updated_ms = now_ms;
        engine->cold_share = wb_cold_engine_share(
            per_s, wb_equal_share_listed(edge->share, WB_COLD_WINDOW_MS, now_ms),
            wb_rendezvous_rank(engine->state->incarnation, settings->id,
                               wb_equal_share_ids(edge->share)));
    }
    int64_t available_ms = wb_send_limiter_next_ms(&engine->cold_limiter, engine->cold_share,
                                                   WB_COLD_WINDOW_MS, ahead, now_ms);
    return MIN(available_ms, engine->cold_until_ms);
}

/* This node's position among the nodes that share what the engine can take. */
static const wb_share_rank_t *rank_of(const wb_edge_t *edge, wb_engine_t *engine, int64_t now_ms) {
    if (engine->limit_share_updated_ms == 0 ||
        now_ms - engine->limit_share_updated_ms > SHARE_REFRESH_MS) {
        engine->limit_share_updated_ms = now_ms;
        engine->limit_rank =
            (wb_share_rank_t){wb_equal_share_listed(edge->share, WB_LIMIT_WINDOW_MS, now_ms),
                              wb_rendezvous_rank(engine->state->incarnation, edge->settings.id,
                                                 wb_equal_share_ids(edge->share))};
    }
    return &engine->limit_rank;
}

/* Time from which an engine accepts another request of this node under the limit that it reported.
 */
static int64_t limit_available_ms(const wb_edge_t *edge, wb_engine_t *engine, unsigned ahead,
                                  int64_t now_ms) {
    if (!engine->limit.named) {
        return now_ms;
    }
    return wb_engine_limit_next_ms(&engine->limit, rank_of(edge, engine, now_ms), ahead, now_ms);
}

/* Time from which this node may send a brittle engine another request that it may reject. */
static int64_t brittle_available_ms(const wb_edge_t *edge, wb_engine_t *engine, unsigned ahead,
                                    int64_t now_ms) {
    if (!engine->brittle.named) {
        return now_ms;
    }
    int64_t next_ms =
        wb_engine_brittle_next_ms(&engine->brittle, rank_of(edge, engine, now_ms), ahead, now_ms);
    /* It was full a moment ago. */
    gboolean was_full = now_ms < engine->rejected_until_ms ||
                        (now_ms - engine->reported_ms < FULL_REPORT_MS &&
                         engine->reported_running + engine->reported_waiting >=
                             (unsigned)MAX(engine->state->slots, 1));
    return was_full ? MAX(next_ms, now_ms + FULL_RECHECK_MS) : next_ms;
}

gboolean wb_balancer_may_have_fallen(const wb_edge_t *edge, wb_engine_t *engine, gboolean is_shared,
                                     int64_t now_ms) {
    return wb_engine_brittle_may_have_fallen(&engine->brittle, rank_of(edge, engine, now_ms),
                                             is_shared, now_ms);
}

/* Time from which an engine accepts another request of this node: it may be cold, limited, or have
 * asked for a backoff. */
static int64_t engine_available_ms(const wb_edge_t *edge, wb_engine_t *engine,
                                   const wb_service_t *service, unsigned ahead, int64_t now_ms) {
    int64_t cold_ms = cold_available_ms(edge, engine, service, ahead, now_ms);
    int64_t limit_ms = limit_available_ms(edge, engine, ahead, now_ms);
    int64_t brittle_ms = brittle_available_ms(edge, engine, ahead, now_ms);
    int64_t available_ms = MAX(MAX(cold_ms, limit_ms), brittle_ms);
    return MAX(available_ms, engine->backoff_until_ms);
}

/* Regions allowed by the request's tenant; NULL: all. */
static const char *const *tenant_regions(const wb_exchange_t *exchange) {
    return exchange->tenant != NULL ? (const char *const *)exchange->tenant->allowed_regions : NULL;
}

static gboolean any_region_allowed(const wb_exchange_t *exchange) {
    return exchange->route->allowed_regions == NULL && tenant_regions(exchange) == NULL;
}

/* Whether both the route and the tenant allow the engine's region. */
static gboolean region_allowed(const wb_exchange_t *exchange, const wb_engine_t *engine) {
    if (any_region_allowed(exchange)) {
        return TRUE;
    }
    const char *region = g_hash_table_lookup(exchange->edge->regions, engine->state->zone);
    return wb_regions_allow((const char *const *)exchange->route->allowed_regions, region) &&
           wb_regions_allow(tenant_regions(exchange), region);
}

gboolean wb_balancer_has_allowed_engine(const wb_edge_t *edge, const wb_exchange_t *exchange) {
    if (any_region_allowed(exchange)) {
        return TRUE;
    }
    const GPtrArray *engines = wb_fleet_service(edge->fleet, exchange->service->name);
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        if (region_allowed(exchange, g_ptr_array_index(engines, i))) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Whether an engine can serve the request, now or once it is available. */
static gboolean can_serve(const wb_engine_t *engine, const wb_exchange_t *exchange,
                          int64_t now_ms) {
    if (!wb_engine_is_usable(engine, now_ms) || !region_allowed(exchange, engine) ||
        !wb_exchange_may_use(exchange, engine))
        return FALSE;
    return exchange->model == NULL ||
           wb_engine_holds(engine, exchange->model, exchange->adapter, now_ms);
}

/* Time from which the request may be sent to an engine that can serve it. */
static int64_t request_available_ms(const wb_edge_t *edge, wb_engine_t *engine,
                                    const wb_exchange_t *exchange, unsigned ahead, int64_t now_ms) {
    int64_t tried_ms = tried_until_ms(exchange, engine);
    int64_t available_ms = engine_available_ms(edge, engine, exchange->service, ahead, now_ms);
    return MAX(tried_ms, available_ms);
}

static gboolean is_usable(const wb_edge_t *edge, wb_engine_t *engine, const wb_exchange_t *exchange,
                          int64_t now_ms) {
    return can_serve(engine, exchange, now_ms) &&
           request_available_ms(edge, engine, exchange, 0, now_ms) <= now_ms;
}

/* Number of earlier requests that wait for the same engines. */
static unsigned waiting_ahead(const wb_edge_t *edge, const wb_exchange_t *exchange) {
    unsigned ahead = 0;
    WB_LIST_EACH(item, &edge->waiting) {
        const wb_exchange_t *other = WB_LIST_OF(item, wb_exchange_t, waiting);
        if (other == exchange) {
            break;
        }
        ahead += other->awaits_engine && other->service == exchange->service &&
                 g_strcmp0(other->model, exchange->model) == 0;
    }
    return ahead;
}

wb_availability_t wb_balancer_next_available(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                             int64_t now_ms) {
    const GPtrArray *engines = wb_fleet_service(edge->fleet, exchange->service->name);
    g_autoptr(GPtrArray) able = g_ptr_array_new();
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        if (can_serve(g_ptr_array_index(engines, i), exchange, now_ms)) {
            g_ptr_array_add(able, g_ptr_array_index(engines, i));
        }
    }
    wb_availability_t next = {.at_ms = G_MAXINT64};
    unsigned ahead = able->len > 0 ? waiting_ahead(edge, exchange) / able->len : 0;
    for (guint i = 0; i < able->len; i++) {
        wb_engine_t *engine = g_ptr_array_index(able, i);
        int64_t available_ms = request_available_ms(edge, engine, exchange, ahead, now_ms);
        if (available_ms > now_ms && available_ms < next.at_ms) {
            next = (wb_availability_t){available_ms, now_ms < engine->cold_until_ms};
        }
    }
    return next;
}

gboolean wb_balancer_may_write(const wb_edge_t *edge, const wb_exchange_t *exchange,
                               int64_t now_ms) {
    wb_engine_t *engine = exchange->engine;
    if (now_ms < engine->backoff_until_ms || !wb_engine_is_usable(engine, now_ms) ||
        !wb_exchange_may_use(exchange, engine)) {
        return FALSE;
    }
    if (exchange->limit_counted || !engine->limit.named) {
        return TRUE;
    }
    if (limit_available_ms(edge, engine, 0, now_ms) > now_ms) {
        return FALSE;
    }
    wb_engine_limit_record(&engine->limit, now_ms);
    return TRUE;
}

/* Engine preferred for the request's shared prefix, by rendezvous hashing: the same at every node.
 */
static const wb_engine_t *preferred_find(const wb_exchange_t *exchange, const GPtrArray *usable) {
    if (exchange->model == NULL)
        return NULL;
    uint64_t shared = shared_hash(exchange);
    const wb_engine_t *preferred = NULL;
    uint64_t highest = 0;
    for (guint i = 0; i < usable->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(usable, i);
        uint64_t weight = XXH64(engine->state->id, strlen(engine->state->id), shared);
        if (preferred == NULL || weight > highest) {
            preferred = engine;
            highest = weight;
        }
    }
    return preferred;
}

/* Chooses among engines that may be used now. */
static wb_engine_t *choose_among(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                 const GPtrArray *usable, int64_t now_ms,
                                 wb_dispatch_decision_t *decision) {
    const wb_engine_t *preferred = preferred_find(exchange, usable);
    wb_choice_setup_t setup = choice_setup(&edge->settings);
    wb_choice_request_t request = wb_balancer_request(exchange, now_ms);
    wb_engine_t *best = NULL;
    double lowest = 0;
    for (guint i = 0; i < usable->len; i++) {
        wb_engine_t *engine = g_ptr_array_index(usable, i);
        wb_choice_engine_t choice =
            choice_engine(edge, engine, exchange, engine == preferred, now_ms);
        wb_choice_estimate_t estimate = wb_choice_estimate(&setup, &request, &choice);
        double cost = estimate.cost_ms + estimate.spread_ms * g_random_double();
        if (best == NULL || cost < lowest) {
            best = engine;
            lowest = cost;
            *decision = (wb_dispatch_decision_t){choice, estimate};
        }
    }
    return best;
}

typedef gboolean (*wb_usable_fn)(const wb_edge_t *edge, wb_engine_t *engine,
                                 const wb_exchange_t *exchange, int64_t now_ms);

static wb_engine_t *choose_usable(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                  wb_usable_fn is_usable_now, int64_t now_ms,
                                  wb_dispatch_decision_t *decision) {
    const GPtrArray *engines = wb_fleet_service(edge->fleet, exchange->service->name);
    if (engines == NULL)
        return NULL;
    g_autoptr(GPtrArray) usable = g_ptr_array_sized_new(engines->len);
    for (guint i = 0; i < engines->len; i++)
        if (is_usable_now(edge, g_ptr_array_index(engines, i), exchange, now_ms))
            g_ptr_array_add(usable, g_ptr_array_index(engines, i));
    return choose_among(edge, exchange, usable, now_ms, decision);
}

wb_engine_t *wb_balancer_choose(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                int64_t now_ms, wb_dispatch_decision_t *decision) {
    return choose_usable(edge, exchange, is_usable, now_ms, decision);
}

/* Whether only this node's share of its limit keeps an engine from taking the request. */
static gboolean lacks_only_share(const wb_edge_t *edge, wb_engine_t *engine,
                                 const wb_exchange_t *exchange, int64_t now_ms) {
    if (!engine->limit.named || now_ms - engine->share_refused_ms < SHARE_REFUSED_MS ||
        !can_serve(engine, exchange, now_ms)) {
        return FALSE;
    }
    int64_t cold_ms = cold_available_ms(edge, engine, exchange->service, 0, now_ms);
    int64_t brittle_ms = brittle_available_ms(edge, engine, 0, now_ms);
    int64_t other_ms = MAX(MAX(cold_ms, brittle_ms), engine->backoff_until_ms);
    return MAX(other_ms, tried_until_ms(exchange, engine)) <= now_ms;
}

wb_engine_t *wb_balancer_choose_by_share(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                         int64_t now_ms, wb_dispatch_decision_t *decision) {
    return edge->choose_peer != NULL
               ? choose_usable(edge, exchange, lacks_only_share, now_ms, decision)
               : NULL;
}

gboolean wb_balancer_take_limit_share(const wb_edge_t *edge, wb_engine_t *engine, int64_t now_ms) {
    if (!engine->limit.named || now_ms < engine->backoff_until_ms ||
        limit_available_ms(edge, engine, 0, now_ms) > now_ms) {
        return FALSE;
    }
    wb_engine_limit_record(&engine->limit, now_ms);
    return TRUE;
}
