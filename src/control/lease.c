/* The placement controller's lease, as a pure state machine. */
#include "wickbridge/lease.h"

#include <string.h>

/* Writes whose outcome may still show; an older one counts for nothing any more. */
#define WRITES_REMEMBERED 16
/* Tries to take a lease over that fail are so many times as far apart as renewals, at most. */
#define TAKEOVER_PAUSES 6

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
    wb_lease_row_t written; /* the write under way */
    int64_t written_expected;
    int64_t written_sent_ms;
    unsigned predecessor_loads; /* as the last row of another process told */
    int64_t predecessor_ms;
    gboolean releasing;
    gboolean given_up;
    int64_t takeover_delay_ms; /* this node's share of the spread */
    int64_t takeover_pause_ms; /* after the last try in a row that failed */
};

static void row_clear(wb_lease_row_t *row) {
    g_free(row->holder);
    g_free(row->address);
    memset(row, 0, sizeof(*row));
}

static void row_copy(wb_lease_row_t *target, const wb_lease_row_t *source) {
    wb_lease_row_t copy = *source;
    copy.holder = g_strdup(source->holder);
    copy.address = g_strdup(source->address);
    row_clear(target);
    *target = copy;
}

wb_lease_t *wb_lease_create(const wb_lease_settings_t *settings) {
    wb_lease_t *lease = g_new0(wb_lease_t, 1);
    lease->settings = *settings;
    lease->version = -1;
    if (settings->spread_ms > 0)
        lease->takeover_delay_ms = g_random_int_range(0, (gint32)settings->spread_ms);
    lease->beat = ((uint64_t)g_random_int() << 24) + 1;
    return lease;
}

void wb_lease_free(wb_lease_t *lease) {
    row_clear(&lease->known);
    row_clear(&lease->written);
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
    if (lease->known.released)
        lease->given_up = TRUE;
    else if (!lease->releasing)
        lease->held_until_ms = MAX(lease->held_until_ms, sent_ms + lease->settings.duration_ms);
}

static void predecessor_seen(wb_lease_t *lease, int64_t now_ms) {
    lease->held_until_ms = 0;
    lease->predecessor_loads = lease->known.recent_loads;
    lease->predecessor_ms = now_ms;
}

void wb_lease_on_row(wb_lease_t *lease, const wb_lease_row_t *row, int64_t version,
                     int64_t now_ms) {
    if (version <= lease->version && lease->version != -1)
        return;
    lease->version = version;
    lease->version_since_ms = now_ms;
    if (row == NULL) {
        row_clear(&lease->known);
        return;
    }
    row_copy(&lease->known, row);
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

/* When this node may take the lease over, if the row stays as it is. */
static int64_t takeover_at_ms(const wb_lease_t *lease) {
    const wb_lease_settings_t *settings = &lease->settings;
    if (lease->known.holder == NULL || is_own(lease, &lease->known))
        return lease->version_since_ms;
    int64_t wait_ms = settings->quiet_ms + settings->margin_ms + lease->takeover_delay_ms;
    if (!lease->known.released)
        wait_ms += settings->duration_ms;
    return lease->version_since_ms + wait_ms;
}

int64_t wb_lease_takeover_at_ms(const wb_lease_t *lease) {
    return lease->version < 0 ? 0 : takeover_at_ms(lease);
}

int64_t wb_lease_changed_ms(const wb_lease_t *lease) {
    return lease->version_since_ms;
}

static gboolean write_is_due(const wb_lease_t *lease, int64_t now_ms) {
    if (lease->writing || lease->version < 0 || now_ms < lease->retry_at_ms)
        return FALSE;
    if (is_holding(lease))
        return lease->releasing || now_ms - lease->last_write_ms >= lease->settings.renew_ms;
    if (lease->releasing || lease->given_up)
        return FALSE;
    return now_ms >= takeover_at_ms(lease);
}

gboolean wb_lease_next_write(wb_lease_t *lease, int64_t now_ms, wb_lease_row_t *row,
                             int64_t *expected_version) {
    if (!write_is_due(lease, now_ms))
        return FALSE;
    wb_lease_row_t next = {(char *)lease->settings.machine,
                           (char *)lease->settings.address,
                           lease->own_token,
                           ++lease->beat,
                           FALSE,
                           0};
    if (is_holding(lease)) {
        next.released = lease->releasing;
        if (lease->releasing)
            lease->held_until_ms = 0; /* not one act more */
    } else {
        next.token = MAX(lease->known.token, lease->own_token) + 1;
    }
    row_copy(&lease->written, &next);
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
    row_copy(&lease->known, &lease->written);
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

void wb_lease_on_unknown(wb_lease_t *lease, int64_t now_ms) {
    /* The same condition guards the next try; only one of the two can count. */
    wb_lease_on_not_written(lease, now_ms);
    lease->retry_at_ms = now_ms;
}

gboolean wb_lease_is_held(const wb_lease_t *lease, int64_t now_ms) {
    return is_holding(lease) && now_ms < lease->held_until_ms - lease->settings.margin_ms;
}

uint64_t wb_lease_token(const wb_lease_t *lease) {
    return lease->own_token;
}

const wb_lease_row_t *wb_lease_known(const wb_lease_t *lease) {
    return lease->known.holder != NULL ? &lease->known : NULL;
}

int64_t wb_lease_version(const wb_lease_t *lease) {
    return MAX(lease->version, 0);
}

unsigned wb_lease_predecessor_loads(const wb_lease_t *lease, int64_t *seen_ms) {
    *seen_ms = lease->predecessor_ms;
    return lease->predecessor_loads;
}

void wb_lease_release(wb_lease_t *lease) {
    lease->releasing = TRUE;
}

gboolean wb_lease_is_owed(const wb_lease_t *lease) {
    return lease->releasing && is_holding(lease);
}
