/* Merges what nodes tell of each other, and ranks members for a key. */
#include "wickbridge/member.h"

#include <string.h>
#include <xxhash.h>

struct wb_member_table_t {
    GHashTable *by_node;
    uint64_t digest; /* XOR over the members that are up */
};

typedef struct wb_member_rank_t {
    const wb_member_t *member;
    uint64_t hash;
    gboolean first_of_zone;
} wb_member_rank_t;

static void member_free(gpointer data) {
    wb_member_t *member = data;
    g_free(member->node);
    g_free(member->address);
    g_free(member->client_address);
    g_free(member->zone);
    g_free(member);
}

wb_member_table_t *wb_member_table_create(void) {
    wb_member_table_t *table = g_new0(wb_member_table_t, 1);
    table->by_node = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
    return table;
}

void wb_member_table_free(wb_member_table_t *table) {
    g_hash_table_unref(table->by_node);
    g_free(table);
}

static gboolean member_is_up(const wb_member_t *member) {
    return member->state == WB_MEMBER_ALIVE || member->state == WB_MEMBER_SUSPECT;
}

/* What a member adds to the table's digest. */
static uint64_t member_hash(const wb_member_t *member) {
    if (!member_is_up(member))
        return 0;
    uint64_t state = member->incarnation * 4 + (uint64_t)member->state;
    return XXH64(member->node, strlen(member->node), state);
}

static gboolean update_is_newer(const wb_member_t *known, const wb_member_t *update) {
    if (known->state == WB_MEMBER_GONE)
        return FALSE;
    if (update->state == WB_MEMBER_GONE)
        return TRUE;
    if (update->incarnation != known->incarnation)
        return update->incarnation > known->incarnation;
    return update->state > known->state;
}

gboolean wb_member_table_merge(wb_member_table_t *table, const wb_member_t *update,
                               int64_t now_ms) {
    wb_member_t *known = g_hash_table_lookup(table->by_node, update->node);
    if (known == NULL) {
        if (!member_is_up(update))
            return FALSE; /* forgotten here already, or never known */
        known = g_new0(wb_member_t, 1);
        known->node = g_strdup(update->node);
        known->address = g_strdup(update->address);
        known->client_address = g_strdup(update->client_address);
        known->zone = g_strdup(update->zone);
        g_hash_table_insert(table->by_node, known->node, known);
    } else {
        if (!update_is_newer(known, update))
            return FALSE;
        table->digest ^= member_hash(known);
    }
    known->incarnation = MAX(known->incarnation, update->incarnation);
    known->state = update->state;
    known->changed_ms = now_ms;
    table->digest ^= member_hash(known);
    return TRUE;
}

const wb_member_t *wb_member_table_find(const wb_member_table_t *table, const char *node) {
    return g_hash_table_lookup(table->by_node, node);
}

gboolean wb_member_table_is_up(const wb_member_table_t *table, const char *node) {
    const wb_member_t *member = wb_member_table_find(table, node);
    return member != NULL && member_is_up(member);
}

static gint member_compare(gconstpointer left, gconstpointer right) {
    const wb_member_t *a = *(const wb_member_t *const *)left;
    const wb_member_t *b = *(const wb_member_t *const *)right;
    return strcmp(a->node, b->node);
}

GPtrArray *wb_member_table_list(const wb_member_table_t *table) {
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, table->by_node);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        g_ptr_array_add(list, value);
    g_ptr_array_sort(list, member_compare);
    return list;
}

uint64_t wb_member_table_digest(const wb_member_table_t *table) {
    return table->digest;
}

void wb_member_table_sweep(wb_member_table_t *table, int64_t now_ms, int64_t keep_ms) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, table->by_node);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_member_t *member = value;
        if (!member_is_up(member) && now_ms - member->changed_ms > keep_ms)
            g_hash_table_iter_remove(&iterator);
    }
}

static gint rank_compare(gconstpointer left, gconstpointer right) {
    const wb_member_rank_t *a = left;
    const wb_member_rank_t *b = right;
    if (a->first_of_zone != b->first_of_zone)
        return a->first_of_zone ? -1 : 1;
    if (a->hash != b->hash)
        return a->hash > b->hash ? -1 : 1;
    return strcmp(a->member->node, b->member->node);
}

/* Members that are up with their hash for a key, best first. */
static GArray *ranks_create(const wb_member_table_t *table, const char *key) {
    GArray *ranks = g_array_new(FALSE, TRUE, sizeof(wb_member_rank_t));
    uint64_t seed = XXH64(key, strlen(key), 0);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, table->by_node);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_member_t *member = value;
        if (!member_is_up(member))
            continue;
        wb_member_rank_t rank = {member, XXH64(member->node, strlen(member->node), seed), FALSE};
        g_array_append_val(ranks, rank);
    }
    g_array_sort(ranks, rank_compare);
    return ranks;
}

GPtrArray *wb_member_table_rank(const wb_member_table_t *table, const char *key,
                                gboolean spread_zones) {
    GArray *ranks = ranks_create(table, key);
    if (spread_zones) {
        g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
        for (guint i = 0; i < ranks->len; i++) {
            wb_member_rank_t *rank = &g_array_index(ranks, wb_member_rank_t, i);
            rank->first_of_zone = g_hash_table_add(zones, rank->member->zone);
        }
        g_array_sort(ranks, rank_compare);
    }
    GPtrArray *members = g_ptr_array_new();
    for (guint i = 0; i < ranks->len; i++)
        g_ptr_array_add(members, (gpointer)g_array_index(ranks, wb_member_rank_t, i).member);
    g_array_unref(ranks);
    return members;
}

static void neighbour_add(GPtrArray *neighbours, const GPtrArray *ring, guint index,
                          const char *self) {
    const wb_member_t *member = ring->pdata[index % ring->len];
    if (strcmp(member->node, self) == 0 ||
        g_ptr_array_find_with_equal_func(neighbours, member->node, g_str_equal, NULL))
        return;
    g_ptr_array_add(neighbours, g_strdup(member->node));
}

GPtrArray *wb_member_table_neighbours(const wb_member_table_t *table, const char *self) {
    GPtrArray *neighbours = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) ring = wb_member_table_rank(table, "overlay ring", FALSE);
    guint place = 0;
    while (place < ring->len && strcmp(((wb_member_t *)ring->pdata[place])->node, self) != 0)
        place++;
    if (place == ring->len)
        return neighbours;
    neighbour_add(neighbours, ring, place + 1, self);
    neighbour_add(neighbours, ring, place + 2, self);
    neighbour_add(neighbours, ring, place + ring->len / 2, self);
    neighbour_add(neighbours, ring, (guint)XXH64(self, strlen(self), 1) % ring->len, self);
    return neighbours;
}

void wb_member_machine_id(const char *node, char *id, size_t size) {
    g_strlcpy(id, node, size);
    char *mark = strchr(id, '~');
    if (mark != NULL)
        *mark = '\0';
}

const char *wb_member_state_name(wb_member_state_t state) {
    static const char *const names[] = {"alive", "suspect", "dead", "gone"};
    return names[state];
}
