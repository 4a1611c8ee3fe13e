/**
 * @file edge_node_types.h
 * @brief The edge node as its own files share it.
 */
#ifndef WICKBRIDGE_EDGE_NODE_TYPES_H
#define WICKBRIDGE_EDGE_NODE_TYPES_H

#include "edge/catalog_reader.h"
#include "request/request_types.h"

#include "control/controller.h"

#include "pace/pace_aggregate.h"
#include "quota/quota_ledger.h"

#include "wickbridge/lease.h"
#include "wickbridge/link.h"
#include "wickbridge/table_watch.h"

/* A node's row as this node saw it. */
typedef struct wb_node_row_t {
    int64_t seen_ms; /* when its row last changed */
    int64_t version;
    char *address;          /* where other nodes reach it; NULL when the row doesn't tell */
    double processor_share; /* of a core; 0: the row doesn't tell */
    unsigned form;          /* of messages that it reads */
} wb_node_row_t;

typedef struct wb_announcement_t wb_announcement_t;
typedef struct wb_directory_t wb_directory_t;
typedef struct wb_subscription_t wb_subscription_t;

/* How a node knows engines. */
typedef enum wb_directory_state_t {
    WB_DIRECTORY_SMALL,     /* it reads their table, which isn't large as far as known */
    WB_DIRECTORY_UNDECIDED, /* the table is large: who reads it isn't known yet */
    WB_DIRECTORY_WHOLE,     /* it reads the large table, and tells others */
    WB_DIRECTORY_PART       /* it is told of the engines that its callers need */
} wb_directory_state_t;

/* A gateway that reports to this node. */
typedef struct wb_gateway_t {
    char *name;                      /* NULL until it told it */
    int64_t heard_ms;                /* when its last message came */
    gboolean lost;                   /* it hasn't been heard for too long, though the link stands */
    gboolean states_told;            /* it was told all that engines have told of themselves */
    wb_subscription_t *subscription; /* rows that it is told of here, on a link for that; or NULL */
} wb_gateway_t;

struct wb_edge_node_t {
    wb_edge_t edge;
    wb_table_t *table;
    wb_catalog_reader_t *catalog_reader;
    wb_table_watch_t *catalog_watch;
    wb_table_watch_t *engines_watch;
    wb_table_watch_t *nodes_watch;
    wb_http_listener_t *callers;
    wb_http_listener_t *ready;
    wb_http_listener_t *operators;
    wb_lease_t *lease;
    unsigned lease_form; /* of the build that wrote the lease's row last; 0: it didn't tell */
    wb_controller_t *controller;
    GHashTable *nodes; /* id -> wb_node_row_t */
    wb_directory_t *directory;
    GHashTable
        *engine_rows;     /* id -> wb_table_row_t, in a large fleet where others are told of them */
    GHashTable *zones;    /* zone that was ever evacuated -> private to node_zones.c */
    gboolean births_told; /* some engine has told when it started: all do */
    unsigned rows_refused;                   /* rows of engines, not yet logged */
    int64_t rows_refused_ms;                 /* when a log line last told of them */
    gboolean store_lost[WB_TABLE_NODES + 1]; /* by wb_table_name_t */
    gboolean node_row_written;
    gboolean node_row_creating; /* the write under way is that of a row that wasn't there */
    gboolean node_row_created;  /* by this process, and not read back yet */
    gboolean node_row_adopted;  /* it is that of the process before this one on the same machine */
    gboolean node_row_writing;
    int64_t node_row_due_ms;
    int64_t node_row_retry_ms; /* pause after the last write, if it failed */
    uint64_t node_row_beat;
    /* Links between gateways and the controller. */
    wb_link_listener_t *link_listener;
    wb_link_counters_t link_counters;
    GHashTable *gateways; /* wb_link_t -> wb_gateway_t, when this node is the controller */
    GArray *placements;   /* of wb_wire_placement_entry, not yet told to gateways: node_broadcast.c */
    GArray *placement_starts;  /* of uint64_t: when their engines started; 0: not told */
    uint64_t placements_token; /* under which they were decided */
    wb_timer_t *placements_timer;
    GHashTable *announcements; /* id of a node that doesn't report -> wb_announcement_t */
    int64_t share_told_ms;     /* when this node, as the holder, told its digest of nodes last */
    int64_t share_looked_ms;   /* when another digest than the own one made it ask the store last */
    int64_t share_ticked_ms;   /* the round before this one; 0: none */
    unsigned share_nodes;      /* among how many nodes the slack is divided; 0: no share now */
    wb_quota_ledger_t *quota_book;
    uint64_t quota_token;  /* of the lease under which this node keeps the book; 0: it doesn't */
    GByteArray *quota_row; /* the shares that this node told last, as they stand in the store */
    int64_t quota_row_until_ms; /* until when shares read there count; 0: none do */
    int64_t quota_told_ms;      /* when this node told shares last */
    int64_t quota_logged_ms;
    int64_t quota_heard_ms;    /* when it was told shares last */
    int64_t quota_reported_ms; /* when it reported last, by itself or to another node */
    wb_pace_aggregate_t *pace_book;
    gboolean pace_keeper; /* at the last tick */
    int64_t pace_logged_ms;
    int64_t pace_told_ms;   /* when this node told engines' loads last */
    int64_t pace_heard_ms;  /* when it was told them last */
    uint64_t poison_told;   /* version of the book of poison requests that was told last */
    gboolean poison_keeper; /* at the last tick */
    gboolean states_told;   /* the node that all report to was told what engines have told here */
    wb_link_t *controller_link;
    char *controller_address;
    gboolean controller_link_open;
    int64_t link_retry_ms;
    gboolean demand_told; /* the last message was not empty */
    int64_t demand_told_ms;
    int64_t link_opened_ms;
    /* What the holder reads in the store, for gateways: node_store_updates.c. */
    GArray *news_rows; /* of wb_wire_table_row, not yet told */
    gsize news_bytes;
    gboolean news_look; /* too much to tell */
    int64_t news_told_ms;
    int64_t news_heard_ms;
    int64_t late_news_ms; /* the last news after which none came in time, as heard then */
    wb_controller_reach_t reach_told; /* as waiting requests were told last */
    uint64_t unheard_token;           /* of the lease as it was known then */
    int64_t unheard_since_ms; /* since when no controller is heard; 0: one is, or it is this node */
    wb_timer_t *need_timer;
    gboolean held;
    gboolean ready_told;
    gboolean resting_closed;
    gboolean releasing;
    int64_t release_until_ms;
    unsigned look_rounds; /* of the loop since a look at what still runs began; 0: none */
    gboolean refusing;    /* callers' new connections, at the end of a stop */
    gboolean drained;
};

gboolean wb_edge_node_is_ready(const wb_edge_node_t *node);

/** @return where other nodes reach this one */
const char *wb_edge_node_address(const wb_edge_node_t *node);

/** Key of the lease's row. */
#define WB_LEASE_KEY "controller"

/* node_store.c */
/** Frees a wb_node_row_t. */
void wb_edge_node_row_free(gpointer data);
/** Time since this node knew the newest configuration, by its own reading or the holder's. @param
 * context the node */
int64_t wb_edge_node_catalog_age_ms(void *context);
/** Begin to follow configuration, engines and own rows. */
void wb_edge_node_follow_store(wb_edge_node_t *node);
/** Keep this node's own row in the store; forget nodes whose rows don't change. */
void wb_edge_node_tick_rows(wb_edge_node_t *node, int64_t now_ms);

/* node_engines.c */
/** A row of an engine as the table's watch tells it. @param context the node */
void wb_edge_node_engine_row(const wb_table_row_t *row, void *context);
/** Rows of engines were taken. @param context the node */
void wb_edge_node_engine_batch(gboolean whole, void *context);

/* node_directory.c */
wb_directory_t *wb_edge_node_directory_create(wb_edge_node_t *node);
/** The table of engines is large: as wb_table_watch_events_t.on_row_limit. @param context the node */
void wb_edge_node_directory_large(void *context);
/** Decide who reads the table; keep a link to a relay. */
void wb_edge_node_tick_directory(wb_edge_node_t *node, int64_t now_ms);
/** @return TRUE when the table of engines is large */
gboolean wb_edge_node_is_large(const wb_edge_node_t *node);
/** @return TRUE when this node reads the table of engines, so that it may decide on them */
gboolean wb_edge_node_reads_engines(const wb_edge_node_t *node);
/** @return TRUE when it has read it */
gboolean wb_edge_node_knows_engines(const wb_edge_node_t *node);
/** @return TRUE when requests can be served: a relay has answered where one is needed */
gboolean wb_edge_node_directory_is_ready(const wb_edge_node_t *node);
/** As wb_edge_t.engines_known. @param context the node */
gboolean wb_edge_node_directory_knows(const char *service, const char *model, int64_t since_ms,
                                      void *context);
/** News of an engine that isn't known here. @return FALSE when its row is to be read in the store
 */
gboolean wb_edge_node_directory_news(wb_edge_node_t *node, const wb_wire_placement_entry *entry);

/* node_relay.c */
void wb_edge_node_subscription_free(wb_subscription_t *subscription);
/** A row of an engine is new or changed, or was removed: tell those that know it. */
void wb_edge_node_relay_row(wb_edge_node_t *node, const wb_table_row_t *row);
/** A gateway asks for engines. */
void wb_edge_node_relay_want(wb_edge_node_t *node, wb_link_t *link, wb_gateway_t *gateway,
                             const wb_wire_engine_subscribe *want);
/** Tell changes, or that there are none. */
void wb_edge_node_tick_relay(wb_edge_node_t *node, int64_t now_ms);

/* node_zones.c */
/** Take a row of the catalog's table that says which zone is being evacuated. @return FALSE when it
 * doesn't say that */
gboolean wb_edge_node_zone_row(wb_edge_node_t *node, const wb_table_row_t *row);
GHashTable *wb_edge_node_zones_create(void);
/** Number of a table in news that tell of zones; no table of the store has it, so that nodes which
 * don't know it pass over such rows. */
#define WB_NEWS_ZONES 100
/** The same for the digest of the nodes that the lease's holder knows. */
#define WB_NEWS_NODE_IDS 101
/** Append what is known of zones to rows of news, with texts of their own. @param rows of
 * wb_wire_table_row */
void wb_edge_node_zones_tell(const wb_edge_node_t *node, GArray *rows);
/** The lease's holder has told of a zone. */
void wb_edge_node_zone_told(wb_edge_node_t *node, const wb_wire_table_row *wire);

/* node_share.c */
/** Learn which nodes share what all may spend, and write when that changes. */
void wb_edge_node_tick_share(wb_edge_node_t *node, int64_t now_ms);
/** @return TRUE when the holder's news should have a digest of the nodes that it knows, which is
 * not each time */
gboolean wb_edge_node_share_digest_is_due(wb_edge_node_t *node, int64_t now_ms);
/** Such a digest has come. */
void wb_edge_node_share_hear(wb_edge_node_t *node, const wb_wire_table_view *view, int64_t now_ms);

/* node_lease.c */
void wb_edge_node_open_lease(wb_edge_node_t *node);
void wb_edge_node_take_lease_row(wb_edge_node_t *node, const wb_table_row_t *row);
/** Compare the lease with what the controller does: begin or stop to act. */
void wb_edge_node_check_lease(wb_edge_node_t *node);
/** Renew or take the lease when that is due. */
void wb_edge_node_tick_lease(wb_edge_node_t *node, int64_t now_ms);
gboolean wb_edge_node_may_act(void *context);
/** As wb_lease_authorize_order. @param context the node */
int64_t wb_edge_node_ask_order(const char *engine, void *context);
/** As wb_lease_blocked_ms. @param context the node */
int64_t wb_edge_node_blocked_ms(const char *engine, void *context);
/** A lease's row as it is sent and stored; texts are borrowed. */
wb_wire_lease wb_edge_node_lease_to_wire(const wb_lease_row_t *row);
/** The reverse; texts are borrowed. */
wb_lease_row_t wb_edge_node_lease_from_wire(const wb_wire_lease *wire);
/** Without the lists of engines: who takes the lease over reads them in the store. */
wb_lease_row_t wb_edge_node_lease_in_short(const wb_lease_row_t *row);

/* node_announce.c */
GHashTable *wb_edge_node_announcements_create(void);
/** While this node holds the lease: tell nodes so that don't report to it. */
void wb_edge_node_tick_announce(wb_edge_node_t *node, int64_t now_ms);

/* node_pace.c */
/** The node that keeps the book is reached anew, and may be another one: it is told all that was
 * heard here lately. */
void wb_edge_node_pace_link_open(wb_edge_node_t *node);
/** Put what this node knows of engines into a message for the node that keeps the book. */
void wb_edge_node_pace_report(wb_edge_node_t *node, wb_wire_demand *demand);
/** A node has told what it knows of engines. */
void wb_edge_node_pace_take_report(wb_edge_node_t *node, const wb_wire_demand *demand);
/** The node that keeps the book has told what all nodes know. */
void wb_edge_node_pace_take(wb_edge_node_t *node, const wb_wire_engine_loads *told);
/** A gateway that reports to this node has come: tell it all. */
void wb_edge_node_pace_gateway_open(wb_edge_node_t *node, wb_link_t *link);
/** While this node keeps the book: tell what has changed. */
void wb_edge_node_tick_pace(wb_edge_node_t *node, int64_t now_ms);

/* node_quota.c */
/** Another configuration is in force. */
void wb_edge_node_quota_limits(wb_edge_node_t *node);
/** Put what tenants spent here into a message for the node that keeps the book. */
void wb_edge_node_quota_report(wb_edge_node_t *node, wb_wire_demand *demand);
/** Write the shares that were told last behind the lease's row. @return bytes, 0 when there is no
 * room
 */
u_int wb_edge_node_quota_write(wb_edge_node_t *node, char *bytes, u_int room);
/** Read them: after a start they count until the book is heard. */
void wb_edge_node_quota_read(wb_edge_node_t *node, XDR *stream);
/** @return TRUE when the node that keeps the book must hear from this one, whatever there is to
 * tell */
gboolean wb_edge_node_quota_report_due(const wb_edge_node_t *node, int64_t now_ms);
/** A node has told what tenants spent there. */
void wb_edge_node_quota_take_report(wb_edge_node_t *node, const wb_wire_demand *demand);
/** A node that reports can't be reached any more. */
void wb_edge_node_quota_lost(wb_edge_node_t *node, const wb_gateway_t *gateway);
/** The node that keeps the book has told which tenants are short. */
void wb_edge_node_quota_take_shares(wb_edge_node_t *node, const wb_wire_quota *told);
/** Keep the book while the lease names this node, and tell gateways. */
void wb_edge_node_tick_quota(wb_edge_node_t *node, int64_t now_ms);

/* node_poison.c */
/** What is held against requests has changed here: tell it. @param context the node */
void wb_edge_node_poison_changed(void *context);
/** The link to the node that the lease names is open: tell it all. */
void wb_edge_node_poison_link_open(wb_edge_node_t *node);
/** A gateway has linked to this node: tell it all, if this is the node that the lease names. */
void wb_edge_node_poison_gateway_open(wb_edge_node_t *node, wb_link_t *link);
/** Another node has told what is held against requests. */
void wb_edge_node_poison_take(wb_edge_node_t *node, const wb_wire_poison *told);
/** Tell all gateways once the lease names this node. */
void wb_edge_node_tick_poison(wb_edge_node_t *node);
/** Write what must outlive all nodes. @return bytes written, at most `room`; 0: it doesn't fit */
u_int wb_edge_node_poison_write(const wb_edge_node_t *node, char *bytes, u_int room);
/** Read it back. */
void wb_edge_node_poison_read(wb_edge_node_t *node, XDR *stream);

/* node_engine_states.c */
/** Tell on what engines have told of themselves. */
void wb_edge_node_tick_states(wb_edge_node_t *node, int64_t now_ms);
/** Another node has told it. */
void wb_edge_node_states_take(wb_edge_node_t *node, const wb_wire_engine_states *told);
/** An engine has told the controller of this node something new. @param context the node */
void wb_edge_node_states_heard(wb_engine_t *engine, void *context);

/* node_broadcast.c */
/** Tell the gateways that read messages of form 2 or later. */
void wb_edge_node_tell_newer_gateways(wb_edge_node_t *node, const wb_wire_message *message);
/** Tell all gateways; what is told of models and adapters may be sent some ms later. */
void wb_edge_node_tell_gateways(wb_edge_node_t *node, const wb_wire_message *message);
/** Clears a wb_wire_placement_entry. */
void wb_edge_node_placement_clear(gpointer data);

/* node_links.c */
/** Tell on a link which form of messages this node reads. */
void wb_edge_node_hello_send(const wb_edge_node_t *node, wb_link_t *link);
/** The other end has told. */
void wb_edge_node_hello_take(wb_link_t *link, const wb_wire_hello *hello);
/** Take one entry of news of models. @param engine that it names */
void wb_edge_node_placement_take(wb_edge_node_t *node, wb_engine_t *engine,
                                 const wb_wire_placement_entry *entry);
void wb_edge_node_tell_news(const wb_wire_message *news, void *context);
/** Frees a wb_gateway_t. */
void wb_edge_node_gateway_free(gpointer data);
void wb_edge_node_gateway_open(wb_link_t *link, void *context);
void wb_edge_node_gateway_message(wb_link_t *link, const wb_wire_message *message, void *context);
void wb_edge_node_gateway_close(wb_link_t *link, const char *reason, void *context);
/** @return TRUE when the other nodes report to this one: it holds the lease, or did last */
gboolean wb_edge_node_is_reported_to(const wb_edge_node_t *node);
/** Tell the controller what is asked for here. */
void wb_edge_node_tell_demand(wb_edge_node_t *node);
/** Someone waits for what isn't loaded: tell the controller once this round's requests are in. */
void wb_edge_node_need_arose(void *context);
/** Keep one link to whoever holds the lease, unless it is this node. */
void wb_edge_node_tick_link(wb_edge_node_t *node, int64_t now_ms);

/* node_reach.c */
/** Note whether a controller is heard; tell those that wait when that has changed. */
void wb_edge_node_tick_hearing(wb_edge_node_t *node, int64_t now_ms);
/** @return whether the controller hears of what is asked for here, as far as is known
 * @param context the node */
wb_controller_view_t wb_edge_node_controller_view(void *context);

/* node_store_updates.c */
/* A gateway that has heard nothing for so long asks the store itself. */
#define WB_NEWS_LIFE_MS 1200
/** @return the watch of a table, or NULL. @param table a wb_table_name_t, perhaps from a message */
wb_table_watch_t *wb_edge_node_watch(const wb_edge_node_t *node, unsigned table);
/** How often this node asks for a table, by whether it holds the lease. */
wb_table_watch_intervals_t wb_edge_node_pace(const wb_edge_node_t *node, wb_table_name_t table);
/** Set how often all tables are asked for; when the lease or the settings have changed. */
void wb_edge_node_set_paces(wb_edge_node_t *node);
/** Look at engines soon, unless the holder's news come anyway. */
void wb_edge_node_hurry(wb_edge_node_t *node);
/** Append a row, with texts of its own, to rows that are told. @param rows of wb_wire_table_row */
void wb_edge_node_wire_row_add(GArray *rows, unsigned table, const wb_table_row_t *row);
/** Queue a row that gateways must know at once; does nothing without the lease. */
void wb_edge_node_news_add(wb_edge_node_t *node, wb_table_name_t table, const wb_table_row_t *row);
/** Tell gateways what is due, if this node holds the lease. */
void wb_edge_node_tick_news(wb_edge_node_t *node, int64_t now_ms);
void wb_edge_node_take_news(wb_edge_node_t *node, const wb_wire_store_update *news);
/** Another node holds the lease, and says so on a link of its own. */
void wb_edge_node_take_announcement(wb_edge_node_t *node, const wb_wire_store_update *news);
/** @return TRUE while the holder tells this node what it reads, or this node is the holder */
gboolean wb_edge_node_hears_news(const wb_edge_node_t *node);

/** Answers operators' calls and metrics: edge_operators.c. */
void wb_edge_operators_request(wb_http_connection_t *connection, wb_http_head_t *head,
                               GByteArray *body, void *context);

#endif
