/* Poison requests: detects requests that crash the engines that run them, and refuses them. */
#include "request/engine_connect.h"
#include "request/exchange_internal.h"

#include <string.h>

/* Time after which all nodes know that a service's engines are brittle, and keep to their shares.
 */
#define BRITTLE_SHARED_MS 3000

static void poison_changed(wb_edge_t *edge) {
    if (edge->on_poison_changed != NULL) {
        edge->on_poison_changed(edge->node_context);
    }
}

const wb_request_digest_t *wb_exchange_digest(wb_exchange_t *exchange) {
    if (exchange->digest_known) {
        return &exchange->digest;
    }
    const char *host = wb_http_head_get(exchange->head, "Host");
    wb_request_content_t content = {
        .method = exchange->head->method,
        .host = host != NULL ? host : "",
        .target = exchange->head->target,
        .tenant = exchange->tenant != NULL ? exchange->tenant->name : NULL,
        .body = exchange->body->data,
        .body_bytes = exchange->body->len,
    };
    exchange->digest = wb_request_digest(&content);
    exchange->digest_known = TRUE;
    return &exchange->digest;
}

/* Returns the request's entry in the poison registry, or NULL. Few requests have a body of the same
 * length as an entry, so comparing lengths first avoids most digests. */
static const wb_poison_entry_t *poison_entry_find(wb_exchange_t *exchange) {
    const wb_poison_registry_t *registry = exchange->edge->poison;
    if (!wb_poison_registry_has_length(registry, exchange->body->len)) {
        return NULL;
    }
    return wb_poison_registry_find(registry, wb_exchange_digest(exchange));
}

/* @param key of the request's content, or of a part of its prompt */
static void trial_log(const wb_exchange_t *exchange, const wb_request_digest_t *key) {
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES];
    wb_event("request-tried", ",\"id\":\"%s\",\"digest\":\"%s\"", exchange->id,
             wb_request_digest_format(key, digest));
}

/* Whether the request's content is refused. */
static gboolean is_content_refused(wb_exchange_t *exchange) {
    uint64_t version = wb_poison_registry_version(exchange->edge->poison);
    if (exchange->poison_version != version) {
        exchange->poison_version = version;
        exchange->is_poison =
            wb_poison_entry_state(poison_entry_find(exchange)) == WB_POISON_REFUSED;
    }
    return exchange->is_poison;
}

/* Makes the request the trial of its content, or of the parts of its prompt, if one is due.
 * @param part the first refused one; NULL: none is */
static void trial_take(wb_exchange_t *exchange, const wb_request_digest_t *part) {
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    const GArray *keys = wb_exchange_part_keys(exchange);
    exchange->is_trial =
        part != NULL
            ? wb_part_registry_take_trial(edge->parts,
                                          (const wb_request_digest_t *)(const void *)keys->data,
                                          keys->len, now_ms)
            : wb_poison_registry_take_trial(edge->poison, &exchange->digest, now_ms);
    if (exchange->is_trial) {
        trial_log(exchange, part != NULL ? part : &exchange->digest);
        poison_changed(edge); /* trials of parts are counted by all nodes */
    }
}

gboolean wb_exchange_may_send(wb_exchange_t *exchange) {
    gboolean content_refused = is_content_refused(exchange);
    wb_refused_parts_t parts = wb_exchange_refused_parts(exchange);
    gboolean is_refused = content_refused || parts.count > 0;
    /* With its content refused, too, a crash would cost a trial of the parts for nothing. */
    gboolean may_be_trial = content_refused ? parts.count == 0 : parts.count > 0;
    if (may_be_trial && !exchange->is_trial && exchange->edge->runs_poison_trials) {
        trial_take(exchange, parts.first);
    }
    return !is_refused || exchange->is_trial;
}

gboolean wb_exchange_is_suspect(wb_exchange_t *exchange) {
    const wb_poison_entry_t *entry = poison_entry_find(exchange);
    return (entry != NULL && wb_poison_entry_engines(entry) + 1 >= WB_POISON_ENGINES) ||
           wb_exchange_has_suspect_part(exchange);
}

void wb_exchange_note_refused(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    const wb_request_digest_t *part = wb_exchange_refused_parts(exchange).first;
    if (part == NULL) {
        return;
    }
    edge->metrics.part_refusals++;
    wb_exchange_log_refused_part(exchange, part);
    if (wb_part_registry_note_refused(edge->parts, part, wb_clock_ms())) {
        poison_changed(edge);
    }
}

int64_t wb_exchange_poison_left_ms(wb_exchange_t *exchange) {
    int64_t now_ms = wb_clock_ms();
    const wb_request_digest_t *part = wb_exchange_refused_parts(exchange).first;
    const wb_poison_entry_t *entry = part == NULL ? poison_entry_find(exchange) : NULL;
    int64_t until_ms = now_ms;
    if (part != NULL) {
        until_ms = wb_part_registry_refused_until_ms(exchange->edge->parts, part, now_ms);
    } else if (entry != NULL) {
        until_ms = entry->until_ms;
    }
    return MAX(until_ms - now_ms, 1);
}

void wb_exchange_note_brittle_rejection(const wb_exchange_t *exchange) {
    GHashTable *services = exchange->edge->brittle_services;
    if (!g_hash_table_contains(services, exchange->service->name)) {
        int64_t now_ms = wb_clock_ms();
        g_hash_table_insert(services, g_strdup(exchange->service->name),
                            g_memdup2(&now_ms, sizeof(now_ms)));
    }
}

/* Whether the request's engine may have fallen over, whatever it ran: a brittle engine does so
 * after too many rejections. */
static gboolean may_have_fallen(const wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    const int64_t *known_ms = g_hash_table_lookup(edge->brittle_services, exchange->service->name);
    gboolean is_shared = known_ms != NULL && now_ms - *known_ms >= BRITTLE_SHARED_MS;
    return wb_balancer_may_have_fallen(edge, exchange->engine, is_shared, now_ms);
}

static void abort_ignored_log(const wb_exchange_t *exchange, const char *reason) {
    wb_event("crash-evidence-ignored", ",\"id\":\"%s\",\"engine\":\"%s\",\"reason\":\"%s\"",
             exchange->id, exchange->engine->state->id, reason);
}

void wb_exchange_note_aborted(wb_exchange_t *exchange) {
    const wb_engine_t *engine = exchange->engine;
    /* A draining engine ends its remaining requests with itself, which is no crash. An engine whose
     * row was removed without notice may still run, and crash: rows expire while the store is
     * unavailable. */
    if (engine->state->leaving) {
        abort_ignored_log(exchange, "draining");
        return;
    }
    if (may_have_fallen(exchange)) {
        abort_ignored_log(exchange, "brittle");
        return;
    }
    wb_aborted_request_t request = {.digest = *wb_exchange_digest(exchange),
                                    .body_bytes = exchange->body->len,
                                    .aborted_ms = wb_clock_ms()};
    const GArray *parts = wb_exchange_part_keys(exchange);
    for (guint i = 0; i < parts->len; i++) {
        request.parts[request.part_count++] = g_array_index(parts, wb_request_digest_t, i);
    }
    wb_crash_watch_note_aborted(exchange->edge->crashes, engine->state->incarnation,
                                engine->state->address, &request);
}

/* The engine has completed an answer to a request: it didn't crash under it. */
static void completed_note(wb_edge_t *edge, const wb_run_end_t *end, const char *request_id) {
    wb_edge_parts_completed(edge, end->parts, request_id);
    if (!end->has_digest) {
        return;
    }
    if (end->body_bytes <= WB_SERVED_BODY_BYTES) {
        wb_served_set_add(edge->served, &end->digest, wb_clock_ms());
    }
    if (!wb_poison_registry_has_length(edge->poison, end->body_bytes) ||
        wb_poison_registry_find(edge->poison, &end->digest) == NULL ||
        !wb_poison_registry_clear_crashes(edge->poison, &end->digest)) {
        return;
    }
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES];
    wb_event("request-forgiven",
             ",\"id\":\"%s\",\"digest\":\"%s\",\"engine\":\"%s\",\"status\":%u,\"by\":\"response\"",
             request_id, wb_request_digest_format(&end->digest, digest), end->engine->state->id,
             end->status);
    poison_changed(edge);
}

/* An engine may answer with an error, or end a stream without an event, before it begins to work on
 * the request. */
static gboolean answer_shows_run(const wb_exchange_t *exchange) {
    const wb_reply_t *reply = &exchange->reply;
    return reply->status / 100 == 2 &&
           (reply->use != WB_ANSWER_STREAM || exchange->attempt_events > 0);
}

void wb_exchange_note_completed(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    if (!answer_shows_run(exchange)) {
        return;
    }
    wb_exchange_part_keys(exchange);
    wb_run_end_t end = {.engine = exchange->engine,
                        .parts = exchange->part_keys,
                        .body_bytes = exchange->body->len,
                        .status = exchange->reply.status,
                        .ended_ms = wb_clock_ms()};
    end.has_digest = end.body_bytes <= WB_SERVED_BODY_BYTES || poison_entry_find(exchange) != NULL;
    if (end.has_digest) {
        end.digest = *wb_exchange_digest(exchange);
    }
    if (exchange->reply.framing == WB_FRAMING_CLOSE) {
        wb_unframed_ends_add(edge->unframed_ends, &end);
    } else {
        completed_note(edge, &end, exchange->id);
    }
}

static void unframed_end_confirmed(const wb_run_end_t *end, void *context) {
    completed_note(context, end, "");
}

void wb_edge_confirm_unframed_ends(wb_edge_t *edge, int64_t now_ms) {
    wb_unframed_ends_confirm(edge->unframed_ends, now_ms, unframed_end_confirmed, edge);
}

/* Whether refusing a request now may save an engine: it waits, or its engine may not run it yet.
 * A request that is being answered goes on: if it completes, it is no poison. */
static gboolean may_refuse(const wb_exchange_t *exchange) {
    return wb_list_is_linked(&exchange->waiting) ||
           (exchange->attempt != NULL && !exchange->first_event_seen);
}

void wb_exchanges_refuse_poison(wb_edge_t *edge) {
    g_autoptr(GList) open = g_hash_table_get_keys(edge->open);
    for (GList *item = open; item != NULL; item = item->next) {
        wb_exchange_t *exchange = item->data;
        /* Ending one request may end others, so each is checked to be still open. */
        if (g_hash_table_contains(edge->open, exchange) && may_refuse(exchange) &&
            !wb_exchange_may_send(exchange)) {
            wb_exchange_give_up(exchange, WB_OUTCOME_POISON);
        }
    }
}

static void suspicion_log(const wb_poison_entry_t *entry, const char *engine_id) {
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES];
    gboolean refused = wb_poison_entry_state(entry) == WB_POISON_REFUSED;
    wb_event("request-suspected",
             ",\"digest\":\"%s\",\"engine\":\"%s\",\"engines\":%u,\"refused\":%s",
             wb_request_digest_format(&entry->digest, digest), engine_id,
             wb_poison_entry_engines(entry), refused ? "true" : "false");
}

void wb_edge_engine_crashed(const char *engine_id, const GArray *requests, void *context) {
    wb_edge_t *edge = context;
    uint64_t engine = wb_poison_engine_hash(engine_id);
    int64_t now_ms = wb_clock_ms();
    gboolean changed = FALSE;
    wb_part_registry_note_engine_lost(edge->parts, now_ms);
    for (guint i = 0; i < requests->len; i++) {
        const wb_aborted_request_t *request = &g_array_index(requests, wb_aborted_request_t, i);
        changed = wb_edge_parts_crashed(edge, engine_id, request) || changed;
        if (wb_served_set_has(edge->served, &request->digest, now_ms)) {
            wb_event("crash-evidence-ignored",
                     ",\"id\":\"\",\"engine\":\"%s\",\"reason\":\"served\"", engine_id);
            continue;
        }
        if (wb_poison_registry_add_crash(edge->poison, &request->digest, request->body_bytes,
                                         engine, now_ms)) {
            changed = TRUE;
            suspicion_log(wb_poison_registry_find(edge->poison, &request->digest), engine_id);
        }
    }
    if (changed) {
        poison_changed(edge);
        wb_exchanges_refuse_poison(edge);
    }
}

/* A check whether another node connects to an engine to which this one doesn't. */
typedef struct wb_liveness_check_t {
    wb_edge_t *edge;
    char *engine_id;
} wb_liveness_check_t;

static void liveness_check_done(wb_liveness_check_t *check, gboolean ended) {
    wb_crash_watch_confirm(check->edge->crashes, check->engine_id, ended);
    g_free(check->engine_id);
    g_free(check);
}

static void liveness_check_connected(wb_tcp_stream_t *stream, const wb_engine_tunnel_t *tunnel,
                                     void *context) {
    (void)tunnel;
    wb_tcp_stream_close(stream);
    liveness_check_done(context, FALSE);
}

static void liveness_check_failed(const char *reason, void *context) {
    wb_liveness_check_t *check = context;
    gboolean refused_here = strcmp(reason, WB_CONNECT_REFUSED) == 0;
    /* A node that may be cut off is refused by the network, too. */
    gboolean may_be_cut_off = check->edge->doubt_since_ms != 0;
    liveness_check_done(check, strcmp(reason, WB_CONNECT_REFUSED_BY_PEER) == 0 ||
                                   (refused_here && !may_be_cut_off));
}

/* Returns the known engine of an incarnation, or NULL. */
static wb_engine_t *incarnation_find(const wb_edge_t *edge, const char *incarnation) {
    g_auto(GStrv) parts = g_strsplit(incarnation, "@", 2);
    wb_engine_t *engine = wb_fleet_find(edge->fleet, parts[0] != NULL ? parts[0] : "");
    gboolean is_same = engine != NULL && strcmp(engine->state->incarnation, incarnation) == 0;
    return is_same ? engine : NULL;
}

gboolean wb_edge_confirm_ended(const char *engine_id, void *context) {
    static const wb_engine_connect_events_t events = {liveness_check_connected,
                                                      liveness_check_failed};
    wb_edge_t *edge = context;
    wb_engine_t *engine = incarnation_find(edge, engine_id);
    if (engine == NULL) {
        return FALSE;
    }
    wb_liveness_check_t *check = g_new0(wb_liveness_check_t, 1);
    check->edge = edge;
    check->engine_id = g_strdup(engine_id);
    wb_engine_connect_start(edge, engine, "", &events, check);
    return TRUE;
}
