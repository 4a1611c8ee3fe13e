/* Parts of prompts that crash the engines that run requests with them: records crashes and
 * completions, and refuses requests. */
#include "request/exchange_internal.h"

const GArray *wb_exchange_part_keys(wb_exchange_t *exchange) {
    if (exchange->part_keys != NULL) {
        return exchange->part_keys;
    }
    exchange->part_keys = g_array_new(FALSE, FALSE, sizeof(wb_request_digest_t));
    guint count = MAX(exchange->parts->len, 1) - 1; /* the last one is the request's own */
    for (guint i = 0; i < count; i++) {
        if (count > WB_PARTS_MAX && i == WB_PARTS_MAX / 2) {
            i = count - WB_PARTS_MAX / 2;
        }
        wb_request_digest_t key =
            wb_part_key(g_array_index(exchange->parts, wb_prompt_part_t, i).id);
        g_array_append_val(exchange->part_keys, key);
    }
    return exchange->part_keys;
}

wb_refused_parts_t wb_exchange_refused_parts(wb_exchange_t *exchange) {
    const GArray *keys = wb_exchange_part_keys(exchange);
    int64_t now_ms = wb_clock_ms();
    wb_refused_parts_t refused = {0, NULL};
    for (guint i = 0; i < keys->len; i++) {
        const wb_request_digest_t *key = &g_array_index(keys, wb_request_digest_t, i);
        if (wb_part_registry_state(exchange->edge->parts, key, now_ms) == WB_POISON_REFUSED) {
            refused.first = refused.count == 0 ? key : refused.first;
            refused.count++;
        }
    }
    return refused;
}

gboolean wb_exchange_has_suspect_part(wb_exchange_t *exchange) {
    const GArray *keys = wb_exchange_part_keys(exchange);
    int64_t now_ms = wb_clock_ms();
    for (guint i = 0; i < keys->len; i++) {
        const wb_request_digest_t *key = &g_array_index(keys, wb_request_digest_t, i);
        if (wb_part_registry_state(exchange->edge->parts, key, now_ms) != WB_POISON_NONE) {
            return TRUE;
        }
    }
    return FALSE;
}

/* @param id of the request whose answer cleared them; "": another node reported them */
static void part_cleared_log(const wb_request_digest_t *key, const char *id) {
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES];
    wb_event("part-cleared", ",\"id\":\"%s\",\"digest\":\"%s\"", id,
             wb_request_digest_format(key, digest));
}

void wb_edge_parts_completed(wb_edge_t *edge, const GArray *keys, const char *request_id) {
    int64_t now_ms = wb_clock_ms();
    gboolean cleared = FALSE;
    for (guint i = 0; i < keys->len; i++) {
        const wb_request_digest_t *key = &g_array_index(keys, wb_request_digest_t, i);
        if (wb_part_registry_note_completed(edge->parts, key, now_ms)) {
            part_cleared_log(key, request_id);
            cleared = TRUE;
        }
    }
    if (cleared && edge->on_poison_changed != NULL) {
        edge->on_poison_changed(edge->node_context);
    }
}

void wb_exchange_log_refused_part(const wb_exchange_t *exchange, const wb_request_digest_t *key) {
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES];
    const wb_poison_entry_t *entry =
        wb_poison_registry_find(wb_part_registry_crashes(exchange->edge->parts), key);
    wb_event("part-refused",
             ",\"id\":\"%s\",\"digest\":\"%s\",\"engines\":%u,\"left_ms\":%lld,\"parts\":\"%s\"",
             exchange->id, wb_request_digest_format(key, digest),
             entry != NULL ? wb_poison_entry_engines(entry) : 0,
             entry != NULL ? (long long)(entry->until_ms - wb_clock_ms()) : 0LL,
             wb_http_head_get(exchange->head, exchange->edge->dialect->prompt_parts));
}

static void part_suspected_log(const wb_edge_t *edge, const wb_request_digest_t *key,
                               const char *engine_id) {
    static const char *const states[] = {"explained", "suspected", "refused"};
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES];
    const wb_poison_entry_t *entry =
        wb_poison_registry_find(wb_part_registry_crashes(edge->parts), key);
    wb_event("part-suspected",
             ",\"digest\":\"%s\",\"engine\":\"%s\",\"engines\":%u,\"state\":\"%s\"",
             wb_request_digest_format(key, digest), engine_id, wb_poison_entry_engines(entry),
             states[wb_part_registry_state(edge->parts, key, wb_clock_ms())]);
}

gboolean wb_edge_parts_crashed(wb_edge_t *edge, const char *engine_id,
                               const wb_aborted_request_t *request) {
    gboolean changed = FALSE;
    for (guint i = 0; i < request->part_count; i++) {
        const wb_request_digest_t *key = &request->parts[i];
        if (wb_part_registry_add_crash(edge->parts, key, wb_poison_engine_hash(engine_id),
                                       request->aborted_ms)) {
            part_suspected_log(edge, key, engine_id);
            changed = TRUE;
        }
    }
    return changed;
}

wb_part_merge_t wb_edge_part_merge(wb_edge_t *edge, const wb_poison_entry_t *entry) {
    wb_part_merge_t result = wb_part_registry_merge(edge->parts, entry, wb_clock_ms());
    const wb_poison_entry_t *merged =
        wb_poison_registry_find(wb_part_registry_crashes(edge->parts), &entry->digest);
    if (result == WB_PART_MERGE_ADDED && wb_poison_entry_engines(merged) == 0) {
        part_cleared_log(&entry->digest, "");
    }
    return result;
}
