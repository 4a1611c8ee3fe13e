/* Internal types and functions of the gateway, shared by the files of src/gateway.
 *
 * Times are wb_clock_ms() values or durations, in milliseconds. Errors aren't returned: a request
 * that fails is answered through the functions of response.c. Lock order: a shard's lock before a
 * request's. gateway.h says which thread runs what. */
#ifndef WICKBRIDGE_GATEWAY_TYPES_H
#define WICKBRIDGE_GATEWAY_TYPES_H

#include "wickbridge/fair_queue.h"
#include "wickbridge/gateway.h"

#define GATEWAY_SHARDS 16
#define REQUEST_ID_SIZE 40

typedef struct gw_target_t gw_target_t;
typedef struct gw_request_t gw_request_t;

/* An engine that has the target's model loaded. Guarded by the shard's lock. */
typedef struct gw_replica_t {
    char *engine;
    char *address;
    char *zone;
    int batch;
    int running;           /* requests of this gateway on it */
    double window;         /* limit on running; adapts to successes and full-queue refusals */
    int64_t window_cut_ms; /* time of the last reduction of the window */
    int64_t down_until_ms; /* not used until then: unreachable, draining or its queue is full */
    gboolean in_route;     /* listed in the latest route update */
} gw_replica_t;

typedef enum gw_route_state_t {
    ROUTE_UNKNOWN,
    ROUTE_READY,
    ROUTE_LOADING,
    ROUTE_UNAVAILABLE, /* no usable engine */
    ROUTE_BUSY         /* all loaded replicas are in use */
} gw_route_state_t;

/* A model, or a model with an adapter, requested at this gateway. Guarded by its shard's lock. */
struct gw_target_t {
    char *model;
    char *adapter; /* "" for none */
    char *cell;
    wb_fair_queue_t *queue;
    GPtrArray *replicas;
    int running;
    gw_route_state_t state;
    int64_t ready_at_ms; /* estimated end of the load; for ROUTE_LOADING */
    int64_t route_received_ms;
    int64_t owner_lost_ms; /* since when the cell has no reachable owner; 0: it has one */
    int64_t busy_since_ms; /* since when the state is ROUTE_BUSY; 0: it is another */
    char *reason;          /* from the owner, for explain */
    int64_t last_used_ms;
    int64_t demand_sent_ms; /* time of the last demand message; 0: none yet */
    int sent_waiting;       /* values in that message */
    int sent_running;
    double service_ms; /* moving average of a request's time on an engine */
};

typedef struct gw_shard_t {
    GMutex lock;
    GHashTable *targets; /* "model\nadapter" -> gw_target_t */
} gw_shard_t;

typedef enum gw_kind_t { KIND_CHAT, KIND_COMPLETION, KIND_CALL } gw_kind_t;

typedef enum gw_stage_t {
    STAGE_WAITING,  /* in its target's queue */
    STAGE_CLAIMING, /* awaits the cell owner's response to its claim */
    STAGE_RUNNING,  /* a call to an engine is in progress */
    STAGE_FINISHED
} gw_stage_t;

/* A client's request. At any time one thread processes it; the lock guards the members that other
 * threads access meanwhile (stage, exchange, call, client_gone). The queue, pending claim, engine
 * call or timer that the request is in owns a reference. */
struct gw_request_t {
    int references;
    GMutex lock;
    wb_gateway_t *gateway;
    wb_http_exchange_t *exchange; /* NULL once answered */
    char id[REQUEST_ID_SIZE];
    gw_kind_t kind;
    char *model;   /* name in the configuration */
    char *adapter; /* "" for none */
    char *owner;
    double share;
    char *key; /* "owner/idempotency key", or NULL */
    gboolean repeatable;
    gboolean streaming;
    gboolean fetch_only; /* GET of the response to an earlier request with this key */
    char *body;
    size_t body_length;
    uint64_t digest; /* of body, kind and path; a key is valid for one digest */
    int64_t arrived_ms;
    int64_t deadline_ms;
    int64_t started_ms; /* start of the current attempt */
    gw_stage_t stage;
    int attempts;
    gw_shard_t *shard;
    char *engine; /* current or last engine */
    char *engine_address;
    char stream[REQUEST_ID_SIZE]; /* stream id on the engine, new for each run */
    uint64_t claim_number;        /* key of the pending claim in the gateway's table */
    uint64_t claim_attempt;       /* in the owner's last claim response; sent as retry_of */
    int64_t claim_sent_ms;
    gboolean claim_granted;       /* no other run of the key can have happened */
    gboolean holds_replica;       /* counted in the replica's running */
    gboolean attached;            /* the stream belongs to an earlier run with the same key */
    gboolean first_run_completed; /* that run ended with a response */
    int64_t first_run_claimed_ms; /* when that run was claimed */
    char *path;            /* of an opaque call: what follows the service's name; else NULL */
    gboolean may_have_run; /* an engine may have started it */
    int resume_count;      /* attempts to resume the current stream */
    wb_http_call_t *call;
    gboolean client_gone;
    gboolean stream_started; /* the response head was sent to the client */
    gboolean done_forwarded; /* the stream's last event was sent to the client */
    int events;              /* complete events forwarded */
    char *seed;              /* of the run whose output the client receives */
    GString *partial_event;  /* received part of an incomplete event */
    char reason[160];        /* last reason to wait, retry or refuse; for explain */
};

struct wb_gateway_t {
    wb_gateway_options_t options;
    wb_gateway_parts_t parts;
    char *node;
    char *zone;
    gw_shard_t shards[GATEWAY_SHARDS];
    GMutex config_lock;
    wb_config_t *config;
    GMutex claims_lock;
    GHashTable *claims; /* claim number -> gw_request_t */
    guint64 claim_count;
    GMutex recent_lock;
    GQueue recent; /* json_t of finished requests */
    gint draining;
    gint ready;
    wb_timer_t *tick_timer;
    wb_gateway_counters_t counters;
};

/* request.c */
gw_request_t *request_ref(gw_request_t *request);
void request_unref(gw_request_t *request);
/* Parses a request. If it is invalid, answers it with an error and returns NULL. */
gw_request_t *request_read(wb_gateway_t *gateway, wb_http_exchange_t *exchange, gw_kind_t kind,
                           const char *service, const char *call_path);
/* The same for the GET of a response by its idempotency key. */
gw_request_t *request_read_fetch(wb_gateway_t *gateway, wb_http_exchange_t *exchange,
                                 const char *key);
void request_new_stream_id(gw_request_t *request);
int64_t request_time_left_ms(const gw_request_t *request);
void request_set_reason(gw_request_t *request, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* response.c. All but response_add_headers finish a request; only the first call for a request has
 * an effect. They don't drop the caller's reference. */

/* retry_after_ms < 0: no Retry-After header. Ends a started stream with an error event. */
void response_send_error(gw_request_t *request, unsigned status, const char *type, const char *code,
                         wb_verdict_t verdict, int64_t retry_after_ms, const char *message);
void response_send_not_run(gw_request_t *request, int64_t retry_after_ms, const char *code,
                           const char *message);
void response_send_may_have_run(gw_request_t *request, const char *message);
void response_send_complete(gw_request_t *request, unsigned status, const char *body,
                            size_t length);
void response_end_stream(gw_request_t *request);
void response_end_client_gone(gw_request_t *request);
/* An error for an HTTP exchange that has no gw_request_t, or whose request is invalid. */
void response_send_rejection(wb_gateway_t *gateway, wb_http_exchange_t *exchange, unsigned status,
                             const char *code, const char *message);
/* Adds request id, engine and verdict; NULL for a stream, which starts without a verdict. */
void response_add_headers(gw_request_t *request, const char *verdict);

/* target.c */
gw_shard_t *shard_find(wb_gateway_t *gateway, const char *model, const char *adapter);
/* Returns the target, creating it if missing. The shard's lock must be held. */
gw_target_t *target_get(gw_shard_t *shard, const char *model, const char *adapter, const char *cell,
                        int64_t now_ms);
/* Returns the request's target or NULL. The shard's lock must be held. */
gw_target_t *target_find(const gw_request_t *request);
void target_free(gpointer data);
/* The shard's lock must be held. Takes over the caller's reference to the request. */
void target_enqueue(gw_target_t *target, gw_request_t *request, gboolean front);
/* Assigns queued requests to replicas with free capacity. Appends them to starting; the caller
 * passes them to run_start_all after it unlocked the shard. */
void target_dispatch(wb_gateway_t *gateway, gw_target_t *target, GQueue *starting, int64_t now_ms);
/* Ends the request's use of its replica, if any, and starts queued requests. queue_full: the engine
 * refused it because its queue is full. down_ms > 0: the replica isn't used for that time. Must
 * be called without the shard's lock. */
void target_release(gw_request_t *request, gboolean success, gboolean queue_full, int64_t down_ms);
/* Records a loss of the cell's owner: lost is TRUE if demand couldn't be sent. Returns TRUE if
 * requests are queued, there is no replica, and no owner has been reachable for wait_ms. The
 * shard's lock must be held. */
gboolean target_update_owner_loss(gw_target_t *target, gboolean lost, int64_t now_ms,
                                  int64_t wait_ms);
/* Returns the estimated queueing time of a new request, 0 if unknown. */
int64_t target_estimate_wait_ms(const gw_target_t *target);
/* Applies an owner's route update: starts or refuses queued requests accordingly. */
void target_apply_route(wb_gateway_t *gateway, const wb_wire_route_update *update);

/* run.c */
/* Starts the requests, those with a key by claiming the key. Call without locks. */
void run_start_all(GQueue *starting);
/* Queues a request for a retry on another engine, or refuses it if attempts or time are used up. */
void run_retry(gw_request_t *request, const char *reason);
/* Sends the request to its engine. */
void run_on_engine(gw_request_t *request);
/* Reads the stream request->stream from the engine, from the next event that the client needs. */
void run_attach(gw_request_t *request);
/* Asks the engine to cancel the request's stream. */
void run_cancel(gw_request_t *request);

/* claim.c */
/* Claims the key's run from the cell's owner. retry_of: the attempt that this one replaces, known
 * not to have run; 0: none. */
void claim_start(gw_request_t *request, uint64_t retry_of);
void claim_on_response(wb_gateway_t *gateway, const wb_wire_claim_response *response);
/* Reports the first run's response to the cell's owner, which keeps it for retries. */
void claim_report_completed(gw_request_t *request, unsigned status, const char *answer,
                            size_t length);
/* Sends unanswered claims again and refuses expired ones. On the loop's thread. */
void claims_tick(wb_gateway_t *gateway, int64_t now_ms);

/* target_demand.c */
/* Timer callback: sends demand that is due, refuses expired requests, dispatches the others. */
void demand_tick(void *context);
/* Runs demand_tick on the loop's thread as soon as possible. */
void demand_report_now(wb_gateway_t *gateway);

#endif
