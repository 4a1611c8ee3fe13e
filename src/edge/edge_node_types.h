/**
 * @file edge_node_types.h
 * @brief Types and functions that the files of src/edge share: the state of one edge node.
 *
 * A node serves clients as a gateway. The node that holds the placement controller's lease also
 * runs the controller; every other node keeps a link to it, sends it demand and receives updates.
 * The node that the lease row names is the aggregator, even while its lease has expired: it
 * collects the gateways' reports on quota usage, engine load and poison requests.
 *
 * Times are milliseconds of wb_clock_ms (monotonic) unless a name says otherwise. Functions run on
 * the loop's thread and return no errors; failures are logged as events and retried on later ticks.
 */
#ifndef WICKBRIDGE_EDGE_NODE_TYPES_H
#define WICKBRIDGE_EDGE_NODE_TYPES_H

#include "edge/catalog_reader.h"
#include "edge/transit.h"
#include "request/engine_connect.h"
#include "request/request_types.h"
#include "tunnel/tunnel_server.h"

#include "control/controller.h"
#include "edge/node_row.h"

#include "catalog/route_moves.h"
#include "fleet/version_history.h"

#include "pace/pace_aggregate.h"
#include "quota/quota_ledger.h"

#include "wickbridge/lease.h"
#include "wickbridge/link.h"
#include "wickbridge/table_watch.h"

typedef struct wb_announcement_t wb_announcement_t;
typedef struct wb_directory_t wb_directory_t;
typedef struct wb_subscription_t wb_subscription_t;
typedef struct wb_catalog_fetcher_t wb_catalog_fetcher_t;
typedef struct wb_stream_rows_t wb_stream_rows_t;

/* Where a node gets engine rows from. */
typedef enum wb_directory_state_t {
    WB_DIRECTORY_SMALL,     /* from the table, which isn't known to be large */
    WB_DIRECTORY_UNDECIDED, /* the table is large; readers aren't selected yet */
    WB_DIRECTORY_READER,    /* from the large table; it relays rows to subscribers */
    WB_DIRECTORY_SUBSCRIBER /* from a relay, for the models that its clients use */
} wb_directory_state_t;

/* A node linked to this one. */
typedef struct wb_gateway_t {
    char *name;                      /* node id; NULL before its first demand message */
    int64_t received_ms;             /* when the link opened or its last demand message came */
    uint64_t report_ms;              /* when its last report was sent, by its clock; 0: unknown */
    gboolean report_unacknowledged;  /* with usage of limits */
    gboolean unresponsive;           /* no message for too long, but the link is still up */
    gboolean states_sent;            /* all engine-reported state was sent to it */
    gboolean origins_sent;           /* it was sent where streams may begin */
    uint64_t starts_number;          /* of the last start of a stream that was sent to it */
    uint64_t echo;                   /* latest number that it has returned on this link */
    wb_subscription_t *subscription; /* engine rows it subscribed to on this link; or NULL */
} wb_gateway_t;

/** More than come into force while a holder can't write the lease row. */
#define WB_CATALOGS_REMEMBERED 8

/** Versions of the registries of what crashes engines. */
typedef struct wb_poison_versions_t {
    uint64_t requests;
    uint64_t parts;
} wb_poison_versions_t;

struct wb_edge_node_t {
    wb_edge_t edge;
    wb_table_t *table;
    wb_catalog_reader_t *catalog_reader;
    wb_table_watch_t *catalog_watch;
    wb_catalog_fetcher_t *catalog_fetcher;
    wb_table_watch_t *engines_watch;
    wb_table_watch_t *nodes_watch;
    wb_http_listener_t *client_listener;
    wb_http_listener_t *ready_listener;
    wb_http_listener_t *operator_listener;
    wb_lease_t *lease;
    unsigned lease_format_version; /* of the last writer of the lease row; 0: not known */
    wb_controller_t *controller;
    GHashTable *nodes; /* id -> wb_node_row_t */
    wb_directory_t *directory;
    GHashTable *engine_rows;  /* id -> wb_table_row_t, kept for subscribers in a large fleet */
    GHashTable *zones;        /* every zone that was ever evacuated -> private to node_zones.c */
    gboolean starts_reported; /* an engine row had a start time: rows without one are invalid now */
    unsigned rejected_rows;   /* malformed engine rows since the last log line */
    int64_t rejected_rows_logged_ms;
    int64_t store_era; /* newest era of the store that is known; 0: it has named none */
    int64_t catalog_before_rollback; /* version of the configuration then in force; 0: none */
    gboolean has_seen_rollback;      /* the era has risen since the start */
    gboolean store_unavailable[WB_TABLE_NODES + 1]; /* by wb_table_name_t: the last call failed */
    int64_t read_discarded_ms;                      /* when a discarded read was last logged */
    gboolean node_row_written;
    gboolean node_row_creating; /* the write under way creates the row */
    gboolean node_row_created;  /* by this process, and not read back yet */
    gboolean node_row_adopted;  /* written by an earlier process on this machine */
    gboolean node_row_writing;
    int64_t node_row_due_ms;
    int64_t node_row_retry_ms; /* backoff after the last write failed; 0: it succeeded */
    uint64_t node_row_writes;  /* part of the row, so that each write changes it */
    /* Links between gateways and the controller. */
    wb_link_listener_t *link_listener;
    wb_tunnel_server_t *tunnel_server; /* NULL: it connects to no engines for others */
    wb_engine_connect_t *probe;        /* under way, to find out whether an engine is reached */
    int64_t probe_next_ms;
    wb_link_counters_t link_counters;
    GHashTable *gateways;      /* wb_link_t -> wb_gateway_t: links that other nodes opened */
    GArray *placements;        /* of wb_wire_placement_entry, queued in node_broadcast.c */
    GArray *placement_starts;  /* of uint64_t: start times of their engines; 0: not known */
    uint64_t placements_token; /* lease token under which they were decided */
    wb_timer_t *placements_timer;
    GHashTable *announcements; /* id of a node without a link to the holder -> wb_announcement_t */
    int64_t digest_sent_ms;    /* when this node last sent its digest of node ids */
    int64_t digest_polled_ms;  /* when a differing digest last made this node poll the store */
    int64_t share_ticked_ms;   /* time of the previous tick; 0: none */
    unsigned share_nodes;      /* nodes that the retry slack is divided among; 0: no share now */
    wb_quota_ledger_t *own_quota_ledger;
    uint64_t quota_token;  /* of the lease under which this node is the aggregator; 0: it isn't */
    GByteArray *quota_row; /* the shares last sent, as encoded for the lease row */
    int64_t quota_row_until_ms; /* when shares read from the lease row expire; 0: none in force */
    int64_t quota_sent_ms;      /* when this node last sent shares */
    int64_t quota_logged_ms;
    gboolean quota_history_due; /* the next report is the first one on its link */
    gboolean quota_unheard;     /* the aggregator says that this node's reports don't arrive */
    int64_t quota_began_ms;     /* when the ledger was last cleared */
    int64_t quota_ticked_ms;    /* time of the previous tick; 0: none */
    int64_t quota_activity_ms;  /* when admissions were last logged */
    int64_t quota_received_ms;  /* when shares were last received */
    int64_t quota_reported_ms;  /* when usage was last reported, to this or another node */
    wb_pace_aggregate_t *own_pace_aggregate;
    gboolean pace_aggregator; /* as of the last tick */
    int64_t pace_logged_ms;
    int64_t pace_sent_ms;             /* when this node last sent engine loads */
    int64_t pace_received_ms;         /* when engine loads were last received */
    wb_poison_versions_t poison_sent; /* last sent */
    gboolean poison_aggregator;       /* as of the last tick */
    gboolean states_sent;             /* all engine-reported state was sent on controller_link */
    /* Where streams may have begun: node_origins.c. */
    wb_version_history_t *versions;
    wb_route_moves_t *route_moves;
    int64_t catalogs_in_force[WB_CATALOGS_REMEMBERED]; /* versions of the latest; 0: none */
    guint catalogs_next;
    gboolean origins_required;  /* streams begin only where that is stored */
    gboolean origins_lack_room; /* they didn't fit into the lease row when it was last written */
    gboolean origins_by_link;   /* all that is stored was received on controller_link */
    gboolean lease_row_seen;    /* there has been a lease row */
    int64_t origins_version;    /* of the latest lease row of which all is known here; -1: none */
    int64_t stored_catalog_version; /* whose moves the lease row has; 0: none */
    gboolean origins_created;   /* this process wrote the first lease row, and only it has since */
    int64_t row_absent_ms;      /* when this process found no lease row; 0: there was one */
    int64_t streams_since_ms;   /* since when it keeps the starts of all streams, as the aggregator;
                                   0: it isn't */
    uint64_t streams_number;    /* of the last start that was sent to the gateways that keep all */
    int64_t keepers_updated_ms; /* when that was */
    GHashTable *streams_asked;  /* of wb_asked_stream_t: they aren't known */
    uint64_t echo_sent;         /* latest number that gateways were to return */
    int64_t echo_sent_ms;       /* when that was */
    gboolean echo_wanted;       /* they are to return the next one */
    uint64_t echo_due;          /* to be returned to the aggregator; 0: none */
    wb_stream_rows_t *stream_rows;
    wb_link_t *controller_link;
    char *controller_address;
    gboolean controller_link_open;
    int64_t link_retry_ms;
    gboolean demand_sent; /* the last demand message was not empty */
    int64_t demand_sent_ms;
    int64_t link_opened_ms;
    /* Store updates from the holder to gateways: node_store_updates.c. */
    GArray *update_rows; /* of wb_wire_table_row, not sent yet */
    gsize update_bytes;
    gboolean update_overflow; /* too many bytes to send: gateways poll the store instead */
    int64_t update_sent_ms;
    int64_t update_received_ms;
    wb_transit_t update_transit; /* of the updates on controller_link */
    int64_t late_update_ms;      /* update_received_ms at the last poll for a late update */
    wb_controller_reach_t reach_notified; /* as waiting requests were last notified */
    uint64_t unreached_token;             /* of the lease row known at unreached_since_ms */
    int64_t unreached_since_ms; /* since when no controller is reachable; 0: one is reachable */
    wb_timer_t *demand_timer;
    wb_timer_t *quota_report_timer;
    gboolean lease_held;
    gboolean ready_logged;
    gboolean catalog_behind_logged;
    gboolean idle_closed; /* idle client connections were closed in a planned stop */
    gboolean releasing;
    int64_t release_until_ms;
    unsigned drain_check_rounds; /* loop rounds since a check for open requests began; 0: none */
    gboolean listener_stopped;   /* client connections are no longer accepted */
    gboolean stopped;
};

gboolean wb_edge_node_is_ready(const wb_edge_node_t *node);

/** @return address at which other nodes reach this one; borrowed from the settings */
const char *wb_edge_node_address(const wb_edge_node_t *node);

/** Key of the lease row in the nodes table. */
#define WB_LEASE_KEY "controller"

/* node_store.c */
/** @return ms since this node was last sure to know the newest configuration, from its own read or
 * the holder's
 * @param context the node */
int64_t wb_edge_node_catalog_age_ms(void *context);
/** @return ms since a newer configuration than the one in force was named or received; 0: there is
 * none
 * @param context the node */
int64_t wb_edge_node_catalog_behind_ms(void *context);
/** Create the catalog reader and the watches of the catalog, engines and nodes tables. */
void wb_edge_node_follow_store(wb_edge_node_t *node);
/** Renew this node's row in the store and expire the rows of nodes that no longer change. */
void wb_edge_node_tick_rows(wb_edge_node_t *node, int64_t now_ms);

/* node_catalog.c */
wb_catalog_fetcher_t *wb_edge_node_catalog_fetcher_create(void);
/** Keep a configuration that was read, for nodes that ask for it. The row is copied. */
void wb_edge_node_catalog_keep(wb_edge_node_t *node, const wb_table_row_t *row);
/** Answer a node that asks for the configuration. */
void wb_edge_node_catalog_answer(wb_edge_node_t *node, wb_link_t *link,
                                 const wb_wire_catalog_fetch *fetch);
/** Ask another node for the configuration when that is due. */
void wb_edge_node_tick_catalog(wb_edge_node_t *node, int64_t now_ms);

/* node_era.c */
/** Look whether the store's answers have named a new era. */
void wb_edge_node_tick_era(wb_edge_node_t *node);
/** Add the era whose numbers wb_edge_node_version_to_wire returns. */
void wb_edge_node_era_add(const wb_edge_node_t *node, wb_wire_extensions *extensions);
/** @return the era of the row versions in the message that a link delivers; 0 if nothing can be
 * told from them */
int64_t wb_edge_node_message_era(wb_edge_node_t *node, const wb_link_t *link);
/** @return the number of a version in the present era; 0: it is of an earlier one */
uint64_t wb_edge_node_version_to_wire(const wb_edge_node_t *node, int64_t version);
/** @return the version that a message names. @param era wb_edge_node_message_era
 * @param number 0: none */
int64_t wb_edge_node_version_from_wire(int64_t era, uint64_t number);

/* node_engines.c */
/** As wb_table_watch_events_t.on_row for engines. @param context the node */
void wb_edge_node_engine_row(const wb_table_row_t *row, void *context);
/** As wb_table_watch_events_t.on_batch for engines. @param context the node */
void wb_edge_node_engine_batch(gboolean full_read, void *context);

/* node_directory.c */
wb_directory_t *wb_edge_node_directory_create(wb_edge_node_t *node);
/** As wb_table_watch_events_t.on_row_limit for engines. @param context the node */
void wb_edge_node_directory_on_large(void *context);
/** Select the readers of a large table; as a subscriber, keep a link to a relay. */
void wb_edge_node_tick_directory(wb_edge_node_t *node, int64_t now_ms);
/** @return TRUE when the engines table is large */
gboolean wb_edge_node_has_large_fleet(const wb_edge_node_t *node);
/** @return TRUE when this node reads the whole engines table, which the lease requires */
gboolean wb_edge_node_reads_engines(const wb_edge_node_t *node);
/** @return TRUE when this node reads the whole engines table and has completed a full read */
gboolean wb_edge_node_knows_engines(const wb_edge_node_t *node);
/** @return FALSE while this node is a subscriber that has had no complete answer from a relay */
gboolean wb_edge_node_directory_is_ready(const wb_edge_node_t *node);
/** As wb_edge_t.engines_known; subscribes to engines that aren't known. @param context the node */
gboolean wb_edge_node_directory_engines_known(const char *service, const char *model,
                                              int64_t since_ms, void *context);
/** Handle a placement update for an engine that isn't known here.
 * @return FALSE when the engine's row has to be read from the store */
gboolean wb_edge_node_directory_placement(wb_edge_node_t *node,
                                          const wb_wire_placement_entry *entry);

/* node_relay.c */
void wb_edge_node_subscription_free(wb_subscription_t *subscription);
/** Store an engine row that was added, changed or removed, and queue it for its subscribers. */
void wb_edge_node_relay_row(wb_edge_node_t *node, const wb_table_row_t *row);
/** Extend a gateway's subscription and send it the rows that it subscribes to.
 * @param era of the row versions that it names */
void wb_edge_node_relay_subscribe(wb_edge_node_t *node, wb_link_t *link, wb_gateway_t *gateway,
                                  const wb_wire_engine_subscribe *want, int64_t era);
/** Drop the queued changes, which are of an earlier era of the store. */
void wb_edge_node_relay_drop(wb_edge_node_t *node);
/** Send subscribers the queued changes, or an empty message as a heartbeat. */
void wb_edge_node_tick_relay(wb_edge_node_t *node, int64_t now_ms);

/* node_zones.c */
/** Apply a catalog row that says whether a zone is being evacuated.
 * @return FALSE when it is another kind of row */
gboolean wb_edge_node_zone_row(wb_edge_node_t *node, const wb_table_row_t *row);
GHashTable *wb_edge_node_zones_create(void);
/** Table number of zone rows in store updates. The store has no such table, so older nodes ignore
 * these rows. */
#define WB_UPDATE_ZONES 100
/** Table number of the digest of node ids in store updates. */
#define WB_UPDATE_NODE_IDS 101
/** Append a row for each known zone. @param rows of wb_wire_table_row; the rows own their texts */
void wb_edge_node_zones_append(const wb_edge_node_t *node, GArray *rows);
/** Apply a zone row received from the lease holder. */
void wb_edge_node_zone_take(wb_edge_node_t *node, const wb_wire_table_row *wire, int64_t era);

/* node_share.c */
/** Update the number of nodes that divide cluster-wide budgets, and log changes of it. */
void wb_edge_node_tick_share(wb_edge_node_t *node, int64_t now_ms);
/** @return TRUE when the next store update has to include the digest of node ids; marks it as sent
 */
gboolean wb_edge_node_share_digest_is_due(wb_edge_node_t *node, int64_t now_ms);
/** Compare the holder's digest of node ids with this node's. */
void wb_edge_node_share_take_digest(wb_edge_node_t *node, const wb_wire_table_view *view,
                                    int64_t now_ms);

/* node_lease.c */
void wb_edge_node_open_lease(wb_edge_node_t *node);
/** Decode the lease row and the data appended to it. */
void wb_edge_node_take_lease_row(wb_edge_node_t *node, const wb_table_row_t *row);
/* Counts and logs rows without usable keys; the context is the node. */
void wb_edge_node_rows_refused(wb_table_name_t table, unsigned rows, void *context);
/** Start or stop the controller when the lease was gained or lost. */
void wb_edge_node_check_lease(wb_edge_node_t *node);
/** Renew or take over the lease when that is due. */
void wb_edge_node_tick_lease(wb_edge_node_t *node, int64_t now_ms);
/** @return TRUE while the lease is held at this moment. @param context the node */
gboolean wb_edge_node_may_act(void *context);
/** As wb_lease_authorize_order. @param context the node */
int64_t wb_edge_node_authorize_order(const char *engine, void *context);
/** As wb_lease_blocked_ms. @param context the node */
int64_t wb_edge_node_blocked_ms(const char *engine, void *context);
/** Convert a lease row to its encoded form; texts are borrowed. */
wb_wire_lease wb_edge_node_lease_to_wire(const wb_lease_row_t *row);
/** The reverse; texts are borrowed. */
wb_lease_row_t wb_edge_node_lease_from_wire(const wb_wire_lease *wire);
/** Copy a lease row without its engine lists, which a new holder reads from the store; texts are
 * borrowed. */
wb_lease_row_t wb_edge_node_lease_without_grants(const wb_lease_row_t *row);

/* node_tunnels.c */
/** Open the tunnel server, if the settings name an address for it. */
apr_status_t wb_edge_node_open_tunnels(wb_edge_node_t *node, wb_error_t *error);
/** @return address of the tunnel server for other nodes; "": there is none */
const char *wb_edge_node_tunnel_address(const wb_edge_node_t *node);
/** As wb_edge_t.choose_peer. @param context the node */
gboolean wb_edge_node_choose_peer(GHashTable *asked, wb_peer_t *peer, void *context);
/** As wb_controller_events_t.on_call_failed: finds out whether other nodes reach the engine.
 * @param context the node */
void wb_edge_node_call_failed(wb_engine_t *engine, void *context);
/** As wb_controller_events_t.may_be_cut_off. @param context the node */
gboolean wb_edge_node_may_be_cut_off(const wb_engine_t *engine, void *context);
/** Find out whether this node is isolated; as the lease holder, hand the lease over then. */
void wb_edge_node_tick_tunnels(wb_edge_node_t *node, int64_t now_ms);

/* node_streams.c */
void wb_edge_node_streams_create(wb_edge_node_t *node);
/** As wb_edge_t.on_stream_begun. @param context the node */
void wb_edge_node_stream_begun(const wb_stream_start_t *start, void *context);
/** Add the next number that gateways are to return to an update, if one is wanted. */
void wb_edge_node_echo_want(wb_edge_node_t *node, wb_wire_extensions *extensions);
/** Return the number of an update at once, if it has one. */
void wb_edge_node_echo_return(wb_edge_node_t *node, const wb_wire_extensions *extensions);
/** Add the number to return to a message of demand. */
void wb_edge_node_echo_add(wb_edge_node_t *node, wb_wire_extensions *extensions);
/** Take the number that a gateway returns. */
void wb_edge_node_echo_take(const wb_edge_node_t *node, wb_gateway_t *gateway,
                            const wb_wire_extensions *extensions);
/** As wb_edge_t.ask_stream_start. @param context the node */
wb_start_lookup_t wb_edge_node_ask_stream_start(const wb_request_digest_t *key,
                                                const wb_stream_place_t *place, void *context);
/** Merge starts of streams that another node knows. */
void wb_edge_node_streams_take(wb_edge_node_t *node, const wb_wire_stream_starts *starts);
/** Answer a gateway that asks how a stream began. */
void wb_edge_node_stream_query(wb_edge_node_t *node, wb_link_t *link,
                               const wb_wire_stream_query *query);
/** Handle the controller's answer. */
void wb_edge_node_stream_answer(wb_edge_node_t *node, const wb_wire_stream_answer *answer,
                                const wb_wire_extensions *extensions);
/** Send all known starts of streams on a new link to the controller. */
void wb_edge_node_streams_link_open(wb_edge_node_t *node);
/** As the aggregator, send new starts of streams to some gateways. */
void wb_edge_node_tick_streams(wb_edge_node_t *node, int64_t now_ms);
/** @return TRUE when this node has been the aggregator for long enough to know what others have
 * sent, and has read what the store has */
gboolean wb_edge_node_streams_settled(const wb_edge_node_t *node, int64_t now_ms);
/** Forget starts whose time is over. */
void wb_edge_node_sweep_streams(wb_edge_node_t *node, int64_t now_ms);

/* node_stream_rows.c */
wb_stream_rows_t *wb_edge_node_stream_rows_create(const wb_edge_settings_t *settings);
/** As the aggregator, read the starts of streams from the store once, and write new ones. */
void wb_edge_node_tick_stream_rows(wb_edge_node_t *node, int64_t now_ms);
/** @return TRUE unless the store may have starts that this node, the aggregator, hasn't read */
gboolean wb_edge_node_stream_rows_known(const wb_edge_node_t *node, int64_t now_ms);

/* node_origins.c */
/** What a write of the lease row says of where streams may have begun. */
typedef struct wb_origins_write_t {
    gboolean is_written; /* it fits into the row */
    uint64_t versions_number;
    int64_t own_catalog_version; /* in force at the writer; 0: none */
    int64_t catalog_version;     /* that the row names: the latest whose moves it has */
} wb_origins_write_t;

void wb_edge_node_origins_create(wb_edge_node_t *node);
/** An engine was announced: streams may begin at its version once that is stored. */
void wb_edge_node_origins_engine(wb_edge_node_t *node, wb_engine_t *engine);
/** A catalog comes into force. @param before NULL: there was none */
void wb_edge_node_origins_catalog(wb_edge_node_t *node, const wb_catalog_t *before,
                                  wb_catalog_t *after);
/** Take what a lease row says. @param is_copy the store came back from an older copy since it was
 * written */
void wb_edge_node_origins_read(wb_edge_node_t *node, const wb_wire_extensions *extensions,
                               int64_t row_version, gboolean is_copy);
/** Add it for the lease row. @param expected_version of the row that the write replaces
 * @param write out: for wb_edge_node_origins_written */
void wb_edge_node_origins_write(wb_edge_node_t *node, int64_t expected_version,
                                wb_wire_extensions *extensions, wb_origins_write_t *write);
/** The store has taken the write. @param version of the row */
void wb_edge_node_origins_written(wb_edge_node_t *node, const wb_origins_write_t *write,
                                  int64_t version);
/** As the holder, add what is stored to an update, unless all gateways know it. */
void wb_edge_node_origins_update_add(wb_edge_node_t *node, wb_wire_extensions *extensions);
/** Take it from the holder's update. @param lease_version of the lease row that it names; number 0:
 * none */
void wb_edge_node_origins_update_take(wb_edge_node_t *node, const wb_wire_extensions *extensions,
                                      int64_t lease_version);
/** The link to the holder was closed, so its later changes may be missing. */
void wb_edge_node_origins_link_closed(wb_edge_node_t *node);
/** As wb_edge_t.sole_version. @param context the node */
const char *wb_edge_node_sole_version(const wb_stream_place_t *place, void *context);
/** Note which versions engines have. */
void wb_edge_node_origins_sweep(wb_edge_node_t *node, int64_t now_ms);

/* node_announce.c */
GHashTable *wb_edge_node_announcements_create(void);
/** As the lease holder, connect to nodes that have no link to this one. */
void wb_edge_node_tick_announce(wb_edge_node_t *node, int64_t now_ms);

/* node_pace.c */
/** The link to the aggregator was opened; queue all recent paces for the next report, as it may be
 * another node than before. */
void wb_edge_node_pace_link_open(wb_edge_node_t *node);
/** Add paces and sent tokens of engines to a demand message, and reset them. */
void wb_edge_node_pace_report(wb_edge_node_t *node, wb_wire_demand *demand);
/** Add a gateway's report to the aggregate. */
void wb_edge_node_pace_take_report(wb_edge_node_t *node, const wb_wire_demand *demand);
/** Apply the aggregated loads to the engines known here. */
void wb_edge_node_pace_take_loads(wb_edge_node_t *node, const wb_wire_engine_loads *loads);
/** Send all loads to a gateway that has just connected. */
void wb_edge_node_pace_gateway_open(wb_edge_node_t *node, wb_link_t *link);
/** As the aggregator, send the loads that changed. */
void wb_edge_node_tick_pace(wb_edge_node_t *node, int64_t now_ms);

/* node_quota.c */
/** Apply the tenants' limits of a new configuration. */
void wb_edge_node_quota_set_limits(wb_edge_node_t *node);
/** Add the tenants' usage at this node to a demand message, and reset it. */
void wb_edge_node_quota_report(wb_edge_node_t *node, wb_wire_demand *demand);
/** Write the shares last sent, for the lease row. @return bytes written; 0: they don't fit */
u_int wb_edge_node_quota_write(wb_edge_node_t *node, char *bytes, u_int room);
/** Read shares from the lease row. After a start they apply until the aggregator sends shares. */
gboolean wb_edge_node_quota_read(wb_edge_node_t *node, XDR *stream);
/** @return TRUE when a demand message has to be sent even if it is empty */
gboolean wb_edge_node_quota_report_due(const wb_edge_node_t *node, int64_t now_ms);
/** Add this node's usage of the last seconds to a report. */
void wb_edge_node_quota_history_add(const wb_edge_node_t *node, wb_wire_extensions *extensions);
/** Take the history that comes with a gateway's report, before the report. */
void wb_edge_node_quota_take_history(wb_edge_node_t *node, const char *from,
                                     const wb_wire_extensions *extensions);
/** Add a gateway's report to the ledger. */
void wb_edge_node_quota_take_report(wb_edge_node_t *node, const wb_wire_demand *demand);
/** A gateway disconnected or became unresponsive. @param gateway may be NULL */
void wb_edge_node_quota_gateway_lost(wb_edge_node_t *node, const wb_gateway_t *gateway);
/** A message of the aggregator was received. @param sent_ms when it was sent, by this node's clock
 */
void wb_edge_node_quota_heard(wb_edge_node_t *node, int64_t sent_ms);
/** @param unheard whether this node's reports don't arrive at the aggregator: while they don't,
 * messages from there don't count */
void wb_edge_node_quota_set_unheard(wb_edge_node_t *node, gboolean unheard);
/** As wb_edge_t.on_quota_report_due. @param context the node */
void wb_edge_node_quota_report_soon(void *context);
/** Send the shares to a gateway that was silent: it may admit nothing by what it knew before. */
void wb_edge_node_quota_answer(wb_edge_node_t *node, wb_link_t *link);
/** Apply the shares of all throttled tenants. @param sent_ms when they were sent, by this node's
 * clock; 0: not known */
void wb_edge_node_quota_take_shares(wb_edge_node_t *node, const wb_wire_quota *quota,
                                    int64_t sent_ms);
/** Maintain the ledger while the lease row names this node, and send shares to gateways. */
void wb_edge_node_tick_quota(wb_edge_node_t *node, int64_t now_ms);

/* node_poison.c */
/** Poison requests changed at this node: send the changes. @param context the node */
void wb_edge_node_poison_changed(void *context);
/** The link to the aggregator was opened: send it all entries. */
void wb_edge_node_poison_link_open(wb_edge_node_t *node);
/** A gateway connected: as the aggregator, send it all entries. */
void wb_edge_node_poison_gateway_open(wb_edge_node_t *node, wb_link_t *link);
/** Merge entries from another node or the lease row. */
void wb_edge_node_poison_take(wb_edge_node_t *node, const wb_wire_poison *poison);
/** Send all entries to all gateways when this node becomes the aggregator. */
void wb_edge_node_tick_poison(wb_edge_node_t *node);
/** Write the entries for the lease row. @return bytes written, at most `room`; 0: they don't fit */
u_int wb_edge_node_poison_write(const wb_edge_node_t *node, char *bytes, u_int room);
/** Read the entries from the lease row. */
gboolean wb_edge_node_poison_read(wb_edge_node_t *node, XDR *stream);

/* node_engine_states.c */
/** Send changed engine-reported state to the aggregator, or from it to all gateways. */
void wb_edge_node_tick_states(wb_edge_node_t *node, int64_t now_ms);
/** Merge engine-reported state received from another node. */
void wb_edge_node_states_take(wb_edge_node_t *node, const wb_wire_engine_states *states,
                              const wb_wire_extensions *extensions);
/** An engine reported new state in its response to the controller. @param context the node */
void wb_edge_node_engine_reported(wb_engine_t *engine, void *context);

/* node_broadcast.c */
/** Send a message to all gateways of format version 2 or later. @param extensions NULL: none */
void wb_edge_node_broadcast_v2(wb_edge_node_t *node, const wb_wire_message *message,
                               const wb_wire_extensions *extensions);
/** Send a message to all gateways. Placement messages are batched for some ms; the order of
 * the messages sent by this function is kept. */
void wb_edge_node_broadcast(wb_edge_node_t *node, const wb_wire_message *message);
/** The same for other messages, with extensions for gateways that read them. @param extensions
 * NULL: none */
void wb_edge_node_broadcast_with_extensions(wb_edge_node_t *node, const wb_wire_message *message,
                                            const wb_wire_extensions *extensions);
/** Frees the texts of a wb_wire_placement_entry. */
void wb_edge_node_placement_clear(gpointer data);

/* node_links.c */
/** Send this node's format version on a link. */
void wb_edge_node_handshake_send(const wb_edge_node_t *node, wb_link_t *link);
/** Set the link's format version to the peer's. */
void wb_edge_node_handshake_take(wb_link_t *link, const wb_wire_hello *hello);
/** Add the time of sending to a message's extensions. */
void wb_edge_node_sent_add(wb_wire_extensions *extensions, int64_t now_ms);
/** @return when a message was sent, by this node's clock, so that a queued one doesn't make what it
 * reports any younger; now_ms if its sender is of a release that doesn't include the time
 * @param transit of the link */
int64_t wb_edge_node_sent_ms(wb_transit_t *transit, const wb_wire_extensions *extensions,
                             int64_t now_ms);
/** Apply one entry of a placement update. @param engine that the entry names */
void wb_edge_node_placement_take(wb_edge_node_t *node, wb_engine_t *engine,
                                 const wb_wire_placement_entry *entry);
/** Send the controller's placement update or load plan to all gateways and apply it here.
 * @param context the node */
void wb_edge_node_publish(const wb_wire_message *message, void *context);
/** Frees a wb_gateway_t. */
void wb_edge_node_gateway_free(gpointer data);
/** As wb_link_events_t, for links that other nodes opened. @param context the node */
void wb_edge_node_gateway_open(wb_link_t *link, void *context);
void wb_edge_node_gateway_message(wb_link_t *link, const wb_wire_message *message, void *context);
void wb_edge_node_gateway_close(wb_link_t *link, const char *reason, void *context);
/** @return TRUE when gateways report to this node: it holds the lease, or the lease row names it */
gboolean wb_edge_node_is_aggregator(const wb_edge_node_t *node);
/** Send demand, quota usage and engine usage to the controller, or apply them here if it is this
 * node.
 */
void wb_edge_node_send_demand(wb_edge_node_t *node);
/** As wb_edge_t.on_pending_demand. Demand is sent once per loop round, after its requests were
 * read.
 * @param context the node */
void wb_edge_node_demand_pending(void *context);
/** Keep one link to the node that the lease row names, unless it is this node. */
void wb_edge_node_tick_link(wb_edge_node_t *node, int64_t now_ms);

/* node_reach.c */
/** Check whether a controller is reachable; reconsider waiting requests when that has changed. */
void wb_edge_node_tick_reach(wb_edge_node_t *node, int64_t now_ms);
/** As wb_edge_t.controller_view. @param context the node */
wb_controller_view_t wb_edge_node_controller_view(void *context);

/* node_store_updates.c */
/* A gateway that has received no store update for this long polls the store itself. */
#define WB_UPDATE_LIFE_MS 1200
/** @return the watch of a table; NULL: there is none
 * @param table a wb_table_name_t, possibly from a message and out of range */
wb_table_watch_t *wb_edge_node_watch(const wb_edge_node_t *node, unsigned table);
/** @return how often this node polls a table, which depends on whether it holds the lease */
wb_table_watch_intervals_t wb_edge_node_poll_policy(const wb_edge_node_t *node,
                                                    wb_table_name_t table);
/** Set the poll policies of all tables, after the lease, the settings or the store's availability
 * changed. */
void wb_edge_node_set_poll_policies(wb_edge_node_t *node);
/** Poll the engines table soon, unless the holder's updates are recent. */
void wb_edge_node_expedite_engines(wb_edge_node_t *node);
/** Append a copy of a row. @param rows of wb_wire_table_row; the row owns its texts */
void wb_edge_node_wire_row_add(const wb_edge_node_t *node, GArray *rows, unsigned table,
                               const wb_table_row_t *row);
/** Drop the queued rows, which are of an earlier era of the store. */
void wb_edge_node_updates_drop(wb_edge_node_t *node);
/** Queue a row for the next store update; does nothing unless the lease row is this process's own,
 * though it may have expired. */
void wb_edge_node_update_add(wb_edge_node_t *node, wb_table_name_t table,
                             const wb_table_row_t *row);
/** As the lease holder, send the store update when it is due. */
void wb_edge_node_tick_updates(wb_edge_node_t *node, int64_t now_ms);
/** Apply a store update from the lease holder. @param era wb_edge_node_message_era */
void wb_edge_node_take_update(wb_edge_node_t *node, const wb_wire_store_update *update,
                              const wb_wire_extensions *extensions, int64_t era);
/** Apply the lease row of a store update, from a holder that this node has no link to yet.
 * @param era wb_edge_node_message_era */
void wb_edge_node_take_announcement(wb_edge_node_t *node, const wb_wire_store_update *update,
                                    int64_t era);
/** @return TRUE while store updates arrive in time, or this node holds the lease */
gboolean wb_edge_node_has_recent_updates(const wb_edge_node_t *node);

/** Handles requests to the operators' listener, including metrics: edge_operators.c. */
void wb_edge_operators_request(wb_http_connection_t *connection, wb_http_head_t *head,
                               GByteArray *body, void *context);

#endif
