/* Asks the owner of a key's cell for the key's one run, and tells it the answer. */
#include "gateway_types.h"

#include "wickbridge/log.h"

#include <string.h>

#define ASK_AGAIN_MS 300 /* also when an owner refused: another may take over */
#define RETRY_AFTER_MS 1000

static char *request_cell(gw_request_t *request) {
    char *cell = NULL;
    g_mutex_lock(&request->gateway->config_lock);
    const wb_model_t *model = wb_config_model(request->gateway->config, request->model);
    if (model != NULL)
        cell = g_strdup(model->cell);
    g_mutex_unlock(&request->gateway->config_lock);
    return cell;
}

/* On the loop's thread. */
static void want_send(gw_request_t *request) {
    wb_gateway_t *gateway = request->gateway;
    request->claim_sent_ms = wb_clock_ms();
    g_autofree char *cell = request_cell(request);
    const char *owner =
        cell != NULL ? gateway->parts.find_owner(cell, gateway->parts.context) : NULL;
    if (owner == NULL)
        return;
    wb_wire_message message = {.kind = WB_WIRE_CLAIM_REQUEST};
    wb_wire_claim_request *want = &message.wb_wire_message_u.claim_request;
    want->request = request->claim_number;
    want->model = request->model;
    want->key = request->key;
    want->stream = request->fetching ? "" : request->stream;
    want->engine = request->engine != NULL ? request->engine : "";
    want->engine_address = request->engine_address != NULL ? request->engine_address : "";
    want->node = gateway->node;
    want->digest = request->digest;
    want->retry_of = request->claim_attempt;
    gateway->parts.send(owner, &message, gateway->parts.context);
}

static void ask_on_loop(void *context) {
    gw_request_t *request = context;
    wb_gateway_t *gateway = request->gateway;
    g_mutex_lock(&gateway->claims_lock);
    g_hash_table_insert(gateway->claims, &request->claim_number, request);
    g_mutex_unlock(&gateway->claims_lock);
    want_send(request);
}

void claim_ask(gw_request_t *request, uint64_t retry_of) {
    wb_gateway_t *gateway = request->gateway;
    request->stage = STAGE_CLAIMING;
    request->claim_attempt = retry_of;
    g_mutex_lock(&gateway->claims_lock);
    request->claim_number = ++gateway->claim_count;
    g_mutex_unlock(&gateway->claims_lock);
    wb_loop_post(gateway->parts.loop, ask_on_loop, request);
}

static gw_request_t *claim_take(wb_gateway_t *gateway, uint64_t number) {
    g_mutex_lock(&gateway->claims_lock);
    gw_request_t *request = g_hash_table_lookup(gateway->claims, &number);
    if (request != NULL)
        g_hash_table_remove(gateway->claims, &number);
    g_mutex_unlock(&gateway->claims_lock);
    return request;
}

/* The key ran, or runs, elsewhere: read that run's answer. */
static void claim_follow(gw_request_t *request, const wb_wire_claim_response *show) {
    target_release(request, FALSE, FALSE, 0);
    g_free(request->engine);
    g_free(request->engine_address);
    request->engine = g_strdup(show->engine);
    request->engine_address = g_strdup(show->engine_address);
    g_strlcpy(request->stream, show->stream, sizeof(request->stream));
    request->claim_attempt = show->attempt;
    request->attached = TRUE;
    request->claim_granted = FALSE;
    request->attached_done = show->state == WB_WIRE_CLAIM_DONE;
    request->attached_ms = wb_clock_ms() - (int64_t)show->age_ms;
    request->may_have_run = TRUE;
    request->resumes = 0;
    request_why(request, "follows the first run of its key");
    run_attach(request);
}

static void claim_answer_kept(gw_request_t *request, const wb_wire_claim_response *show) {
    if (*show->answer == '\0' || request->streaming) {
        claim_follow(request, show);
        return;
    }
    target_release(request, FALSE, FALSE, 0);
    g_free(request->engine);
    request->engine = g_strdup(show->engine);
    request_why(request, "the first run's answer");
    answer_whole(request, show->status, show->answer, strlen(show->answer));
    request_unref(request);
}

static void claim_fail(gw_request_t *request, unsigned status, const char *type, const char *code,
                       const char *message) {
    target_release(request, FALSE, FALSE, 0);
    answer_error(request, status, type, code, WB_VERDICT_NOT_RUN,
                 status == 422 ? -1 : RETRY_AFTER_MS, message);
    request_unref(request);
}

void claim_response(wb_gateway_t *gateway, const wb_wire_claim_response *show) {
    if (show->state == WB_WIRE_CLAIM_REFUSED)
        return; /* claims_check asks again, or gives up */
    gw_request_t *request = claim_take(gateway, show->request);
    if (request == NULL)
        return;
    switch (show->state) {
    case WB_WIRE_CLAIM_GRANTED:
        request->claim_attempt = show->attempt;
        request->claim_granted = TRUE;
        run_on_engine(request);
        break;
    case WB_WIRE_CLAIM_TAKEN:
        claim_follow(request, show);
        break;
    case WB_WIRE_CLAIM_DONE:
        claim_answer_kept(request, show);
        break;
    case WB_WIRE_CLAIM_MISMATCH:
        claim_fail(request, 422, "invalid_request_error", "idempotency_key_reused",
                   "The Idempotency-Key was used for another request.");
        break;
    default:
        claim_fail(request, 404, "invalid_request_error", "unknown_key",
                   "No request with this key is known.");
    }
}

typedef struct claim_tell_t {
    wb_gateway_t *gateway;
    char *cell;
    char *model;
    char *key;
    char *stream;
    unsigned status;
    char *answer;
} claim_tell_t;

static void tell_on_loop(void *context) {
    claim_tell_t *tell = context;
    wb_gateway_t *gateway = tell->gateway;
    const char *owner = gateway->parts.find_owner(tell->cell, gateway->parts.context);
    wb_wire_message message = {.kind = WB_WIRE_CLAIM_DONE_NOTICE};
    wb_wire_claim_done *done = &message.wb_wire_message_u.claim_done;
    done->model = tell->model;
    done->key = tell->key;
    done->stream = tell->stream;
    done->status = tell->status;
    done->answer = tell->answer;
    if (owner != NULL)
        gateway->parts.send(owner, &message, gateway->parts.context);
    g_free(tell->cell);
    g_free(tell->model);
    g_free(tell->key);
    g_free(tell->stream);
    g_free(tell->answer);
    g_free(tell);
}

void claim_tell_done(gw_request_t *request, unsigned status, const char *answer, size_t length) {
    if (request->key == NULL || request->attached)
        return;
    gboolean keep = (int64_t)length <= request->gateway->options.answer_keep_bytes;
    claim_tell_t *tell = g_new0(claim_tell_t, 1);
    tell->gateway = request->gateway;
    tell->cell = request_cell(request);
    tell->model = g_strdup(request->model);
    tell->key = g_strdup(request->key);
    tell->stream = g_strdup(request->stream);
    tell->status = status;
    tell->answer = g_strndup(keep ? answer : "", keep ? length : 0);
    if (tell->cell == NULL)
        tell->cell = g_strdup("");
    wb_loop_post(request->gateway->parts.loop, tell_on_loop, tell);
}

/* Splits claims under way into those to ask again and those to give up. */
static void claims_sort(wb_gateway_t *gateway, int64_t now_ms, GQueue *again, GQueue *over) {
    GHashTableIter iterator;
    gpointer value;
    g_mutex_lock(&gateway->claims_lock);
    g_hash_table_iter_init(&iterator, gateway->claims);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        gw_request_t *request = value;
        int64_t age_ms = now_ms - MAX(request->started_ms, request->arrived_ms);
        if (now_ms >= request->deadline_ms || age_ms > gateway->options.claim_timeout_ms) {
            g_hash_table_iter_remove(&iterator);
            g_queue_push_tail(over, request);
        } else if (now_ms - request->claim_sent_ms > ASK_AGAIN_MS)
            g_queue_push_tail(again, request);
    }
    g_mutex_unlock(&gateway->claims_lock);
}

void claims_check(wb_gateway_t *gateway, int64_t now_ms) {
    GQueue again = G_QUEUE_INIT, over = G_QUEUE_INIT;
    claims_sort(gateway, now_ms, &again, &over);
    gw_request_t *request;
    while ((request = g_queue_pop_head(&again)) != NULL)
        want_send(request);
    while ((request = g_queue_pop_head(&over)) != NULL) {
        target_release(request, FALSE, FALSE, 0);
        answer_not_run(request, 2 * RETRY_AFTER_MS, "no_claim",
                       "The key's single run can't be secured at present.");
        request_unref(request);
    }
}
