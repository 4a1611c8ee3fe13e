/* Grants claims: the single execution of a request that is not repeatable, by its idempotency key.
 *
 * A claim is granted only after its command is committed, so that a new owner knows it. A node
 * that is not the owner, or has no quorum, refuses claim requests. */
#include "cell_host_types.h"

#include "wickbridge/log.h"

#include <string.h>

static void reply_send(wb_cell_host_t *host, const char *node, uint64_t request,
                       wb_wire_claim_state state, const wb_claim_t *claim, const char *reason) {
    wb_wire_message message = {.kind = WB_WIRE_CLAIM_RESPONSE};
    wb_wire_claim_response *reply = &message.wb_wire_message_u.claim_response;
    reply->request = request;
    reply->state = state;
    reply->reason = (char *)reason;
    reply->stream = claim != NULL ? claim->stream : "";
    reply->engine = claim != NULL ? claim->engine : "";
    reply->engine_address = claim != NULL ? claim->engine_address : "";
    reply->node = claim != NULL ? claim->node : "";
    reply->attempt = claim != NULL ? claim->attempt : 0;
    reply->status = claim != NULL ? claim->status : 0;
    reply->age_ms = claim != NULL ? (u_int)MAX(wb_clock_ms() - claim->taken_ms, 0) : 0;
    reply->answer = claim != NULL && claim->answer != NULL ? claim->answer : "";
    host->parts.send(node, &message, host->parts.context);
}

static void reply_refused(wb_cell_host_t *host, const char *node, uint64_t request,
                          const char *reason) {
    reply_send(host, node, request, WB_WIRE_CLAIM_REFUSED, NULL, reason);
}

static void pending_claim_free(pending_claim_t *pending) {
    g_free(pending->node);
    g_free(pending->model);
    g_free(pending->key);
    g_free(pending);
}

static void claim_propose(hosted_cell_t *hosted, const char *node,
                          const wb_wire_claim_request *message, uint64_t attempt) {
    wb_wire_command command;
    wb_claim_fill_command(message, attempt, &command);
    pending_claim_t *pending = g_new0(pending_claim_t, 1);
    pending->node = g_strdup(node);
    pending->request = message->request;
    pending->model = g_strdup(message->model);
    pending->key = g_strdup(message->key);
    pending->sequence = wb_group_sequence(hosted->group) + 1;
    g_queue_push_tail(&hosted->pending_claims, pending);
    if (wb_group_propose(hosted->group, &command, wb_clock_ms()) != 0)
        return;
    g_queue_remove(&hosted->pending_claims, pending);
    pending_claim_free(pending);
    reply_refused(hosted->host, node, message->request, "the cell's owner has just changed");
}

/* Answers a lookup, that is, a claim request without a stream, which asks for no run. */
static void claim_look_up(wb_cell_host_t *host, const char *node, uint64_t request,
                          const wb_claim_t *claim) {
    if (claim == NULL)
        reply_send(host, node, request, WB_WIRE_CLAIM_UNKNOWN, NULL, "the key is not known");
    else
        reply_send(host, node, request, claim->done ? WB_WIRE_CLAIM_DONE : WB_WIRE_CLAIM_TAKEN,
                   claim, "");
}

void cell_claim_on_request(wb_cell_host_t *host, const char *node,
                           const wb_wire_claim_request *message) {
    hosted_cell_t *hosted = cell_host_find_model(host, message->model);
    int64_t now_ms = wb_clock_ms();
    if (hosted == NULL || hosted->cell == NULL) {
        reply_refused(host, node, message->request, "this node doesn't own the model's cell");
        return;
    }
    if (!wb_group_has_quorum(hosted->group, now_ms)) {
        reply_refused(host, node, message->request, "the cell's owner has no quorum");
        return;
    }
    const wb_record_t *record = wb_group_record(hosted->group);
    const wb_claim_t *claim = wb_record_claim(record, message->model, message->key);
    if (*message->stream == '\0') {
        claim_look_up(host, node, message->request, claim);
        return;
    }
    switch (wb_claim_decide(record, message, now_ms)) {
    case WB_CLAIM_UNVERIFIED:
        reply_refused(host, node, message->request, "earlier runs may have been forgotten");
        break;
    case WB_CLAIM_PROPOSE:
        claim_propose(hosted, node, message, claim != NULL ? claim->attempt + 1 : 1);
        break;
    case WB_CLAIM_REPEATED:
        /* an uncommitted claim is answered by cell_claims_on_commit */
        if (wb_group_committed(hosted->group) == wb_group_sequence(hosted->group))
            reply_send(host, node, message->request, WB_WIRE_CLAIM_GRANTED, claim, "");
        break;
    case WB_CLAIM_MISMATCH:
        reply_send(host, node, message->request, WB_WIRE_CLAIM_MISMATCH, claim,
                   "the key was used for another request");
        break;
    case WB_CLAIM_DONE:
        reply_send(host, node, message->request, WB_WIRE_CLAIM_DONE, claim, "");
        break;
    case WB_CLAIM_TAKEN:
        reply_send(host, node, message->request, WB_WIRE_CLAIM_TAKEN, claim, "");
        break;
    }
}

void cell_claim_on_done(wb_cell_host_t *host, const wb_wire_claim_done *done) {
    hosted_cell_t *hosted = cell_host_find_model(host, done->model);
    if (hosted == NULL || hosted->cell == NULL)
        return; /* the response isn't recorded; a retry reads it from the engine */
    wb_wire_command command = {.kind = WB_WIRE_COMMAND_CLAIM_DONE};
    wb_wire_claim *claim = &command.wb_wire_command_u.claim_done;
    claim->model = done->model;
    claim->key = done->key;
    claim->stream = done->stream;
    claim->engine = "";
    claim->engine_address = "";
    claim->node = "";
    claim->status = done->status;
    claim->answer = done->answer;
    wb_group_propose(hosted->group, &command, wb_clock_ms());
}

void cell_claims_on_commit(hosted_cell_t *hosted, uint64_t sequence) {
    pending_claim_t *pending;
    while ((pending = g_queue_peek_head(&hosted->pending_claims)) != NULL &&
           pending->sequence <= sequence) {
        g_queue_pop_head(&hosted->pending_claims);
        const wb_claim_t *claim =
            wb_record_claim(wb_group_record(hosted->group), pending->model, pending->key);
        if (claim != NULL)
            reply_send(hosted->host, pending->node, pending->request, WB_WIRE_CLAIM_GRANTED, claim,
                       "");
        pending_claim_free(pending);
    }
}

/* Refuses the claims that are not committed when ownership is lost. Their commands may still be
 * committed, but none was granted. */
void cell_claims_refuse_pending(hosted_cell_t *hosted) {
    pending_claim_t *pending;
    while ((pending = g_queue_pop_head(&hosted->pending_claims)) != NULL) {
        reply_refused(hosted->host, pending->node, pending->request,
                      "the cell's owner has just changed");
        pending_claim_free(pending);
    }
}
