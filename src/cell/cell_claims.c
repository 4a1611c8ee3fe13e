/* Grants a key's one run to requests that may not be repeated. */
#include "cell_host_types.h"

#include "wickbridge/log.h"

#include <string.h>

static void show_send(wb_cell_host_t *host, const char *node, uint64_t request,
                      wb_wire_claim_state state, const wb_claim_t *claim, const char *reason) {
    wb_wire_message message = {.kind = WB_WIRE_CLAIM_RESPONSE};
    wb_wire_claim_response *show = &message.wb_wire_message_u.claim_response;
    show->request = request;
    show->state = state;
    show->reason = (char *)reason;
    show->stream = claim != NULL ? claim->stream : "";
    show->engine = claim != NULL ? claim->engine : "";
    show->engine_address = claim != NULL ? claim->engine_address : "";
    show->node = claim != NULL ? claim->node : "";
    show->attempt = claim != NULL ? claim->attempt : 0;
    show->status = claim != NULL ? claim->status : 0;
    show->age_ms = claim != NULL ? (u_int)MAX(wb_clock_ms() - claim->taken_ms, 0) : 0;
    show->answer = claim != NULL && claim->answer != NULL ? claim->answer : "";
    host->parts.send(node, &message, host->parts.context);
}

static void refuse(wb_cell_host_t *host, const char *node, uint64_t request, const char *reason) {
    show_send(host, node, request, WB_WIRE_CLAIM_REFUSED, NULL, reason);
}

static void wait_free(claim_wait_t *wait) {
    g_free(wait->node);
    g_free(wait->model);
    g_free(wait->key);
    g_free(wait);
}

static void claim_propose(hosted_cell_t *hosted, const char *node, const wb_wire_claim_request *want,
                          uint64_t attempt) {
    wb_wire_command command;
    wb_claim_fill_command(want, attempt, &command);
    claim_wait_t *wait = g_new0(claim_wait_t, 1);
    wait->node = g_strdup(node);
    wait->request = want->request;
    wait->model = g_strdup(want->model);
    wait->key = g_strdup(want->key);
    wait->sequence = wb_group_sequence(hosted->group) + 1;
    g_queue_push_tail(&hosted->claim_waits, wait);
    if (wb_group_propose(hosted->group, &command, wb_clock_ms()) != 0)
        return;
    g_queue_remove(&hosted->claim_waits, wait);
    wait_free(wait);
    refuse(hosted->host, node, want->request, "the cell's owner has just changed");
}

/* Someone wants the answer of an earlier request and has nothing to run. */
static void look_up(wb_cell_host_t *host, const char *node, uint64_t request,
                    const wb_claim_t *claim) {
    if (claim == NULL)
        show_send(host, node, request, WB_WIRE_CLAIM_UNKNOWN, NULL, "the key is not known");
    else
        show_send(host, node, request, claim->done ? WB_WIRE_CLAIM_DONE : WB_WIRE_CLAIM_TAKEN,
                  claim, "");
}

void cell_claim_want(wb_cell_host_t *host, const char *node, const wb_wire_claim_request *want) {
    hosted_cell_t *hosted = cell_host_find_model(host, want->model);
    int64_t now_ms = wb_clock_ms();
    if (hosted == NULL || hosted->cell == NULL) {
        refuse(host, node, want->request, "this node doesn't own the model's cell");
        return;
    }
    if (!wb_group_has_quorum(hosted->group, now_ms)) {
        refuse(host, node, want->request, "the cell's owner has no quorum");
        return;
    }
    const wb_record_t *record = wb_group_record(hosted->group);
    const wb_claim_t *claim = wb_record_claim(record, want->model, want->key);
    if (*want->stream == '\0') {
        look_up(host, node, want->request, claim);
        return;
    }
    switch (wb_claim_decide(record, want, now_ms)) {
    case WB_CLAIM_UNVERIFIED:
        refuse(host, node, want->request, "earlier runs may have been forgotten");
        break;
    case WB_CLAIM_PROPOSE:
        claim_propose(hosted, node, want, claim != NULL ? claim->attempt + 1 : 1);
        break;
    case WB_CLAIM_REPEATED:
        /* if the claim doesn't count yet, its waiting entry will answer */
        if (wb_group_committed(hosted->group) == wb_group_sequence(hosted->group))
            show_send(host, node, want->request, WB_WIRE_CLAIM_GRANTED, claim, "");
        break;
    case WB_CLAIM_MISMATCH:
        show_send(host, node, want->request, WB_WIRE_CLAIM_MISMATCH, claim,
                  "the key was used for another request");
        break;
    case WB_CLAIM_DONE:
        show_send(host, node, want->request, WB_WIRE_CLAIM_DONE, claim, "");
        break;
    case WB_CLAIM_TAKEN:
        show_send(host, node, want->request, WB_WIRE_CLAIM_TAKEN, claim, "");
        break;
    }
}

void cell_claim_done(wb_cell_host_t *host, const wb_wire_claim_done *done) {
    hosted_cell_t *hosted = cell_host_find_model(host, done->model);
    if (hosted == NULL || hosted->cell == NULL)
        return; /* a retry will find the answer at the engine */
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

void cell_claims_committed(hosted_cell_t *hosted, uint64_t sequence) {
    claim_wait_t *wait;
    while ((wait = g_queue_peek_head(&hosted->claim_waits)) != NULL && wait->sequence <= sequence) {
        g_queue_pop_head(&hosted->claim_waits);
        const wb_claim_t *claim =
            wb_record_claim(wb_group_record(hosted->group), wait->model, wait->key);
        if (claim != NULL)
            show_send(hosted->host, wait->node, wait->request, WB_WIRE_CLAIM_GRANTED, claim, "");
        wait_free(wait);
    }
}

/* The owner changed: whether these claims count is not known, but none of them was granted. */
void cell_claims_drop(hosted_cell_t *hosted) {
    claim_wait_t *wait;
    while ((wait = g_queue_pop_head(&hosted->claim_waits)) != NULL) {
        refuse(hosted->host, wait->node, wait->request, "the cell's owner has just changed");
        wait_free(wait);
    }
}
