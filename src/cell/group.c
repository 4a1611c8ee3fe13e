/* Consensus within a cell's group on its owner and its record; group.h names the algorithm.
 *
 * Times are milliseconds of the caller's monotonic clock. Messages of lower epochs, and messages
 * that don't fit the current role, are ignored or answered with the promised epoch. */
#include "wickbridge/group.h"

#include <string.h>

/* Min heartbeats between full records to a member that has acknowledged nothing. */
#define STATE_RESEND_HEARTBEATS 3

/* Another member, as the owner knows it. */
typedef struct group_peer_t {
    char *node;
    uint64_t acked_sequence; /* last command it acknowledged in this epoch */
    int64_t acked_ms;        /* last acknowledgement in this epoch */
    int64_t record_sent_ms;  /* last time the full record was sent to it */
} group_peer_t;

struct wb_group_t {
    char *cell;
    char *self;
    int64_t heartbeat_ms;
    int64_t election_timeout_ms;
    GRand *random;
    wb_group_events_t events;
    wb_group_role_t role;
    uint64_t promised;    /* messages of lower epochs are rejected */
    uint64_t state_epoch; /* epoch of the owner that sent the last command in `record` */
    uint64_t sequence;    /* sequence of the last command in `record` */
    uint64_t committed;   /* owner only */
    wb_record_t *record;
    char *owner;                 /* owner in epoch `promised`, or NULL */
    int64_t owner_contact_ms;    /* last message of the owner, or start of the election timer */
    int64_t jittered_timeout_ms; /* current election timeout, with jitter */
    int64_t sent_ms;             /* last heartbeat or vote request */
    GHashTable *peers;           /* owner and candidate: name -> group_peer_t */
    GHashTable *voters;          /* candidate: nodes that granted a vote */
    gboolean forced;             /* candidate: after a hand-over; voters ignore the active owner */
    wb_record_t *best_record;    /* candidate: newest record among the votes */
    uint64_t best_epoch;
    uint64_t best_sequence;
};

static void peer_free(gpointer data) {
    group_peer_t *peer = data;
    g_free(peer->node);
    g_free(peer);
}

static void election_timeout_draw(wb_group_t *group) {
    group->jittered_timeout_ms =
        group->election_timeout_ms +
        g_rand_int_range(group->random, 0, (gint32)group->election_timeout_ms + 1);
}

wb_group_t *wb_group_create(const wb_group_options_t *options, const wb_group_events_t *events,
                            int64_t now_ms) {
    wb_group_t *group = g_new0(wb_group_t, 1);
    group->cell = g_strdup(options->cell);
    group->self = g_strdup(options->self);
    group->heartbeat_ms = options->heartbeat_ms;
    group->election_timeout_ms = options->election_timeout_ms;
    group->random = g_rand_new_with_seed((guint32)options->random_seed);
    group->events = *events;
    group->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
    group->voters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    group->owner_contact_ms = now_ms;
    election_timeout_draw(group);
    return group;
}

void wb_group_free(wb_group_t *group) {
    wb_record_free(group->record);
    wb_record_free(group->best_record);
    g_hash_table_unref(group->peers);
    g_hash_table_unref(group->voters);
    g_rand_free(group->random);
    g_free(group->owner);
    g_free(group->cell);
    g_free(group->self);
    g_free(group);
}

static guint majority(const wb_group_t *group) {
    return group->record->members->len / 2 + 1;
}

static void owner_set(wb_group_t *group, const char *node) {
    if (group->owner != NULL && node != NULL && strcmp(group->owner, node) == 0)
        return;
    g_free(group->owner);
    group->owner = g_strdup(node);
}

static void role_set(wb_group_t *group, wb_group_role_t role) {
    gboolean was_owner = group->role == WB_GROUP_OWNER;
    group->role = role;
    if (was_owner && role != WB_GROUP_OWNER)
        group->events.on_lost(group->events.context);
}

static void send_all(wb_group_t *group, const wb_wire_message *message) {
    for (guint i = 0; i < group->record->members->len; i++) {
        const char *node = group->record->members->pdata[i];
        if (strcmp(node, group->self) != 0)
            group->events.send(node, message, group->events.context);
    }
}

/* Promises a higher epoch and becomes a follower in it. */
static void promise(wb_group_t *group, uint64_t epoch, int64_t now_ms) {
    group->promised = epoch;
    owner_set(group, NULL);
    role_set(group, WB_GROUP_FOLLOWER);
    group->owner_contact_ms = now_ms;
    election_timeout_draw(group);
}

static group_peer_t *peer_get(wb_group_t *group, const char *node) {
    group_peer_t *peer = g_hash_table_lookup(group->peers, node);
    if (peer == NULL) {
        peer = g_new0(group_peer_t, 1);
        peer->node = g_strdup(node);
        peer->acked_ms = INT64_MIN / 2;
        peer->record_sent_ms = INT64_MIN / 2;
        g_hash_table_insert(group->peers, peer->node, peer);
    }
    return peer;
}

static void state_send(wb_group_t *group, const char *node, int64_t now_ms) {
    wb_wire_message message = {.kind = WB_WIRE_GROUP_STATE};
    wb_wire_group_state *state = &message.wb_wire_message_u.group_state;
    state->cell = group->cell;
    state->epoch = group->promised;
    state->sequence = group->sequence;
    wb_record_to_wire(group->record, &state->record, now_ms);
    peer_get(group, node)->record_sent_ms = now_ms;
    group->events.send(node, &message, group->events.context);
    wb_record_wire_clear(&state->record);
}

static void ack_send(wb_group_t *group, const char *node, gboolean need_state) {
    wb_wire_message message = {.kind = WB_WIRE_GROUP_ACK};
    wb_wire_group_ack *ack = &message.wb_wire_message_u.group_ack;
    ack->cell = group->cell;
    ack->epoch = group->promised;
    ack->sequence = group->state_epoch == group->promised ? group->sequence : 0;
    ack->need_state = need_state;
    group->events.send(node, &message, group->events.context);
}

static gint sequence_compare_descending(gconstpointer left, gconstpointer right) {
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;
    return a < b ? 1 : a > b ? -1 : 0;
}

/* The highest sequence that a majority of the current members holds. */
static uint64_t majority_sequence(wb_group_t *group) {
    g_autoptr(GArray) sequences = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < group->record->members->len; i++) {
        const char *node = group->record->members->pdata[i];
        const group_peer_t *peer = g_hash_table_lookup(group->peers, node);
        uint64_t sequence = peer != NULL ? peer->acked_sequence : 0;
        if (strcmp(node, group->self) == 0)
            sequence = group->sequence;
        g_array_append_val(sequences, sequence);
    }
    if (sequences->len < majority(group))
        return 0;
    g_array_sort(sequences, sequence_compare_descending);
    return g_array_index(sequences, uint64_t, majority(group) - 1);
}

/* Commits the commands that a majority holds. An elected candidate becomes owner once a majority
 * holds its record. */
static void commit_advance(wb_group_t *group) {
    uint64_t sequence = majority_sequence(group);
    if (group->role == WB_GROUP_ESTABLISHING && sequence >= group->sequence) {
        group->committed = group->sequence;
        role_set(group, WB_GROUP_OWNER);
        owner_set(group, group->self);
        group->events.on_owner(group->promised, group->events.context);
        return;
    }
    if (group->role == WB_GROUP_OWNER && sequence > group->committed) {
        group->committed = sequence;
        group->events.on_commit(sequence, group->events.context);
    }
}

/* Sends the record to all members as the elected owner of the promised epoch. */
static void establish(wb_group_t *group, int64_t now_ms) {
    group->state_epoch = group->promised;
    group->sequence++; /* for the takeover itself, which a majority must acknowledge */
    g_hash_table_remove_all(group->peers);
    role_set(group, WB_GROUP_ESTABLISHING);
    group->sent_ms = now_ms;
    group->owner_contact_ms = now_ms;
    for (guint i = 0; i < group->record->members->len; i++)
        if (strcmp(group->record->members->pdata[i], group->self) != 0)
            state_send(group, group->record->members->pdata[i], now_ms);
    commit_advance(group);
}

void wb_group_bootstrap(wb_group_t *group, wb_record_t *record, const GPtrArray *members,
                        uint64_t generation, uint64_t epoch, int64_t now_ms) {
    if (epoch <= group->promised) {
        wb_record_free(record);
        return;
    }
    wb_record_free(group->record);
    group->record = record;
    group->record->generation = generation;
    g_ptr_array_set_size(group->record->members, 0);
    for (guint i = 0; i < members->len; i++)
        g_ptr_array_add(group->record->members, g_strdup(members->pdata[i]));
    promise(group, epoch, now_ms);
    establish(group, now_ms);
}

wb_record_t *wb_group_promise_epoch(wb_group_t *group, uint64_t epoch) {
    if (epoch <= group->promised)
        return NULL;
    promise(group, epoch, group->owner_contact_ms);
    return group->record;
}

static void best_record_update(wb_group_t *group, wb_record_t *record, uint64_t epoch,
                               uint64_t sequence) {
    gboolean newer = epoch > group->best_epoch ||
                     (epoch == group->best_epoch && sequence > group->best_sequence);
    if (group->best_record != NULL && !newer) {
        wb_record_free(record);
        return;
    }
    wb_record_free(group->best_record);
    group->best_record = record;
    group->best_epoch = epoch;
    group->best_sequence = sequence;
}

/* With votes of a majority of the members in its own record, the candidate continues from the
 * newest record among them. */
static void election_check(wb_group_t *group, int64_t now_ms) {
    guint votes = 0;
    for (guint i = 0; i < group->record->members->len; i++)
        if (g_hash_table_contains(group->voters, group->record->members->pdata[i]))
            votes++;
    if (votes < majority(group))
        return;
    if (group->best_record != NULL) {
        wb_record_free(group->record);
        group->record = group->best_record;
        group->sequence = group->best_sequence;
        group->best_record = NULL;
    }
    establish(group, now_ms);
}

static void votes_request(wb_group_t *group, int64_t now_ms) {
    wb_wire_message message = {.kind = WB_WIRE_GROUP_VOTE};
    message.wb_wire_message_u.group_vote.cell = group->cell;
    message.wb_wire_message_u.group_vote.epoch = group->promised;
    message.wb_wire_message_u.group_vote.forced = group->forced;
    group->sent_ms = now_ms;
    send_all(group, &message);
}

static void election_start(wb_group_t *group, gboolean forced, int64_t now_ms) {
    promise(group, group->promised + 1, now_ms);
    role_set(group, WB_GROUP_CANDIDATE);
    group->forced = forced;
    g_hash_table_remove_all(group->voters);
    g_hash_table_add(group->voters, g_strdup(group->self));
    wb_record_free(group->best_record);
    group->best_record = NULL;
    group->best_epoch = group->state_epoch;
    group->best_sequence = group->sequence;
    votes_request(group, now_ms);
    election_check(group, now_ms);
}

static gboolean owner_is_active(const wb_group_t *group, int64_t now_ms) {
    if (group->role == WB_GROUP_OWNER)
        return wb_group_has_quorum(group, now_ms);
    return group->owner != NULL && now_ms - group->owner_contact_ms < group->election_timeout_ms;
}

static void vote_receive(wb_group_t *group, const char *node, const wb_wire_group_vote *vote,
                         int64_t now_ms) {
    gboolean granted = group->record != NULL && wb_record_has_member(group->record, node) &&
                       vote->epoch > group->promised &&
                       (vote->forced || !owner_is_active(group, now_ms));
    wb_wire_message message = {.kind = WB_WIRE_GROUP_BALLOT};
    wb_wire_group_ballot *ballot = &message.wb_wire_message_u.group_ballot;
    if (granted)
        promise(group, vote->epoch, now_ms);
    ballot->cell = group->cell;
    ballot->epoch = vote->epoch;
    ballot->granted = granted;
    ballot->promised = group->promised;
    ballot->state_epoch = group->state_epoch;
    ballot->sequence = group->sequence;
    if (granted)
        wb_record_to_wire(group->record, &ballot->record, now_ms);
    group->events.send(node, &message, group->events.context);
    if (granted)
        wb_record_wire_clear(&ballot->record);
}

static void ballot_receive(wb_group_t *group, const char *node, const wb_wire_group_ballot *ballot,
                           int64_t now_ms) {
    if (group->role != WB_GROUP_CANDIDATE || ballot->epoch != group->promised)
        return;
    if (!ballot->granted) {
        if (ballot->promised > group->promised)
            promise(group, ballot->promised, now_ms);
        return;
    }
    g_hash_table_add(group->voters, g_strdup(node));
    gboolean newer =
        ballot->state_epoch > group->best_epoch ||
        (ballot->state_epoch == group->best_epoch && ballot->sequence > group->best_sequence);
    if (newer)
        best_record_update(group, wb_record_from_wire(&ballot->record, now_ms), ballot->state_epoch,
                           ballot->sequence);
    election_check(group, now_ms);
}

/* Follows the sender as owner of the epoch. Returns FALSE when the epoch is outdated. */
static gboolean owner_follow(wb_group_t *group, const char *node, uint64_t epoch, int64_t now_ms) {
    if (epoch < group->promised)
        return FALSE;
    if (epoch > group->promised)
        promise(group, epoch, now_ms);
    else if (group->role != WB_GROUP_FOLLOWER)
        return FALSE; /* this node's own epoch, which has no other owner */
    owner_set(group, node);
    group->owner_contact_ms = now_ms;
    return TRUE;
}

static void state_receive(wb_group_t *group, const char *node, const wb_wire_group_state *state,
                          int64_t now_ms) {
    if (!owner_follow(group, node, state->epoch, now_ms)) {
        ack_send(group, node, FALSE);
        return;
    }
    gboolean older = state->epoch == group->state_epoch && state->sequence < group->sequence;
    if (!older) {
        wb_record_free(group->record);
        group->record = wb_record_from_wire(&state->record, now_ms);
        group->state_epoch = state->epoch;
        group->sequence = state->sequence;
    }
    ack_send(group, node, FALSE);
}

static void append_receive(wb_group_t *group, const char *node, const wb_wire_group_append *append,
                           int64_t now_ms) {
    if (!owner_follow(group, node, append->epoch, now_ms)) {
        ack_send(group, node, FALSE);
        return;
    }
    uint64_t count = append->commands.commands_len;
    uint64_t before = append->sequence - count;
    gboolean fits = group->record != NULL && group->state_epoch == append->epoch &&
                    before <= group->sequence && append->sequence >= group->sequence;
    if (!fits) {
        ack_send(group, node, group->state_epoch != append->epoch || before > group->sequence);
        return;
    }
    for (uint64_t i = group->sequence - before; i < count; i++)
        wb_record_apply(group->record, &append->commands.commands_val[i], now_ms);
    group->sequence = append->sequence;
    ack_send(group, node, FALSE);
}

static void ack_receive(wb_group_t *group, const char *node, const wb_wire_group_ack *ack,
                        int64_t now_ms) {
    if (ack->epoch > group->promised) {
        promise(group, ack->epoch, now_ms);
        return;
    }
    gboolean ours = group->role == WB_GROUP_OWNER || group->role == WB_GROUP_ESTABLISHING;
    if (!ours || ack->epoch != group->promised || !wb_record_has_member(group->record, node))
        return;
    group_peer_t *peer = peer_get(group, node);
    peer->acked_ms = now_ms;
    if (ack->need_state) {
        if (now_ms - peer->record_sent_ms >= group->heartbeat_ms)
            state_send(group, node, now_ms);
        return;
    }
    peer->acked_sequence = MAX(peer->acked_sequence, ack->sequence);
    commit_advance(group);
}

static void hand_over_receive(wb_group_t *group, const char *node,
                              const wb_wire_group_hand_over *hand_over, int64_t now_ms) {
    if (group->role == WB_GROUP_FOLLOWER && group->record != NULL &&
        hand_over->epoch == group->promised && group->owner != NULL &&
        strcmp(group->owner, node) == 0)
        election_start(group, TRUE, now_ms);
}

void wb_group_on_message(wb_group_t *group, const char *node, const wb_wire_message *message,
                         int64_t now_ms) {
    switch (message->kind) {
    case WB_WIRE_GROUP_STATE:
        state_receive(group, node, &message->wb_wire_message_u.group_state, now_ms);
        break;
    case WB_WIRE_GROUP_APPEND:
        append_receive(group, node, &message->wb_wire_message_u.group_append, now_ms);
        break;
    case WB_WIRE_GROUP_ACK:
        ack_receive(group, node, &message->wb_wire_message_u.group_ack, now_ms);
        break;
    case WB_WIRE_GROUP_VOTE:
        vote_receive(group, node, &message->wb_wire_message_u.group_vote, now_ms);
        break;
    case WB_WIRE_GROUP_BALLOT:
        ballot_receive(group, node, &message->wb_wire_message_u.group_ballot, now_ms);
        break;
    case WB_WIRE_GROUP_HAND_OVER:
        hand_over_receive(group, node, &message->wb_wire_message_u.group_hand_over, now_ms);
        break;
    default:
        break;
    }
}

static void append_send(wb_group_t *group, wb_wire_command *commands, u_int count) {
    wb_wire_message message = {.kind = WB_WIRE_GROUP_APPEND};
    wb_wire_group_append *append = &message.wb_wire_message_u.group_append;
    append->cell = group->cell;
    append->epoch = group->promised;
    append->sequence = group->sequence;
    append->commands.commands_len = count;
    append->commands.commands_val = commands;
    send_all(group, &message);
}

/* Sends the full record to members that have acknowledged nothing in this epoch: they may not know
 * the group yet. */
static void states_send_unacknowledged(wb_group_t *group, int64_t now_ms) {
    for (guint i = 0; i < group->record->members->len; i++) {
        const char *node = group->record->members->pdata[i];
        if (strcmp(node, group->self) == 0)
            continue;
        const group_peer_t *peer = peer_get(group, node);
        if (peer->acked_sequence == 0 &&
            now_ms - peer->record_sent_ms >= STATE_RESEND_HEARTBEATS * group->heartbeat_ms)
            state_send(group, node, now_ms);
    }
}

void wb_group_tick(wb_group_t *group, int64_t now_ms) {
    if (group->record == NULL || !wb_record_has_member(group->record, group->self))
        return;
    switch (group->role) {
    case WB_GROUP_FOLLOWER:
        if (now_ms - group->owner_contact_ms > group->jittered_timeout_ms)
            election_start(group, FALSE, now_ms);
        break;
    case WB_GROUP_CANDIDATE:
        if (now_ms - group->owner_contact_ms > group->jittered_timeout_ms)
            election_start(group, FALSE, now_ms);
        else if (now_ms - group->sent_ms > group->heartbeat_ms)
            votes_request(group, now_ms);
        break;
    case WB_GROUP_ESTABLISHING:
    case WB_GROUP_OWNER:
        if (now_ms - group->sent_ms >= group->heartbeat_ms) {
            group->sent_ms = now_ms;
            append_send(group, NULL, 0);
            states_send_unacknowledged(group, now_ms);
        }
        break;
    }
}

uint64_t wb_group_propose(wb_group_t *group, const wb_wire_command *command, int64_t now_ms) {
    if (group->role != WB_GROUP_OWNER)
        return 0;
    gboolean members_change = command->kind == WB_WIRE_COMMAND_MEMBERS;
    if (members_change && group->committed != group->sequence)
        return 0; /* one member change at a time, and only when all commands are committed */
    wb_record_apply(group->record, command, now_ms);
    group->sequence++;
    uint64_t sequence = group->sequence;
    wb_wire_command copy = *command;
    append_send(group, &copy, 1);
    if (members_change)
        states_send_unacknowledged(group, now_ms);
    commit_advance(group);
    return sequence;
}

gboolean wb_group_hand_over_to(wb_group_t *group, const char *node) {
    const group_peer_t *peer = g_hash_table_lookup(group->peers, node);
    if (group->role != WB_GROUP_OWNER || group->committed != group->sequence || peer == NULL ||
        peer->acked_sequence != group->sequence || !wb_record_has_member(group->record, node))
        return FALSE;
    wb_wire_message message = {.kind = WB_WIRE_GROUP_HAND_OVER};
    message.wb_wire_message_u.group_hand_over.cell = group->cell;
    message.wb_wire_message_u.group_hand_over.epoch = group->promised;
    group->events.send(node, &message, group->events.context);
    return TRUE;
}

/* Chooses the up-to-date member with the latest acknowledgement. */
void wb_group_hand_over(wb_group_t *group) {
    const char *best = NULL;
    int64_t best_ms = INT64_MIN;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, group->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const group_peer_t *peer = value;
        if (peer->acked_sequence != group->sequence || peer->acked_ms <= best_ms)
            continue;
        best = peer->node;
        best_ms = peer->acked_ms;
    }
    if (best != NULL)
        wb_group_hand_over_to(group, best);
}

gboolean wb_group_has_quorum(const wb_group_t *group, int64_t now_ms) {
    if (group->role != WB_GROUP_OWNER)
        return FALSE;
    guint responding = 1;
    for (guint i = 0; i < group->record->members->len; i++) {
        const group_peer_t *peer =
            g_hash_table_lookup(group->peers, group->record->members->pdata[i]);
        if (peer != NULL && now_ms - peer->acked_ms < 2 * group->election_timeout_ms)
            responding++;
    }
    return responding >= majority(group);
}

void wb_group_on_owner_down(wb_group_t *group, const char *node, int64_t now_ms) {
    if (group->role != WB_GROUP_FOLLOWER || group->owner == NULL || strcmp(group->owner, node) != 0)
        return;
    owner_set(group, NULL);
    /* A short random delay keeps members from starting elections at the same time. */
    group->owner_contact_ms = now_ms;
    group->jittered_timeout_ms =
        g_rand_int_range(group->random, 0, (gint32)group->heartbeat_ms + 1);
}

wb_group_role_t wb_group_role(const wb_group_t *group) {
    return group->role;
}

uint64_t wb_group_epoch(const wb_group_t *group) {
    return group->promised;
}

uint64_t wb_group_committed(const wb_group_t *group) {
    return group->committed;
}

uint64_t wb_group_sequence(const wb_group_t *group) {
    return group->sequence;
}

wb_record_t *wb_group_record(wb_group_t *group) {
    return group->record;
}

const char *wb_group_owner(const wb_group_t *group) {
    return group->owner;
}
