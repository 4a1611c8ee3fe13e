/* Applies commands to a cell's record, and copies records to and from messages. */
#include "wickbridge/record.h"

#include <string.h>

static void slot_free(gpointer data) {
    wb_slot_t *slot = data;
    g_free(slot->model);
    g_free(slot->engine);
    g_free(slot);
}

static void engine_free(gpointer data) {
    wb_record_engine_t *engine = data;
    g_free(engine->engine);
    g_free(engine->address);
    g_free(engine->zone);
    g_free(engine);
}

static void claim_free(gpointer data) {
    wb_claim_t *claim = data;
    g_free(claim->model);
    g_free(claim->key);
    g_free(claim->stream);
    g_free(claim->engine);
    g_free(claim->engine_address);
    g_free(claim->node);
    g_free(claim->answer);
    g_free(claim);
}

wb_record_t *wb_record_create(void) {
    wb_record_t *record = g_new0(wb_record_t, 1);
    record->members = g_ptr_array_new_with_free_func(g_free);
    record->slots = g_ptr_array_new_with_free_func(slot_free);
    record->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
    record->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, claim_free);
    return record;
}

void wb_record_free(wb_record_t *record) {
    if (record == NULL)
        return;
    g_ptr_array_unref(record->members);
    g_ptr_array_unref(record->slots);
    g_hash_table_unref(record->engines);
    g_hash_table_unref(record->claims);
    g_free(record);
}

static char *claim_index(const char *model, const char *key) {
    return g_strconcat(model, "\n", key, NULL);
}

static gint slot_find(const wb_record_t *record, const char *model, const char *engine) {
    for (guint i = 0; i < record->slots->len; i++) {
        const wb_slot_t *slot = record->slots->pdata[i];
        if (strcmp(slot->model, model) == 0 && strcmp(slot->engine, engine) == 0)
            return (gint)i;
    }
    return -1;
}

static void slot_add(wb_record_t *record, const char *model, const char *engine) {
    if (slot_find(record, model, engine) >= 0)
        return;
    wb_slot_t *slot = g_new(wb_slot_t, 1);
    slot->model = g_strdup(model);
    slot->engine = g_strdup(engine);
    g_ptr_array_add(record->slots, slot);
}

static void slot_remove(wb_record_t *record, const char *model, const char *engine) {
    gint index = slot_find(record, model, engine);
    if (index >= 0)
        g_ptr_array_remove_index(record->slots, (guint)index);
}

static void engine_set(wb_record_t *record, const wb_wire_engine *wire) {
    if (wire->state >= WB_RECORD_ENGINE_REMOVED) {
        g_hash_table_remove(record->engines, wire->engine);
        return;
    }
    wb_record_engine_t *engine = g_new0(wb_record_engine_t, 1);
    engine->engine = g_strdup(wire->engine);
    engine->address = g_strdup(wire->address);
    engine->zone = g_strdup(wire->zone);
    engine->state = wire->state;
    g_hash_table_replace(record->engines, engine->engine, engine);
}

static void members_set(wb_record_t *record, const wb_wire_members *members) {
    record->generation = members->generation;
    g_ptr_array_set_size(record->members, 0);
    for (u_int i = 0; i < members->names.names_len; i++)
        g_ptr_array_add(record->members, g_strdup(members->names.names_val[i]));
}

static wb_claim_t *claim_from_wire(const wb_wire_claim *wire, int64_t now_ms) {
    wb_claim_t *claim = g_new0(wb_claim_t, 1);
    claim->model = g_strdup(wire->model);
    claim->key = g_strdup(wire->key);
    claim->stream = g_strdup(wire->stream);
    claim->engine = g_strdup(wire->engine);
    claim->engine_address = g_strdup(wire->engine_address);
    claim->node = g_strdup(wire->node);
    claim->attempt = wire->attempt;
    claim->digest = wire->digest;
    claim->done = wire->phase == WB_WIRE_CLAIM_PHASE_DONE;
    claim->status = wire->status;
    claim->answer = g_strdup(wire->answer);
    claim->taken_ms = now_ms - (int64_t)wire->age_ms;
    return claim;
}

static void claim_put(wb_record_t *record, const wb_wire_claim *wire, int64_t now_ms) {
    g_hash_table_replace(record->claims, claim_index(wire->model, wire->key),
                         claim_from_wire(wire, now_ms));
}

/* The answer belongs to one attempt; a later attempt's claim is left alone. */
static void claim_finish(wb_record_t *record, const wb_wire_claim *wire) {
    g_autofree char *index = claim_index(wire->model, wire->key);
    wb_claim_t *claim = g_hash_table_lookup(record->claims, index);
    if (claim == NULL || strcmp(claim->stream, wire->stream) != 0)
        return;
    claim->done = TRUE;
    claim->status = wire->status;
    g_free(claim->answer);
    claim->answer = g_strdup(wire->answer);
}

void wb_record_apply(wb_record_t *record, const wb_wire_command *command, int64_t now_ms) {
    switch (command->kind) {
    case WB_WIRE_COMMAND_MEMBERS:
        members_set(record, &command->wb_wire_command_u.members);
        break;
    case WB_WIRE_COMMAND_SLOT_ADD:
        slot_add(record, command->wb_wire_command_u.slot_add.model,
                 command->wb_wire_command_u.slot_add.engine);
        break;
    case WB_WIRE_COMMAND_SLOT_REMOVE:
        slot_remove(record, command->wb_wire_command_u.slot_remove.model,
                    command->wb_wire_command_u.slot_remove.engine);
        break;
    case WB_WIRE_COMMAND_CLAIM:
        claim_put(record, &command->wb_wire_command_u.claim, now_ms);
        break;
    case WB_WIRE_COMMAND_CLAIM_DONE:
        claim_finish(record, &command->wb_wire_command_u.claim_done);
        break;
    case WB_WIRE_COMMAND_ENGINE:
        engine_set(record, &command->wb_wire_command_u.engine);
        break;
    case WB_WIRE_COMMAND_SLOTS_VERIFIED:
        record->slots_unverified = FALSE;
        break;
    }
}

static void claim_to_wire(const wb_claim_t *claim, wb_wire_claim *wire, int64_t now_ms) {
    wire->model = claim->model;
    wire->key = claim->key;
    wire->stream = claim->stream;
    wire->engine = claim->engine;
    wire->engine_address = claim->engine_address;
    wire->node = claim->node;
    wire->attempt = claim->attempt;
    wire->digest = claim->digest;
    wire->phase = claim->done ? WB_WIRE_CLAIM_PHASE_DONE : WB_WIRE_CLAIM_PHASE_TAKEN;
    wire->status = claim->status;
    wire->answer = claim->answer;
    wire->age_ms = (u_int)MAX(now_ms - claim->taken_ms, 0);
}

static void engines_to_wire(const wb_record_t *record, wb_wire_record *wire) {
    GHashTableIter iterator;
    gpointer value;
    wire->engines.engines_val = g_new0(wb_wire_engine, g_hash_table_size(record->engines) + 1);
    g_hash_table_iter_init(&iterator, record->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_record_engine_t *engine = value;
        wb_wire_engine *entry = &wire->engines.engines_val[wire->engines.engines_len++];
        entry->engine = engine->engine;
        entry->address = engine->address;
        entry->zone = engine->zone;
        entry->state = engine->state;
    }
}

/* The wire record borrows all texts; only its lists are allocated. */
void wb_record_to_wire(const wb_record_t *record, wb_wire_record *wire, int64_t now_ms) {
    memset(wire, 0, sizeof(*wire));
    wire->members.generation = record->generation;
    wire->members.names.names_len = record->members->len;
    wire->members.names.names_val = g_new0(wb_wire_name, record->members->len + 1);
    for (guint i = 0; i < record->members->len; i++)
        wire->members.names.names_val[i] = record->members->pdata[i];
    wire->slots.slots_len = record->slots->len;
    wire->slots.slots_val = g_new0(wb_wire_slot, record->slots->len + 1);
    for (guint i = 0; i < record->slots->len; i++) {
        const wb_slot_t *slot = record->slots->pdata[i];
        wire->slots.slots_val[i].model = slot->model;
        wire->slots.slots_val[i].engine = slot->engine;
    }
    wire->claims.claims_val = g_new0(wb_wire_claim, g_hash_table_size(record->claims) + 1);
    GHashTableIter iterator;
    gpointer value;
    engines_to_wire(record, wire);
    wire->slots_unverified = record->slots_unverified;
    wire->claims_incomplete_ms = (u_int)MAX(record->claims_incomplete_until_ms - now_ms, 0);
    g_hash_table_iter_init(&iterator, record->claims);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        claim_to_wire(value, &wire->claims.claims_val[wire->claims.claims_len++], now_ms);
}

void wb_record_wire_clear(wb_wire_record *wire) {
    g_free(wire->members.names.names_val);
    g_free(wire->slots.slots_val);
    g_free(wire->engines.engines_val);
    g_free(wire->claims.claims_val);
    memset(wire, 0, sizeof(*wire));
}

wb_record_t *wb_record_from_wire(const wb_wire_record *wire, int64_t now_ms) {
    wb_record_t *record = wb_record_create();
    members_set(record, &wire->members);
    for (u_int i = 0; i < wire->slots.slots_len; i++)
        slot_add(record, wire->slots.slots_val[i].model, wire->slots.slots_val[i].engine);
    for (u_int i = 0; i < wire->engines.engines_len; i++)
        engine_set(record, &wire->engines.engines_val[i]);
    for (u_int i = 0; i < wire->claims.claims_len; i++)
        claim_put(record, &wire->claims.claims_val[i], now_ms);
    record->slots_unverified = wire->slots_unverified;
    record->claims_incomplete_until_ms = now_ms + (int64_t)wire->claims_incomplete_ms;
    return record;
}

gboolean wb_record_has_member(const wb_record_t *record, const char *node) {
    return g_ptr_array_find_with_equal_func(record->members, node, g_str_equal, NULL);
}

gboolean wb_record_has_slot(const wb_record_t *record, const char *model, const char *engine) {
    return slot_find(record, model, engine) >= 0;
}

guint wb_record_slot_count(const wb_record_t *record, const char *model) {
    guint count = 0;
    for (guint i = 0; i < record->slots->len; i++)
        if (strcmp(((wb_slot_t *)record->slots->pdata[i])->model, model) == 0)
            count++;
    return count;
}

const wb_claim_t *wb_record_claim(const wb_record_t *record, const char *model, const char *key) {
    g_autofree char *index = claim_index(model, key);
    return g_hash_table_lookup(record->claims, index);
}

wb_claim_decision_t wb_claim_decide(const wb_record_t *record, const wb_wire_claim_request *want,
                                    int64_t now_ms) {
    const wb_claim_t *claim = wb_record_claim(record, want->model, want->key);
    if (claim == NULL)
        return now_ms < record->claims_incomplete_until_ms ? WB_CLAIM_UNVERIFIED : WB_CLAIM_PROPOSE;
    if (claim->digest != want->digest)
        return WB_CLAIM_MISMATCH;
    if (strcmp(claim->stream, want->stream) == 0)
        return WB_CLAIM_REPEATED;
    if (claim->done)
        return WB_CLAIM_DONE;
    if (want->retry_of != 0 && want->retry_of == claim->attempt)
        return WB_CLAIM_PROPOSE;
    return WB_CLAIM_TAKEN;
}

void wb_claim_fill_command(const wb_wire_claim_request *want, uint64_t attempt, wb_wire_command *command) {
    memset(command, 0, sizeof(*command));
    command->kind = WB_WIRE_COMMAND_CLAIM;
    wb_wire_claim *claim = &command->wb_wire_command_u.claim;
    claim->model = want->model;
    claim->key = want->key;
    claim->stream = want->stream;
    claim->engine = want->engine;
    claim->engine_address = want->engine_address;
    claim->node = want->node;
    claim->attempt = attempt;
    claim->digest = want->digest;
    claim->answer = "";
}

void wb_record_expire_claims(wb_record_t *record, int64_t now_ms, int64_t retention_ms) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, record->claims);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        wb_claim_t *claim = value;
        if (now_ms - claim->taken_ms > retention_ms)
            g_hash_table_iter_remove(&iterator);
        else if (now_ms - claim->taken_ms > WB_CLAIM_RESPONSE_RETENTION_MS && *claim->answer != '\0') {
            g_free(claim->answer);
            claim->answer = g_strdup("");
        }
    }
}
