/* Compares catalogs by the services that each path prefix leads to. */
#include "catalog/route_moves.h"

#include <string.h>
#include <xxhash.h>

/* Bounds the hashes computed for a path; a longer prefix that moves counts as all. */
#define PREFIX_MAX_BYTES 512

struct wb_route_moves_t {
    GHashTable *hashes; /* set of gint64 */
    gboolean all;
    int64_t horizon_ms;
    int64_t changed_ms;
};

wb_route_moves_t *wb_route_moves_create(int64_t horizon_ms) {
    wb_route_moves_t *moves = g_new0(wb_route_moves_t, 1);
    moves->hashes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    moves->horizon_ms = horizon_ms;
    return moves;
}

void wb_route_moves_free(wb_route_moves_t *moves) {
    g_hash_table_unref(moves->hashes);
    g_free(moves);
}

static gboolean is_over(const wb_route_moves_t *moves, int64_t now_ms) {
    return now_ms - moves->changed_ms > moves->horizon_ms;
}

static void expire(wb_route_moves_t *moves, int64_t now_ms) {
    if (!is_over(moves, now_ms))
        return;
    g_hash_table_remove_all(moves->hashes);
    moves->all = FALSE;
}

void wb_route_moves_add_all(wb_route_moves_t *moves, int64_t now_ms) {
    g_hash_table_remove_all(moves->hashes);
    moves->all = TRUE;
    moves->changed_ms = MAX(moves->changed_ms, now_ms);
}

void wb_route_moves_add(wb_route_moves_t *moves, uint64_t hash, int64_t now_ms) {
    expire(moves, now_ms);
    if (moves->all || g_hash_table_size(moves->hashes) >= WB_ROUTE_MOVES_MAX) {
        wb_route_moves_add_all(moves, now_ms);
        return;
    }
    g_hash_table_add(moves->hashes, g_memdup2(&hash, sizeof(hash)));
    moves->changed_ms = MAX(moves->changed_ms, now_ms);
}

gboolean wb_route_moves_has_all(const wb_route_moves_t *moves, int64_t now_ms) {
    return moves->all && !is_over(moves, now_ms);
}

GArray *wb_route_moves_hashes(const wb_route_moves_t *moves, int64_t now_ms) {
    GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer hash;
    g_hash_table_iter_init(&iter, moves->hashes);
    while (!is_over(moves, now_ms) && g_hash_table_iter_next(&iter, &hash, NULL))
        g_array_append_val(hashes, *(const uint64_t *)hash);
    return hashes;
}

int64_t wb_route_moves_changed_ms(const wb_route_moves_t *moves) {
    return moves->changed_ms;
}

/* Returns the host in lower case and without its port, followed by a line break, which neither a
 * host nor a path contains. */
static GString *place_begin(const char *host) {
    GString *place = g_string_new_len(host, (gssize)strcspn(host, ":"));
    g_string_ascii_down(place);
    return g_string_append_c(place, '\n');
}

static uint64_t prefix_hash(const char *host, const char *prefix) {
    g_autoptr(GString) place = place_begin(host);
    g_string_append(place, prefix);
    return XXH64(place->str, place->len, 0);
}

gboolean wb_route_moves_include(const wb_route_moves_t *moves, const char *host, const char *path,
                                int64_t now_ms) {
    if (is_over(moves, now_ms))
        return FALSE;
    if (moves->all || g_hash_table_size(moves->hashes) == 0)
        return moves->all;
    g_autoptr(GString) place = place_begin(host);
    size_t length = MIN(strcspn(path, "?#"), PREFIX_MAX_BYTES);
    for (size_t i = 0; i <= length; i++) {
        uint64_t hash = XXH64(place->str, place->len, 0);
        if (g_hash_table_contains(moves->hashes, &hash))
            return TRUE;
        g_string_append_c(place, path[i]);
    }
    return FALSE;
}

static gboolean is_stream(const wb_route_t *route) {
    return route != NULL && route->kind == WB_ROUTE_STREAM;
}

static gboolean may_be_taken_up(const wb_route_t *route) {
    return is_stream(route) && route->resumable;
}

/* Whether all services that streams of one route may begin at are among the other's. */
static gboolean leads_within(const wb_route_t *route, const wb_route_t *other) {
    for (guint i = 0; i < route->parts->len; i++) {
        const wb_route_target_t *target = &g_array_index(route->parts, wb_route_target_t, i);
        if (target->weight > 0 && !wb_route_leads_to(other, target->service))
            return FALSE;
    }
    return TRUE;
}

/* Whether it can't be told from the later route where streams of the earlier one began. Where they
 * couldn't be taken up, it wasn't stored first either. @param after NULL: the path leads nowhere */
static gboolean has_moved(const wb_route_t *before, const wb_route_t *after) {
    if (!may_be_taken_up(before))
        return is_stream(before) && may_be_taken_up(after);
    return !may_be_taken_up(after) || !leads_within(before, after) || !leads_within(after, before);
}

typedef struct wb_comparison_t {
    wb_route_moves_t *moves;
    const wb_catalog_t *before;
    wb_catalog_t *after;
    int64_t now_ms;
    unsigned moved;
} wb_comparison_t;

/* Requests whose longest matching prefix, of both catalogs' ones, is this one. */
static void prefix_compare(wb_comparison_t *comparison, const wb_route_t *prefix) {
    wb_route_t *before = wb_catalog_route(comparison->before, prefix->host, prefix->path_prefix);
    wb_route_t *after = wb_catalog_route(comparison->after, prefix->host, prefix->path_prefix);
    gboolean is_unstored = before != NULL && before->moved && !comparison->before->moves_stored;
    if (after != NULL)
        after->moved |= is_unstored;
    if (!has_moved(before, after))
        return;
    if (after != NULL)
        after->moved = TRUE;
    comparison->moved++;
    if (strlen(prefix->path_prefix) > PREFIX_MAX_BYTES)
        wb_route_moves_add_all(comparison->moves, comparison->now_ms);
    else
        wb_route_moves_add(comparison->moves, prefix_hash(prefix->host, prefix->path_prefix),
                           comparison->now_ms);
}

static char *route_key(const wb_route_t *route) {
    return g_strconcat(route->host, "\n", route->path_prefix, NULL);
}

/* Returns the routes by host and prefix. */
static GHashTable *routes_index(const wb_catalog_t *catalog) {
    GHashTable *index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter iter;
    gpointer routes;
    g_hash_table_iter_init(&iter, catalog->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &routes)) {
        for (guint i = 0; i < ((const GPtrArray *)routes)->len; i++) {
            wb_route_t *route = g_ptr_array_index((GPtrArray *)routes, i);
            g_hash_table_insert(index, route_key(route), route);
        }
    }
    return index;
}

/* Compares the prefixes of one catalog, leaving out those that the other has with the same
 * services: each path search takes time that grows with the number of routes. */
static void prefixes_compare(wb_comparison_t *comparison, GHashTable *routes, GHashTable *others,
                             gboolean skip_common) {
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_route_t *route = value;
        const wb_route_t *other = g_hash_table_lookup(others, key);
        gboolean is_same = other != NULL && !route->moved && !other->moved &&
                           may_be_taken_up(route) == may_be_taken_up(other) &&
                           leads_within(route, other) && leads_within(other, route);
        if (!is_same && !(other != NULL && skip_common))
            prefix_compare(comparison, route);
    }
}

unsigned wb_route_moves_compare(wb_route_moves_t *moves, const wb_catalog_t *before,
                                wb_catalog_t *after, int64_t now_ms) {
    if (before == NULL)
        return 0;
    wb_comparison_t comparison = {moves, before, after, now_ms, 0};
    g_autoptr(GHashTable) earlier = routes_index(before);
    g_autoptr(GHashTable) later = routes_index(after);
    prefixes_compare(&comparison, later, earlier, FALSE);
    prefixes_compare(&comparison, earlier, later, TRUE);
    return comparison.moved;
}
