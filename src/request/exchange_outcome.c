/* Records the outcome of requests in the log, the metrics and the ring of ended requests. */
#include "request/exchange_internal.h"

static const char *const outcome_names[WB_OUTCOME_COUNT] = {
    "served",        "engine-failed", "no-catalog",    "no-route",   "bad-request",
    "unknown-model", "no-engine",     "not-loaded",    "rejected",   "no-budget",
    "broken",        "timed-out",     "caller-gone",   "stopping",   "bad-key",
    "key-uncertain", "over-quota",    "poison",        "no-room",    "unverified",
    "unreachable",   "quota-unknown", "start-unknown", "no-version", "stream-lost"};

static const char *const framing_names[] = {"none", "length", "chunks", "close"};

const char *wb_outcome_name(wb_outcome_t outcome) {
    return outcome_names[outcome];
}

static void ended_remember(const wb_exchange_t *exchange, wb_outcome_t outcome, unsigned status,
                           const char *engine) {
    wb_edge_t *edge = exchange->edge;
    wb_ended_request_t *ended = &edge->ended[edge->ended_next++ % WB_ENDED_REQUESTS];
    g_strlcpy(ended->id, exchange->id, sizeof(ended->id));
    g_strlcpy(ended->model, exchange->model != NULL ? exchange->model : "", sizeof(ended->model));
    g_strlcpy(ended->adapter, exchange->adapter != NULL ? exchange->adapter : "",
              sizeof(ended->adapter));
    g_strlcpy(ended->route, exchange->route != NULL ? exchange->route->name : "",
              sizeof(ended->route));
    g_strlcpy(ended->engine, engine, sizeof(ended->engine));
    ended->ending = outcome_names[outcome];
    ended->status = status;
    ended->sends = exchange->sends;
    ended->runs = exchange->runs;
    ended->took_ms = wb_clock_ms() - exchange->began_ms;
    ended->waited_ms = exchange->waited_ms;
}

gboolean wb_exchange_model_is_held(const wb_exchange_t *exchange) {
    return exchange->model != NULL && exchange->service != NULL &&
           wb_exchange_version_holds(exchange, exchange->adapter);
}

void wb_exchange_record_outcome(const wb_exchange_t *exchange, wb_outcome_t outcome,
                                unsigned status) {
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    const char *engine = wb_exchange_last_engine(exchange);
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES] = "";
    if (exchange->digest_known) {
        wb_request_digest_format(&exchange->digest, digest);
    }
    ended_remember(exchange, outcome, status, engine);
    edge->metrics.requests_by_outcome[outcome]++;
    edge->metrics.long_gaps += exchange->route != NULL && exchange->route->target_gap_ms > 0 &&
                               exchange->longest_gap_ms > exchange->route->target_gap_ms;
    wb_histogram_add(&edge->metrics.whole_ms, now_ms - exchange->began_ms);
    wb_event(
        "request-ended",
        ",\"id\":\"%s\",\"ending\":\"%s\",\"status\":%u,\"route\":\"%s\",\"service\":\"%s\","
        "\"model\":\"%s\",\"adapter\":\"%s\",\"engine\":\"%s\",\"sends\":%u,\"runs\":%u,"
        "\"rejections\":%u,\"ms\":%lld,\"waited_ms\":%lld,\"first_ms\":%lld,\"most_pause_ms\":%lld,"
        "\"left_ms\":%lld,\"catalog\":%lld,\"answer_begun\":%s,\"tenant\":\"%s\",\"quota_cost\":%."
        "0f,\"digest\":\"%s\",\"out_tokens\":%lld,\"pace\":%.2f,\"running_there\":%.0f,"
        "\"reading_share\":%.2f,\"unread\":%.0f,\"predicted_first_ms\":%.0f,\"sent_for_ms\":%lld,"
        "\"catalog_age_ms\":%lld,\"catalog_behind_ms\":%lld,\"unconnected\":%u,\"held\":%s,"
        "\"by\":\"%s\",\"quota_basis\":\"%s\",\"quota_age_ms\":%lld,\"framing\":\"%s\","
        "\"ended_in_event\":%s,\"software_version\":\"%s\",\"resumes\":\"%s\","
        "\"stream_version\":\"%s\",\"version_by\":\"%s\"",
        exchange->id, outcome_names[outcome], status,
        exchange->route != NULL ? exchange->route->name : "",
        exchange->service != NULL ? exchange->service->name : "", exchange->model,
        exchange->adapter, engine, exchange->sends, exchange->runs, exchange->rejections,
        (long long)(now_ms - exchange->began_ms), (long long)exchange->waited_ms,
        (long long)exchange->first_event_ms, (long long)exchange->longest_gap_ms,
        (long long)(exchange->deadline_ms - now_ms),
        exchange->catalog != NULL ? (long long)exchange->catalog->version : 0LL,
        exchange->answer_begun ? "true" : "false",
        exchange->tenant != NULL ? exchange->tenant->name : "", exchange->quota_cost, digest,
        (long long)exchange->out_tokens, exchange->decision.engine.pace,
        exchange->decision.engine.running, exchange->decision.engine.reading_share,
        exchange->decision.engine.uncached_tokens, exchange->decision.estimate.first_ms,
        exchange->sends > 0 ? (long long)(now_ms - exchange->sent_ms) : 0LL,
        edge->catalog_age_ms != NULL ? (long long)edge->catalog_age_ms(edge->node_context) : 0LL,
        edge->catalog_behind_ms != NULL ? (long long)edge->catalog_behind_ms(edge->node_context)
                                        : 0LL,
        exchange->connect_failures, wb_exchange_model_is_held(exchange) ? "true" : "false",
        exchange->peer != NULL ? exchange->peer : "",
        exchange->quota_cost > 0 ? wb_quota_basis_name(exchange->quota_basis) : "",
        (long long)exchange->quota_age_ms, framing_names[exchange->reply.framing],
        exchange->ended_in_event ? "true" : "false",
        exchange->engine != NULL ? exchange->engine->state->software_version : "",
        wb_http_head_get(exchange->head, edge->dialect->resumes), exchange->bound_version,
        exchange->bound_by != NULL ? exchange->bound_by : "");
}
