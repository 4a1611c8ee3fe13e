/* Founds a cell's group, founds it again when most members are gone, and replaces lost members.
 *
 * The row "cell/NAME" holds {"generation", "members", "era"}: the members that were last decided
 * on. It is written before the group learns of a change, so the group's members are those of the
 * row, or of the step before it, which differs by one. */
#include "cell_host_types.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <string.h>

#define MEMBER_DOWN_MS 3000 /* a member is replaced after it was down so long */
#define NO_VERSION (-1)     /* of the machine list: send it whole */
#define MAINTAIN_INTERVAL_MS 500
#define SURVIVOR_HASTE 4   /* a surviving member waits that much less */
#define RANK_DELAY_MS 2000 /* between candidates for founding */

typedef struct founding_t {
    wb_cell_host_t *host;
    char *cell;
    uint64_t generation;
    uint64_t era;
    GPtrArray *members;
    gboolean again;      /* a majority is gone */
    json_t *row_members; /* of the row as read; NULL: there was none */
    int64_t row_version;
} founding_t;

static founding_t *founding_create(hosted_cell_t *hosted) {
    founding_t *founding = g_new0(founding_t, 1);
    founding->host = hosted->host;
    founding->cell = g_strdup(hosted->name);
    founding->members = g_ptr_array_new_with_free_func(g_free);
    hosted->asking = TRUE;
    return founding;
}

static void founding_free(founding_t *founding) {
    hosted_cell_t *hosted = cell_host_find(founding->host, founding->cell);
    if (hosted != NULL)
        hosted->asking = FALSE;
    json_decref(founding->row_members);
    g_ptr_array_unref(founding->members);
    g_free(founding->cell);
    g_free(founding);
}

static json_t *row_describe(uint64_t generation, uint64_t era, const GPtrArray *members) {
    json_t *names = json_array();
    for (guint i = 0; i < members->len; i++)
        json_array_append_new(names, json_string(members->pdata[i]));
    return json_pack("{s:I, s:I, s:o}", "generation", (json_int_t)generation, "era",
                     (json_int_t)era, "members", names);
}

static char *row_key(const char *cell) {
    return g_strconcat(CELL_ROW_PREFIX, cell, NULL);
}

static void row_write(founding_t *founding, int64_t row_version, wb_platform_done_fn done) {
    g_autofree char *key = row_key(founding->cell);
    json_t *checks = json_array();
    json_array_append_new(checks, wb_platform_make_check(key, row_version));
    json_t *writes = json_array();
    json_array_append_new(writes,
                          wb_platform_make_write(key, row_describe(founding->generation, founding->era,
                                                              founding->members)));
    wb_platform_transact(founding->host->parts.platform, checks, writes, done, founding);
}

/* This node first, then the best of the other zones, by rendezvous hashing. */
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

static void group_found(founding_t *founding) {
    hosted_cell_t *hosted = cell_host_find(founding->host, founding->cell);
    if (hosted == NULL)
        return;
    int64_t now_ms = wb_clock_ms();
    uint64_t epoch = (founding->era << WB_GROUP_ERA_SHIFT) | 1;
    wb_group_t *group = cell_host_group(hosted);
    wb_record_t *record = wb_record_create();
    wb_record_t *known = wb_group_record(group);
    if (known != NULL) {
        wb_wire_record wire;
        wb_record_to_wire(known, &wire, now_ms);
        wb_record_free(record);
        record = wb_record_from_wire(&wire, now_ms);
        wb_record_wire_clear(&wire);
    }
    if (founding->again) {
        record->slots_unverified = TRUE;
        record->claims_incomplete_until_ms = now_ms + founding->host->options.claim_retention_ms;
    }
    wb_log_message(WB_LOG_CELL, "Cell %s is founded%s by this node at epoch %" G_GUINT64_FORMAT ".",
                   hosted->name, founding->again ? " again" : "", (guint64)epoch);
    wb_group_bootstrap(group, record, founding->members, founding->generation, epoch, now_ms);
}

static void founding_read_back(wb_platform_status_t status, const json_t *body, void *context) {
    founding_t *founding = context;
    json_t *ours = row_describe(founding->generation, founding->era, founding->members);
    if (status == WB_PLATFORM_DONE && json_equal(json_object_get(body, "value"), ours))
        group_found(founding);
    json_decref(ours);
    founding_free(founding);
}

static void founding_written(wb_platform_status_t status, const json_t *body, void *context) {
    (void)body;
    founding_t *founding = context;
    if (status == WB_PLATFORM_UNKNOWN) {
        g_autofree char *key = row_key(founding->cell);
        wb_platform_read_row(founding->host->parts.platform, key, founding_read_back, founding);
        return;
    }
    if (status == WB_PLATFORM_DONE)
        group_found(founding);
    founding_free(founding);
}

/* Another process of the same machine, started later, is known: this one is gone. */
static gboolean was_replaced(wb_cell_host_t *host, const char *node) {
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

/* Only what is certain counts: a member that this node has never heard of may well be alive. */
static gboolean member_is_gone(wb_cell_host_t *host, const json_t *machines, const char *node) {
    const wb_member_t *member =
        wb_member_table_find(wb_membership_table(host->parts.membership), node);
    if ((member != NULL && member->state == WB_MEMBER_GONE) || was_replaced(host, node))
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

/* Whether a cell may be founded again: nobody else of its row can still act, for certain. Another
 * survivor would have to yield first. */
static gboolean others_are_gone(founding_t *founding, const json_t *machines, gboolean *self_in) {
    size_t index;
    json_t *name;
    *self_in = FALSE;
    json_array_foreach(founding->row_members, index, name) {
        const char *node = json_string_value(name);
        if (strcmp(node, founding->host->node) == 0)
            *self_in = TRUE;
        else if (!member_is_gone(founding->host, machines, node))
            return FALSE;
    }
    size_t size = json_array_size(founding->row_members);
    return !*self_in || size > 1;
}

static void founding_begin(founding_t *founding, gboolean self_in) {
    wb_cell_host_t *host = founding->host;
    hosted_cell_t *hosted = cell_host_find(host, founding->cell);
    /* A survivor promises the new era to itself before it writes the row. */
    if (self_in && hosted->group != NULL)
        wb_group_promise_epoch(hosted->group, founding->era << WB_GROUP_ERA_SHIFT);
    members_choose(host, founding->cell, founding->members);
    row_write(founding, founding->row_version, founding_written);
}

static void founding_machines_read(wb_platform_status_t status, const json_t *body, void *context) {
    founding_t *founding = context;
    hosted_cell_t *hosted = cell_host_find(founding->host, founding->cell);
    const json_t *machines = status == WB_PLATFORM_DONE ? json_object_get(body, "machines") : NULL;
    gboolean self_in;
    if (hosted != NULL && others_are_gone(founding, machines, &self_in))
        founding_begin(founding, self_in);
    else
        founding_free(founding);
}

static void founding_row_read(wb_platform_status_t status, const json_t *body, void *context) {
    founding_t *founding = context;
    wb_cell_host_t *host = founding->host;
    hosted_cell_t *hosted = cell_host_find(host, founding->cell);
    if (status != WB_PLATFORM_DONE || hosted == NULL) {
        founding_free(founding);
        return;
    }
    const json_t *row = json_object_get(body, "value");
    const json_t *members = json_object_get(row, "members");
    founding->generation = (uint64_t)wb_json_integer(row, "generation", 0) + 1;
    founding->era = (uint64_t)wb_json_integer(row, "era", 0) + 1;
    founding->again = members != NULL;
    founding->row_version = wb_json_integer(body, "version", 0);
    if (members == NULL) {
        founding_begin(founding, FALSE);
        return;
    }
    founding->row_members = json_deep_copy(members);
    wb_platform_list_machines(host->parts.platform, NO_VERSION, founding_machines_read, founding);
}

/* How many better candidates for founding there are. */
static guint founding_rank(wb_cell_host_t *host, const char *cell) {
    g_autoptr(GPtrArray) ranked =
        wb_member_table_rank(wb_membership_table(host->parts.membership), cell, FALSE);
    for (guint i = 0; i < ranked->len; i++)
        if (strcmp(((const wb_member_t *)ranked->pdata[i])->node, host->node) == 0)
            return i;
    return ranked->len;
}

/* A surviving member comes first: it may hold the newest record. */
static gboolean is_member(const hosted_cell_t *hosted) {
    const wb_record_t *record = hosted->group != NULL ? wb_group_record(hosted->group) : NULL;
    return record != NULL && wb_record_has_member(record, hosted->host->node);
}

void cell_founding_tick(hosted_cell_t *hosted, int64_t now_ms) {
    wb_cell_host_t *host = hosted->host;
    const char *owner = wb_membership_owner(host->parts.membership, hosted->name, NULL);
    const wb_member_table_t *table = wb_membership_table(host->parts.membership);
    if (owner != NULL && wb_member_table_is_up(table, owner)) {
        hosted->orphan_since_ms = 0;
        return;
    }
    if (hosted->orphan_since_ms == 0)
        hosted->orphan_since_ms = now_ms;
    /* A cell that never had an owner is founded at once; one that lost it gives its group time. */
    int64_t patience_ms = owner != NULL ? host->options.orphan_after_ms : 0;
    if (is_member(hosted))
        patience_ms /= SURVIVOR_HASTE;
    else
        patience_ms += RANK_DELAY_MS * (int64_t)founding_rank(host, hosted->name);
    if (hosted->asking || host->leaving || now_ms - hosted->orphan_since_ms < patience_ms)
        return;
    hosted->orphan_since_ms = now_ms - patience_ms + RANK_DELAY_MS; /* the next try */
    founding_t *founding = founding_create(hosted);
    g_autofree char *key = row_key(hosted->name);
    wb_platform_read_row(host->parts.platform, key, founding_row_read, founding);
}

/* The members of the row, as agreed by the table service: now the group's turn. */
static void members_propose(founding_t *founding) {
    hosted_cell_t *hosted = cell_host_find(founding->host, founding->cell);
    if (hosted == NULL || hosted->group == NULL)
        return;
    wb_wire_command command = {.kind = WB_WIRE_COMMAND_MEMBERS};
    wb_wire_members *members = &command.wb_wire_command_u.members;
    members->generation = founding->generation;
    members->names.names_len = founding->members->len;
    members->names.names_val = (wb_wire_name *)founding->members->pdata;
    uint64_t sequence = wb_group_propose(hosted->group, &command, wb_clock_ms());
    wb_log_message(WB_LOG_CELL, "Cell %s gets %u members%s.", hosted->name, founding->members->len,
                   sequence == 0 ? ", but not yet" : "");
}

static void members_read_back(wb_platform_status_t status, const json_t *body, void *context) {
    founding_t *founding = context;
    json_t *ours = row_describe(founding->generation, founding->era, founding->members);
    if (status == WB_PLATFORM_DONE && json_equal(json_object_get(body, "value"), ours))
        members_propose(founding);
    json_decref(ours);
    founding_free(founding);
}

static void members_written(wb_platform_status_t status, const json_t *body, void *context) {
    (void)body;
    founding_t *founding = context;
    if (status == WB_PLATFORM_UNKNOWN) {
        g_autofree char *key = row_key(founding->cell);
        wb_platform_read_row(founding->host->parts.platform, key, members_read_back, founding);
        return;
    }
    if (status == WB_PLATFORM_DONE)
        members_propose(founding);
    founding_free(founding);
}

static void members_row_read(wb_platform_status_t status, const json_t *body, void *context) {
    founding_t *founding = context;
    hosted_cell_t *hosted = cell_host_find(founding->host, founding->cell);
    const json_t *row = json_object_get(body, "value");
    uint64_t era = (uint64_t)wb_json_integer(row, "era", 0);
    gboolean ours = hosted != NULL && hosted->cell != NULL && status == WB_PLATFORM_DONE &&
                    era == wb_group_epoch(hosted->group) >> WB_GROUP_ERA_SHIFT;
    if (!ours) {
        founding_free(founding);
        return;
    }
    founding->era = era;
    founding->generation = MAX((uint64_t)wb_json_integer(row, "generation", 0),
                               wb_group_record(hosted->group)->generation) +
                           1;
    row_write(founding, wb_json_integer(body, "version", 0), members_written);
}

/* The member that should go: down for a while, or gone. */
static const char *member_lost(hosted_cell_t *hosted, const wb_record_t *record, int64_t now_ms) {
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

/* One step towards a full group of members that are up: a lost one goes, then another comes. */
static gboolean members_next(hosted_cell_t *hosted, GPtrArray *next, int64_t now_ms) {
    const wb_record_t *record = wb_group_record(hosted->group);
    const char *lost = member_lost(hosted, record, now_ms);
    for (guint i = 0; i < record->members->len; i++)
        if (lost == NULL || strcmp(record->members->pdata[i], lost) != 0)
            g_ptr_array_add(next, g_strdup(record->members->pdata[i]));
    if (lost != NULL)
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
    if (hosted->asking || now_ms - hosted->member_changed_ms < MAINTAIN_INTERVAL_MS ||
        hosted->host->leaving)
        return;
    /* The row may be one step ahead of what a majority holds, never two. */
    if (wb_group_committed(hosted->group) != wb_group_sequence(hosted->group))
        return;
    hosted->member_changed_ms = now_ms;
    g_autoptr(GPtrArray) next = g_ptr_array_new_with_free_func(g_free);
    if (!members_next(hosted, next, now_ms))
        return;
    founding_t *founding = founding_create(hosted);
    for (guint i = 0; i < next->len; i++)
        g_ptr_array_add(founding->members, g_strdup(next->pdata[i]));
    g_autofree char *key = row_key(hosted->name);
    wb_platform_read_row(hosted->host->parts.platform, key, members_row_read, founding);
}
