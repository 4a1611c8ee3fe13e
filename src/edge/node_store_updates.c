/* What the lease's holder reads in the store, told to all gateways so that they need not ask. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

#define NEWS_INTERVAL_MS 300
/* Rows that would take more than this over all links are left out: gateways look themselves. */
#define NEWS_LIMIT_BYTES (768 * 1024)
/* What the holder has read stands for an own call for this share of the time in which a change must
 * be known: longer than a lease takes to change hands (2.2 s of 4), and an own call still has a
 * second or more. */
#define TRUST_SHARE 0.6
/* What the holder tells must still be fresh at gateways: its own calls take this share of the time
 * for which theirs would be trusted. */
#define HOLDER_SHARE 0.33
/* Without news, engines are asked for so often in the time that a drain may take. */
#define DRAIN_LOOKS 3
/* Configurations are told by their version, and nodes come and go slowly: own looks at them are so
 * many times rarer than those at engines, whose models change all the time. */
#define SELDOM_TIMES 2
/* Who follows nodes looks at their rows some times in their life. The others look once in it: each
 * row is renewed three times meanwhile, and the holder tells of those that come and go. */
#define NODE_LOOK_SHARE 0.25
/* What was read whole is taken for fresh for this share of the time for which others' reading is:
 * by then, at a start, the holder's news have come. */
#define READ_SHARE 0.5
#define CATALOG_PAUSE_MS 20
/* When configurations come in quick succession, a gateway reads so many of them in the time within
 * which each must be in force; the first of them at once. */
#define CATALOG_LOOKS 8
#define ENGINES_WAIT_MS 1000
/* A store that doesn't answer is asked for one table; the others follow once that answers. */
#define RETRY_OFTEN_MS 1200
#define RETRY_RARELY_MS 2400
/* While the table that is asked often fails too, the others wait to be woken by it. */
#define RETRY_WOKEN_MS 10000
/* A call for changes is answered as soon as there is one, so a long one costs nothing but the time
 * until a silent store is noticed. */
#define NODES_WAIT_MS 3000
#define NODES_PAUSE_MS 1000
#define NODES_LOOK_MS 100
/* The lease's row comes with the news itself; nodes come and go slowly. */
#define NODES_TRUST_MS 3000

wb_table_watch_t *wb_edge_node_watch(const wb_edge_node_t *node, unsigned table) {
    switch (table) {
    case WB_TABLE_CATALOG:
        return node->catalog_watch;
    case WB_TABLE_ENGINES:
        return node->engines_watch;
    case WB_TABLE_NODES:
        return node->nodes_watch;
    default:
        return NULL;
    }
}

wb_table_watch_intervals_t wb_edge_node_pace(const wb_edge_node_t *node, wb_table_name_t table) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    int64_t safety_ms = (int64_t)(settings->store_look_s * 1000);
    int64_t seldom_ms = SELDOM_TIMES * safety_ms;
    int64_t node_life_ms = (int64_t)(settings->node_life_s * 1000);
    int64_t node_ms = (int64_t)(NODE_LOOK_SHARE * (double)node_life_ms);
    int64_t peer_read_valid_ms;
    int64_t hold_ms;
    int64_t pause_ms;
    int64_t retry_ms = node->store_lost[WB_TABLE_NODES] ? RETRY_WOKEN_MS : RETRY_RARELY_MS;
    switch (table) {
    case WB_TABLE_CATALOG:
        peer_read_valid_ms = (int64_t)(TRUST_SHARE * (double)settings->catalog_ms);
        hold_ms = node->held ? (int64_t)(HOLDER_SHARE * (double)peer_read_valid_ms) : settings->catalog_ms;
        pause_ms = node->held ? CATALOG_PAUSE_MS : settings->catalog_ms / CATALOG_LOOKS;
        return (wb_table_watch_intervals_t){.wait_ms = hold_ms,
                                 .pause_ms = pause_ms,
                                 .peer_read_valid_ms = peer_read_valid_ms,
                                 .look_ms = pause_ms,
                                 .safety_ms = seldom_ms,
                                 .retry_ms = retry_ms,
                                 .full_read_valid_ms = (int64_t)(READ_SHARE * (double)peer_read_valid_ms)};
    case WB_TABLE_ENGINES:
        peer_read_valid_ms = (int64_t)(TRUST_SHARE * (double)settings->drain_ms);
        hold_ms = node->held ? (int64_t)(HOLDER_SHARE * (double)peer_read_valid_ms) : ENGINES_WAIT_MS;
        pause_ms =
            node->held ? hold_ms : MAX(settings->engine_poll_ms, settings->drain_ms / DRAIN_LOOKS);
        return (wb_table_watch_intervals_t){.wait_ms = hold_ms,
                                 .pause_ms = pause_ms,
                                 .peer_read_valid_ms = peer_read_valid_ms,
                                 .look_ms = settings->drain_ms / DRAIN_LOOKS,
                                 .safety_ms = safety_ms,
                                 .retry_ms = retry_ms,
                                 .full_read_valid_ms = (int64_t)(READ_SHARE * (double)peer_read_valid_ms)};
    default:
        /* Who holds the lease shows in this table only, so it is followed at once. */
        return (wb_table_watch_intervals_t){.wait_ms = MIN(NODES_WAIT_MS, node_ms),
                                 .pause_ms = MIN(NODES_PAUSE_MS, node_ms),
                                 .peer_read_valid_ms = NODES_TRUST_MS,
                                 .look_ms = NODES_LOOK_MS,
                                 .safety_ms = MIN(seldom_ms, node_life_ms),
                                 .retry_ms = RETRY_OFTEN_MS};
    }
}

static void news_clear(wb_edge_node_t *node) {
    for (guint i = 0; i < node->news_rows->len; i++)
        xdr_free((xdrproc_t)xdr_wb_wire_table_row,
                 &g_array_index(node->news_rows, wb_wire_table_row, i));
    g_array_set_size(node->news_rows, 0);
    node->news_bytes = 0;
}

void wb_edge_node_wire_row_add(GArray *rows, unsigned table, const wb_table_row_t *row) {
    g_array_set_size(rows, rows->len + 1);
    wb_wire_table_row *wire = &g_array_index(rows, wb_wire_table_row, rows->len - 1);
    *wire = (wb_wire_table_row){.table = table,
                                .key = strdup(row->key),
                                .row_version = (uint64_t)row->version,
                                .removed = row->value == NULL};
    if (row->value == NULL)
        return;
    wire->value.value_val = malloc(MAX(row->length, 1));
    memcpy(wire->value.value_val, row->value, row->length);
    wire->value.value_len = (u_int)row->length;
}

void wb_edge_node_news_add(wb_edge_node_t *node, wb_table_name_t table, const wb_table_row_t *row) {
    if (!node->held || node->news_look)
        return;
    node->news_bytes += strlen(row->key) + row->length;
    if (node->news_bytes * g_hash_table_size(node->gateways) > NEWS_LIMIT_BYTES) {
        news_clear(node);
        node->news_look = TRUE;
        return;
    }
    wb_edge_node_wire_row_add(node->news_rows, table, row);
}

static unsigned age_of(const wb_table_watch_t *watch, int64_t now_ms) {
    int64_t known_ms = wb_table_watch_known_ms(watch);
    return known_ms == 0 ? G_MAXUINT : (unsigned)CLAMP(now_ms - known_ms, 0, G_MAXINT);
}

/* Engines' and nodes' rows change all the time in ways that gateways need not know at once, so
 * only the catalog's newest row is told. */
static void news_tell(wb_edge_node_t *node, int64_t now_ms) {
    const wb_lease_row_t *lease = wb_lease_known_row(node->lease);
    if (lease == NULL)
        return;
    wb_wire_table_view views[] = {
        {WB_TABLE_CATALOG, (uint64_t)wb_table_watch_newest_row(node->catalog_watch),
         age_of(node->catalog_watch, now_ms)},
        {WB_TABLE_ENGINES, wb_fleet_digest(node->edge.fleet, now_ms),
         age_of(node->engines_watch, now_ms)},
        {WB_TABLE_NODES, 0, age_of(node->nodes_watch, now_ms)},
        {WB_NEWS_NODE_IDS, wb_equal_share_digest(node->edge.share),
         age_of(node->nodes_watch, now_ms)}, /* the last: left out while it isn't due */
    };
    wb_wire_message message = {.kind = WB_WIRE_STORE_UPDATE};
    wb_wire_store_update *news = &message.wb_wire_message_u.store_update;
    news->views.views_len = G_N_ELEMENTS(views) - !wb_edge_node_share_digest_is_due(node, now_ms);
    news->views.views_val = views;
    wb_lease_row_t in_short = wb_edge_node_lease_in_short(lease);
    news->lease = wb_edge_node_lease_to_wire(&in_short);
    news->lease_version = (uint64_t)wb_lease_version(node->lease);
    wb_edge_node_zones_tell(node, node->news_rows);
    news->rows.rows_len = node->news_rows->len;
    news->rows.rows_val = (wb_wire_table_row *)(void *)node->news_rows->data;
    news->look = node->news_look;
    wb_edge_node_tell_gateways(node, &message);
    news_clear(node);
    node->news_look = FALSE;
    node->news_told_ms = now_ms;
}

void wb_edge_node_set_paces(wb_edge_node_t *node) {
    for (unsigned table = WB_TABLE_CATALOG; table <= WB_TABLE_NODES; table++) {
        wb_table_watch_intervals_t pace = wb_edge_node_pace(node, table);
        wb_table_watch_set_intervals(wb_edge_node_watch(node, table), &pace);
    }
}

void wb_edge_node_tick_news(wb_edge_node_t *node, int64_t now_ms) {
    if (!node->held) {
        news_clear(node);
        node->news_look = FALSE;
        return;
    }
    gboolean pending = node->news_rows->len > 0 || node->news_look;
    if (pending || now_ms - node->news_told_ms >= NEWS_INTERVAL_MS)
        news_tell(node, now_ms);
}

/* Whether nothing that the holder knows of engines can be missing here: this node has itself read
 * them after the link came up (what changed before then, the holder may have told others only), or
 * it knows the very same engines and models. */
static gboolean engines_are_complete(const wb_edge_node_t *node, uint64_t holder_digest) {
    return wb_table_watch_known_ms(node->engines_watch) > node->link_opened_ms ||
           wb_fleet_digest(node->edge.fleet, wb_clock_ms()) == holder_digest;
}

/* The holder's reading of a table stands for an own one. Of the catalog it tells the newest version
 * each time, and a node that is missed only counts later. */
static void view_take(wb_edge_node_t *node, const wb_wire_table_view *view, int64_t now_ms) {
    if (view->table == WB_NEWS_NODE_IDS) {
        wb_edge_node_share_hear(node, view, now_ms);
        return;
    }
    wb_table_watch_t *watch = wb_edge_node_watch(node, view->table);
    if (watch == NULL || !wb_table_watch_is_synced(watch))
        return;
    if (view->table == WB_TABLE_ENGINES && !wb_edge_node_reads_engines(node))
        return; /* the relay tells how old its rows are */
    int64_t known_ms = now_ms - (int64_t)view->age_ms;
    if (view->table != WB_TABLE_ENGINES)
        wb_table_watch_note_peer_read(watch, (int64_t)view->newest, known_ms);
    else if (engines_are_complete(node, view->newest))
        wb_table_watch_note_peer_read(watch, 0, known_ms);
}

static void row_take(wb_edge_node_t *node, const wb_wire_table_row *wire) {
    if (wire->table == WB_NEWS_ZONES) {
        wb_edge_node_zone_told(node, wire);
        return;
    }
    wb_table_watch_t *watch = wb_edge_node_watch(node, wire->table);
    wb_table_row_t row = {wire->key, wire->removed ? NULL : (guchar *)wire->value.value_val,
                          wire->value.value_len, (int64_t)wire->row_version};
    if (wire->table == WB_TABLE_ENGINES && !wb_edge_node_reads_engines(node) &&
        wb_fleet_find(node->edge.fleet, wire->key) == NULL)
        return; /* none that callers here need */
    if (watch != NULL)
        wb_table_watch_apply_row(watch, &row);
}

void wb_edge_node_take_announcement(wb_edge_node_t *node, const wb_wire_store_update *news) {
    wb_lease_row_t lease = wb_edge_node_lease_from_wire(&news->lease);
    wb_lease_on_row(node->lease, &lease, (int64_t)news->lease_version, wb_clock_ms());
}

void wb_edge_node_take_news(wb_edge_node_t *node, const wb_wire_store_update *news) {
    int64_t now_ms = wb_clock_ms();
    node->news_heard_ms = now_ms;
    wb_edge_node_take_announcement(node, news);
    for (guint i = 0; i < news->rows.rows_len; i++)
        row_take(node, &news->rows.rows_val[i]);
    if (news->look)
        wb_table_watch_poll_soon(node->engines_watch);
    for (guint i = 0; i < news->views.views_len; i++)
        view_take(node, &news->views.views_val[i], now_ms);
}

gboolean wb_edge_node_hears_news(const wb_edge_node_t *node) {
    return node->held ||
           (node->controller_link_open && wb_clock_ms() - node->news_heard_ms < WB_NEWS_LIFE_MS);
}

void wb_edge_node_hurry(wb_edge_node_t *node) {
    if (!wb_edge_node_hears_news(node)) {
        wb_table_watch_expedite(node->engines_watch);
    }
}
