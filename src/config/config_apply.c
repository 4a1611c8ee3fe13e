/* Gets an operator's change accepted: check, transaction, and a look back when the answer is lost.
 */
#include "config_store_internal.h"

#include "wickbridge/log.h"

#include <string.h>

#define SNAPSHOT_EVERY 32
#define REFUSAL_TRIES 8
#define REFUSAL_WAIT_MS 150
#define READ_BACK_TRIES 8
#define READ_BACK_WAIT_MS 250
#define CATCH_UP_TRIES 40
#define CATCH_UP_WAIT_MS 50

typedef struct config_change_t {
    wb_config_store_t *store;
    json_t *change;
    char *change_id;
    uint64_t base_version;
    uint64_t version;    /* the one it becomes */
    int64_t current_row; /* version of the row config/current */
    int tries;
    int refusals; /* of the table service */
    wb_config_apply_fn done;
    void *context;
    wb_config_apply_result_t result;
} config_change_t;

static void change_finish(config_change_t *change, wb_config_apply_status_t status) {
    change->result.status = status;
    change->result.version = change->store->current->version;
    change->done(&change->result, change->context);
    json_decref(change->change);
    g_free(change->change_id);
    g_free(change);
}

static void change_conflict(config_change_t *change) {
    wb_config_catch_up_now(change->store);
    wb_error_set(&change->result.error, APR_EGENERAL,
                 "another change came first: version %" G_GUINT64_FORMAT
                 " is in force, this change was made from version %" G_GUINT64_FORMAT
                 "; look at the difference and apply again",
                 (guint64)change->store->current->version, (guint64)change->base_version);
    change_finish(change, WB_CONFIG_CONFLICT);
}

static void snapshot_pointer_written(wb_platform_status_t status, const json_t *body,
                                     void *context) {
    (void)body;
    (void)context;
    if (status != WB_PLATFORM_DONE)
        wb_log_info(WB_LOG_CONFIG, "The snapshot's row was not written; the changes stay.");
}

typedef struct snapshot_write_t {
    wb_config_store_t *store;
    uint64_t version;
    char *object;
} snapshot_write_t;

/* The object is there: point to it and let go of the changes that it holds. */
static void snapshot_written(wb_platform_status_t status, const json_t *body, void *context) {
    (void)body;
    snapshot_write_t *write = context;
    if (status == WB_PLATFORM_DONE) {
        json_t *writes = json_array();
        json_t *pointer =
            json_pack("{s:I, s:s}", "version", (json_int_t)write->version, "object", write->object);
        json_array_append_new(writes, wb_platform_make_write(WB_CONFIG_ROW_SNAPSHOT, pointer));
        for (uint64_t old = write->version; old + 2 * SNAPSHOT_EVERY > write->version && old > 0;
             old--) {
            g_autofree char *key = wb_config_change_key(old);
            json_array_append_new(writes, wb_platform_make_write(key, NULL));
        }
        wb_platform_transact(write->store->platform, json_array(), writes, snapshot_pointer_written,
                             NULL);
    }
    g_free(write->object);
    g_free(write);
}

static void snapshot_write(wb_config_store_t *store) {
    snapshot_write_t *write = g_new0(snapshot_write_t, 1);
    write->store = store;
    write->version = store->current->version;
    write->object = g_strdup_printf("config-snapshot-%" G_GUINT64_FORMAT, (guint64)write->version);
    json_t *body = json_pack("{s:I, s:O}", "version", (json_int_t)write->version, "objects",
                             store->current->objects);
    wb_platform_object_put(store->platform, write->object, body, snapshot_written, write);
    json_decref(body);
}

static void change_accepted(config_change_t *change) {
    wb_config_store_t *store = change->store;
    if (!wb_config_change_take(store, change->change, change->version, NULL) &&
        store->current->version < change->version)
        wb_config_catch_up_now(store);
    if (change->version % SNAPSHOT_EVERY == 0 && store->current->version == change->version)
        snapshot_write(store);
    change_finish(change, WB_CONFIG_ACCEPTED);
}

static void read_back_start(void *context);

/* The transaction's answer was lost: the row of this version tells whose change it holds. */
static void read_back_done(wb_platform_status_t status, const json_t *body, void *context) {
    config_change_t *change = context;
    if (status == WB_PLATFORM_DONE) {
        const json_t *value = json_object_get(body, "value");
        const char *id = wb_json_text(value, "change_id", "");
        if (strcmp(id, change->change_id) == 0)
            change_accepted(change);
        else if (*id != '\0')
            change_conflict(change);
        else {
            /* Not there now; the lost request might still arrive. It can't once the row
             * config/current has moved on, and until then nobody can know. */
            wb_error_set(&change->result.error, APR_EGENERAL,
                         "the table service's answer was lost and the change is not there now; "
                         "look again before trying again");
            change_finish(change, WB_CONFIG_UNKNOWN);
        }
        return;
    }
    if (++change->tries < READ_BACK_TRIES) {
        wb_loop_after(change->store->loop, READ_BACK_WAIT_MS, read_back_start, change);
        return;
    }
    wb_error_set(&change->result.error, APR_EGENERAL,
                 "the table service's answer was lost; the change may have been accepted");
    change_finish(change, WB_CONFIG_UNKNOWN);
}

static void read_back_start(void *context) {
    config_change_t *change = context;
    g_autofree char *key = wb_config_change_key(change->version);
    wb_platform_read_row(change->store->platform, key, read_back_done, change);
}

static void current_read_start(void *context);

/* The table service refused, so nothing took effect; its rate limit may be over in a moment. */
static void change_put_off(config_change_t *change) {
    if (++change->refusals < REFUSAL_TRIES) {
        wb_loop_after(change->store->loop, REFUSAL_WAIT_MS, current_read_start, change);
        return;
    }
    wb_error_set(&change->result.error, APR_EGENERAL,
                 "the table service is away; nothing was accepted");
    change_finish(change, WB_CONFIG_UNAVAILABLE);
}

static void transaction_done(wb_platform_status_t status, const json_t *body, void *context) {
    (void)body;
    config_change_t *change = context;
    switch (status) {
    case WB_PLATFORM_DONE:
        change_accepted(change);
        break;
    case WB_PLATFORM_CONFLICT:
        change_conflict(change);
        break;
    case WB_PLATFORM_UNKNOWN:
        change->tries = 0;
        wb_loop_after(change->store->loop, READ_BACK_WAIT_MS, read_back_start, change);
        break;
    default:
        change_put_off(change);
    }
}

static void transaction_start(config_change_t *change) {
    g_autofree char *key = wb_config_change_key(change->version);
    json_t *checks = json_array();
    json_array_append_new(checks, wb_platform_make_check(WB_CONFIG_ROW_CURRENT, change->current_row));
    json_array_append_new(checks, wb_platform_make_check(key, 0));
    json_t *writes = json_array();
    json_t *current = json_pack("{s:I}", "version", (json_int_t)change->version);
    json_array_append_new(writes, wb_platform_make_write(WB_CONFIG_ROW_CURRENT, current));
    json_array_append_new(writes, wb_platform_make_write(key, json_incref(change->change)));
    wb_platform_transact(change->store->platform, checks, writes, transaction_done, change);
}

/* A service's cells can't change: its models would move between owners. */
static gboolean cells_stay(const wb_config_t *before, const wb_config_t *after,
                           wb_config_apply_result_t *result) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, before->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_service_t *old = value;
        const wb_service_t *new = wb_config_service(after, old->name);
        if (new == NULL || new->cells == old->cells)
            continue;
        g_snprintf(result->fault.key, sizeof(result->fault.key), "service/%s", old->name);
        g_strlcpy(result->fault.member, "cells", sizeof(result->fault.member));
        wb_error_set(&result->error, APR_EINVAL,
                     "service/%s: cells is %d and can't change; declare a new service", old->name,
                     (int)old->cells);
        return FALSE;
    }
    return TRUE;
}

static gboolean change_check(config_change_t *change, wb_config_apply_status_t *status) {
    const wb_config_t *current = change->store->current;
    json_t *objects = wb_config_objects_apply(current->objects, change->change);
    gboolean same = json_equal(objects, current->objects);
    wb_config_t *checked = NULL;
    apr_status_t result = wb_config_parse(objects, change->version, &checked, &change->result.fault,
                                          &change->result.error);
    json_decref(objects);
    gboolean right = result == APR_SUCCESS && cells_stay(current, checked, &change->result);
    wb_config_unref(checked);
    *status = same ? WB_CONFIG_UNCHANGED : WB_CONFIG_INVALID;
    return right && !same;
}

static void current_read(wb_platform_status_t status, const json_t *body, void *context);

static void current_read_start(void *context) {
    config_change_t *change = context;
    wb_platform_read_row(change->store->platform, WB_CONFIG_ROW_CURRENT, current_read, change);
}

static void current_read(wb_platform_status_t status, const json_t *body, void *context) {
    config_change_t *change = context;
    wb_config_store_t *store = change->store;
    if (status != WB_PLATFORM_DONE) {
        change_put_off(change);
        return;
    }
    uint64_t version = (uint64_t)wb_json_integer(json_object_get(body, "value"), "version", 0);
    if (version > store->current->version) {
        wb_config_catch_up_now(store);
        if (++change->tries < CATCH_UP_TRIES)
            wb_loop_after(store->loop, CATCH_UP_WAIT_MS, current_read_start, change);
        else
            change_conflict(change);
        return;
    }
    if (change->base_version != 0 && change->base_version != store->current->version) {
        change_conflict(change);
        return;
    }
    change->current_row = wb_json_integer(body, "version", 0);
    change->version = store->current->version + 1;
    json_object_set_new(change->change, "version", json_integer((json_int_t)change->version));
    wb_config_apply_status_t wrong;
    if (!change_check(change, &wrong))
        change_finish(change, wrong);
    else
        transaction_start(change);
}

void wb_config_store_apply(wb_config_store_t *store, uint64_t base_version, json_t *change,
                           wb_config_apply_fn done, void *context) {
    config_change_t *created = g_new0(config_change_t, 1);
    created->store = store;
    created->change = json_deep_copy(change);
    created->base_version = base_version;
    created->done = done;
    created->context = context;
    g_autofree char *uuid = g_uuid_string_random();
    created->change_id = g_strdup(uuid);
    json_object_set_new(created->change, "change_id", json_string(uuid));
    g_autoptr(GDateTime) now = g_date_time_new_now_utc();
    g_autofree char *at = g_date_time_format_iso8601(now);
    json_object_set_new(created->change, "at", json_string(at));
    current_read_start(created);
}
