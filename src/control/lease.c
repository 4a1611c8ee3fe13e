/* The placement controller's lease, as a pure state machine. */
#include "wickbridge/lease.h"

#include "control/lease_grants.h"

#include <string.h>

/* Writes whose outcome may still show; an older one counts for nothing any more. */
#define WRITES_REMEMBERED 16
/* Tries to take a lease over that fail are so many times as far apart as renewals, at most. */
#define TAKEOVER_PAUSES 6
/* After the store was away its holder is as well as the others: it gets the time of so many
 * renewals to go on. It tries at least twice in one. */
#define HOLDER_FIRST_RENEWALS 2

typedef struct wb_lease_write_t {
    uint64_t beat;
    int64_t sent_ms;
} wb_lease_write_t;

struct wb_lease_t {
    wb_lease_settings_t settings;
    wb_lease_row_t known; /* holder NULL: nobody */
    int64_t version;      /* of the row; 0: not there; -1: never read */
    int64_t version_since_ms;
    uint64_t own_token; /* 0: never held by this process */
    uint64_t beat;      /* of the last write; begins at random, so that no other process has it */
    wb_lease_write_t writes[WRITES_REMEMBERED];
    int64_t held_until_ms;
    int64_t last_write_ms;
    int64_t retry_at_ms;
    gboolean writing;
    wb_lease_grants_t *grants;
    wb_lease_row_t written; /* the write under way */
    int64_t written_expected;
    int64_t written_sent_ms;
    wb_lease_predecessor_t predecessor; /* the last row of another process */
    gboolean releasing;
    gboolean given_up;
    int64_t holder_first_ms; /* until then a holder that lost the store may renew first */
    double takeover_share;   /* this node's place in the spread, 0 to 1 */
    int64_t first_ms;        /* before the spread begins */
    int64_t spread_ms;
    int64_t takeover_pause_ms; /* after the last try in a row that failed */
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
    lease->spread_ms = settings->spread_ms;
    lease->takeover_share = g_random_double();
    lease->beat = ((uint64_t)g_random_int() << 24) + 1;
    return lease;
}

void wb_lease_free(wb_lease_t *lease) {
    wb_lease_row_clear(&lease->known);
    wb_lease_row_clear(&lease->written);
    wb_lease_grants_free(lease->grants);
    g_free(lease);
}

static gboolean is_own(const wb_lease_t *lease, const wb_lease_row_t *row) {
    return row->holder != NULL && strcmp(row->holder, lease->settings.machine) == 0;
}

/* Returns when this process sent the write that made the row, or -1 when it wasn't this process. */
static int64_t own_write_sent_ms(const wb_lease_t *lease, const wb_lease_row_t *row) {
    const wb_lease_write_t *write = &lease->writes[row->beat % WRITES_REMEMBERED];
    return is_own(lease, row) && write->beat == row->beat ? write->sent_ms : -1;
}

/* The row is as this process wrote it at some time. */
static void own_row_take(wb_lease_t *lease, int64_t sent_ms) {
    lease->own_token = lease->known.token;
    wb_lease_grants_on_written(lease->grants, lease->known.beat);
    if (lease->known.released)
        lease->given_up = TRUE;
    else if (!lease->releasing)
        lease->held_until_ms = MAX(lease->held_until_ms, sent_ms + lease->settings.duration_ms);
}

static void predecessor_seen(wb_lease_t *lease, int64_t now_ms) {
    lease->held_until_ms = 0;
    lease->predecessor.loads = lease->known.recent_loads;
    lease->predecessor.seen_ms = now_ms;
}

void wb_lease_on_row(wb_lease_t *lease, const wb_lease_row_t *row, int64_t version,
                     int64_t now_ms) {
    if (version == lease->version && row != NULL && row->has_grants) {
        /* Another node told of this row before, in short; now the store has shown it whole. */
        wb_lease_row_copy(&lease->known, row);
        return;
    }
    if (version <= lease->version && lease->version != -1)
        return;
    lease->version = version;
    lease->version_since_ms = now_ms;
    if (row == NULL) {
        wb_lease_row_clear(&lease->known);
        return;
    }
    wb_lease_row_copy(&lease->known, row);
    int64_t sent_ms = own_write_sent_ms(lease, row);
    if (sent_ms >= 0)
        own_row_take(lease, sent_ms);
    else
        predecessor_seen(lease, now_ms);
}

static gboolean is_holding(const wb_lease_t *lease) {
    return lease->own_token != 0 && lease->known.token == lease->own_token &&
           is_own(lease, &lease->known) && !lease->known.released;
}

/* Until when the holder of the known row may act, as far as this node can tell. */
static int64_t holder_acts_until_ms(const wb_lease_t *lease) {
    const wb_lease_settings_t *settings = &lease->settings;
    int64_t acts_ms = lease->known.released ? 0 : settings->duration_ms + settings->margin_ms;
    return lease->version_since_ms + acts_ms;
}

/* When the lease may be taken over, if the row stays as it is. */
static int64_t takeover_at_ms(const wb_lease_t *lease) {
    if (lease->known.holder == NULL || is_own(lease, &lease->known))
        return lease->version_since_ms;
    return MAX(holder_acts_until_ms(lease), lease->holder_first_ms);
}

/* Time after that at which this node tries, so that not all try at once. */
static int64_t takeover_delay_ms(const wb_lease_t *lease) {
    if (is_own(lease, &lease->known))
        return 0;
    return lease->first_ms + (int64_t)(lease->takeover_share * (double)lease->spread_ms);
}

/* Whoever held the lease before may have ordered the engines of its row until its time was over. */
static void takeover_begin(wb_lease_t *lease, int64_t now_ms) {
    const wb_lease_settings_t *settings = &lease->settings;
    gboolean anybody = lease->known.holder != NULL;
    gboolean named = lease->known.has_grants && !lease->known.grants_unlisted;
    lease->predecessor.max_ordered_engines = named ? lease->known.granted_count : G_MAXUINT;
    wb_lease_grants_begin(
        lease->grants, anybody ? &lease->known : NULL, is_own(lease, &lease->known),
        holder_acts_until_ms(lease) + settings->handover_interval_ms + settings->margin_ms, now_ms);
}

int64_t wb_lease_takeover_at_ms(const wb_lease_t *lease) {
    return lease->version < 0 ? 0 : takeover_at_ms(lease);
}

int64_t wb_lease_row_changed_ms(const wb_lease_t *lease) {
    return lease->version_since_ms;
}

static gboolean write_is_due(const wb_lease_t *lease, int64_t now_ms) {
    if (lease->writing || lease->version < 0 || now_ms < lease->retry_at_ms)
        return FALSE;
    if (is_holding(lease))
        return lease->releasing || wb_lease_grants_has_pending(lease->grants) ||
               now_ms - lease->last_write_ms >= lease->settings.renew_ms;
    if (lease->releasing || lease->given_up)
        return FALSE;
    return now_ms >= takeover_at_ms(lease) + takeover_delay_ms(lease);
}

gboolean wb_lease_next_write(wb_lease_t *lease, int64_t now_ms, wb_lease_row_t *row,
                             int64_t *expected_version) {
    if (!write_is_due(lease, now_ms))
        return FALSE;
    wb_lease_row_t next = {.holder = (char *)lease->settings.machine,
                           .address = (char *)lease->settings.address,
                           .token = lease->own_token,
                           .beat = ++lease->beat};
    if (is_holding(lease)) {
        next.released = lease->releasing;
        if (lease->releasing)
            lease->held_until_ms = 0; /* not one act more */
    } else {
        next.token = MAX(lease->known.token, lease->own_token) + 1;
        takeover_begin(lease, now_ms);
    }
    wb_lease_grants_fill_row(lease->grants, &next, now_ms);
    wb_lease_row_copy(&lease->written, &next);
    lease->written_expected = lease->version;
    lease->written_sent_ms = now_ms;
    lease->last_write_ms = now_ms;
    lease->writes[next.beat % WRITES_REMEMBERED] = (wb_lease_write_t){next.beat, now_ms};
    lease->writing = TRUE;
    *row = lease->written;
    *expected_version = lease->written_expected;
    return TRUE;
}

void wb_lease_on_written(wb_lease_t *lease, int64_t version, int64_t now_ms) {
    lease->writing = FALSE;
    lease->takeover_pause_ms = 0;
    if (version <= lease->version)
        return; /* the row was read meanwhile, this write or a later one */
    lease->version = version;
    lease->version_since_ms = now_ms;
    wb_lease_row_copy(&lease->known, &lease->written);
    own_row_take(lease, lease->written_sent_ms);
}

void wb_lease_on_not_written(wb_lease_t *lease, int64_t now_ms) {
    lease->writing = FALSE;
    int64_t pause_ms = lease->settings.write_timeout_ms / 4;
    /* A holder must renew soon; who only wants to be one asks ever more rarely. */
    if (!is_holding(lease)) {
        lease->takeover_pause_ms =
            CLAMP(2 * lease->takeover_pause_ms, pause_ms, TAKEOVER_PAUSES * pause_ms);
        pause_ms = lease->takeover_pause_ms;
    }
    lease->retry_at_ms = now_ms + pause_ms;
    lease->last_write_ms = now_ms - lease->settings.renew_ms;
}

void wb_lease_on_write_unknown(wb_lease_t *lease, int64_t now_ms) {
    /* The same condition guards the next try; only one of the two can count. The pause runs from
     * when the write was sent: after a timeout the next try follows at once, but not when the store
     * resets each connection. */
    wb_lease_on_not_written(lease, now_ms);
    lease->retry_at_ms -= now_ms - lease->written_sent_ms;
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

int64_t wb_lease_version(const wb_lease_t *lease) {
    return MAX(lease->version, 0);
}

const wb_lease_predecessor_t *wb_lease_predecessor(const wb_lease_t *lease) {
    return &lease->predecessor;
}

void wb_lease_set_takeover_delay(wb_lease_t *lease, int64_t first_ms, int64_t spread_ms) {
    lease->first_ms = first_ms;
    lease->spread_ms = spread_ms;
}

void wb_lease_on_store_recovered(wb_lease_t *lease, int64_t now_ms) {
    lease->holder_first_ms = now_ms + HOLDER_FIRST_RENEWALS * lease->settings.renew_ms;
}

void wb_lease_release(wb_lease_t *lease) {
    lease->releasing = TRUE;
}

gboolean wb_lease_release_is_pending(const wb_lease_t *lease) {
    return lease->releasing && is_holding(lease);
}
