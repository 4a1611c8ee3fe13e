/**
 * @file request_types.h
 * @brief What the files of a request's way share: requests, their sendings to engines, and the
 * state of the node that all of them use.
 *
 * The node's own life (store, lease, links, news) is in src/edge, which includes this folder.
 * Nothing here includes src/edge: what a request needs of the node is in wb_edge_t, as values or
 * callbacks.
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
#include "dispatch/wait_scale.h"
#include "request/api_key.h"
#include "request/crash_watch.h"
#include "request/retry_budget.h"
#include "poison/poison_registry.h"
#include "poison/served_set.h"
#include "quota/equal_share.h"
#include "quota/quota_limiter.h"

typedef struct wb_exchange_t wb_exchange_t;
typedef struct wb_attempt_t wb_attempt_t;
typedef struct wb_demand_t wb_demand_t;

/** An ended request, kept for a while so that operators can ask for it. */
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
    int64_t took_ms;
    int64_t waited_ms;
} wb_ended_request_t;

#define WB_ENDED_REQUESTS 128

/** A part of a prompt. */
typedef struct wb_prompt_part_t {
    char *id;
    int64_t tokens;
} wb_prompt_part_t;

/** Whether the controller, who decides on loads, hears of what is asked for here. */
typedef enum wb_controller_reach_t {
    WB_CONTROLLER_REACHABLE,  /* it is heard, or this node is it */
    WB_CONTROLLER_TAKEOVER_PENDING,  /* there is none; when another may take over is known */
    WB_CONTROLLER_UNREACHABLE /* there may be one, but not for this node, nobody knows until when */
} wb_controller_reach_t;

typedef struct wb_controller_view_t {
    wb_controller_reach_t reach;
    /* Time until somebody should decide on loads. When it is awaited this is known; when it is
     * unreached it is the time after which a caller should try again, here or at another node. */
    int64_t available_in_ms;
} wb_controller_view_t;

/** The node: state that all requests share. */
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
    wb_served_set_t *served;
    wb_crash_watch_t *crashes;
    wb_length_estimate_t *lengths;
    wb_wait_scale_t *wait_scale;
    gboolean shared_loads_valid;  /* what was told of engines' loads still holds */
    gboolean runs_poison_trials; /* this node is the one that tries refused requests now and then */
    wb_edge_metrics_t metrics;
    GHashTable *expected; /* SERVICE/MODEL -> int64_t *, steady ms at which a load should be done */
    wb_list_t state_updates; /* engines that told something which others should know; each with a
                             reference */
    GHashTable *reporting_engines; /* set of engines that told of a limit or that they leave; each with a
                                 reference */
    wb_list_t waiting;        /* exchanges that wait for an engine, oldest first */
    GHashTable *open;         /* set of all exchanges */
    wb_ended_request_t ended[WB_ENDED_REQUESTS]; /* a ring */
    unsigned ended_next;
    unsigned node_count;     /* nodes that the store lists; 0: not known yet */
    wb_equal_share_t *share; /* among how many is divided what all may spend */
    int64_t drain_began_ms;  /* steady time at which a planned stop began; 0: none */
    /** Someone waits for what isn't loaded: tell the controller soon. */
    void (*on_pending_demand)(void *context);
    void *node_context;
    /** What is held against requests has changed: other nodes must know. With node_context. */
    void (*on_poison_changed)(void *context);
    /** Whether the controller can be reached; NULL: it always can. With node_context. */
    wb_controller_view_t (*controller_view)(void *context);
    /** Whether the engines of a service that hold a model ("": any) are known here; if not, they
     * are asked for, and requests that wait are tried again once they are. NULL: all engines are
     * known.
     * @param since_ms steady time since which the request has been here. With node_context. */
    gboolean (*engines_known)(const char *service, const char *model, int64_t since_ms,
                              void *context);
    /** Time since this node knew for sure which configuration is the newest; NULL: it always does.
     * With node_context. */
    int64_t (*catalog_age_ms)(void *context);
};

/** Why a request ended, for logs and metrics. */
typedef enum wb_outcome_t {
    WB_OUTCOME_SERVED,        /* an engine's whole answer was passed on */
    WB_OUTCOME_ENGINE_FAILED, /* an engine's own failure was passed on */
    WB_OUTCOME_NO_CATALOG,
    WB_OUTCOME_NO_ROUTE,
    WB_OUTCOME_BAD_REQUEST,
    WB_OUTCOME_UNKNOWN_MODEL,
    WB_OUTCOME_NO_ENGINE,  /* none could be used in time */
    WB_OUTCOME_MODEL_NOT_LOADED, /* its model could not be loaded in time */
    WB_OUTCOME_REJECTED,   /* engines turned it away */
    WB_OUTCOME_NO_RETRY_BUDGET,  /* another sending was not allowed */
    WB_OUTCOME_ENGINE_ABORTED,     /* an engine broke off, and it may not be sent again */
    WB_OUTCOME_TIMED_OUT,  /* the route's time or the caller's is over */
    WB_OUTCOME_CLIENT_GONE,
    WB_OUTCOME_STOPPING,      /* it came too late in a planned stop */
    WB_OUTCOME_BAD_KEY,       /* it has no key that a tenant holds */
    WB_OUTCOME_KEY_UNVERIFIED, /* nobody holds its key in a configuration that may be old */
    WB_OUTCOME_OVER_QUOTA,    /* its tenant's limit is spent */
    WB_OUTCOME_POISON,        /* it crashes the engines that run it */
    WB_OUTCOME_OVERLOADED,       /* its model's engines are too far behind to answer in time */
    WB_OUTCOME_COUNT
} wb_outcome_t;

G_STATIC_ASSERT(WB_OUTCOME_COUNT <= WB_OUTCOMES_MAX);

/** @return an ending's name in logs and metrics */
const char *wb_outcome_name(wb_outcome_t ending);

/** What the engine answered, while its answer is read. */
typedef struct wb_reply_t {
    unsigned status;
    char *reason;
    GString *headers; /* lines to pass on */
    gboolean sealed;
    gboolean rejected; /* the engine says that it did not run the request */
    gboolean streamed; /* whole events are passed on as they come */
} wb_reply_t;

/** An engine that a request was sent to. */
typedef struct wb_tried_engine_t {
    char *id;
    int64_t eligible_at_ms; /* steady time from which it may be tried again; 0: never */
} wb_tried_engine_t;

/** What was known of the engine that a request is sent to, and what was predicted. */
typedef struct wb_dispatch_decision_t {
    wb_choice_engine_t engine;
    wb_choice_estimate_t estimate;
} wb_dispatch_decision_t;

/** A caller's request, from its arrival to its answer. */
struct wb_exchange_t {
    wb_edge_t *edge;
    wb_http_connection_t *connection;
    wb_http_head_t *head;
    GByteArray *body;
    wb_catalog_t *catalog;
    const wb_route_t *route;
    const wb_service_t *service;
    const char *id;            /* owned by head; "" when there is none */
    char *model;               /* NULL: none named */
    char *adapter;             /* "" when none */
    const wb_tenant_t *tenant; /* as of its arrival; of its catalog; NULL: none */
    wb_key_digest_t key;       /* of its tenant, when it has one */
    gboolean digest_known;     /* it was asked for: most requests never need one */
    wb_request_digest_t digest;
    uint64_t poison_version; /* of the book of poison requests that is_poison was read in */
    gboolean is_poison;
    gboolean is_trial;      /* it is sent though it is refused: whether it still crashes engines */
    int rank;               /* 0 is the most urgent: its tenant's, or else its route's */
    double quota_cost;      /* that its tenant's limit was charged; 0: not admitted yet */
    int64_t room_retry_ms;  /* when there is no room: time until there may be */
    int64_t quota_retry_ms; /* when the limit is spent: time until there may be room */
    GArray *parts;          /* of wb_prompt_part_t */
    int64_t prompt_tokens;
    int64_t out_tokens; /* that its answer is expected to have */
    int64_t began_ms;
    int64_t deadline_ms;   /* steady time at which the caller stops waiting */
    int64_t answer_due_ms; /* steady time at which the final answer is due */
    int64_t wait_until_ms; /* steady time until which waiting for an engine has a use */
    wb_timer_t *hold_timer;
    wb_timer_t *patience_timer;
    wb_list_item_t waiting;  /* on edge->waiting */
    gboolean wants_load;     /* it waits for a model or adapter, not for an engine that is cold */
    gboolean awaits_opening; /* it waits for an engine that will take it */
    int64_t waiting_since_ms;
    int64_t waited_ms;
    wb_attempt_t *attempt;   /* the one under way, or NULL */
    wb_engine_t *engine;     /* of the last sending; a reference, or NULL */
    int64_t sent_ms;         /* of the last sending */
    int64_t written_ms;      /* when its first byte left */
    wb_dispatch_decision_t sending;    /* the last one, as it was decided on */
    gboolean counted;        /* the sending counts as running at its engine */
    gboolean limit_noted;    /* it counts against its engine's limit */
    int64_t prefill_counted; /* prompt tokens that count at its engine */
    wb_reply_t reply;
    gboolean paused; /* the caller doesn't take its answer: the engine isn't read */
    GArray *tried;   /* of wb_tried_engine_t, the last one last */
    unsigned sends;  /* sendings that may have reached an engine */
    unsigned runs;   /* engines that ran it, or may have */
    unsigned rejections;
    unsigned unreached;    /* sendings that never were connected */
    gboolean answer_begun; /* the caller has got a head */
    gboolean resuming;     /* the attempt goes on with a stream already begun */
    GByteArray *answer;    /* bytes of the answer not yet passed on */
    char *last_event_id;
    gboolean first_event_seen;
    int64_t first_event_ms;
    int64_t last_event_ms; /* steady time; 0: no event yet */
    int64_t most_pause_ms; /* longest time between two events */
    unsigned events;       /* reads in which events came */
};

/** @return the id of the engine that it was last sent to; "" when it was sent to none */
const char *wb_exchange_last_engine(const wb_exchange_t *exchange);

/** Balancer: choose an engine. @param sending out: what was known of it, and predicted
 * @return NULL when none can be used; owned by the fleet */
wb_engine_t *wb_balancer_choose(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                int64_t now_ms, wb_dispatch_decision_t *sending);
/** @return TRUE when the request names no regions, or some engine of its service stands where it
 * may be served */
gboolean wb_balancer_has_allowed_engine(const wb_edge_t *edge, const wb_exchange_t *exchange);
/** An engine that can serve a request and takes none of this node for the moment. */
typedef struct wb_availability_t {
    int64_t at_ms;    /**< steady time from which it does; G_MAXINT64: none will, or not known */
    gboolean is_cold; /**< it is cold, and no load elsewhere is needed */
} wb_availability_t;
/** @return the one that opens first, behind requests that wait for it already */
wb_availability_t wb_balancer_next_available(const wb_edge_t *edge, const wb_exchange_t *exchange,
                                 int64_t now_ms);
/** Asked when a connection has come up: the engine may have told meanwhile that it leaves, has a
 * limit or wants rest. What is written counts against its limit.
 * @return FALSE when the request must not be written */
gboolean wb_balancer_may_write(const wb_edge_t *edge, const wb_exchange_t *exchange,
                               int64_t now_ms);
/** What is to be sent, as engines are chosen by. */
wb_choice_request_t wb_balancer_request(const wb_exchange_t *exchange, int64_t now_ms);
/** Prompt tokens that the engine must still read for this request, as far as this node knows. */
int64_t wb_balancer_prefill_tokens(const wb_engine_t *engine, const wb_exchange_t *exchange,
                                  int64_t now_ms);
/** The engine has read this request's prompt. */
void wb_balancer_note_prefilled(wb_engine_t *engine, const wb_exchange_t *exchange, int64_t now_ms);

/* Requests: exchange.c. */
void wb_exchange_begin(wb_edge_t *edge, wb_http_connection_t *connection, wb_http_head_t *head,
                       GByteArray *body);
/** The caller left. */
void wb_exchange_client_gone(wb_exchange_t *exchange);
/** The caller took output that had piled up. */
void wb_exchange_output_drained(wb_exchange_t *exchange);
/** Engines or their models have changed: try those that wait. */
void wb_exchanges_retry_waiting(wb_edge_t *edge);

/** A model is being loaded and should be there in so many ms: those that wait for it wait on, or
 * are refused. */
void wb_exchanges_expect_model(wb_edge_t *edge, const char *service, const char *model,
                         unsigned ready_in_ms);
/** @return TRUE when a request waits for the model */
gboolean wb_exchanges_any_waiting_for(const wb_edge_t *edge, const char *model);
/** Another configuration is in force: those that wait under a key that it dropped are refused. */
void wb_exchanges_recheck_keys(wb_edge_t *edge);
/** What is known of who decides on loads has changed: those that wait in vain are refused. */
void wb_exchanges_update_waits(wb_edge_t *edge);
/** A model is loaded: nothing is expected any more. */
void wb_exchanges_model_loaded(wb_edge_t *edge, const char *service, const char *model);
/** Answer those that are known to crash engines, also where copies wait or are under way. */
void wb_exchanges_refuse_poison(wb_edge_t *edge);
/** As wb_crash_watch_events_t.on_crashed. @param context the edge */
void wb_edge_engine_crashed(const char *engine_id, const GArray *requests, void *context);
/** An engine has ended, though its connections may not show it: what was sent there goes on
 * elsewhere where that is allowed, or is answered. */
void wb_exchanges_engine_ended(wb_edge_t *edge, const wb_engine_t *engine);
/** Near the end of a stop: answer those that wait for an engine. */
void wb_exchanges_refuse_waiting(wb_edge_t *edge);
/** At the end of a stop: answer all that have no answer yet. */
void wb_exchanges_refuse_unanswered(wb_edge_t *edge);

/* What engines tell of themselves: engine_states.c. */
/** An engine has told of its state, here or to another node: keep it among those that have. */
void wb_edge_track_reporting_engine(wb_edge_t *edge, wb_engine_t *engine);
/** Tell other nodes of its state at the next tick. */
void wb_edge_queue_state_update(wb_edge_t *edge, wb_engine_t *engine);
/** Forget those that have gone or have nothing more to tell. */
void wb_edge_reporting_engines_sweep(wb_edge_t *edge);

/** @return window in which what is sent again is counted */
int64_t wb_edge_retry_window_ms(const wb_edge_t *edge);

/* What an attempt tells its exchange. */
void wb_exchange_attempt_head(wb_exchange_t *exchange, const wb_http_head_t *head);
void wb_exchange_attempt_body(wb_exchange_t *exchange, const char *data, size_t length);
void wb_exchange_attempt_done(wb_exchange_t *exchange);
/** How a sending failed. */
typedef struct wb_attempt_failure_t {
    gboolean sent;      /* FALSE: no byte of the request left */
    gboolean engine_aborted; /* the connection ended before the answer was whole */
    gboolean withdrawn; /* by this node, before a byte left: the engine isn't at fault */
    const char *reason; /* for logs */
} wb_attempt_failure_t;
void wb_exchange_attempt_failed(wb_exchange_t *exchange, const wb_attempt_failure_t *failure);

/* One sending to one engine: attempt.c. */
wb_attempt_t *wb_attempt_start(wb_exchange_t *exchange, wb_engine_t *engine);
/** Stop it: the engine's connection is closed. */
void wb_attempt_cancel(wb_attempt_t *attempt);
void wb_attempt_set_reading(wb_attempt_t *attempt, gboolean reading);
/** Its engine is known to have ended: it fails as if the connection had been reset. */
void wb_attempt_engine_ended(wb_attempt_t *attempt);
/** Close an engine's kept connections: what is sent there next must connect first. */
void wb_upstreams_close_idle(wb_engine_t *engine);
/** Close kept connections of engines that are gone, or that rested too long. */
void wb_upstreams_sweep_idle(wb_edge_t *edge, int64_t now_ms);

/* Demand by model: demand.c. */
wb_demand_t *wb_demand_create(void);
void wb_demand_note_arrival(wb_demand_t *demand, const wb_exchange_t *exchange);
void wb_demand_set_waiting(wb_demand_t *demand, wb_exchange_t *exchange, gboolean waiting);
/** Its caller was told when to come back: the model is wanted by then, though nobody waits. */
void wb_demand_expect_retry(wb_demand_t *demand, const wb_exchange_t *exchange, int64_t until_ms);
void wb_demand_set_running(wb_demand_t *demand, wb_exchange_t *exchange, gboolean running);
/** Fill in a message with all that runs, waits or was promised and isn't held by an engine; to be
 * freed with wb_message_clear. Arrivals begin anew. */
void wb_demand_build_message(wb_demand_t *demand, const wb_fleet_t *fleet, const char *node,
                       wb_wire_message *message);

#endif
