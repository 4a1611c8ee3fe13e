/* Claims idempotency keys. The owner of the model's cell grants each key one run; requests with the
 * same key and body get that run's response. Claims without a response are sent again every
 * CLAIM_RETRY_MS and expire after the option claim_timeout_ms or at the request's deadline.
 * Messages to owners are sent on the loop's thread. */
#include "gateway_types.h"

#include "wickbridge/log.h"

#include <string.h>

#define CLAIM_RETRY_MS 300 /* also after a refusal: the cell may get another owner */
#define RETRY_AFTER_MS 1000

/* Returns the cell's name, to be freed, or NULL if the model is no longer declared. */
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
static void claim_request_send(gw_request_t *request) {
    wb_gateway_t *gateway = request->gateway;
    request->claim_sent_ms = wb_clock_ms();
    g_autofree char *cell = request_cell(request);
    const char *owner =
        cell != NULL ? gateway->parts.find_owner(cell, gateway->parts.context) : NULL;
    if (owner == NULL)
        return;
    wb_wire_message message = {.kind = WB_WIRE_CLAIM_REQUEST};
    wb_wire_claim_request *claim = &message.wb_wire_message_u.claim_request;
    claim->request = request->claim_number;
    claim->model = request->model;
    claim->key = request->key;
    claim->stream = request->fetch_only ? "" : request->stream;
    claim->engine = request->engine != NULL ? request->engine : "";
    claim->engine_address = request->engine_address != NULL ? request->engine_address : "";
    claim->node = gateway->node;
    claim->digest = request->digest;
    claim->retry_of = request->claim_attempt;
    gateway->parts.send(owner, &message, gateway->parts.context);
}

static void claim_start_on_loop(void *context) {
    gw_request_t *request = context;
    wb_gateway_t *gateway = request->gateway;
    g_mutex_lock(&gateway->claims_lock);
    g_hash_table_insert(gateway->claims, &request->claim_number, request);
    g_mutex_unlock(&gateway->claims_lock);
    claim_request_send(request);
}

void claim_start(gw_request_t *request, uint64_t retry_of) {
    wb_gateway_t *gateway = request->gateway;
    request->stage = STAGE_CLAIMING;
    request->claim_attempt = retry_of;
    g_mutex_lock(&gateway->claims_lock);
    request->claim_number = ++gateway->claim_count;
    g_mutex_unlock(&gateway->claims_lock);
    wb_loop_post(gateway->parts.loop, claim_start_on_loop, request);
}

static gw_request_t *claim_remove(wb_gateway_t *gateway, uint64_t number) {
    g_mutex_lock(&gateway->claims_lock);
    gw_request_t *request = g_hash_table_lookup(gateway->claims, &number);
    if (request != NULL)
        g_hash_table_remove(gateway->claims, &number);
    g_mutex_unlock(&gateway->claims_lock);
    return request;
}

/* A request with this key has run or is running: reads that run's response from its engine. */
static void claim_attach(gw_request_t *request, const wb_wire_claim_response *response) {
    target_release(request, FALSE, FALSE, 0);
    g_free(request->engine);
    g_free(request->engine_address);
    request->engine = g_strdup(response->engine);
    request->engine_address = g_strdup(response->engine_address);
    g_strlcpy(request->stream, response->stream, sizeof(request->stream));
    request->claim_attempt = response->attempt;
    request->attached = TRUE;
    request->claim_granted = FALSE;
    request->first_run_completed = response->state == WB_WIRE_CLAIM_DONE;
    request->first_run_claimed_ms = wb_clock_ms() - (int64_t)response->age_ms;
    request->may_have_run = TRUE;
    request->resume_count = 0;
    request_set_reason(request, "follows the first run of its key");
    run_attach(request);
}

/* Answers with the response that the owner kept; if it kept none, or the client wants a stream,
 * reads it from the engine. */
static void claim_send_kept_response(gw_request_t *request,
                                     const wb_wire_claim_response *response) {
    if (*response->answer == '\0' || request->streaming) {
        claim_attach(request, response);
        return;
    }
    target_release(request, FALSE, FALSE, 0);
    g_free(request->engine);
    request->engine = g_strdup(response->engine);
    request_set_reason(request, "the first run's answer");
    response_send_complete(request, response->status, response->answer, strlen(response->answer));
    request_unref(request);
}

static void claim_fail(gw_request_t *request, unsigned status, const char *type, const char *code,
                       const char *message) {
    target_release(request, FALSE, FALSE, 0);
    response_send_error(request, status, type, code, WB_VERDICT_NOT_RUN,
                        status == 422 ? -1 : RETRY_AFTER_MS, message);
    request_unref(request);
}

void claim_on_response(wb_gateway_t *gateway, const wb_wire_claim_response *response) {
    if (response->state == WB_WIRE_CLAIM_REFUSED)
        return; /* claims_tick sends the claim again, or expires it */
    gw_request_t *request = claim_remove(gateway, response->request);
    if (request == NULL)
        return;
    switch (response->state) {
    case WB_WIRE_CLAIM_GRANTED:
        request->claim_attempt = response->attempt;
        request->claim_granted = TRUE;
        run_on_engine(request);
        break;
    case WB_WIRE_CLAIM_TAKEN:
        claim_attach(request, response);
        break;
    case WB_WIRE_CLAIM_DONE:
        claim_send_kept_response(request, response);
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

typedef struct claim_report_t {
    wb_gateway_t *gateway;
    char *cell;
    char *model;
    char *key;
    char *stream;
    unsigned status;
    char *answer;
} claim_report_t;

static void report_on_loop(void *context) {
    claim_report_t *report = context;
    wb_gateway_t *gateway = report->gateway;
    const char *owner = gateway->parts.find_owner(report->cell, gateway->parts.context);
    wb_wire_message message = {.kind = WB_WIRE_CLAIM_DONE_NOTICE};
    wb_wire_claim_done *done = &message.wb_wire_message_u.claim_done;
    done->model = report->model;
    done->key = report->key;
    done->stream = report->stream;
    done->status = report->status;
    done->answer = report->answer;
    if (owner != NULL)
        gateway->parts.send(owner, &message, gateway->parts.context);
    g_free(report->cell);
    g_free(report->model);
    g_free(report->key);
    g_free(report->stream);
    g_free(report->answer);
    g_free(report);
}

void claim_report_completed(gw_request_t *request, unsigned status, const char *answer,
                            size_t length) {
    if (request->key == NULL || request->attached)
        return;
    gboolean keep = (int64_t)length <= request->gateway->options.answer_keep_bytes;
    claim_report_t *report = g_new0(claim_report_t, 1);
    report->gateway = request->gateway;
    report->cell = request_cell(request);
    report->model = g_strdup(request->model);
    report->key = g_strdup(request->key);
    report->stream = g_strdup(request->stream);
    report->status = status;
    report->answer = g_strndup(keep ? answer : "", keep ? length : 0);
    if (report->cell == NULL)
        report->cell = g_strdup("");
    wb_loop_post(request->gateway->parts.loop, report_on_loop, report);
}

/* Collects pending claims that are due to be sent again, and removes and collects expired ones. */
static void claims_collect_due(wb_gateway_t *gateway, int64_t now_ms, GQueue *due,
                               GQueue *expired) {
    GHashTableIter iterator;
    gpointer value;
    g_mutex_lock(&gateway->claims_lock);
    g_hash_table_iter_init(&iterator, gateway->claims);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        gw_request_t *request = value;
        int64_t age_ms = now_ms - MAX(request->started_ms, request->arrived_ms);
        if (now_ms >= request->deadline_ms || age_ms > gateway->options.claim_timeout_ms) {
            g_hash_table_iter_remove(&iterator);
            g_queue_push_tail(expired, request);
        } else if (now_ms - request->claim_sent_ms > CLAIM_RETRY_MS)
            g_queue_push_tail(due, request);
    }
    g_mutex_unlock(&gateway->claims_lock);
}

void claims_tick(wb_gateway_t *gateway, int64_t now_ms) {
    GQueue due = G_QUEUE_INIT, expired = G_QUEUE_INIT;
    claims_collect_due(gateway, now_ms, &due, &expired);
    gw_request_t *request;
    while ((request = g_queue_pop_head(&due)) != NULL)
        claim_request_send(request);
    while ((request = g_queue_pop_head(&expired)) != NULL) {
        target_release(request, FALSE, FALSE, 0);
        response_send_not_run(request, 2 * RETRY_AFTER_MS, "no_claim",
                              "The key's single run can't be secured at present.");
        request_unref(request);
    }
}
