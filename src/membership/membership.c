/* Failure detection by heartbeats of overlay neighbours, and propagation of changes by gossip. */
#include "wickbridge/membership.h"

#include "wickbridge/log.h"

#include <string.h>
#include <xxhash.h>

#define GOSSIP_FLUSH_MS 30
#define RECENT_MS 10000 /* changes younger than this may not have reached all nodes */
#define FORGET_AFTER_MS (10 * 60 * 1000)
#define IDLE_LINK_MS (5 * 1000)
#define MIN_OVERLAY_LINKS 2 /* with fewer links, neighbours are connected at once */
#define RECONNECT_TICKS 10  /* heartbeats between attempts to reach dead members and seeds */
#define MISMATCH_TICKS 4    /* heartbeats with another digest before tables are exchanged */

/* The latest known owner of a cell. */
typedef struct cell_owner_t {
    char *cell;
    char *node;
    uint64_t epoch;
    int64_t changed_ms; /* when this node learned of it */
} cell_owner_t;

struct wb_membership_t {
    wb_loop_t *loop;
    wb_peers_t *peers;
    wb_membership_events_t events;
    wb_member_table_t *table;
    GHashTable *owners;    /* cell -> cell_owner_t */
    uint64_t owner_digest; /* XOR of owner_hash over all owners */
    wb_member_t self;
    GPtrArray *seeds;
    GHashTable *changed_members; /* set of names to send at the next flush */
    GHashTable *changed_cells;   /* set of names to send at the next flush */
    GHashTable *mismatches;      /* neighbour -> consecutive heartbeats with another digest */
    int64_t interval_ms;
    int64_t suspect_after_ms;
    int64_t dead_after_ms;
    int64_t started_ms;
    uint64_t config_version;
    gboolean left;
    unsigned ticks;
    wb_timer_t *heartbeat_timer;
    wb_timer_t *flush_timer;
};

static void owner_free(gpointer data) {
    cell_owner_t *owner = data;
    g_free(owner->cell);
    g_free(owner->node);
    g_free(owner);
}

static uint64_t owner_hash(const cell_owner_t *owner) {
    return XXH64(owner->cell, strlen(owner->cell), owner->epoch);
}

/* Queues a changed member for gossip, logs it and calls on_member. */
static void member_changed(wb_membership_t *membership, const char *node) {
    g_hash_table_add(membership->changed_members, g_strdup(node));
    const wb_member_t *member = wb_member_table_find(membership->table, node);
    wb_log_info(WB_LOG_MEMBERSHIP, "Member %s is %s.", node, wb_member_state_name(member->state));
    membership->events.on_member(member, membership->events.context);
}

/* Refutes an update that says that this node is down, by a higher incarnation. */
static void self_refute(wb_membership_t *membership, const wb_member_t *update) {
    if (membership->left || update->state == WB_MEMBER_ALIVE ||
        update->incarnation < membership->self.incarnation)
        return;
    membership->self.incarnation = update->incarnation + 1;
    if (wb_member_table_merge(membership->table, &membership->self, wb_clock_ms()))
        g_hash_table_add(membership->changed_members, g_strdup(membership->self.node));
}

static void member_merge(wb_membership_t *membership, const wb_member_t *update) {
    if (strcmp(update->node, membership->self.node) == 0)
        self_refute(membership, update);
    else if (wb_member_table_merge(membership->table, update, wb_clock_ms()))
        member_changed(membership, update->node);
}

static void member_set_state(wb_membership_t *membership, const char *node,
                             wb_member_state_t state) {
    const wb_member_t *known = wb_member_table_find(membership->table, node);
    if (known == NULL)
        return;
    wb_member_t update = *known;
    update.state = state;
    g_autofree char *name = g_strdup(node);
    update.node = name;
    member_merge(membership, &update);
}

static void owner_merge(wb_membership_t *membership, const char *cell, const char *node,
                        uint64_t epoch) {
    cell_owner_t *known = g_hash_table_lookup(membership->owners, cell);
    if (known != NULL && known->epoch >= epoch)
        return;
    if (known == NULL) {
        known = g_new0(cell_owner_t, 1);
        known->cell = g_strdup(cell);
        g_hash_table_insert(membership->owners, known->cell, known);
    } else
        membership->owner_digest ^= owner_hash(known);
    g_free(known->node);
    known->node = g_strdup(node);
    known->epoch = epoch;
    known->changed_ms = wb_clock_ms();
    membership->owner_digest ^= owner_hash(known);
    g_hash_table_add(membership->changed_cells, g_strdup(cell));
    membership->events.on_owner(cell, node, epoch, membership->events.context);
}

static void member_to_wire(const wb_member_t *member, wb_wire_member *wire) {
    wire->node = member->node;
    wire->address = member->address;
    wire->client_address = member->client_address;
    wire->zone = member->zone;
    wire->incarnation = member->incarnation;
    wire->state = member->state;
}

/* Selects the members and owners that a gossip message carries. */
typedef struct gossip_filter_t {
    GHashTable *members; /* set of names; NULL: all */
    GHashTable *cells;   /* set of names; NULL: all */
    int64_t since_ms;    /* only changes that this node learned since */
} gossip_filter_t;

static gboolean filter_has(GHashTable *names, const char *name) {
    return names == NULL || g_hash_table_contains(names, name);
}

static void gossip_send(wb_membership_t *membership, const GPtrArray *targets,
                        const gossip_filter_t *filter) {
    g_autoptr(GPtrArray) list = wb_member_table_list(membership->table);
    g_autofree wb_wire_member *wire_members = g_new0(wb_wire_member, list->len + 1);
    guint cell_limit = g_hash_table_size(membership->owners);
    g_autofree wb_wire_ownership *wire_owners = g_new0(wb_wire_ownership, cell_limit + 1);
    wb_wire_message message = {.kind = WB_WIRE_GOSSIP};
    wb_wire_gossip *gossip = &message.wb_wire_message_u.gossip;
    gossip->members.members_val = wire_members;
    gossip->owners.owners_val = wire_owners;
    for (guint i = 0; i < list->len; i++) {
        const wb_member_t *member = list->pdata[i];
        if (member->changed_ms >= filter->since_ms && filter_has(filter->members, member->node))
            member_to_wire(member, &wire_members[gossip->members.members_len++]);
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, membership->owners);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_owner_t *owner = value;
        if (owner->changed_ms < filter->since_ms || !filter_has(filter->cells, owner->cell))
            continue;
        wb_wire_ownership *wire = &wire_owners[gossip->owners.owners_len++];
        wire->cell = owner->cell;
        wire->node = owner->node;
        wire->epoch = owner->epoch;
    }
    for (guint i = 0; i < targets->len; i++)
        wb_peers_send_if_connected(membership->peers, targets->pdata[i], &message);
}

static void gossip_send_since(wb_membership_t *membership, const char *node, int64_t since_ms) {
    g_autoptr(GPtrArray) targets = g_ptr_array_new();
    g_ptr_array_add(targets, (gpointer)node);
    gossip_filter_t filter = {NULL, NULL, since_ms};
    gossip_send(membership, targets, &filter);
}

static void gossip_send_all(wb_membership_t *membership, const char *node) {
    gossip_send_since(membership, node, INT64_MIN);
}

/* Sends a node its own entry, so that it can refute it. */
static void gossip_send_own_entry(wb_membership_t *membership, const char *node) {
    g_autoptr(GPtrArray) targets = g_ptr_array_new();
    g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GHashTable) no_cells = g_hash_table_new(g_str_hash, g_str_equal);
    g_ptr_array_add(targets, (gpointer)node);
    g_hash_table_add(names, (gpointer)node);
    gossip_filter_t filter = {names, no_cells, INT64_MIN};
    gossip_send(membership, targets, &filter);
}

static void overlay_maintain(wb_membership_t *membership);

static void gossip_flush(void *context) {
    wb_membership_t *membership = context;
    if (g_hash_table_size(membership->changed_members) == 0 &&
        g_hash_table_size(membership->changed_cells) == 0)
        return;
    g_autoptr(GPtrArray) targets = wb_peers_overlay_nodes(membership->peers);
    if (targets->len < MIN_OVERLAY_LINKS) {
        /* A joining node needs neighbours at once; otherwise the next heartbeat connects them. */
        overlay_maintain(membership);
        g_ptr_array_unref(targets);
        targets = wb_peers_overlay_nodes(membership->peers);
    }
    gossip_filter_t filter = {membership->changed_members, membership->changed_cells, INT64_MIN};
    gossip_send(membership, targets, &filter);
    g_hash_table_remove_all(membership->changed_members);
    g_hash_table_remove_all(membership->changed_cells);
}

static void gossip_apply(wb_membership_t *membership, const wb_wire_gossip *gossip) {
    for (u_int i = 0; i < gossip->members.members_len; i++) {
        const wb_wire_member *wire = &gossip->members.members_val[i];
        if (wire->state > WB_MEMBER_GONE)
            continue;
        wb_member_t update = {wire->node, wire->address,     wire->client_address,
                              wire->zone, wire->incarnation, (wb_member_state_t)wire->state,
                              0};
        member_merge(membership, &update);
    }
    for (u_int i = 0; i < gossip->owners.owners_len; i++) {
        const wb_wire_ownership *wire = &gossip->owners.owners_val[i];
        owner_merge(membership, wire->cell, wire->node, wire->epoch);
    }
}

/* Handles a neighbour's heartbeat. If its digests differ from this node's for several heartbeats,
 * sends it all members and owners. */
static void heartbeat_apply(wb_membership_t *membership, const char *node,
                            const wb_wire_heartbeat *heartbeat) {
    const wb_member_t *member = wb_member_table_find(membership->table, node);
    if (member == NULL)
        gossip_send_all(membership, node);
    else if (member->state != WB_MEMBER_ALIVE)
        gossip_send_own_entry(membership, node);
    gboolean same = heartbeat->member_digest == wb_member_table_digest(membership->table) &&
                    heartbeat->owner_digest == membership->owner_digest;
    guint count =
        same ? 0 : GPOINTER_TO_UINT(g_hash_table_lookup(membership->mismatches, node)) + 1;
    if (count >= MISMATCH_TICKS) {
        gossip_send_all(membership, node);
        count = 0;
    }
    g_hash_table_replace(membership->mismatches, g_strdup(node), GUINT_TO_POINTER(count));
    membership->events.on_config_version(node, heartbeat->config_version,
                                         membership->events.context);
}

gboolean wb_membership_handle_message(wb_membership_t *membership, const char *node,
                                      const wb_wire_message *message) {
    switch (message->kind) {
    case WB_WIRE_HEARTBEAT:
        heartbeat_apply(membership, node, &message->wb_wire_message_u.heartbeat);
        return TRUE;
    case WB_WIRE_GOSSIP:
        gossip_apply(membership, &message->wb_wire_message_u.gossip);
        return TRUE;
    case WB_WIRE_SYNC:
        gossip_send_all(membership, node);
        return TRUE;
    default:
        return FALSE;
    }
}

void wb_membership_on_link_up(wb_membership_t *membership, const char *node, gboolean overlay) {
    if (!wb_member_table_is_up(membership->table, node))
        gossip_send_all(membership, node);
    else if (overlay) /* older changes have reached all nodes, or the digests will differ */
        gossip_send_since(membership, node, wb_clock_ms() - RECENT_MS);
}

void wb_membership_on_link_down(wb_membership_t *membership, const char *node) {
    g_autoptr(GPtrArray) neighbours =
        wb_member_table_neighbours(membership->table, membership->self.node);
    if (!g_ptr_array_find_with_equal_func(neighbours, node, g_str_equal, NULL))
        return;
    member_set_state(membership, node, WB_MEMBER_SUSPECT);
}

void wb_membership_on_address_reused(wb_membership_t *membership, const char *node) {
    member_set_state(membership, node, WB_MEMBER_GONE);
}

void wb_membership_on_machine_removed(wb_membership_t *membership, const char *machine_id) {
    g_autoptr(GPtrArray) list = wb_member_table_list(membership->table);
    for (guint i = 0; i < list->len; i++) {
        const wb_member_t *member = list->pdata[i];
        char id[128];
        wb_member_machine_id(member->node, id, sizeof(id));
        if (strcmp(id, machine_id) == 0 && member->state != WB_MEMBER_GONE &&
            strcmp(member->node, membership->self.node) != 0)
            member_set_state(membership, member->node, WB_MEMBER_GONE);
    }
}

/* Marks neighbours as suspected after suspect_after_ms without a message, and closes their links
 * after twice that time. */
static void neighbours_check(wb_membership_t *membership, const GPtrArray *overlay) {
    int64_t now_ms = wb_clock_ms();
    for (guint i = 0; i < overlay->len; i++) {
        const char *node = overlay->pdata[i];
        int64_t unresponsive_ms = now_ms - wb_peers_last_received_ms(membership->peers, node);
        if (unresponsive_ms <= membership->suspect_after_ms)
            continue;
        member_set_state(membership, node, WB_MEMBER_SUSPECT);
        if (unresponsive_ms > 2 * membership->suspect_after_ms)
            wb_peers_disconnect(membership->peers, node, "unresponsive");
    }
}

/* Declares members dead that have been suspected for too long. */
static void suspects_check(wb_membership_t *membership) {
    int64_t now_ms = wb_clock_ms();
    g_autoptr(GPtrArray) list = wb_member_table_list(membership->table);
    for (guint i = 0; i < list->len; i++) {
        const wb_member_t *member = list->pdata[i];
        if (member->state == WB_MEMBER_SUSPECT &&
            now_ms - member->changed_ms > membership->dead_after_ms)
            member_set_state(membership, member->node, WB_MEMBER_DEAD);
    }
}

/* Connects to this node's overlay neighbours and releases former ones. */
static void overlay_maintain(wb_membership_t *membership) {
    g_autoptr(GPtrArray) overlay = wb_peers_overlay_nodes(membership->peers);
    g_autoptr(GPtrArray) neighbours =
        wb_member_table_neighbours(membership->table, membership->self.node);
    for (guint i = 0; i < neighbours->len; i++)
        wb_peers_connect(membership->peers, neighbours->pdata[i], TRUE);
    for (guint i = 0; i < overlay->len; i++)
        if (!g_ptr_array_find_with_equal_func(neighbours, overlay->pdata[i], g_str_equal, NULL))
            wb_peers_release_overlay(membership->peers, overlay->pdata[i]);
}

static gboolean address_is_up(const wb_membership_t *membership, const char *address) {
    g_autoptr(GPtrArray) list = wb_member_table_list(membership->table);
    for (guint i = 0; i < list->len; i++) {
        const wb_member_t *member = list->pdata[i];
        if (wb_member_table_is_up(membership->table, member->node) &&
            strcmp(member->address, address) == 0)
            return TRUE;
    }
    return FALSE;
}

/* Connects to seeds that are not the address of a member that is up, and to one of the dead members
 * in turn, which may only have been partitioned. */
static void unreachable_reconnect(wb_membership_t *membership) {
    for (guint i = 0; i < membership->seeds->len; i++)
        if (!address_is_up(membership, membership->seeds->pdata[i]))
            wb_peers_connect_address(membership->peers, membership->seeds->pdata[i]);
    g_autoptr(GPtrArray) list = wb_member_table_list(membership->table);
    g_autoptr(GPtrArray) dead = g_ptr_array_new();
    for (guint i = 0; i < list->len; i++)
        if (((wb_member_t *)list->pdata[i])->state == WB_MEMBER_DEAD)
            g_ptr_array_add(dead, list->pdata[i]);
    if (dead->len == 0)
        return;
    const wb_member_t *member = dead->pdata[(membership->ticks / RECONNECT_TICKS) % dead->len];
    if (!address_is_up(membership, member->address))
        wb_peers_connect_address(membership->peers, member->address);
}

static void heartbeats_send(wb_membership_t *membership, const GPtrArray *overlay) {
    wb_wire_message message = {.kind = WB_WIRE_HEARTBEAT};
    wb_wire_heartbeat *heartbeat = &message.wb_wire_message_u.heartbeat;
    heartbeat->config_version = membership->config_version;
    heartbeat->member_digest = wb_member_table_digest(membership->table);
    heartbeat->owner_digest = membership->owner_digest;
    for (guint i = 0; i < overlay->len; i++)
        wb_peers_send_if_connected(membership->peers, overlay->pdata[i], &message);
}

static void heartbeat_tick(void *context) {
    wb_membership_t *membership = context;
    g_autoptr(GPtrArray) overlay = wb_peers_overlay_nodes(membership->peers);
    neighbours_check(membership, overlay);
    suspects_check(membership);
    overlay_maintain(membership);
    heartbeats_send(membership, overlay);
    if (membership->ticks++ % RECONNECT_TICKS == 0)
        unreachable_reconnect(membership);
    wb_peers_close_idle(membership->peers, IDLE_LINK_MS);
    wb_member_table_sweep(membership->table, wb_clock_ms(), FORGET_AFTER_MS);
}

wb_membership_t *wb_membership_start(wb_loop_t *loop, wb_peers_t *peers,
                                     const wb_membership_options_t *options,
                                     const wb_membership_events_t *events) {
    wb_membership_t *membership = g_new0(wb_membership_t, 1);
    membership->loop = loop;
    membership->peers = peers;
    membership->events = *events;
    membership->table = wb_member_table_create();
    membership->owners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, owner_free);
    membership->changed_members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    membership->changed_cells = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    membership->mismatches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    membership->seeds = g_ptr_array_new_with_free_func(g_free);
    for (const char *const *seed = options->seeds; seed != NULL && *seed != NULL; seed++)
        if (strcmp(*seed, options->address) != 0)
            g_ptr_array_add(membership->seeds, g_strdup(*seed));
    membership->self.node = g_strdup(options->node);
    membership->self.address = g_strdup(options->address);
    membership->self.client_address = g_strdup(options->client_address);
    membership->self.zone = g_strdup(options->zone);
    membership->self.incarnation = 1;
    membership->interval_ms = options->heartbeat_interval_ms;
    membership->suspect_after_ms = options->suspect_after_ms;
    membership->dead_after_ms = options->dead_after_ms;
    membership->started_ms = wb_clock_ms();
    wb_member_table_merge(membership->table, &membership->self, membership->started_ms);
    membership->heartbeat_timer =
        wb_loop_every(loop, options->heartbeat_interval_ms, heartbeat_tick, membership);
    membership->flush_timer = wb_loop_every(loop, GOSSIP_FLUSH_MS, gossip_flush, membership);
    unreachable_reconnect(membership);
    return membership;
}

void wb_membership_stop(wb_membership_t *membership) {
    wb_timer_cancel(membership->heartbeat_timer);
    wb_timer_cancel(membership->flush_timer);
    wb_member_table_free(membership->table);
    g_hash_table_unref(membership->owners);
    g_hash_table_unref(membership->changed_members);
    g_hash_table_unref(membership->changed_cells);
    g_hash_table_unref(membership->mismatches);
    g_ptr_array_unref(membership->seeds);
    g_free(membership->self.node);
    g_free(membership->self.address);
    g_free(membership->self.client_address);
    g_free(membership->self.zone);
    g_free(membership);
}

const wb_member_table_t *wb_membership_table(const wb_membership_t *membership) {
    return membership->table;
}

const char *wb_membership_address(const wb_membership_t *membership, const char *node) {
    const wb_member_t *member = wb_member_table_find(membership->table, node);
    return member != NULL && member->state != WB_MEMBER_GONE ? member->address : NULL;
}

void wb_membership_announce_owner(wb_membership_t *membership, const char *cell, uint64_t epoch) {
    owner_merge(membership, cell, membership->self.node, epoch);
}

const char *wb_membership_owner(const wb_membership_t *membership, const char *cell,
                                uint64_t *epoch) {
    const cell_owner_t *owner = g_hash_table_lookup(membership->owners, cell);
    if (epoch != NULL)
        *epoch = owner != NULL ? owner->epoch : 0;
    return owner != NULL ? owner->node : NULL;
}

void wb_membership_set_config_version(wb_membership_t *membership, uint64_t version) {
    membership->config_version = version;
}

void wb_membership_leave(wb_membership_t *membership) {
    membership->left = TRUE;
    wb_member_t update = membership->self;
    update.state = WB_MEMBER_GONE;
    if (wb_member_table_merge(membership->table, &update, wb_clock_ms()))
        g_hash_table_add(membership->changed_members, g_strdup(membership->self.node));
    gossip_flush(membership);
}
