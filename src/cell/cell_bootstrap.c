/* Bootstraps a cell's group, recovers it after a majority of its members was lost, and replaces
 * failed members.
 *
 * The row "cell/NAME" of the table service holds {"generation", "members", "era"}: the last decided
 * members. It is written before the change is proposed to the group, so the group's members are
 * those of the row or of the generation before it, which differs by one member. A write that
 * fails or loses against another node is dropped, and the next tick tries again; when its result is
 * unknown, the row is read back. Times are in milliseconds. */
#include "cell_host_types.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <string.h>

#define MEMBER_DOWN_MS 3000 /* a member that was down this long is replaced */
#define NO_VERSION (-1)     /* of the machine list: read it in full */
#define MAINTAIN_INTERVAL_MS 500
#define SURVIVOR_DELAY_DIVISOR 4 /* a surviving member's delay is divided by this */
#define POSITION_DELAY_MS 2000   /* per position of the node by rendezvous hashing */

/* A change of a cell's row: bootstrap, recovery or a member change. */
typedef struct row_change_t {
    wb_cell_host_t *host;
    char *cell;
    uint64_t generation;
    uint64_t era;
    GPtrArray *members;
    gboolean recovery;   /* a majority was lost */
    json_t *row_members; /* members of the row as read; NULL: no row */
    int64_t row_version;
} row_change_t;

static row_change_t *row_change_create(hosted_cell_t *hosted) {
    row_change_t *change = g_new0(row_change_t, 1);
    change->host = hosted->host;
    change->cell = g_strdup(hosted->name);
    change->members = g_ptr_array_new_with_free_func(g_free);
    hosted->row_call_pending = TRUE;
    return change;
}

static void row_change_free(row_change_t *change) {
    hosted_cell_t *hosted = cell_host_find(change->host, change->cell);
    if (hosted != NULL)
        hosted->row_call_pending = FALSE;
    json_decref(change->row_members);
    g_ptr_array_unref(change->members);
    g_free(change->cell);
    g_free(change);
}

static json_t *row_to_json(uint64_t generation, uint64_t era, const GPtrArray *members) {
    json_t *names = json_array();
    for (guint i = 0; i < members->len; i++)
        json_array_append_new(names, json_string(members->pdata[i]));
    return json_pack("{s:I, s:I, s:o}", "generation", (json_int_t)generation, "era",
                     (json_int_t)era, "members", names);
}

static char *row_key(const char *cell) {
    return g_strconcat(CELL_ROW_PREFIX, cell, NULL);
}

static void row_write(row_change_t *change, int64_t row_version, wb_platform_done_fn done) {
    g_autofree char *key = row_key(change->cell);
    json_t *checks = json_array();
    json_array_append_new(checks, wb_platform_make_check(key, row_version));
    json_t *writes = json_array();
    json_array_append_new(
        writes,
        wb_platform_make_write(key, row_to_json(change->generation, change->era, change->members)));
    wb_platform_transact(change->host->parts.platform, checks, writes, done, change);
}

/* Adds up to group_size members: this node, then alive nodes of other zones, then of its own zone,
 * each in the order of rendezvous hashing. */
static void members_choose(wb_cell_host_t *host, const char *cell, GPtrArray *members) {
    const wb_member_table_t *table = wb_membership_table(host->parts.membership);
    g_ptr_array_add(members, g_strdup(host->node));
    const wb_member_t *self = wb_member_table_find(table, host->node);
    g_autoptr(GPtrArray) ranked = wb_member_table_rank(table, cell, TRUE);
    for (int pass = 0; pass < 2; pass++) {
        for (guint i = 0; i < ranked->len; i++) {
            const wb_member_t *member = ranked->pdata[i];
            gboolean other_zone = strcmp(member->zone, self->zone) != 0;
            if (members->len >= (guint)host->options.group_size || (pass == 0 && !other_zone) ||
                member->state != WB_MEMBER_ALIVE ||
                g_ptr_array_find_with_equal_func(members, member->node, g_str_equal, NULL))
                continue;
            g_ptr_array_add(members, g_strdup(member->node));
        }
    }
}

static void group_bootstrap(row_change_t *change) {
    hosted_cell_t *hosted = cell_host_find(change->host, change->cell);
    if (hosted == NULL)
        return;
    int64_t now_ms = wb_clock_ms();
    uint64_t epoch = (change->era << WB_GROUP_ERA_SHIFT) | 1;
    wb_group_t *group = cell_host_group(hosted);
    wb_record_t *record = wb_record_create();
    wb_record_t *previous = wb_group_record(group);
    if (previous != NULL) {
        wb_wire_record wire;
        wb_record_to_wire(previous, &wire, now_ms);
        wb_record_free(record);
        record = wb_record_from_wire(&wire, now_ms);
        wb_record_wire_clear(&wire);
    }
    if (change->recovery) {
        record->slots_unverified = TRUE;
        record->claims_incomplete_until_ms = now_ms + change->host->options.claim_retention_ms;
    }
    wb_log_message(WB_LOG_CELL, "Cell %s: bootstrapped the group%s, epoch %" G_GUINT64_FORMAT ".",
                   hosted->name, change->recovery ? " again after losing a majority" : "",
                   (guint64)epoch);
    wb_group_bootstrap(group, record, change->members, change->generation, epoch, now_ms);
}

static void bootstrap_on_read_back(wb_platform_status_t status, const json_t *body, void *context) {
    row_change_t *change = context;
    json_t *expected = row_to_json(change->generation, change->era, change->members);
    if (status == WB_PLATFORM_DONE && json_equal(json_object_get(body, "value"), expected))
        group_bootstrap(change);
    json_decref(expected);
    row_change_free(change);
}

static void bootstrap_on_written(wb_platform_status_t status, const json_t *body, void *context) {
    (void)body;
    row_change_t *change = context;
    if (status == WB_PLATFORM_UNKNOWN) {
        g_autofree char *key = row_key(change->cell);
        wb_platform_read_row(change->host->parts.platform, key, bootstrap_on_read_back, change);
        return;
    }
    if (status == WB_PLATFORM_DONE)
        group_bootstrap(change);
    row_change_free(change);
}

/* Whether a later process of the node's machine is known, so that the node has certainly ended. */
static gboolean node_was_replaced(wb_cell_host_t *host, const char *node) {
    char id[128], other[128];
    wb_member_machine_id(node, id, sizeof(id));
    g_autoptr(GPtrArray) list = wb_member_table_list(wb_membership_table(host->parts.membership));
    for (guint i = 0; i < list->len; i++) {
        const wb_member_t *member = list->pdata[i];
        wb_member_machine_id(member->node, other, sizeof(other));
        if (strcmp(id, other) == 0 && strcmp(member->node, node) > 0)
            return TRUE;
    }
    return FALSE;
}

/* Whether the member has certainly ended. A member unknown to both gossip and the machine list may
 * be alive. */
static gboolean member_is_gone(wb_cell_host_t *host, const json_t *machines, const char *node) {
    const wb_member_t *member =
        wb_member_table_find(wb_membership_table(host->parts.membership), node);
    if ((member != NULL && member->state == WB_MEMBER_GONE) || node_was_replaced(host, node))
        return TRUE;
    char id[128];
    wb_member_machine_id(node, id, sizeof(id));
    size_t index;
    json_t *machine;
    json_array_foreach(machines, index, machine) {
        if (strcmp(wb_json_text(machine, "id", ""), id) == 0)
            return strcmp(wb_json_text(machine, "state", ""), "gone") == 0;
    }
    return FALSE;
}

/* Whether the cell may be recovered: all other members of its row are gone. One that is alive could
 * still act in the old era, as it hasn't promised the new one. A group whose only member is
 * this node needs no recovery. Sets `self_is_listed` if this node is a member of the row. */
static gboolean others_are_gone(row_change_t *change, const json_t *machines,
                                gboolean *self_is_listed) {
    size_t index;
    json_t *name;
    *self_is_listed = FALSE;
    json_array_foreach(change->row_members, index, name) {
        const char *node = json_string_value(name);
        if (strcmp(node, change->host->node) == 0)
            *self_is_listed = TRUE;
        else if (!member_is_gone(change->host, machines, node))
            return FALSE;
    }
    size_t size = json_array_size(change->row_members);
    return !*self_is_listed || size > 1;
}

static void bootstrap_begin(row_change_t *change, gboolean self_is_listed) {
    wb_cell_host_t *host = change->host;
    hosted_cell_t *hosted = cell_host_find(host, change->cell);
    /* A survivor promises the new era before it writes the row: from then on it rejects lower
     * epochs. */
    if (self_is_listed && hosted->group != NULL)
        wb_group_promise_epoch(hosted->group, change->era << WB_GROUP_ERA_SHIFT);
    members_choose(host, change->cell, change->members);
    row_write(change, change->row_version, bootstrap_on_written);
}

static void bootstrap_on_machines(wb_platform_status_t status, const json_t *body, void *context) {
    row_change_t *change = context;
    hosted_cell_t *hosted = cell_host_find(change->host, change->cell);
    const json_t *machines = status == WB_PLATFORM_DONE ? json_object_get(body, "machines") : NULL;
    gboolean self_is_listed;
    if (hosted != NULL && others_are_gone(change, machines, &self_is_listed))
        bootstrap_begin(change, self_is_listed);
    else
        row_change_free(change);
}

static void bootstrap_on_row(wb_platform_status_t status, const json_t *body, void *context) {
    row_change_t *change = context;
    wb_cell_host_t *host = change->host;
    hosted_cell_t *hosted = cell_host_find(host, change->cell);
    if (status != WB_PLATFORM_DONE || hosted == NULL) {
        row_change_free(change);
        return;
    }
    const json_t *row = json_object_get(body, "value");
    const json_t *members = json_object_get(row, "members");
    change->generation = (uint64_t)wb_json_integer(row, "generation", 0) + 1;
    change->era = (uint64_t)wb_json_integer(row, "era", 0) + 1;
    change->recovery = members != NULL;
    change->row_version = wb_json_integer(body, "version", 0);
    if (members == NULL) {
        bootstrap_begin(change, FALSE);
        return;
    }
    change->row_members = json_deep_copy(members);
    wb_platform_list_machines(host->parts.platform, NO_VERSION, bootstrap_on_machines, change);
}

/* This node's position by rendezvous hashing; 0 is first. */
static guint bootstrap_position(wb_cell_host_t *host, const char *cell) {
    g_autoptr(GPtrArray) ranked =
        wb_member_table_rank(wb_membership_table(host->parts.membership), cell, FALSE);
    for (guint i = 0; i < ranked->len; i++)
        if (strcmp(((const wb_member_t *)ranked->pdata[i])->node, host->node) == 0)
            return i;
    return ranked->len;
}

/* Whether this node is a surviving member, whose record may be the newest. */
static gboolean self_is_member(const hosted_cell_t *hosted) {
    const wb_record_t *record = hosted->group != NULL ? wb_group_record(hosted->group) : NULL;
    return record != NULL && wb_record_has_member(record, hosted->host->node);
}

void cell_bootstrap_tick(hosted_cell_t *hosted, int64_t now_ms) {
    wb_cell_host_t *host = hosted->host;
    const char *owner = wb_membership_owner(host->parts.membership, hosted->name, NULL);
    const wb_member_table_t *table = wb_membership_table(host->parts.membership);
    if (owner != NULL && wb_member_table_is_up(table, owner)) {
        hosted->ownerless_since_ms = 0;
        return;
    }
    if (hosted->ownerless_since_ms == 0)
        hosted->ownerless_since_ms = now_ms;
    /* The delay gives the group time for an election; a cell that never had an owner needs none.
     * Surviving members come first: they may hold the newest record. */
    int64_t delay_ms = owner != NULL ? host->options.orphan_after_ms : 0;
    if (self_is_member(hosted))
        delay_ms /= SURVIVOR_DELAY_DIVISOR;
    else
        delay_ms += POSITION_DELAY_MS * (int64_t)bootstrap_position(host, hosted->name);
    if (hosted->row_call_pending || host->handing_over ||
        now_ms - hosted->ownerless_since_ms < delay_ms)
        return;
    hosted->ownerless_since_ms = now_ms - delay_ms + POSITION_DELAY_MS; /* to retry after that */
    row_change_t *change = row_change_create(hosted);
    g_autofree char *key = row_key(hosted->name);
    wb_platform_read_row(host->parts.platform, key, bootstrap_on_row, change);
}

/* Proposes the members to the group, after they were written to the row. */
static void members_propose(row_change_t *change) {
    hosted_cell_t *hosted = cell_host_find(change->host, change->cell);
    if (hosted == NULL || hosted->group == NULL)
        return;
    wb_wire_command command = {.kind = WB_WIRE_COMMAND_MEMBERS};
    wb_wire_members *members = &command.wb_wire_command_u.members;
    members->generation = change->generation;
    members->names.names_len = change->members->len;
    members->names.names_val = (wb_wire_name *)change->members->pdata;
    uint64_t sequence = wb_group_propose(hosted->group, &command, wb_clock_ms());
    wb_log_message(WB_LOG_CELL, "Cell %s: proposing %u members%s.", hosted->name,
                   change->members->len,
                   sequence == 0 ? " failed: not the owner, or a command is uncommitted" : "");
}

static void members_on_read_back(wb_platform_status_t status, const json_t *body, void *context) {
    row_change_t *change = context;
    json_t *expected = row_to_json(change->generation, change->era, change->members);
    if (status == WB_PLATFORM_DONE && json_equal(json_object_get(body, "value"), expected))
        members_propose(change);
    json_decref(expected);
    row_change_free(change);
}

static void members_on_written(wb_platform_status_t status, const json_t *body, void *context) {
    (void)body;
    row_change_t *change = context;
    if (status == WB_PLATFORM_UNKNOWN) {
        g_autofree char *key = row_key(change->cell);
        wb_platform_read_row(change->host->parts.platform, key, members_on_read_back, change);
        return;
    }
    if (status == WB_PLATFORM_DONE)
        members_propose(change);
    row_change_free(change);
}

static void members_on_row(wb_platform_status_t status, const json_t *body, void *context) {
    row_change_t *change = context;
    hosted_cell_t *hosted = cell_host_find(change->host, change->cell);
    const json_t *row = json_object_get(body, "value");
    uint64_t era = (uint64_t)wb_json_integer(row, "era", 0);
    gboolean ours = hosted != NULL && hosted->cell != NULL && status == WB_PLATFORM_DONE &&
                    era == wb_group_epoch(hosted->group) >> WB_GROUP_ERA_SHIFT;
    if (!ours) {
        row_change_free(change);
        return;
    }
    change->era = era;
    change->generation = MAX((uint64_t)wb_json_integer(row, "generation", 0),
                             wb_group_record(hosted->group)->generation) +
                         1;
    row_write(change, wb_json_integer(body, "version", 0), members_on_written);
}

/* The member to replace: unknown, gone, or down for MEMBER_DOWN_MS; or NULL. */
static const char *member_to_remove(hosted_cell_t *hosted, const wb_record_t *record,
                                    int64_t now_ms) {
    const wb_member_table_t *table = wb_membership_table(hosted->host->parts.membership);
    for (guint i = 0; i < record->members->len; i++) {
        const char *node = record->members->pdata[i];
        const wb_member_t *member = wb_member_table_find(table, node);
        if (member == NULL || member->state == WB_MEMBER_GONE ||
            (member->state == WB_MEMBER_DEAD && now_ms - member->changed_ms > MEMBER_DOWN_MS))
            return node;
    }
    return NULL;
}

/* Sets `next` to the members after one change: a failed member removed, or else a member added to a
 * group that is too small. Returns FALSE when nothing is to be changed. */
static gboolean members_next(hosted_cell_t *hosted, GPtrArray *next, int64_t now_ms) {
    const wb_record_t *record = wb_group_record(hosted->group);
    const char *removed = member_to_remove(hosted, record, now_ms);
    for (guint i = 0; i < record->members->len; i++)
        if (removed == NULL || strcmp(record->members->pdata[i], removed) != 0)
            g_ptr_array_add(next, g_strdup(record->members->pdata[i]));
    if (removed != NULL)
        return next->len > 0;
    if ((int64_t)next->len >= hosted->host->options.group_size)
        return FALSE;
    g_autoptr(GPtrArray) wanted = g_ptr_array_new_with_free_func(g_free);
    members_choose(hosted->host, hosted->name, wanted);
    for (guint i = 0; i < wanted->len; i++) {
        if (g_ptr_array_find_with_equal_func(next, wanted->pdata[i], g_str_equal, NULL))
            continue;
        g_ptr_array_add(next, g_strdup(wanted->pdata[i]));
        return TRUE;
    }
    return FALSE;
}

void cell_members_maintain(hosted_cell_t *hosted, int64_t now_ms) {
    if (hosted->row_call_pending || now_ms - hosted->members_checked_ms < MAINTAIN_INTERVAL_MS ||
        hosted->host->handing_over)
        return;
    /* The row may be one change ahead of what a majority holds, never two. */
    if (wb_group_committed(hosted->group) != wb_group_sequence(hosted->group))
        return;
    hosted->members_checked_ms = now_ms;
    g_autoptr(GPtrArray) next = g_ptr_array_new_with_free_func(g_free);
    if (!members_next(hosted, next, now_ms))
        return;
    row_change_t *change = row_change_create(hosted);
    for (guint i = 0; i < next->len; i++)
        g_ptr_array_add(change->members, g_strdup(next->pdata[i]));
    g_autofree char *key = row_key(hosted->name);
    wb_platform_read_row(hosted->host->parts.platform, key, members_on_row, change);
}
