/* The stand-in's store: versioned rows, conditional transactions, and long polls for changes. */
#include "store_internal.h"

#include "wickbridge/json.h"

#include <stdlib.h>
#include <string.h>

#define LATE_WRITE_MS 1000
/* Versions of a row that are kept for reads that are behind. */
#define MAX_ROW_VERSIONS 64
#define FIRST_ERA 3

/* A pending long poll for changes. */
typedef struct wb_estate_poll_t {
    wb_estate_store_t *store;
    wb_http_connection_t *connection;
    wb_timer_t *timer;
    char *table;
    int64_t after;
} wb_estate_poll_t;

/* A delayed response. */
typedef struct wb_estate_delayed_t {
    wb_estate_store_t *store;
    wb_http_connection_t *connection; /* NULL: the client disconnected */
    unsigned status;
    char *body;
    json_t *transaction; /* applied at the due time, or NULL */
    gboolean unanswered;
} wb_estate_delayed_t;

wb_estate_row_t *wb_estate_row_find(const wb_estate_store_t *store, const char *table,
                                    const char *key) {
    for (guint i = 0; i < store->rows->len; i++) {
        wb_estate_row_t *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0)
            return row;
    }
    return NULL;
}

static json_t *row_json(const wb_estate_row_t *row) {
    json_t *object = json_pack("{s:s, s:s, s:s, s:I}", "table", row->table, "part", "", "key",
                               row->key, "ver", (json_int_t)row->version);
    if (row->value != NULL)
        json_object_set_new(object, "value", json_string(row->value));
    else
        json_object_set_new(object, "gone", json_true());
    return object;
}

static json_t *answer_json(const wb_estate_store_t *store, json_t *rows) {
    return json_pack("{s:o, s:b, s:I, s:I}", "rows", rows, "more", 0, "ver",
                     (json_int_t)store->version, "now_ms", (json_int_t)wb_clock_ms());
}

static gint row_compare_version(gconstpointer left, gconstpointer right) {
    const wb_estate_row_t *a = *(wb_estate_row_t *const *)left;
    const wb_estate_row_t *b = *(wb_estate_row_t *const *)right;
    return a->version < b->version ? -1 : a->version > b->version;
}

/* Rows of a table that changed after a version (removed ones included), or all current rows. */
static json_t *rows_json(const wb_estate_store_t *store, const char *table, int64_t after,
                         gboolean changes) {
    g_autoptr(GPtrArray) rows = g_ptr_array_new();
    for (guint i = 0; i < store->rows->len; i++) {
        wb_estate_row_t *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && (changes ? row->version > after : row->value != NULL))
            g_ptr_array_add(rows, row);
    }
    g_ptr_array_sort(rows, row_compare_version);
    json_t *list = json_array();
    for (guint i = 0; i < rows->len; i++)
        json_array_append_new(list, row_json(g_ptr_array_index(rows, i)));
    return list;
}

/* Reads a table as it was at a time. Returns its rows, and the newest version of that time. */
static json_t *past_rows_json(const wb_estate_store_t *store, const char *table, int64_t at_ms,
                              int64_t *newest) {
    json_t *list = json_array();
    *newest = 0;
    for (guint i = 0; i < store->rows->len; i++) {
        const wb_estate_row_t *row = g_ptr_array_index(store->rows, i);
        wb_estate_row_t past = {row->table, row->key, NULL, 0, NULL};
        for (guint j = 0; j < row->versions->len; j++) {
            const wb_estate_row_version_t *version =
                &g_array_index(row->versions, wb_estate_row_version_t, j);
            if (version->at_ms <= at_ms) {
                past.value = version->value;
                past.version = version->version;
            }
        }
        *newest = MAX(*newest, past.version);
        if (strcmp(row->table, table) == 0 && past.value != NULL)
            json_array_append_new(list, row_json(&past));
    }
    return list;
}

static void json_answer(const wb_estate_store_t *store, wb_http_connection_t *connection,
                        unsigned status, json_t *body) {
    g_autofree char *headers = g_strdup_printf(
        "Content-Type: application/json\r\nStore-Era: %lld\r\n", (long long)store->era);
    char *text = wb_json_dump(body);
    wb_http_connection_reply(connection, status, wb_http_status_reason(status), headers, text,
                             strlen(text));
    free(text);
    json_decref(body);
}

static void poll_free(wb_estate_poll_t *poll) {
    g_ptr_array_remove_fast(poll->store->polls, poll);
    if (poll->timer != NULL)
        wb_timer_cancel(poll->timer);
    g_free(poll->table);
    g_free(poll);
}

static void poll_answer(wb_estate_poll_t *poll) {
    wb_estate_store_t *store = poll->store;
    wb_http_connection_t *connection = poll->connection;
    json_t *body = answer_json(store, rows_json(store, poll->table, poll->after, TRUE));
    poll_free(poll);
    json_answer(store, connection, 200, body);
}

static void poll_timeout(void *context) {
    wb_estate_poll_t *poll = context;
    poll->timer = NULL;
    poll_answer(poll);
}

/* Answers the pending polls of a changed table. */
void wb_estate_polls_answer(wb_estate_store_t *store, const char *table) {
    for (guint i = store->polls->len; i > 0; i--) {
        if (i > store->polls->len)
            continue;
        wb_estate_poll_t *poll = g_ptr_array_index(store->polls, i - 1);
        if (strcmp(poll->table, table) == 0)
            poll_answer(poll);
    }
}

void wb_estate_row_write(wb_estate_store_t *store, const char *table, const char *key,
                         const char *base64) {
    wb_estate_row_t *row = wb_estate_row_find(store, table, key);
    if (row == NULL) {
        row = g_new0(wb_estate_row_t, 1);
        row->table = g_strdup(table);
        row->key = g_strdup(key);
        row->versions = g_array_new(FALSE, FALSE, sizeof(wb_estate_row_version_t));
        g_ptr_array_add(store->rows, row);
    }
    g_free(row->value);
    row->value = g_strdup(base64);
    row->version = store->version;
    wb_estate_row_version_t version = {g_strdup(base64), store->version, wb_clock_ms()};
    g_array_append_val(row->versions, version);
    if (row->versions->len > MAX_ROW_VERSIONS) {
        g_free(g_array_index(row->versions, wb_estate_row_version_t, 0).value);
        g_array_remove_index(row->versions, 0);
        row->trimmed = TRUE;
    }
}

void wb_estate_store_put_base64(wb_estate_store_t *store, const char *table, const char *key,
                                const char *base64) {
    store->version++;
    wb_estate_row_write(store, table, key, base64);
    wb_estate_polls_answer(store, table);
}

void wb_estate_store_put(wb_estate_store_t *store, const char *table, const char *key,
                         const char *value) {
    g_autofree char *base64 =
        value != NULL ? g_base64_encode((const guchar *)value, strlen(value)) : NULL;
    wb_estate_store_put_base64(store, table, key, base64);
}

/* Returns NULL when all conditions hold, else the current rows that they name. */
static json_t *conflicts(const wb_estate_store_t *store, const json_t *transaction) {
    json_t *list = json_array();
    gboolean all_hold = TRUE;
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(transaction, "expectedVersion"), i, entry) {
        const wb_estate_row_t *row = wb_estate_row_find(store, wb_json_text(entry, "table", ""),
                                                        wb_json_text(entry, "key", ""));
        gboolean exists = row != NULL && row->value != NULL;
        int64_t version = exists ? row->version : 0;
        all_hold &= version == wb_json_integer(entry, "ver", -1);
        if (exists)
            json_array_append_new(list, row_json(row));
    }
    if (!all_hold)
        return list;
    json_decref(list);
    return NULL;
}

static unsigned transaction_apply(wb_estate_store_t *store, const json_t *transaction,
                                  json_t **body) {
    json_t *conflicting = conflicts(store, transaction);
    if (conflicting != NULL) {
        *body = answer_json(store, conflicting);
        return 412;
    }
    store->version++;
    size_t i;
    json_t *entry;
    g_autofree char *table = NULL;
    json_array_foreach(json_object_get(transaction, "put"), i, entry) {
        g_free(table);
        table = g_strdup(wb_json_text(entry, "table", ""));
        wb_estate_row_write(store, table, wb_json_text(entry, "key", ""),
                            wb_json_text(entry, "value", ""));
    }
    json_array_foreach(json_object_get(transaction, "remove"), i, entry) {
        g_free(table);
        table = g_strdup(wb_json_text(entry, "table", ""));
        wb_estate_row_write(store, table, wb_json_text(entry, "key", ""), NULL);
    }
    *body = answer_json(store, json_array());
    if (table != NULL)
        wb_estate_polls_answer(store, table);
    return 200;
}

static char *query_value(const char *target, const char *name) {
    const char *query = strchr(target, '?');
    if (query == NULL)
        return NULL;
    g_auto(GStrv) pairs = g_strsplit(query + 1, "&", -1);
    size_t length = strlen(name);
    for (char **pair = pairs; *pair != NULL; pair++)
        if (strncmp(*pair, name, length) == 0 && (*pair)[length] == '=')
            return g_uri_unescape_string(*pair + length + 1, NULL);
    return NULL;
}

static int64_t query_number(const char *target, const char *name) {
    g_autofree char *text = query_value(target, name);
    return text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static void changes_handle(wb_estate_store_t *store, wb_http_connection_t *connection,
                           const char *target) {
    g_autofree char *table = query_value(target, "table");
    int64_t after = query_number(target, "after");
    if (after < store->history_from || after > store->version) {
        json_answer(store, connection, 410, json_object());
        return;
    }
    json_t *rows = rows_json(store, table != NULL ? table : "", after, TRUE);
    if (json_array_size(rows) > 0) {
        json_answer(store, connection, 200, answer_json(store, rows));
        return;
    }
    json_decref(rows);
    wb_estate_poll_t *poll = g_new0(wb_estate_poll_t, 1);
    poll->store = store;
    poll->connection = connection;
    poll->table = g_strdup(table);
    poll->after = after;
    poll->timer = wb_loop_after(store->loop, query_number(target, "waitMs"), poll_timeout, poll);
    g_ptr_array_add(store->polls, poll);
}

static void delayed_run(void *context) {
    wb_estate_delayed_t *delayed = context;
    g_ptr_array_remove_fast(delayed->store->delayed, delayed);
    if (delayed->transaction != NULL) {
        json_t *body = NULL;
        unsigned status = transaction_apply(delayed->store, delayed->transaction, &body);
        if (delayed->connection != NULL && !delayed->unanswered)
            json_answer(delayed->store, delayed->connection, status, body);
        else
            json_decref(body);
        json_decref(delayed->transaction);
    } else if (delayed->connection != NULL) {
        wb_http_connection_reply(delayed->connection, delayed->status,
                                 wb_http_status_reason(delayed->status), "", delayed->body,
                                 strlen(delayed->body));
    }
    g_free(delayed->body);
    g_free(delayed);
}

static void transaction_later(wb_estate_store_t *store, wb_http_connection_t *connection,
                              json_t *transaction, int64_t delay_ms, gboolean unanswered) {
    wb_estate_delayed_t *delayed = g_new0(wb_estate_delayed_t, 1);
    delayed->store = store;
    delayed->connection = connection;
    delayed->transaction = json_incref(transaction);
    delayed->unanswered = unanswered;
    g_ptr_array_add(store->delayed, delayed);
    wb_loop_after(store->loop, delay_ms, delayed_run, delayed);
}

static void transaction_handle(wb_estate_store_t *store, wb_http_connection_t *connection,
                               const GByteArray *body) {
    json_t *transaction = json_loadb((const char *)body->data, body->len, 0, NULL);
    json_t *answer = NULL;
    if (transaction == NULL) {
        json_answer(store, connection, 400, json_object());
        return;
    }
    if (strcmp(store->fault, "late") == 0) {
        transaction_later(store, connection, transaction, LATE_WRITE_MS, TRUE);
    } else if (strcmp(store->fault, "lost") == 0) {
        transaction_apply(store, transaction, &answer);
        json_decref(answer); /* applied, but never answered */
    } else if (store->delay_ms > 0) {
        transaction_later(store, connection, transaction, store->delay_ms, FALSE);
    } else {
        unsigned status = transaction_apply(store, transaction, &answer);
        json_answer(store, connection, status, answer);
    }
    json_decref(transaction);
}

static void read_handle(wb_estate_store_t *store, wb_http_connection_t *connection,
                        const char *target) {
    g_autofree char *table = query_value(target, "table");
    int64_t now_ms = wb_clock_ms();
    if (now_ms >= store->behind_until_ms) {
        json_answer(store, connection, 200,
                    answer_json(store, rows_json(store, table != NULL ? table : "", 0, FALSE)));
        return;
    }
    int64_t newest;
    json_t *rows =
        past_rows_json(store, table != NULL ? table : "", now_ms - store->behind_ms, &newest);
    json_t *answer = answer_json(store, rows);
    json_object_set_new(answer, "ver", json_integer(newest));
    json_answer(store, connection, 200, answer);
}

static void store_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                          void *context) {
    wb_estate_store_t *store = context;
    wb_http_connection_set_request(connection, connection);
    if (store->rollbacks > 0)
        (void)connection; /* never answered */
    else if (strcmp(store->fault, "busy") == 0)
        json_answer(store, connection, 503, json_object());
    else if (strcmp(store->fault, "reset") == 0)
        wb_http_connection_abort(connection);
    else if (strcmp(store->fault, "silent") == 0)
        (void)connection; /* never answered */
    else if (g_str_has_prefix(head->target, "/rows-tx"))
        transaction_handle(store, connection, body);
    else if (g_str_has_prefix(head->target, "/rows-feed"))
        changes_handle(store, connection, head->target);
    else if (g_str_has_prefix(head->target, "/rows-get"))
        read_handle(store, connection, head->target);
    else
        json_answer(store, connection, 404, json_object());
    wb_http_head_free(head);
    g_byte_array_unref(body);
}

static void store_disconnected(wb_http_connection_t *connection, void *request, void *context) {
    (void)request;
    wb_estate_store_t *store = context;
    for (guint i = 0; i < store->polls->len; i++) {
        wb_estate_poll_t *poll = g_ptr_array_index(store->polls, i);
        if (poll->connection == connection) {
            poll_free(poll);
            break;
        }
    }
    for (guint i = 0; i < store->delayed->len; i++) {
        wb_estate_delayed_t *delayed = g_ptr_array_index(store->delayed, i);
        if (delayed->connection == connection)
            delayed->connection = NULL;
    }
}

wb_estate_store_t *wb_estate_store_open(wb_loop_t *loop, const char *address) {
    static const wb_http_limits_t limits = {65536, 1024 * 1024, 30000, 600000};
    wb_estate_store_t *store = g_new0(wb_estate_store_t, 1);
    wb_http_handler_t handler = {store_request, store_disconnected, NULL, store};
    wb_error_t error;
    store->loop = loop;
    store->rows = g_ptr_array_new();
    store->polls = g_ptr_array_new();
    store->delayed = g_ptr_array_new();
    store->fault = g_strdup("");
    store->era = FIRST_ERA;
    store->lost = g_ptr_array_new();
    if (wb_http_listener_open(loop, address, &handler, &limits, &store->listener, &error) !=
        APR_SUCCESS)
        g_error("%s", error.message);
    return store;
}

unsigned wb_estate_store_port(const wb_estate_store_t *store) {
    return wb_http_listener_port(store->listener);
}

void wb_estate_polls_abort(wb_estate_store_t *store) {
    while (store->polls->len > 0) {
        wb_estate_poll_t *poll = g_ptr_array_index(store->polls, 0);
        wb_http_connection_t *connection = poll->connection;
        poll_free(poll);
        wb_http_connection_abort(connection);
    }
}

void wb_estate_store_compact(wb_estate_store_t *store) {
    store->version++;
    store->history_from = store->version;
    while (store->polls->len > 0) {
        wb_estate_poll_t *poll = g_ptr_array_index(store->polls, 0);
        wb_http_connection_t *connection = poll->connection;
        poll_free(poll);
        json_answer(store, connection, 410, json_object());
    }
}

void wb_estate_store_set_behind(wb_estate_store_t *store, int64_t behind_ms, int64_t for_ms) {
    store->behind_ms = behind_ms;
    store->behind_until_ms = wb_clock_ms() + for_ms;
    wb_estate_store_compact(store);
}

void wb_estate_store_set_fault(wb_estate_store_t *store, const char *fault, int64_t delay_ms) {
    g_free(store->fault);
    store->fault = g_strdup(fault);
    store->delay_ms = delay_ms;
}
