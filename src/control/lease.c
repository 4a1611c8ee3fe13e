/* The placement controller's lease, as a pure state machine. */
#include "wickbridge/lease.h"

#include "wickbridge/store_version.h"

#include "control/lease_grants.h"

#include <string.h>

/* Number of own writes that are remembered to recognize their rows; an older row renews nothing. */
#define WRITE_HISTORY 16
/* Most unanswered writes: fewer than are remembered, and each is a connection to the store. */
#define WRITES_UNDER_WAY_MAX 8
/* An unanswered renewal is sent again often enough that so many attempts fit between the interval
 * of renewals and the end of the lease, but not while the store may just be slow: each call would
 * make it slower. */
#define RENEWAL_ATTEMPTS 3
#define RESEND_MIN_MS 100
#define RESEND_ANSWER_RATIO 1.5
/* Maximum backoff after failed takeovers, as a multiple of the delay before a failed renewal is
 * retried. */
#define TAKEOVER_BACKOFF_MAX 6
/* After the store was unavailable, the holder may renew first: other nodes leave it this many
 * renewal intervals, in each of which it tries at least twice. */
#define HOLDER_PRIORITY_RENEWALS 2
/* Position of the era in a token: more takeovers than any era has. */
#define TOKEN_ERA_BITS 32
#define TOKEN_COUNT_MAX ((UINT64_C(1) << TOKEN_ERA_BITS) - 1)
/* A row with a higher token is unreadable: the token after it might not be higher. */
#define TOKEN_MAX (((uint64_t)WB_STORE_ERA_MAX << TOKEN_ERA_BITS) | TOKEN_COUNT_MAX)

typedef struct wb_lease_write_t {
    uint64_t beat;
    int64_t sent_ms;
    gboolean under_way;
    int64_t expected_version;
    wb_lease_row_t row;
} wb_lease_write_t;

struct wb_lease_t {
    wb_lease_settings_t settings;
    wb_lease_row_t known; /* holder NULL: the row isn't there or was never read */
    int64_t version;      /* of the row in the store; number 0: it isn't there; -1: never read */
    gboolean copied;      /* that row is a copy from before the store went back, or unreadable */
    gboolean unreadable;  /* its token is unknown; `known` is the row before it */
    gboolean reclaiming;  /* that row is such a copy, and this process held the lease when it
                             learned so; `known` is the row that the store has lost */
    int64_t version_since_ms; /* when this node learned of the version */
    uint64_t own_token;       /* 0: never held by this process */
    uint64_t beat; /* heartbeat counter of the last write; starts at a random value, so that
                      rows of different processes differ */
    wb_lease_write_t writes[WRITE_HISTORY]; /* by beat */
    uint64_t resends;
    int64_t answer_ms;     /* how long the store took to answer the last successful write */
    int64_t held_until_ms; /* the margin is not yet subtracted */
    int64_t last_write_ms;
    int64_t retry_at_ms;
    wb_lease_grants_t *grants;
    wb_lease_predecessor_t predecessor; /* from the last row of another process */
    gboolean releasing;
    gboolean write_requested;         /* the holder's next write is due now */
    gboolean handing_over;            /* the lease is released at the next write, for others */
    gboolean was_released;            /* this process doesn't take the lease again */
    int64_t holder_priority_until_ms; /* no takeover before this, so that a holder can renew */
    double takeover_fraction;         /* random share of takeover_spread_ms, 0 to 1 */
    int64_t takeover_min_delay_ms;
    int64_t takeover_spread_ms;
    int64_t takeover_backoff_ms; /* after failed takeovers in a row; 0: none failed */
};

static char **names_copy(char **names, guint count) {
    char **copy = g_new0(char *, count + 1);
    for (guint i = 0; i < count; i++) {
        copy[i] = g_strdup(names[i]);
    }
    return copy;
}

void wb_lease_row_clear(wb_lease_row_t *row) {
    g_free(row->holder);
    g_free(row->address);
    g_strfreev(row->granted);
    g_strfreev(row->inherited);
    memset(row, 0, sizeof(*row));
}

void wb_lease_row_copy(wb_lease_row_t *target, const wb_lease_row_t *source) {
    wb_lease_row_t copy = *source;
    copy.holder = g_strdup(source->holder);
    copy.address = g_strdup(source->address);
    copy.granted = names_copy(source->granted, source->granted_count);
    copy.inherited = names_copy(source->inherited, source->inherited_count);
    wb_lease_row_clear(target);
    *target = copy;
}

wb_lease_t *wb_lease_create(const wb_lease_settings_t *settings) {
    wb_lease_t *lease = g_new0(wb_lease_t, 1);
    lease->settings = *settings;
    lease->version = -1;
    lease->grants = wb_lease_grants_create(settings->handover_interval_ms + settings->margin_ms);
    lease->takeover_spread_ms = settings->spread_ms;
    lease->takeover_fraction = g_random_double();
    lease->beat = ((uint64_t)g_random_int() << 24) + 1;
    return lease;
}

void wb_lease_free(wb_lease_t *lease) {
    wb_lease_row_clear(&lease->known);
    for (guint i = 0; i < WRITE_HISTORY; i++) {
        wb_lease_row_clear(&lease->writes[i].row);
    }
    wb_lease_grants_free(lease->grants);
    g_free(lease);
}

static gboolean is_own(const wb_lease_t *lease, const wb_lease_row_t *row) {
    return row->holder != NULL && strcmp(row->holder, lease->settings.machine) == 0;
}

/* Returns an own write; NULL: it was too long ago. */
static wb_lease_write_t *write_find(wb_lease_t *lease, uint64_t beat) {
    wb_lease_write_t *write = &lease->writes[beat % WRITE_HISTORY];
    return write->beat == beat ? write : NULL;
}

static guint writes_under_way(const wb_lease_t *lease) {
    guint count = 0;
    for (guint i = 0; i < WRITE_HISTORY; i++) {
        count += lease->writes[i].under_way;
    }
    return count;
}

/* Returns when this process sent the write that made the row, or -1 if another process made it. */
static int64_t own_write_sent_ms(wb_lease_t *lease, const wb_lease_row_t *row) {
    const wb_lease_write_t *write = write_find(lease, row->beat);
    return is_own(lease, row) && write != NULL ? write->sent_ms : -1;
}

/* Applies a row that this process has written; it extends the lease from when it was sent. */
static void own_row_apply(wb_lease_t *lease, int64_t sent_ms) {
    lease->own_token = lease->known.token;
    lease->last_write_ms = MAX(lease->last_write_ms, sent_ms);
    wb_lease_grants_on_written(lease->grants, lease->known.beat);
    if (lease->known.released) {
        lease->was_released = lease->releasing;
        lease->handing_over = FALSE;
    } else if (!lease->releasing && !lease->handing_over)
        lease->held_until_ms = MAX(lease->held_until_ms, sent_ms + lease->settings.duration_ms);
}

/* Returns TRUE if the row was written in an earlier era than its version's, or was lost. */
static gboolean is_copy(const wb_lease_t *lease, const wb_lease_row_t *row, int64_t version) {
    int64_t era = wb_store_version_era(version);
    if (row == NULL)
        return lease->version > 0 && wb_store_version_era(lease->version) < era;
    return row->era < era;
}

/* Another process has written the row, so this one doesn't hold the lease. */
static void predecessor_update(wb_lease_t *lease, int64_t now_ms) {
    lease->held_until_ms = 0;
    lease->predecessor.loads = lease->known.recent_loads;
    lease->predecessor.seen_ms = now_ms;
}

/* Notes the version of a row that is read. Returns FALSE if the row is to be ignored, as this
 * process wants to go on. @param is_doubtful it doesn't tell who holds the lease */
static gboolean version_note(wb_lease_t *lease, int64_t version, gboolean is_doubtful,
                             int64_t now_ms) {
    lease->reclaiming = is_doubtful && wb_lease_is_held(lease, now_ms);
    lease->copied = is_doubtful && !lease->reclaiming;
    lease->version = version;
    lease->version_since_ms = now_ms;
    if (!lease->reclaiming)
        return TRUE;
    lease->last_write_ms = now_ms - lease->settings.renew_ms;
    lease->retry_at_ms = now_ms;
    return FALSE;
}

void wb_lease_on_unreadable_row(wb_lease_t *lease, int64_t version, int64_t now_ms) {
    if (version <= lease->version)
        return;
    lease->unreadable = TRUE;
    if (version_note(lease, version, TRUE, now_ms))
        predecessor_update(lease, now_ms);
}

void wb_lease_on_row(wb_lease_t *lease, const wb_lease_row_t *row, int64_t version,
                     int64_t now_ms) {
    if (row != NULL && row->token > TOKEN_MAX) {
        wb_lease_on_unreadable_row(lease, version, now_ms);
        return;
    }
    if (version == lease->version && row != NULL && row->has_grants && !lease->reclaiming) {
        /* A peer sent this version of the row before, without its engines; this one is complete. */
        wb_lease_row_copy(&lease->known, row);
        return;
    }
    if (version <= lease->version && lease->version != -1)
        return;
    gboolean copied = is_copy(lease, row, version);
    lease->unreadable = FALSE;
    if (!version_note(lease, version, copied, now_ms))
        return;
    if (row == NULL) {
        wb_lease_row_clear(&lease->known);
        if (copied)
            predecessor_update(lease, now_ms);
        return;
    }
    wb_lease_row_copy(&lease->known, row);
    if (copied) {
        predecessor_update(lease, now_ms);
        return;
    }
    int64_t sent_ms = own_write_sent_ms(lease, row);
    if (sent_ms >= 0)
        own_row_apply(lease, sent_ms);
    else
        predecessor_update(lease, now_ms);
}

static gboolean is_holding(const wb_lease_t *lease) {
    return !lease->copied && lease->own_token != 0 && lease->known.token == lease->own_token &&
           is_own(lease, &lease->known) && !lease->known.released;
}

/* Whether the known row is of this machine, and was not handed over by this process. */
static gboolean may_resume(const wb_lease_t *lease) {
    gboolean handed_over =
        lease->known.released && lease->own_token != 0 && lease->known.token == lease->own_token;
    return is_own(lease, &lease->known) && !handed_over;
}

/* Time until which the holder of the known row may send orders, as far as this node can tell. */
static int64_t holder_expires_ms(const wb_lease_t *lease) {
    const wb_lease_settings_t *settings = &lease->settings;
    gboolean released = lease->known.released && !lease->copied;
    int64_t valid_ms = released ? 0 : settings->duration_ms + settings->margin_ms;
    return lease->version_since_ms + valid_ms;
}

/* Time from which the lease may be taken over if the row doesn't change. */
static int64_t takeover_at_ms(const wb_lease_t *lease) {
    gboolean is_free = lease->known.holder == NULL || may_resume(lease);
    if (is_free && !lease->copied)
        return lease->version_since_ms;
    return MAX(holder_expires_ms(lease), lease->holder_priority_until_ms);
}

/* Delay of this node's takeover after takeover_at_ms, so that nodes don't all try at the same time.
 */
static int64_t takeover_delay_ms(const wb_lease_t *lease) {
    if (may_resume(lease) && !lease->copied)
        return 0;
    return lease->takeover_min_delay_ms +
           (int64_t)(lease->takeover_fraction * (double)lease->takeover_spread_ms);
}

/* Prepares the grants: the previous holder may have sent orders to the engines of its row until its
 * lease expired. */
static void takeover_begin(wb_lease_t *lease, int64_t now_ms) {
    const wb_lease_settings_t *settings = &lease->settings;
    gboolean had_holder = lease->known.holder != NULL;
    static const wb_lease_row_t any_engine = {.grants_unlisted = TRUE};
    gboolean engines_listed =
        lease->known.has_grants && !lease->known.grants_unlisted && !lease->copied;
    lease->predecessor.max_ordered_engines =
        engines_listed ? lease->known.granted_count : G_MAXUINT;
    int64_t blocked_until_ms =
        holder_expires_ms(lease) + settings->handover_interval_ms + settings->margin_ms;
    if (lease->copied)
        wb_lease_grants_begin(lease->grants, &any_engine, FALSE, blocked_until_ms, now_ms);
    else
        wb_lease_grants_begin(lease->grants, had_holder ? &lease->known : NULL,
                              is_own(lease, &lease->known), blocked_until_ms, now_ms);
}

int64_t wb_lease_takeover_at_ms(const wb_lease_t *lease) {
    return lease->version < 0 ? 0 : takeover_at_ms(lease);
}

int64_t wb_lease_row_changed_ms(const wb_lease_t *lease) {
    return lease->version_since_ms;
}

/* Returns a token that no earlier one exceeds: of all earlier eras, also those that were lost, and
 * after an unreadable row of this one, as each takeover is a transaction of the store. */
static uint64_t highest_token(const wb_lease_t *lease) {
    uint64_t era_token = (uint64_t)wb_store_version_era(lease->version) << TOKEN_ERA_BITS;
    if (lease->unreadable)
        era_token += MIN((uint64_t)wb_store_version_number(lease->version), TOKEN_COUNT_MAX);
    return MAX(MAX(lease->known.token, lease->own_token), era_token);
}

/* Whether the store hasn't answered the last write, which may still take effect. */
static gboolean last_write_is_open(const wb_lease_t *lease) {
    const wb_lease_write_t *last = &lease->writes[lease->beat % WRITE_HISTORY];
    return last->under_way && last->expected_version == lease->version;
}

/* Whether a process that wanted to go on has lost its lease meanwhile. */
static gboolean reclaim_is_late(const wb_lease_t *lease, int64_t now_ms) {
    return lease->reclaiming && !wb_lease_is_held(lease, now_ms);
}

/* After its lease has expired, a process that wanted to go on has to wait like all others. */
static void reclaim_check(wb_lease_t *lease, int64_t now_ms) {
    if (!reclaim_is_late(lease, now_ms) || last_write_is_open(lease))
        return;
    lease->reclaiming = FALSE;
    lease->copied = TRUE;
    predecessor_update(lease, now_ms);
}

/* Returns the time after which a write without an answer is sent again. */
static int64_t resend_ms(const wb_lease_t *lease) {
    const wb_lease_settings_t *settings = &lease->settings;
    int64_t left_ms = settings->duration_ms - settings->margin_ms - settings->renew_ms;
    int64_t slow_ms = (int64_t)(RESEND_ANSWER_RATIO * (double)lease->answer_ms);
    return MAX(MAX(left_ms / RENEWAL_ATTEMPTS, RESEND_MIN_MS), slow_ms);
}

/* Whether the holder must not write now: it waits for the answer to its last write, but sends the
 * next one beside it once that has taken long. Both have the same condition, so at most one takes
 * effect. */
static gboolean renewal_must_wait(const wb_lease_t *lease, int64_t now_ms) {
    const wb_lease_write_t *last = &lease->writes[lease->beat % WRITE_HISTORY];
    if (writes_under_way(lease) >= WRITES_UNDER_WAY_MAX || reclaim_is_late(lease, now_ms))
        return TRUE;
    return last_write_is_open(lease) && now_ms - last->sent_ms < resend_ms(lease);
}

static gboolean write_is_due(const wb_lease_t *lease, int64_t now_ms) {
    if (lease->version < 0 || now_ms < lease->retry_at_ms)
        return FALSE;
    if (is_holding(lease)) {
        if (renewal_must_wait(lease, now_ms))
            return FALSE;
        return last_write_is_open(lease) || lease->releasing || lease->handing_over ||
               lease->write_requested || wb_lease_grants_has_pending(lease->grants) ||
               now_ms - lease->last_write_ms >= lease->settings.renew_ms;
    }
    if (writes_under_way(lease) > 0 || lease->releasing || lease->was_released)
        return FALSE;
    return now_ms >= takeover_at_ms(lease) + takeover_delay_ms(lease);
}

gboolean wb_lease_next_write(wb_lease_t *lease, int64_t now_ms, wb_lease_row_t *row,
                             int64_t *expected_version) {
    reclaim_check(lease, now_ms);
    if (!write_is_due(lease, now_ms))
        return FALSE;
    lease->resends += last_write_is_open(lease);
    wb_lease_row_t next = {.holder = (char *)lease->settings.machine,
                           .address = (char *)lease->settings.address,
                           .token = lease->own_token,
                           .beat = ++lease->beat,
                           .era = MAX(wb_store_version_era(lease->version), 0)};
    if (is_holding(lease)) {
        next.released = lease->releasing || lease->handing_over;
        if (next.released)
            lease->held_until_ms = 0; /* send no more orders */
    } else {
        next.token = highest_token(lease) + 1;
        lease->handing_over = FALSE;
        takeover_begin(lease, now_ms);
    }
    wb_lease_grants_fill_row(lease->grants, &next, now_ms);
    wb_lease_write_t *write = &lease->writes[next.beat % WRITE_HISTORY];
    write->beat = next.beat;
    write->sent_ms = now_ms;
    write->under_way = TRUE;
    write->expected_version = lease->version;
    wb_lease_row_copy(&write->row, &next);
    lease->last_write_ms = now_ms;
    lease->write_requested = FALSE;
    *row = write->row;
    *expected_version = write->expected_version;
    return TRUE;
}

void wb_lease_on_written(wb_lease_t *lease, uint64_t beat, int64_t version, int64_t now_ms) {
    wb_lease_write_t *write = write_find(lease, beat);
    lease->takeover_backoff_ms = 0;
    if (write == NULL)
        return;
    write->under_way = FALSE;
    lease->answer_ms = now_ms - write->sent_ms;
    if (version <= lease->version)
        return; /* this write's row or a later one has been read meanwhile */
    lease->version = version;
    lease->version_since_ms = now_ms;
    lease->copied = FALSE;
    lease->unreadable = FALSE;
    lease->reclaiming = FALSE;
    wb_lease_row_copy(&lease->known, &write->row);
    own_row_apply(lease, write->sent_ms);
}

/* Plans the next attempt, unless one was sent since. */
static void retry_plan(wb_lease_t *lease, uint64_t beat, int64_t from_ms, int64_t now_ms) {
    if (beat != lease->beat)
        return;
    int64_t pause_ms = lease->settings.write_timeout_ms / 4;
    /* A holder must renew soon; a node that wants to take over backs off exponentially. */
    if (!is_holding(lease)) {
        lease->takeover_backoff_ms =
            CLAMP(2 * lease->takeover_backoff_ms, pause_ms, TAKEOVER_BACKOFF_MAX * pause_ms);
        pause_ms = lease->takeover_backoff_ms;
    }
    lease->retry_at_ms = from_ms + pause_ms;
    lease->last_write_ms = now_ms - lease->settings.renew_ms;
}

void wb_lease_on_not_written(wb_lease_t *lease, uint64_t beat, int64_t now_ms) {
    wb_lease_write_t *write = write_find(lease, beat);
    if (write != NULL)
        write->under_way = FALSE;
    retry_plan(lease, beat, now_ms, now_ms);
}

void wb_lease_on_write_unknown(wb_lease_t *lease, uint64_t beat, int64_t now_ms) {
    wb_lease_write_t *write = write_find(lease, beat);
    if (write == NULL)
        return;
    write->under_way = FALSE;
    /* The next attempt has the same condition, so at most one of the two succeeds. The delay starts
     * when the write was sent: after a timeout the next attempt follows immediately, but not when
     * the store resets each connection. */
    retry_plan(lease, beat, write->sent_ms, now_ms);
}

int64_t wb_lease_authorize_order(wb_lease_t *lease, const char *engine, int64_t now_ms) {
    return wb_lease_grants_request(lease->grants, engine, now_ms);
}

int64_t wb_lease_blocked_ms(const wb_lease_t *lease, const char *engine, int64_t now_ms) {
    return wb_lease_grants_blocked_ms(lease->grants, engine, now_ms);
}

gboolean wb_lease_is_own(const wb_lease_t *lease) {
    return is_holding(lease);
}

gboolean wb_lease_is_held(const wb_lease_t *lease, int64_t now_ms) {
    return is_holding(lease) && now_ms < lease->held_until_ms - lease->settings.margin_ms;
}

uint64_t wb_lease_token(const wb_lease_t *lease) {
    return lease->own_token;
}

const wb_lease_row_t *wb_lease_known_row(const wb_lease_t *lease) {
    return lease->known.holder != NULL ? &lease->known : NULL;
}

int64_t wb_lease_confirmed_version(const wb_lease_t *lease) {
    return lease->copied || lease->reclaiming ? 0 : MAX(lease->version, 0);
}

const wb_lease_predecessor_t *wb_lease_predecessor(const wb_lease_t *lease) {
    return &lease->predecessor;
}

void wb_lease_set_takeover_delay(wb_lease_t *lease, int64_t first_ms, int64_t spread_ms) {
    lease->takeover_min_delay_ms = first_ms;
    lease->takeover_spread_ms = spread_ms;
}

void wb_lease_on_store_recovered(wb_lease_t *lease, int64_t now_ms) {
    lease->holder_priority_until_ms = now_ms + HOLDER_PRIORITY_RENEWALS * lease->settings.renew_ms;
}

void wb_lease_release(wb_lease_t *lease) {
    lease->releasing = TRUE;
}

void wb_lease_hand_over(wb_lease_t *lease, int64_t now_ms) {
    if (!wb_lease_is_held(lease, now_ms))
        return;
    lease->handing_over = TRUE;
    lease->held_until_ms = 0; /* send no more orders */
}

void wb_lease_write_soon(wb_lease_t *lease) {
    lease->write_requested = TRUE;
}

uint64_t wb_lease_resends(const wb_lease_t *lease) {
    return lease->resends;
}

gboolean wb_lease_release_is_pending(const wb_lease_t *lease) {
    return lease->releasing && is_holding(lease);
}
