/**
 * @file table_watch_types.h
 * @brief State of a table watch, for table_watch.c and table_watch_state.c.
 */
#ifndef WICKBRIDGE_TABLE_WATCH_TYPES_H
#define WICKBRIDGE_TABLE_WATCH_TYPES_H

#include "wickbridge/table_watch.h"

#include "control/table_rows.h"

/* After a rollback, rows that the copy lacks are kept for this long: operators and engines write
 * again what was lost. Less than the time after which a node counts as in contact again (3 s). */
#define WB_WATCH_LOST_ROW_GRACE_MS 2500

typedef enum wb_watch_state_t {
    WB_WATCH_READING, /* full read, page by page */
    WB_WATCH_FOLLOWING,
    WB_WATCH_TOO_LARGE, /* stopped at the row limit */
    WB_WATCH_PEERS_ONLY /* no calls; rows come from peers */
} wb_watch_state_t;

struct wb_table_watch_t {
    wb_loop_t *loop;
    wb_table_t *table;
    wb_table_name_t name;
    wb_table_watch_intervals_t settings;
    wb_table_watch_events_t events;
    wb_watch_state_t state;
    unsigned max_rows;    /* 0: no limit */
    gboolean reports_all; /* the full read also reports rows whose version is known */
    wb_table_rows_t *rows;
    int64_t newest_row;      /* highest version of a row that was applied */
    int64_t peer_newest_row; /* highest version of a row that a peer has reported */
    int64_t named_ms;        /* when a peer first reported it */
    int64_t known_ms;        /* time as of which this node has read the table; 0: never */
    int64_t waited_ms;       /* how long the store may hold the call for changes under way */
    int64_t empty_until_ms;  /* until when a call for changes has shown that there were none */
    int64_t read_started_ms;
    int64_t peer_known_ms; /* time as of which a peer has read the table; 0: no peer has */
    int64_t announced_ms;  /* when a change without a version was announced that no later read has
                              covered; 0: none */
    double jitter;         /* random factor of the interval between own calls */
    GHashTable *read_keys; /* keys in the current full read */
    GPtrArray *read_rows;  /* rows of the current full read */
    char *next_key;
    int64_t read_version;     /* minimum of the table versions of the full read's pages */
    int64_t era;              /* newest era of the store that is known here */
    int64_t rollback_ms;      /* when the last rollback was noticed; 0: none was */
    int64_t fresh_before_ms;  /* until when the table was known before it */
    wb_timer_t *settle_timer; /* of the next full read after it; NULL: none is due */
    unsigned held_rows;       /* rows that the last full read held back */
    int64_t spread_ms;        /* random delay of those reads */
    int64_t version;          /* table version up to which changes are known */
    uint64_t ignored_rows;    /* older than the known version */
    gboolean synced;
    gboolean calling;
    unsigned serial; /* of the call under way; answers of earlier ones are ignored */
    wb_timer_t *timer;
    int64_t called_ms;
    int64_t answered_ms;
    int64_t retry_ms;  /* delay after failures in a row; 0: the last call succeeded */
    int64_t failed_ms; /* when the last call failed */
    gboolean expedited;
    wb_store_cause_t cause; /* of the call under way */
};

/** @return TRUE if a peer has reported a row that this node hasn't read. A read that is older than
 * the row doesn't change that */
gboolean wb_watch_row_is_missing(const wb_table_watch_t *watch);

#endif
