/* Starts of streams in the store, so that a stream goes on at its version also once all nodes have
 * ended that knew how it began.
 * The aggregator writes the starts of all nodes in batches (stream_batches.h) while it holds the
 * lease, and as long as a service that has any has several software versions, or had within the
 * time in which clients come back: else there is nothing to tell apart. One that takes over reads
 * all rows before it answers that nobody knows a stream, also where it doesn't know which versions
 * there were. An entry binds like one in memory. How long it does is told by the store's clock,
 * which rows and answers name; a row of unknown age isn't used. What a copy of the store lacks is
 * unknown. Times are in ms. Failed calls are made again. */
#include "edge/edge_node_types.h"

#include "request/stream_batches.h"

#include <stdlib.h>
#include <string.h>

/* The store's limit for a row. */
#define STREAM_ROW_BYTES (64 * 1024)
#define STREAM_ROW_FORMAT 1
/* As encoded: lengths and texts of an origin; key, origin and time of an entry; what precedes them.
 */
#define ORIGIN_MAX_BYTES (2 * (4 + WB_WIRE_NAME_MAX))
#define ENTRY_BYTES (WB_WIRE_DIGEST_BYTES + 8)
#define ROW_HEAD_BYTES 20
#define SLOT_KEY_PREFIX "slot-"
#define READ_RETRY_MS 300
/* Starts that are written later than this count as late. */
#define WRITE_LATE_MS 1000

G_STATIC_ASSERT(ROW_HEAD_BYTES + WB_WIRE_STORED_ORIGINS_MAX * ORIGIN_MAX_BYTES +
                    WB_WIRE_STORED_STARTS_MAX * ENTRY_BYTES <=
                STREAM_ROW_BYTES);

typedef enum wb_stream_rows_state_t {
    WB_STREAM_ROWS_UNREAD,
    WB_STREAM_ROWS_READING,
    WB_STREAM_ROWS_READ
} wb_stream_rows_state_t;

struct wb_stream_rows_t {
    wb_stream_batches_t *batches;
    wb_stream_rows_state_t state;
    uint64_t generation; /* counted up when all is forgotten: calls of earlier ones don't count */
    int64_t era;         /* of the store when the rows were read */
    uint64_t token;      /* of the lease then */
    int64_t read_began_ms;
    int64_t retry_ms;
    int64_t clock_ms; /* the store's clock in its last answer; 0: it names none */
    int64_t clock_at_ms;
    unsigned restored; /* while the rows are read */
};

/* A call under way. */
typedef struct wb_stream_rows_call_t {
    wb_edge_node_t *node;
    uint64_t generation; /* in which it began */
    wb_stream_batch_t batch;
    unsigned entries;
} wb_stream_rows_call_t;

wb_stream_rows_t *wb_edge_node_stream_rows_create(const wb_edge_settings_t *settings) {
    wb_stream_rows_t *rows = g_new0(wb_stream_rows_t, 1);
    rows->batches = wb_stream_batches_create((int64_t)(settings->resume_window_s * 1000),
                                             settings->stream_batch_ms, WB_WIRE_STORED_STARTS_MAX);
    return rows;
}

static int64_t kept_ms(const wb_edge_node_t *node) {
    return (int64_t)(node->edge.settings.resume_window_s * 1000);
}

/* Whether the starts that are known here are of several versions of a service, or could be. */
static gboolean must_write(const wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer service;
    g_hash_table_iter_init(&iter, wb_stream_starts_services(node->edge.stream_starts));
    while (g_hash_table_iter_next(&iter, &service, NULL))
        if (wb_version_history_is_mixed(node->versions, service, now_ms - kept_ms(node)))
            return TRUE;
    return FALSE;
}

/* Whether an earlier controller's node may have written starts that still count. */
static gboolean must_read(const wb_edge_node_t *node, int64_t now_ms) {
    return wb_version_history_any_is_mixed(node->versions, now_ms - kept_ms(node)) ||
           wb_version_history_began_ms(node->versions) > now_ms - kept_ms(node);
}

gboolean wb_edge_node_stream_rows_known(const wb_edge_node_t *node, int64_t now_ms) {
    return node->stream_rows->state == WB_STREAM_ROWS_READ || !must_read(node, now_ms);
}

static void rows_forget(wb_stream_rows_t *rows) {
    if (rows->state == WB_STREAM_ROWS_UNREAD)
        return;
    rows->state = WB_STREAM_ROWS_UNREAD;
    rows->generation++;
    wb_stream_batches_reset(rows->batches);
}

static void clock_note(wb_stream_rows_t *rows, const wb_table_answer_t *answer) {
    if (answer->now_ms <= 0)
        return;
    rows->clock_ms = answer->now_ms;
    rows->clock_at_ms = wb_clock_ms();
}

/* Ends a call. Returns the node if the call still counts, else NULL. */
static wb_edge_node_t *call_end(const wb_stream_rows_call_t *call,
                                const wb_table_answer_t *answer) {
    wb_edge_node_t *node = call->node;
    if (answer->outcome == WB_TABLE_NOT_DONE || answer->outcome == WB_TABLE_UNKNOWN)
        wb_store_calls_note_failure(&node->edge.metrics.store_calls);
    if (call->generation != node->stream_rows->generation)
        return NULL;
    clock_note(node->stream_rows, answer);
    return node;
}

static wb_stream_rows_call_t *call_begin(wb_edge_node_t *node, wb_store_cause_t cause) {
    wb_stream_rows_call_t *call = g_new0(wb_stream_rows_call_t, 1);
    call->node = node;
    call->generation = node->stream_rows->generation;
    wb_store_calls_note(&node->edge.metrics.store_calls, WB_TABLE_STREAMS, cause);
    return call;
}

/* Reading. */

/* Adds the entries of a row that was written so long ago. */
static void entries_restore(wb_edge_node_t *node, const wb_wire_stored_starts *stored,
                            int64_t age_ms) {
    int64_t now_ms = wb_clock_ms();
    for (u_int i = 0; i < stored->entries.entries_len; i++) {
        const wb_wire_stored_start *entry = &stored->entries.entries_val[i];
        int64_t left_ms = MIN((int64_t)entry->left_ms, kept_ms(node)) - age_ms;
        if (left_ms <= 0 || entry->origin >= stored->origins.origins_len)
            continue;
        const wb_wire_stored_origin *origin = &stored->origins.origins_val[entry->origin];
        wb_request_digest_t key;
        memcpy(key.bytes, entry->key, WB_WIRE_DIGEST_BYTES);
        node->stream_rows->restored +=
            (unsigned)wb_stream_starts_restore(node->edge.stream_starts, &key, origin->service,
                                               origin->software_version, now_ms + left_ms);
    }
}

static void row_take(wb_edge_node_t *node, const wb_table_row_t *row, int64_t store_now_ms) {
    if (!g_str_has_prefix(row->key, SLOT_KEY_PREFIX) || row->value == NULL)
        return;
    wb_wire_stored_starts stored = {0};
    XDR stream;
    xdrmem_create(&stream, (char *)row->value, (u_int)row->length, XDR_DECODE);
    gboolean readable = xdr_wb_wire_stored_starts(&stream, &stored) != 0;
    xdr_destroy(&stream);
    if (!readable) {
        node->edge.metrics.rows_refused++;
        wb_event("stream-row-refused", ",\"key\":\"%s\"", row->key);
    }
    readable = readable && stored.format_version == STREAM_ROW_FORMAT;
    int64_t written_ms = readable ? (int64_t)MIN(stored.written_ms, (uint64_t)G_MAXINT64) : 0;
    unsigned slot = (unsigned)strtoul(row->key + strlen(SLOT_KEY_PREFIX), NULL, 10);
    wb_stream_batches_slot_read(node->stream_rows->batches, slot, row->version, written_ms);
    if (readable && written_ms > 0 && written_ms <= store_now_ms)
        entries_restore(node, &stored, store_now_ms - written_ms);
    xdr_free((xdrproc_t)xdr_wb_wire_stored_starts, &stored);
}

static void page_read(wb_edge_node_t *node, const char *from_key);

static void read_end(wb_edge_node_t *node) {
    wb_stream_rows_t *rows = node->stream_rows;
    rows->state = WB_STREAM_ROWS_READ;
    node->edge.metrics.stream_starts_restored += rows->restored;
    wb_event("stream-starts-restored", ",\"entries\":%u,\"ms\":%lld", rows->restored,
             (long long)(wb_clock_ms() - rows->read_began_ms));
    wb_exchanges_retry_waiting(&node->edge);
}

static void page_answered(const wb_table_answer_t *answer, void *context) {
    g_autofree wb_stream_rows_call_t *call = context;
    wb_edge_node_t *node = call_end(call, answer);
    if (node == NULL)
        return;
    wb_stream_rows_t *rows = node->stream_rows;
    if (answer->outcome != WB_TABLE_DONE) {
        rows_forget(rows);
        rows->retry_ms = wb_clock_ms() + READ_RETRY_MS;
        return;
    }
    for (guint i = 0; i < answer->rows->len; i++)
        row_take(node, g_ptr_array_index(answer->rows, i), answer->now_ms);
    if (answer->refused > 0)
        wb_edge_node_rows_refused(WB_TABLE_STREAMS, answer->refused, node);
    if (!answer->more || answer->last_key == NULL) {
        read_end(node);
        return;
    }
    g_autofree char *next_key = g_strconcat(answer->last_key, "\x01", NULL);
    page_read(node, next_key);
}

static void page_read(wb_edge_node_t *node, const char *from_key) {
    node->table->read(node->table, WB_TABLE_STREAMS, from_key, page_answered,
                      call_begin(node, WB_STORE_CAUSE_FULL_READ));
}

static void read_begin(wb_edge_node_t *node, int64_t now_ms) {
    wb_stream_rows_t *rows = node->stream_rows;
    rows->state = WB_STREAM_ROWS_READING;
    rows->era = node->table->era;
    rows->token = wb_lease_token(node->lease);
    rows->read_began_ms = now_ms;
    rows->restored = 0;
    page_read(node, "");
}

/* Writing. */

/* Returns the index of the entry's origin, which is added if it isn't there; -1: there is no room.
 * Texts are borrowed. */
static int origin_index(GArray *origins, const wb_stream_start_t *start) {
    for (guint i = 0; i < origins->len; i++) {
        const wb_wire_stored_origin *origin = &g_array_index(origins, wb_wire_stored_origin, i);
        if (strcmp(origin->service, start->service) == 0 &&
            strcmp(origin->software_version, start->software_version) == 0)
            return (int)i;
    }
    if (origins->len == WB_WIRE_STORED_ORIGINS_MAX)
        return -1;
    wb_wire_stored_origin origin = {start->service, start->software_version};
    g_array_append_val(origins, origin);
    return (int)origins->len - 1;
}

/* Adds the entries of a batch. With more origins than a row takes, the batch is shortened. */
static void entries_add(const wb_edge_node_t *node, wb_stream_batch_t *batch, GArray *origins,
                        GArray *entries) {
    int64_t now_ms = wb_clock_ms();
    WB_LIST_EACH(item, wb_stream_starts_all(node->edge.stream_starts)) {
        const wb_stream_start_t *start = WB_LIST_OF(item, wb_stream_start_t, item);
        if (start->number <= batch->after || start->is_restored)
            continue;
        if (start->number > batch->up_to)
            return;
        int origin = origin_index(origins, start);
        if (origin < 0) {
            batch->up_to = start->number - 1;
            return;
        }
        wb_wire_stored_start entry = {.origin = (u_int)origin,
                                      .left_ms =
                                          (u_int)CLAMP(start->until_ms - now_ms, 0, kept_ms(node))};
        memcpy(entry.key, start->key.bytes, WB_WIRE_DIGEST_BYTES);
        g_array_append_val(entries, entry);
    }
}

/* Writes a batch as a row. Returns its length. */
static u_int row_encode(wb_edge_node_t *node, wb_stream_rows_call_t *call, char *bytes) {
    const wb_stream_rows_t *rows = node->stream_rows;
    g_autoptr(GArray) origins = g_array_new(FALSE, FALSE, sizeof(wb_wire_stored_origin));
    g_autoptr(GArray) entries = g_array_new(FALSE, FALSE, sizeof(wb_wire_stored_start));
    entries_add(node, &call->batch, origins, entries);
    call->entries = entries->len;
    wb_wire_stored_starts stored = {
        .format_version = STREAM_ROW_FORMAT,
        .written_ms = (uint64_t)(rows->clock_ms + wb_clock_ms() - rows->clock_at_ms),
        .origins = {origins->len, (wb_wire_stored_origin *)(void *)origins->data},
        .entries = {entries->len, (wb_wire_stored_start *)(void *)entries->data}};
    XDR stream;
    xdrmem_create(&stream, bytes, STREAM_ROW_BYTES, XDR_ENCODE);
    gboolean encoded = xdr_wb_wire_stored_starts(&stream, &stored) != 0;
    g_assert(encoded); /* a full batch fits */
    u_int length = xdr_getpos(&stream);
    xdr_destroy(&stream);
    return length;
}

/* Counts the entries of a batch that the store has taken late. */
static unsigned late_count(const wb_edge_node_t *node, const wb_stream_batch_t *batch) {
    int64_t latest_ms = wb_clock_ms() - WRITE_LATE_MS + kept_ms(node);
    unsigned count = 0;
    WB_LIST_EACH(item, wb_stream_starts_all(node->edge.stream_starts)) {
        const wb_stream_start_t *start = WB_LIST_OF(item, wb_stream_start_t, item);
        if (start->number > batch->up_to)
            break;
        count += start->number > batch->after && !start->is_restored && start->until_ms < latest_ms;
    }
    return count;
}

static void batch_answered(const wb_table_answer_t *answer, void *context) {
    g_autofree wb_stream_rows_call_t *call = context;
    wb_edge_node_t *node = call_end(call, answer);
    if (node == NULL)
        return;
    wb_edge_metrics_t *metrics = &node->edge.metrics;
    wb_stream_batches_t *batches = node->stream_rows->batches;
    switch (answer->outcome) {
    case WB_TABLE_DONE:
        metrics->stream_starts_stored += call->entries;
        metrics->stream_starts_stored_late += late_count(node, &call->batch);
        wb_stream_batches_done(batches, &call->batch, WB_STREAM_WRITTEN, answer->version);
        return;
    case WB_TABLE_CONFLICT: {
        const wb_table_row_t *row =
            answer->rows->len > 0 ? g_ptr_array_index(answer->rows, 0) : NULL;
        wb_stream_batches_done(batches, &call->batch, WB_STREAM_CONFLICT,
                               row != NULL ? row->version : 0);
        return;
    }
    default:
        wb_stream_batches_done(batches, &call->batch, WB_STREAM_NOT_WRITTEN, 0);
    }
}

static void batch_write(wb_edge_node_t *node, const wb_stream_batch_t *batch) {
    g_autofree char *bytes = g_malloc(STREAM_ROW_BYTES);
    g_autofree char *key = g_strdup_printf(SLOT_KEY_PREFIX "%03u", batch->slot);
    wb_stream_rows_call_t *call = call_begin(node, WB_STORE_CAUSE_WRITE);
    call->batch = *batch;
    node->edge.metrics.stream_starts_not_stored += batch->dropped;
    u_int length = row_encode(node, call, bytes);
    node->table->write(node->table, WB_TABLE_STREAMS, key, batch->expected_version,
                       (const guchar *)bytes, length, batch_answered, call);
}

static void write_tick(wb_edge_node_t *node, int64_t now_ms) {
    wb_stream_rows_t *rows = node->stream_rows;
    if (!wb_lease_is_held(node->lease, now_ms) || rows->clock_ms == 0 ||
        !must_write(node, now_ms)) {
        wb_stream_batches_pause(rows->batches);
        return;
    }
    wb_stream_batches_begin(rows->batches, node->edge.stream_starts);
    wb_stream_batch_t batch;
    if (wb_stream_batches_next(rows->batches, node->edge.stream_starts, now_ms, &batch))
        batch_write(node, &batch);
}

void wb_edge_node_tick_stream_rows(wb_edge_node_t *node, int64_t now_ms) {
    wb_stream_rows_t *rows = node->stream_rows;
    gboolean is_outdated =
        rows->era != node->table->era ||
        (wb_lease_is_held(node->lease, now_ms) && rows->token != wb_lease_token(node->lease));
    if (!wb_edge_node_is_aggregator(node) || is_outdated)
        rows_forget(rows);
    if (!wb_edge_node_is_aggregator(node))
        return;
    if (rows->state == WB_STREAM_ROWS_UNREAD && now_ms >= rows->retry_ms && must_read(node, now_ms))
        read_begin(node, now_ms);
    if (rows->state == WB_STREAM_ROWS_READ)
        write_tick(node, now_ms);
}
