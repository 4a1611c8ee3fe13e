/**
 * @file request_types.h
 * @brief Types and functions shared by the files of the request path: client requests
 * (wb_exchange_t), their attempts at engines (wb_attempt_t), and the node state that they use
 * (wb_edge_t).
 *
 * The node's lifecycle (store, lease, links, updates) is in src/edge, which includes this folder.
 * Nothing here includes src/edge: what a request needs of the node is in wb_edge_t, as values or
 * callbacks.
 *
 * Units: names ending in _ms are milliseconds. Unless a comment says that it is a duration, such a
 * member is a monotonic time as wb_clock_ms() returns it.
 *
 * Errors: a failed request is answered to its client with the status of its outcome; failures are
 * not returned to the caller.
 *
 * Threads: everything here belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_REQUEST_TYPES_H
#define WICKBRIDGE_REQUEST_TYPES_H

#include "wickbridge/catalog.h"
#include "wickbridge/dialect.h"
#include "wickbridge/edge.h"
#include "wickbridge/event_log.h"
#include "wickbridge/fleet.h"
#include "wickbridge/regions.h"
#include "wickbridge/http_listener.h"
#include "wickbridge/list.h"
#include "wickbridge/message.h"
#include "wickbridge/tcp_stream.h"

#include "wickbridge/edge_metrics.h"
#include "dispatch/engine_choice.h"
#include "dispatch/length_estimate.h"
#include "dispatch/peer_choice.h"
#include "dispatch/route_times.h"
#include "dispatch/wait_scale.h"
#include "request/answer_use.h"
#include "request/api_key.h"
#include "request/crash_watch.h"
#include "request/retry_budget.h"
#include "request/stream_starts.h"
#include "request/unframed_ends.h"
#include "poison/part_registry.h"
#include "poison/poison_registry.h"
#include "poison/served_set.h"
#include "quota/equal_share.h"
#include "quota/quota_limiter.h"

typedef struct wb_exchange_t wb_exchange_t;
typedef struct wb_attempt_t wb_attempt_t;
typedef struct wb_demand_t wb_demand_t;

/** Summary of an ended request, kept for operators in a ring of the latest ones. */
typedef struct wb_ended_request_t {
    char id[64];
    char model[64];
    char adapter[32];
    char route[64];
    char engine[64];
    const char *ending;
    unsigned status;
    unsigned sends;
    unsigned runs;
    int64_t took_ms;   /* duration */
    int64_t waited_ms; /* duration */
} wb_ended_request_t;

#define WB_ENDED_REQUESTS 128

/** A part of a prompt, as named by the client. Requests whose first parts are the same share a
 * prefix that engines may have cached. */
typedef struct wb_prompt_part_t {
    char *id;
    int64_t tokens;
} wb_prompt_part_t;

/** Where a request leads that takes a stream up. */
typedef struct wb_stream_place_t {
    const char *service; /* "": not a single one */
    const char *host;
    const char *path;
    gboolean named; /* the client names the stream */
} wb_stream_place_t;

/** Whether the start of a stream can be learned. */
typedef enum wb_start_lookup_t {
    WB_START_ASKED,   /* the controller is asked, or will be */
    WB_START_UNKNOWN, /* nobody that can be asked knows it; another node may */
    WB_START_LOST     /* no node can know it */
} wb_start_lookup_t;

/** Whether the controller, which decides on model loads, receives this node's demand. */
typedef enum wb_controller_reach_t {
    WB_CONTROLLER_REACHABLE,        /* it is reachable, or this node is the controller */
    WB_CONTROLLER_TAKEOVER_PENDING, /* there is none; the time of the next takeover is known */
    WB_CONTROLLER_UNREACHABLE       /* this node can't reach one, and doesn't know for how long */
} wb_controller_reach_t;

typedef struct wb_controller_view_t {
    wb_controller_reach_t reach;
    /* Duration. When a takeover is pending: until a controller should be available. When it is
     * unreachable: the Retry-After for clients, which may then reach another node. */
    int64_t available_in_ms;
} wb_controller_view_t;

/** A node that can be asked to connect to engines. Strings are borrowed. */
typedef struct wb_peer_t {
    const char *id;
    const char *address; /* of its tunnel server */
} wb_peer_t;

/** Node state that all requests share. */
struct wb_edge_t {
    wb_loop_t *loop;
    wb_edge_settings_t settings;
    const wb_dialect_t *dialect;
    wb_fleet_t *fleet;
    wb_catalog_t *catalog; /* NULL: none known yet */
    GHashTable *regions;   /* zone -> region */
    GHashTable *budgets;   /* service -> wb_retry_budget_t */
    wb_demand_t *demand;
    wb_quota_limiter_t *quota;
    wb_poison_registry_t *poison; /* requests that crash engines */
    wb_part_registry_t *parts;    /* parts of prompts that do */
    wb_served_set_t *served;
    wb_crash_watch_t *crashes;
    wb_unframed_ends_t *unframed_ends;
    GHashTable *brittle_services; /* service -> int64_t *, time of the first rejection by one of its
                                     brittle engines */
    wb_stream_starts_t *stream_starts;
    uint64_t unnamed_streams; /* that were taken up */
    wb_length_estimate_t *lengths;
    wb_wait_scale_t *wait_scale;
    wb_route_times_t *route_times;
    wb_answer_times_t *answer_times; /* of repeatable requests at all engines */
    wb_reach_summary_t *reach;       /* which engines this node reaches */
    wb_peer_record_t *peers;         /* which nodes have reached engines for it */
    int64_t isolated_since_ms;       /* since when only others reach most engines; 0: it isn't so */
    int64_t doubt_since_ms;      /* since when it may be cut off from engines; 0: no sign of that */
    int64_t doubted_ms;          /* when another node last connected faster than this one */
    gboolean shared_loads_valid; /* the reported loads of engines are recent enough to be used */
    gboolean runs_poison_trials; /* this node runs the periodic trials of refused requests */
    wb_edge_metrics_t metrics;
    GHashTable *expected;    /* SERVICE/MODEL -> int64_t *, time at which a load should be done */
    wb_list_t state_updates; /* engines whose reported state is to be sent to other nodes; holds a
                             reference to each */
    GHashTable *reporting_engines; /* set of engines that reported a limit or that they are
                                 draining; holds a reference to each */
    wb_list_t waiting;             /* exchanges that wait for an engine, oldest first */
    GHashTable *open;              /* set of all exchanges */
    wb_ended_request_t ended[WB_ENDED_REQUESTS]; /* a ring */
    unsigned ended_next;
    uint64_t upstreams_created; /* connections to engines, numbered in logs */
    gboolean engines_partial;   /* this node knows a part of each service's engines */
    unsigned node_count;        /* nodes that the store lists; 0: not known yet */
    wb_equal_share_t *share;    /* this node's equal share of budgets common to all nodes */
    int64_t drain_began_ms;     /* when a planned stop began; 0: none */
    /** Requests wait for a model that isn't loaded: send the pending demand to the controller. */
    void (*on_pending_demand)(void *context);
    /** So much of a tenant's limit was admitted here that the ledger must know of it soon; may be
     * NULL. */
    void (*on_quota_report_due)(void *context);
    void *node_context; /* passed to all callbacks */
    /** The poison registry has changed: send the change to other nodes. */
    void (*on_poison_changed)(void *context);
    /** Whether the controller is reachable; NULL: it always is. */
    wb_controller_view_t (*controller_view)(void *context);
    /** Choose a node to ask for a connection. NULL: there are none.
     * @param asked set of the ids of those that have been asked for it
     * @return FALSE: none is left */
    gboolean (*choose_peer)(GHashTable *asked, wb_peer_t *peer, void *context);
    /** Whether this node knows the engines of a service that hold a model ("": any). If not, they
     * are requested from a relay, and waiting requests are dispatched again on the reply. NULL: all
     * engines are known.
     * @param since_ms when the request arrived */
    gboolean (*engines_known)(const char *service, const char *model, int64_t since_ms,
                              void *context);
    /** A stream that its client may take up has begun: tell other nodes. May be NULL. */
    void (*on_stream_begun)(const wb_stream_start_t *start, void *context);
    /** Ask how a stream began. The answer leads to a call of
     * wb_exchanges_start_known or wb_exchanges_start_unknown. NULL: nobody can be asked.
     * @param place service "": without a record the start isn't known
     * @return WB_START_ASKED, or why there will be no answer */
    wb_start_lookup_t (*ask_stream_start)(const wb_request_digest_t *key,
                                          const wb_stream_place_t *place, void *context);
    /** The only software version that a stream can have begun at whose start isn't recorded. NULL:
     * not known here; as a result, NULL: there were several, or it isn't known. */
    const char *(*sole_version)(const wb_stream_place_t *place, void *context);
    gboolean some_begin_no_stream; /* at an engine that is known here no stream may begin yet */
    /** Duration since this node last verified that its catalog is the newest; NULL: it always is.
     */
    int64_t (*catalog_age_ms)(void *context);
    /** Duration since a newer catalog was named or received than the one in force; 0: there is
     * none. Set together with catalog_age_ms. */
    int64_t (*catalog_behind_ms)(void *context);
};

/** Why a request ended, for logs and metrics. */
typedef enum wb_outcome_t {
    WB_OUTCOME_SERVED,        /* an engine's complete answer was forwarded */
    WB_OUTCOME_ENGINE_FAILED, /* an engine's error response was forwarded */
    WB_OUTCOME_NO_CATALOG,
    WB_OUTCOME_NO_ROUTE,
    WB_OUTCOME_BAD_REQUEST,
    WB_OUTCOME_UNKNOWN_MODEL,
    WB_OUTCOME_NO_ENGINE,        /* no engine was usable in time */
    WB_OUTCOME_MODEL_NOT_LOADED, /* its model could not be loaded in time */
    WB_OUTCOME_REJECTED,         /* engines rejected it */
    WB_OUTCOME_NO_RETRY_BUDGET,  /* the retry budget allowed no further attempt */
    WB_OUTCOME_ENGINE_ABORTED,   /* an engine aborted it, and it may not be sent again */
    WB_OUTCOME_TIMED_OUT,        /* the route's timeout or the client's deadline passed */
    WB_OUTCOME_CLIENT_GONE,
    WB_OUTCOME_STOPPING,       /* it arrived too late in a planned stop */
    WB_OUTCOME_BAD_KEY,        /* its API key is missing or belongs to no tenant */
    WB_OUTCOME_KEY_UNVERIFIED, /* no tenant has its key, but the catalog may be out of date */
    WB_OUTCOME_OVER_QUOTA,     /* its tenant's limit is used up */
    WB_OUTCOME_POISON,         /* it crashes the engines that run it */
    WB_OUTCOME_OVERLOADED,     /* its model's engines are too far behind to answer in time */
    WB_OUTCOME_UNVERIFIED,     /* the catalog lacks its route or model, but may be out of date */
    WB_OUTCOME_UNREACHABLE,    /* engines hold its model, but none could be connected to */
    WB_OUTCOME_QUOTA_UNKNOWN,  /* what is left of its tenant's limit is not known here */
    WB_OUTCOME_START_UNKNOWN,  /* it takes a stream up, of which the software version isn't known */
    WB_OUTCOME_NO_VERSION,     /* no engine of its stream's software version serves */
    WB_OUTCOME_STREAM_LOST,    /* it takes a stream up whose version isn't known and won't be */
    WB_OUTCOME_COUNT
} wb_outcome_t;

G_STATIC_ASSERT(WB_OUTCOME_COUNT <= WB_OUTCOMES_MAX);

/** @return an outcome's name in logs and metrics; static */
const char *wb_outcome_name(wb_outcome_t outcome);

/** How the end of an engine's response is marked. */
typedef enum wb_framing_t {
    WB_FRAMING_NONE,   /* there is no response, or it has no body */
    WB_FRAMING_LENGTH, /* Content-Length */
    WB_FRAMING_CHUNKS,
    WB_FRAMING_CLOSE /* the connection's end, which an engine's crash looks like, too */
} wb_framing_t;

/** An engine's response, while it is read. */
typedef struct wb_reply_t {
    unsigned status;
    wb_framing_t framing;
    char *reason;
    GString *headers;    /* lines to forward */
    gboolean sealed;     /* it has the header that marks an engine's own response */
    gboolean rejected;   /* the engine states that it did not run the request */
    gboolean incomplete; /* dropped: its body didn't end in time, or as its framing says */
    gboolean has_events; /* its body is a text/event-stream */
    wb_answer_use_t use;
} wb_reply_t;

/** An engine that a request was sent to. */
typedef struct wb_tried_engine_t {
    char *id;
    int64_t eligible_at_ms; /* from when it may be tried again; 0: never */
} wb_tried_engine_t;

/** The engine chosen for an attempt as it was known at that time, and the prediction made for it.
 */
typedef struct wb_dispatch_decision_t {
    wb_choice_engine_t engine;
    wb_choice_estimate_t estimate;
} wb_dispatch_decision_t;

/** A client's request, from its arrival to its answer. */
struct wb_exchange_t {
    wb_edge_t *edge;
    wb_http_connection_t *connection;
    wb_http_head_t *head;
    GByteArray *body;
    wb_catalog_t *catalog;
    const wb_route_t *route;
    const wb_service_t *service;
    const char *id;            /* owned by head; "": none */
    char *model;               /* NULL: none named */
    char *adapter;             /* "": none */
    const wb_tenant_t *tenant; /* as of its arrival; owned by its catalog; NULL: none */
    wb_key_digest_t key;       /* its API key, when it has a tenant */
    gboolean digest_known;     /* `digest` is set: it is computed on first use */
    wb_request_digest_t digest;
    uint64_t poison_version; /* version of the poison registry that is_poison was computed from */
    gboolean is_poison;
    gboolean is_trial; /* poison, but sent to find out whether it still crashes engines */
    int priority;      /* its tenant's, or else its route's; 0 is the most urgent */
    double quota_cost; /* charged to its tenant's limit; 0: not admitted yet */
    wb_quota_class_t quota_class; /* that it was charged in; its service may change after that */
    int64_t overload_retry_ms;    /* duration: Retry-After when overloaded */
    int64_t quota_retry_ms;       /* duration: Retry-After when over the quota */
    wb_quota_basis_t quota_basis; /* by what it was admitted */
    int64_t quota_age_ms;         /* age of what the quota ledger's node last sent; -1: nothing */
    GArray *parts;                /* of wb_prompt_part_t */
    GArray *part_keys;            /* wb_exchange_part_keys(); NULL: not computed yet */
    int64_t prompt_tokens;
    int64_t out_tokens; /* expected tokens of its answer */
    int64_t began_ms;
    int64_t deadline_ms;   /* the client's deadline */
    int64_t answer_due_ms; /* when the final answer is due: the deadline or the route's timeout */
    int64_t wait_until_ms; /* when waiting for an engine ends */
    wb_timer_t *due_timer;
    wb_timer_t *silence_timer;
    gboolean began_noted;           /* its stream's start was recorded */
    gboolean takes_up;              /* it takes up an earlier stream of its client */
    gboolean begins_stream;         /* it begins one that its client may take up */
    gboolean names_stream;          /* takes_up: the client names that stream */
    gboolean start_has_no_version;  /* takes_up: it began at an engine that named no version */
    wb_request_digest_t stream_key; /* of that stream */
    int64_t start_asked_ms;         /* when its start was last asked for; 0: never */
    char *bound_version;    /* software version that its stream began at. NULL: it hasn't begun, or
                               isn't known; "": an unknown one, so no engine may go on */
    const char *bound_by;   /* for logs: how that is known */
    wb_list_item_t waiting; /* on edge->waiting */
    gboolean awaits_start;  /* it waits to learn how its stream began, or until it may begin */
    gboolean awaits_load;   /* it waits for a model or adapter to be loaded */
    gboolean awaits_engine; /* it waits for an engine that becomes available */
    int64_t waiting_since_ms;
    int64_t waited_ms;     /* duration, of all completed waits */
    wb_attempt_t *attempt; /* the current one, or NULL */
    char *peer;          /* node through which the last connection to an engine leads; NULL: none */
    wb_engine_t *engine; /* of the last attempt; a reference, or NULL */
    int64_t sent_ms;     /* start of the last attempt */
    int64_t written_ms;  /* when the request was written to the engine's connection */
    uint64_t connection_number;      /* of that connection, for logs; 0: not written yet */
    unsigned connection_requests;    /* requests written to that connection before, for logs */
    wb_dispatch_decision_t decision; /* of the last attempt */
    gboolean running_counted;        /* the attempt is counted in engine->running */
    gboolean limit_counted;          /* the attempt is counted against its engine's limit */
    gboolean uses_peer_share;        /* in another node's share, through which it goes */
    int64_t prefill_counted;         /* prompt tokens counted in engine->prefill_tokens */
    wb_reply_t reply;
    gboolean ended_in_event; /* the last response ended inside an event */
    gboolean was_empty;      /* a success had neither length, chunks nor body */
    gboolean paused;         /* the client reads too slowly: reading from the engine is stopped */
    GArray *tried;           /* of wb_tried_engine_t, the last attempt last */
    unsigned sends;          /* attempts that may have reached an engine */
    unsigned runs;           /* engines that ran it, or may have */
    unsigned rejections;
    unsigned connect_failures; /* attempts of which no byte was sent */
    gboolean answer_begun;     /* the response head was sent to the client */
    unsigned events_status;    /* of that head, if an event stream follows; 0: none does */
    gboolean resuming;         /* the attempt continues a stream that the client has begun to get */
    GByteArray *answer;        /* bytes of the answer not yet forwarded */
    char *last_event_id;
    gboolean event_was_split; /* a part of an event was forwarded, which no engine can go on from */
    gboolean in_split_event;  /* the rest of that event hasn't been forwarded yet */
    gboolean first_event_seen;
    int64_t first_event_ms;  /* duration from its arrival */
    int64_t last_event_ms;   /* 0: no event yet */
    int64_t longest_gap_ms;  /* duration: longest time between two events */
    unsigned events;         /* reads from the engine that completed at least one event */
    unsigned attempt_events; /* those of the current attempt */
};

/** @return the id of the engine of the last attempt; "" when there was none */
const char *wb_exchange_last_engine(const wb_exchange_t *exchange);

/* Choice of engines: balancer.c. */
/** Choose the engine for an attempt.
 * @param decision out: what was known of the engine, and the prediction
 * @return NULL when none is usable; owned by the fleet */
wb_engine_t *wb_balancer_choose(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                int64_t now_ms, wb_dispatch_decision_t *decision);
/** @return TRUE when the request may be served in any region, or an engine of its service is in an
 * allowed one */
gboolean wb_balancer_has_allowed_engine(const wb_edge_t *edge, const wb_exchange_t *exchange);
/** @return TRUE when the engine has sent no byte for longer than its pending requests should take
 */
gboolean wb_balancer_is_unresponsive(const wb_edge_t *edge, const wb_engine_t *engine,
                                     int64_t now_ms);
/** When the next engine that can serve a request accepts another request of this node. */
typedef struct wb_availability_t {
    int64_t at_ms;    /**< G_MAXINT64: none will, or it isn't known */
    gboolean is_cold; /**< the engine is cold: the request waits for it without asking for a load */
} wb_availability_t;
/** @return the earliest availability of an engine, behind requests that wait for it already */
wb_availability_t wb_balancer_next_available(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                             int64_t now_ms);
/** Called when a connection is established: meanwhile the engine may have reported that it is
 * draining, a limit or a backoff. Counts the request against the engine's limit unless that has
 * been done.
 * @return FALSE when the request must not be written */
gboolean wb_balancer_may_write(const wb_edge_t *edge, const wb_exchange_t *exchange,
                               int64_t now_ms);
/** Choose the engine for an attempt whose request counts in another node's share of the engine's
 * limit, as this node has none left. @return NULL when none is usable in this way */
wb_engine_t *wb_balancer_choose_by_share(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                         int64_t now_ms, wb_dispatch_decision_t *decision);
/** Count another node's request in this node's share of an engine's limit. @return FALSE: none is
 * left, or it isn't known that the engine has a limit */
gboolean wb_balancer_take_limit_share(const wb_edge_t *edge, wb_engine_t *engine, int64_t now_ms);
/** As wb_engine_brittle_may_have_fallen. */
gboolean wb_balancer_may_have_fallen(const wb_edge_t *edge, wb_engine_t *engine, gboolean is_shared,
                                     int64_t now_ms);
/** @return the request as input for the choice of an engine */
wb_choice_request_t wb_balancer_request(const wb_exchange_t *exchange, int64_t now_ms);
/** @return prompt tokens of this request that the engine doesn't have cached, as far as this node
 * knows */
int64_t wb_balancer_prefill_tokens(const wb_engine_t *engine, const wb_exchange_t *exchange,
                                   int64_t now_ms);
/** Mark the request's prompt as cached at the engine. */
void wb_balancer_note_prefilled(wb_engine_t *engine, const wb_exchange_t *exchange, int64_t now_ms);

/* Requests: exchange.c and the other exchange_*.c files. */
/** Start a request: it is dispatched, waits, or is answered. Takes ownership of head and body. */
void wb_exchange_begin(wb_edge_t *edge, wb_http_connection_t *connection, wb_http_head_t *head,
                       GByteArray *body);
/** The client disconnected. The exchange is freed. */
void wb_exchange_client_gone(wb_exchange_t *exchange);
/** The connection's output buffer was sent: resume reading from the engine. */
void wb_exchange_output_drained(wb_exchange_t *exchange);
/** Engines or their models have changed: dispatch all waiting requests again. */
void wb_exchanges_retry_waiting(wb_edge_t *edge);

/** A model is being loaded and should be ready after this duration: requests that wait for it
 * continue to wait, or are refused if that is too late for them.
 * @param software_version of the engine that loads it; NULL: it isn't known which one will */
void wb_exchanges_expect_model(wb_edge_t *edge, const char *service, const char *model,
                               const char *software_version, unsigned ready_in_ms);
/** @return TRUE when a request waits for the model */
gboolean wb_exchanges_any_waiting_for(const wb_edge_t *edge, const char *model);
/** A new catalog is in force: refuse waiting requests whose API key it no longer has. */
void wb_exchanges_recheck_keys(wb_edge_t *edge);
/** The reachability of the controller has changed: recompute how long requests wait, and refuse
 * those for which waiting is useless. */
void wb_exchanges_update_waits(wb_edge_t *edge);
/** A model is loaded: drop the expected time of its load.
 * @param software_version as for wb_exchanges_expect_model */
void wb_exchanges_clear_expected(wb_edge_t *edge, const char *service, const char *model,
                                 const char *software_version);
/** Refuse requests that are known poison, also those that wait or are at an engine that hasn't
 * begun to answer. */
void wb_exchanges_refuse_poison(wb_edge_t *edge);
/** Merge what another node knows of a part. */
wb_part_merge_t wb_edge_part_merge(wb_edge_t *edge, const wb_poison_entry_t *entry);
/** Look which requests with unframed responses their engines have completed. */
void wb_edge_confirm_unframed_ends(wb_edge_t *edge, int64_t now_ms);
/** As wb_crash_watch_events_t.confirm_ended. @param context the edge */
gboolean wb_edge_confirm_ended(const char *engine_id, void *context);
/** As wb_crash_watch_events_t.on_crashed. @param context the edge */
void wb_edge_engine_crashed(const char *engine_id, const GArray *requests, void *context);
/** An engine has ended, though its connections may still be open: its requests are sent to other
 * engines where that is allowed, or answered. */
void wb_exchanges_engine_ended(wb_edge_t *edge, const wb_engine_t *engine);
/** Nobody knows how a stream began: refuse requests that take it up. */
void wb_exchanges_start_unknown(wb_edge_t *edge, const wb_request_digest_t *key, gboolean is_lost);
/** The start of a stream was learned: the requests that wait for it go on.
 * @param is_recorded FALSE: no other version or service can have begun it */
void wb_exchanges_start_known(wb_edge_t *edge, const wb_request_digest_t *key, const char *service,
                              const char *software_version, gboolean is_recorded);
/** Near the end of a planned stop: refuse requests that wait for an engine. */
void wb_exchanges_refuse_waiting(wb_edge_t *edge);
/** At the end of a planned stop: refuse all requests whose answer hasn't begun. */
void wb_exchanges_refuse_unanswered(wb_edge_t *edge);

/* Engine-reported state: engine_states.c. */
/** An engine reported a limit or that it is draining, here or at another node: keep it in the set.
 */
void wb_edge_track_reporting_engine(wb_edge_t *edge, wb_engine_t *engine);
/** Send the engine's state to other nodes at the next tick. */
void wb_edge_queue_state_update(wb_edge_t *edge, wb_engine_t *engine);
/** Drop engines from the set that are removed, or have neither a limit nor are draining. */
void wb_edge_reporting_engines_sweep(wb_edge_t *edge);

/** @return duration of the window in which the retry budget counts resends */
int64_t wb_edge_retry_window_ms(const wb_edge_t *edge);

/* Events of an attempt, called by attempt.c. */
/** @return why the response can't be an answer, for logs: its body needn't be read; NULL: it may be
 */
const char *wb_exchange_attempt_head(wb_exchange_t *exchange, const wb_http_head_t *head);
void wb_exchange_attempt_body(wb_exchange_t *exchange, const char *data, size_t length);
void wb_exchange_attempt_done(wb_exchange_t *exchange);
/** How an attempt failed. */
typedef struct wb_attempt_failure_t {
    gboolean sent;           /* FALSE: no byte of the request was sent */
    gboolean engine_aborted; /* the connection ended before the answer was complete */
    gboolean withdrawn;      /* by this node, before a byte was sent: the engine isn't at fault */
    gboolean by_peer;        /* on a connection through another node, which may be at fault */
    const char *reason;      /* for logs */
} wb_attempt_failure_t;
void wb_exchange_attempt_failed(wb_exchange_t *exchange, const wb_attempt_failure_t *failure);

/* Reaching engines: engine_connect.c. */
/** Record whether an engine was reached. @param request_id for logs */
void wb_edge_note_reach(wb_edge_t *edge, wb_engine_t *engine, wb_reach_result_t result,
                        const char *request_id);

/* Attempts: attempt.c. */
/** Start an attempt, which is owned by itself until it ends. It doesn't end inside this call. */
void wb_attempt_start(wb_exchange_t *exchange, wb_engine_t *engine);
/** Cancel the attempt: its connection is closed. */
void wb_attempt_cancel(wb_attempt_t *attempt);
void wb_attempt_set_reading(wb_attempt_t *attempt, gboolean reading);
/** Its engine is known to have ended: it fails as if the connection had been reset. */
void wb_attempt_engine_ended(wb_attempt_t *attempt);

/* The pool of connections to engines: upstream.c. */
/** Close an engine's idle connections. */
void wb_upstreams_close_idle(wb_engine_t *engine);
/** Close idle connections that have expired, and those of engines that are draining or removed, or
 * whose zone is being evacuated. */
void wb_upstreams_sweep_idle(wb_edge_t *edge, int64_t now_ms);

/* attempt_request.c */
/** @return the request to send to an engine, owned by the caller */
GString *wb_attempt_request_text(const wb_exchange_t *exchange, const wb_engine_t *engine,
                                 int64_t now_ms);

/* Demand by model: demand.c. */
wb_demand_t *wb_demand_create(void);
void wb_demand_note_arrival(wb_demand_t *demand, const wb_exchange_t *exchange);
void wb_demand_set_waiting(wb_demand_t *demand, wb_exchange_t *exchange, gboolean waiting);
/** Its client was refused with a Retry-After: the model is in demand until then, though no request
 * waits for it. */
void wb_demand_expect_retry(wb_demand_t *demand, const wb_exchange_t *exchange, int64_t until_ms);
void wb_demand_set_running(wb_demand_t *demand, wb_exchange_t *exchange, gboolean running);
/** Fill in a message with all demand: requests that run or wait, and expected retries for models
 * that no engine holds. Resets the counts of arrivals. Free the message with wb_message_clear. */
void wb_demand_build_message(wb_demand_t *demand, const wb_fleet_t *fleet, const char *node,
                             wb_wire_message *message);
/** Fill in the requests that wait for a model at engines of one software version, which the message
 * above leaves out. Free it with xdr_free. */
void wb_demand_build_version_waits(const wb_demand_t *demand, wb_wire_version_waits *waits);

#endif
