/* Gets the configuration from another node when the store doesn't answer this one in time
 * (catalog_fetch.h), and answers nodes that ask.
 * A peer answers on the link on which it was asked: the newest row version that it knows of, how
 * long ago that was confirmed, and its configuration if the asking node's is older. One peer is
 * asked at a time; one that doesn't answer is followed by the next. Times are in ms. Failures are
 * logged; the next peer is asked on a later tick. */
#include "edge/edge_node_types.h"

#include "directory/rendezvous.h"
#include "edge/catalog_fetch.h"

#include <string.h>

/* Time for a peer to answer, and between two parts of its answer, which may be large. */
#define ANSWER_TIMEOUT_MS 400
/* Delay after a failure before the next peer is asked. */
#define NEXT_PEER_MS 50
/* The delay after an answer is doubled each time, up to this share of the time within which a
 * change must take effect: if the store answers nobody, asking more often is useless. */
#define DELAY_SHARE 0.2

struct wb_catalog_fetcher_t {
    wb_link_t *link; /* to the peer that is asked; NULL: none is */
    char *peer;
    unsigned format_version; /* that the peer reads */
    GHashTable *asked;       /* ids of peers asked in this round */
    int64_t asked_ms;
    int64_t progress_ms; /* when it was asked, or more of its answer was seen to have arrived */
    size_t received;     /* bytes of the answer by then */
    int64_t next_ms;
    int64_t delay_ms;
    gboolean answered;
    wb_table_row_t *row; /* the configuration as last read, for peers; NULL: none yet */
    wb_catalog_send_budget_t budget;
};

wb_catalog_fetcher_t *wb_edge_node_catalog_fetcher_create(void) {
    wb_catalog_fetcher_t *fetcher = g_new0(wb_catalog_fetcher_t, 1);
    fetcher->asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fetcher->delay_ms = NEXT_PEER_MS;
    return fetcher;
}

void wb_edge_node_catalog_keep(wb_edge_node_t *node, const wb_table_row_t *row) {
    wb_catalog_fetcher_t *fetcher = node->catalog_fetcher;
    g_clear_pointer(&fetcher->row, wb_table_row_free);
    fetcher->row = wb_table_row_create(row->key, g_memdup2(row->value, row->length), row->length,
                                       row->version);
}

/* Answering. */

void wb_edge_node_catalog_answer(wb_edge_node_t *node, wb_link_t *link,
                                 const wb_wire_catalog_fetch *fetch) {
    wb_catalog_fetcher_t *fetcher = node->catalog_fetcher;
    const wb_table_row_t *row = fetcher->row;
    int64_t now_ms = wb_clock_ms();
    int64_t have =
        wb_edge_node_version_from_wire(wb_edge_node_message_era(node, link), fetch->have);
    int64_t fresh_ms = wb_table_watch_fresh_ms(node->catalog_watch);
    g_autoptr(GArray) rows = g_array_new(FALSE, TRUE, sizeof(wb_wire_table_row));
    wb_wire_message message = {.kind = WB_WIRE_CATALOG_ANSWER};
    wb_wire_catalog_answer *answer = &message.wb_wire_message_u.catalog_answer;
    /* Another node's read may have confirmed a version that isn't here yet. */
    answer->newest =
        wb_edge_node_version_to_wire(node, wb_table_watch_newest_named(node->catalog_watch));
    answer->age_ms = fresh_ms == 0 || answer->newest == 0
                         ? G_MAXINT
                         : (unsigned)CLAMP(now_ms - fresh_ms, 0, G_MAXINT);
    if (row != NULL && row->version > have &&
        wb_catalog_send_budget_take(&fetcher->budget, row->length, now_ms)) {
        wb_edge_node_wire_row_add(node, rows, WB_TABLE_CATALOG, row);
        node->edge.metrics.catalog_rows_sent++;
    }
    answer->rows.rows_len = rows->len;
    answer->rows.rows_val = (wb_wire_table_row *)(void *)rows->data;
    wb_wire_extensions extensions = {0};
    wb_edge_node_era_add(node, &extensions);
    wb_link_send_with_extensions(link, &message, &extensions);
    wb_extensions_clear(&extensions);
    for (guint i = 0; i < rows->len; i++) {
        xdr_free((xdrproc_t)xdr_wb_wire_table_row,
                 (char *)&g_array_index(rows, wb_wire_table_row, i));
    }
}

/* Asking. */

static void peer_done(wb_edge_node_t *node, gboolean answered) {
    wb_catalog_fetcher_t *fetcher = node->catalog_fetcher;
    int64_t max_ms = (int64_t)(DELAY_SHARE * (double)node->edge.settings.catalog_ms);
    fetcher->link = NULL;
    fetcher->next_ms = wb_clock_ms() + (answered ? fetcher->delay_ms : NEXT_PEER_MS);
    if (answered) {
        fetcher->delay_ms = MIN(2 * fetcher->delay_ms, MAX(max_ms, NEXT_PEER_MS));
    }
}

static void link_open(wb_link_t *link, void *context) {
    wb_edge_node_t *node = context;
    wb_wire_message message = {.kind = WB_WIRE_CATALOG_FETCH};
    wb_edge_node_handshake_send(node, link);
    message.wb_wire_message_u.catalog_fetch.have =
        wb_edge_node_version_to_wire(node, wb_table_watch_newest_row(node->catalog_watch));
    wb_wire_extensions extensions = {0};
    wb_edge_node_era_add(node, &extensions);
    wb_link_set_format_version(link, node->catalog_fetcher->format_version);
    wb_link_send_with_extensions(link, &message, &extensions);
    wb_extensions_clear(&extensions);
}

/* The answer was made after the question was sent, which bounds the age of what it confirms. */
static void answer_take(wb_edge_node_t *node, const wb_wire_catalog_answer *answer, int64_t era) {
    wb_catalog_fetcher_t *fetcher = node->catalog_fetcher;
    if (era < node->store_era) {
        return; /* the peer hasn't noticed yet that the store went back */
    }
    for (guint i = 0; i < answer->rows.rows_len; i++) {
        const wb_wire_table_row *wire = &answer->rows.rows_val[i];
        wb_table_row_t row = {wire->key, (guchar *)wire->value.value_val, wire->value.value_len,
                              wb_edge_node_version_from_wire(era, wire->row_version)};
        if (wire->table != WB_TABLE_CATALOG || wire->removed ||
            strcmp(wire->key, node->edge.dialect->catalog_key) != 0) {
            continue;
        }
        wb_table_watch_apply_row(node->catalog_watch, &row);
        node->edge.metrics.catalog_rows_fetched++;
        wb_event("catalog-fetched",
                 ",\"from\":\"%s\",\"row_version\":%lld,\"age_ms\":%u,\"ms\":%lld", fetcher->peer,
                 (long long)wb_store_version_number(row.version), answer->age_ms,
                 (long long)(wb_clock_ms() - fetcher->asked_ms));
    }
    wb_table_watch_note_peer_read(node->catalog_watch,
                                  wb_edge_node_version_from_wire(era, answer->newest),
                                  fetcher->asked_ms - (int64_t)answer->age_ms);
}

static void link_message(wb_link_t *link, const wb_wire_message *message, void *context) {
    wb_edge_node_t *node = context;
    if (message->kind != WB_WIRE_CATALOG_ANSWER) {
        return;
    }
    node->catalog_fetcher->answered = TRUE;
    answer_take(node, &message->wb_wire_message_u.catalog_answer,
                wb_edge_node_message_era(node, link));
    wb_link_close_later(link, "answered");
}

static void link_close(wb_link_t *link, const char *reason, void *context) {
    (void)link;
    wb_edge_node_t *node = context;
    if (!node->catalog_fetcher->answered) {
        wb_event("catalog-fetch-failed", ",\"from\":\"%s\",\"reason\":\"%s\"",
                 node->catalog_fetcher->peer, reason);
    }
    peer_done(node, node->catalog_fetcher->answered);
}

/* Returns the ids of the nodes that could be asked; borrowed. */
static GPtrArray *peers_list(const wb_edge_node_t *node) {
    GPtrArray *peers = g_ptr_array_new();
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const wb_node_row_t *row = value;
        if (row->address != NULL && row->format_version >= 2) {
            g_ptr_array_add(peers, id);
        }
    }
    return peers;
}

static void peer_ask(wb_edge_node_t *node, int64_t now_ms) {
    wb_catalog_fetcher_t *fetcher = node->catalog_fetcher;
    g_autoptr(GPtrArray) peers = peers_list(node);
    const char *id = wb_rendezvous_choose(peers, node->edge.settings.id, fetcher->asked);
    if (id == NULL) {
        g_hash_table_remove_all(fetcher->asked);
        peer_done(node, FALSE);
        return;
    }
    const wb_node_row_t *row = g_hash_table_lookup(node->nodes, id);
    wb_link_events_t events = {link_open, link_message, link_close, node, NULL, NULL};
    wb_error_t error;
    g_free(fetcher->peer);
    fetcher->peer = g_strdup(id);
    fetcher->format_version = row->format_version;
    g_hash_table_add(fetcher->asked, g_strdup(id));
    fetcher->asked_ms = now_ms;
    fetcher->progress_ms = now_ms;
    fetcher->received = 0;
    fetcher->answered = FALSE;
    node->edge.metrics.catalog_fetches++;
    if (wb_link_connect(node->edge.loop, row->address, &events, &node->link_counters,
                        &fetcher->link, &error) != APR_SUCCESS) {
        wb_event("catalog-fetch-failed", ",\"from\":\"%s\",\"reason\":\"%s\"", id, error.message);
        peer_done(node, FALSE);
    }
}

static gboolean fetch_is_due(wb_edge_node_t *node, int64_t now_ms) {
    int64_t behind_since_ms = wb_table_watch_behind_since_ms(node->catalog_watch);
    wb_catalog_status_t status = {.age_ms = now_ms - wb_table_watch_fresh_ms(node->catalog_watch),
                                  .behind_ms = behind_since_ms != 0 ? now_ms - behind_since_ms : 0,
                                  .store_failing = node->store_unavailable[WB_TABLE_CATALOG],
                                  .bound_ms = node->edge.settings.catalog_ms};
    return wb_table_watch_is_synced(node->catalog_watch) && wb_catalog_fetch_is_due(&status);
}

/* Gives up a peer that doesn't answer, or doesn't go on. */
static void peer_check(wb_edge_node_t *node, int64_t now_ms) {
    wb_catalog_fetcher_t *fetcher = node->catalog_fetcher;
    size_t received = wb_link_incomplete(fetcher->link);
    if (received > fetcher->received) {
        fetcher->received = received;
        fetcher->progress_ms = now_ms;
    }
    if (now_ms - fetcher->progress_ms > ANSWER_TIMEOUT_MS) {
        wb_event("catalog-fetch-failed", ",\"from\":\"%s\",\"reason\":\"no answer\"",
                 fetcher->peer);
        wb_link_close(fetcher->link);
        peer_done(node, FALSE);
    }
}

void wb_edge_node_tick_catalog(wb_edge_node_t *node, int64_t now_ms) {
    wb_catalog_fetcher_t *fetcher = node->catalog_fetcher;
    if (fetcher->link != NULL) {
        peer_check(node, now_ms);
        return;
    }
    if (!fetch_is_due(node, now_ms)) {
        g_hash_table_remove_all(fetcher->asked);
        fetcher->delay_ms = NEXT_PEER_MS;
        return;
    }
    if (now_ms >= fetcher->next_ms) {
        peer_ask(node, now_ms);
    }
}
