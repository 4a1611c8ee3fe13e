/* Inner types of the gateway, shared by its files. */
#ifndef WICKBRIDGE_GATEWAY_TYPES_H
#define WICKBRIDGE_GATEWAY_TYPES_H

#include "wickbridge/fair_queue.h"
#include "wickbridge/gateway.h"

#define GATEWAY_SHARDS 16
#define REQUEST_ID_SIZE 40

typedef struct gw_target_t gw_target_t;
typedef struct gw_request_t gw_request_t;

/* An engine that has the target ready. */
typedef struct gw_replica_t {
    char *engine;
    char *address;
    char *zone;
    int batch;
    int running;           /* requests of ours on it */
    double window;         /* most that we run on it at once; learnt from its refusals */
    int64_t cut_ms;        /* when its window was last cut */
    int64_t down_until_ms; /* it couldn't be reached or refused to take work */
    gboolean shown;        /* in the newest route */
} gw_replica_t;

typedef enum gw_route_state_t {
    ROUTE_UNKNOWN,
    ROUTE_READY,
    ROUTE_WAKING,
    ROUTE_REFUSED, /* no engine can be used at all */
    ROUTE_BUSY     /* all that is loaded is in use */
} gw_route_state_t;

/* A model, or a model with an adapter, that was asked for here. Guarded by its shard's lock. */
struct gw_target_t {
    char *model;
    char *adapter; /* "" for none */
    char *cell;
    wb_fair_queue_t *queue;
    GPtrArray *replicas;
    int running;
    gw_route_state_t state;
    int64_t ready_at_ms;   /* waking: the estimate */
    int64_t shown_ms;      /* when the route came */
    int64_t owner_lost_ms; /* since when no owner answers; 0: one does */
    int64_t busy_since_ms; /* since when the owner has no room; 0: it has */
    char *reason;
    int64_t used_ms;
    int64_t wanted_ms;  /* when the owner was last told */
    int wanted_waiting; /* what it was told */
    int wanted_running;
    double service_ms; /* moving average of a request's time on an engine */
};

typedef struct gw_shard_t {
    GMutex lock;
    GHashTable *targets; /* "model\nadapter" -> gw_target_t */
} gw_shard_t;

typedef enum gw_kind_t { KIND_CHAT, KIND_COMPLETION, KIND_CALL } gw_kind_t;

typedef enum gw_stage_t {
    STAGE_WAITING,  /* in its target's queue */
    STAGE_CLAIMING, /* asks for its key's one run */
    STAGE_RUNNING,  /* a call to an engine is under way */
    STAGE_FINISHED
} gw_stage_t;

/* One caller's request. The lock guards what more than one thread touches at a time. */
struct gw_request_t {
    int references;
    GMutex lock;
    wb_gateway_t *gateway;
    wb_http_exchange_t *exchange; /* NULL once answered */
    char id[REQUEST_ID_SIZE];
    gw_kind_t kind;
    char *model;   /* as declared */
    char *adapter; /* "" for none */
    char *owner;
    double share;
    char *key; /* owner and idempotency key, or NULL */
    gboolean repeatable;
    gboolean streaming;
    gboolean fetching; /* wants the answer of an earlier request with its key */
    char *body;
    size_t body_length;
    uint64_t digest;
    int64_t arrived_ms;
    int64_t deadline_ms;
    int64_t started_ms; /* on the present engine */
    gw_stage_t stage;
    int attempts;
    gw_shard_t *shard;
    char *engine; /* present or last engine */
    char *engine_address;
    char stream[REQUEST_ID_SIZE]; /* its name on the engine, new for each run */
    uint64_t claim_number;        /* of the claim under way */
    uint64_t claim_attempt;
    int64_t claim_sent_ms;
    gboolean claim_granted; /* no other run of the key can have happened */
    gboolean holds_replica; /* counted in the replica's running */
    gboolean attached;      /* the stream belongs to an earlier run with the same key */
    gboolean attached_done; /* and that run has ended with an answer */
    int64_t attached_ms;    /* when that run was claimed */
    char *path;             /* of an opaque call, behind the service's name; else NULL */
    gboolean may_have_run;  /* an engine may have started it */
    int resumes;            /* tries to take up the present stream again */
    wb_http_call_t *call;
    gboolean caller_gone;
    gboolean stream_begun; /* the answer's head went to the caller */
    gboolean done_seen;    /* the stream's last event went to the caller */
    int events;            /* whole events passed on */
    char *seed;            /* of the run that the caller sees */
    GString *partial;      /* the start of an event */
    char why[160];         /* last reason to wait, move or refuse */
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
/* Reads a request, or answers it with what is wrong. Returns NULL then. */
gw_request_t *request_read(wb_gateway_t *gateway, wb_http_exchange_t *exchange, gw_kind_t kind,
                           const char *service, const char *call_path);
gw_request_t *request_read_fetch(wb_gateway_t *gateway, wb_http_exchange_t *exchange,
                                 const char *key);
void request_name_stream(gw_request_t *request);
int64_t request_time_left_ms(const gw_request_t *request);
void request_why(gw_request_t *request, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* response.c: each ends the request */
void answer_error(gw_request_t *request, unsigned status, const char *type, const char *code,
                  wb_verdict_t verdict, int64_t retry_after_ms, const char *message);
void answer_not_run(gw_request_t *request, int64_t retry_after_ms, const char *code,
                    const char *message);
void answer_may_have_run(gw_request_t *request, const char *message);
void answer_whole(gw_request_t *request, unsigned status, const char *body, size_t length);
void answer_stream_end(gw_request_t *request);
void answer_caller_gone(gw_request_t *request);
/* An error for something that never became a request. */
void answer_bad(wb_gateway_t *gateway, wb_http_exchange_t *exchange, unsigned status,
                const char *code, const char *message);
/* Adds the usual headers; a stream's head goes out before its verdict is known, which is NULL. */
void answer_headers(gw_request_t *request, const char *verdict);

/* target.c */
gw_shard_t *shard_of(wb_gateway_t *gateway, const char *model, const char *adapter);
/* With the shard's lock held. */
gw_target_t *target_get(gw_shard_t *shard, const char *model, const char *adapter, const char *cell,
                        int64_t now_ms);
gw_target_t *target_of(const gw_request_t *request);
void target_free(gpointer data);
void target_enqueue(gw_target_t *target, gw_request_t *request, gboolean front);
/* Takes requests off the queue that may run now; they are returned for starting without locks. */
void target_dispatch(wb_gateway_t *gateway, gw_target_t *target, GQueue *starting, int64_t now_ms);
void target_release(gw_request_t *request, gboolean success, gboolean refused, int64_t down_ms);
/* Notes whether the owner could be told of what waits. Returns TRUE when those that wait have
 * waited long enough for one. */
gboolean target_update_owner_loss(gw_target_t *target, gboolean lost, int64_t now_ms,
                                 int64_t wait_ms);
int64_t target_predict_ms(const gw_target_t *target);
void target_show(wb_gateway_t *gateway, const wb_wire_route_update *show);

/* run.c */
void run_start_all(GQueue *starting);
/* Puts a request back in its queue, to run on another engine. */
void run_again(gw_request_t *request, const char *why);
void run_on_engine(gw_request_t *request);
void run_attach(gw_request_t *request);
void run_cancel(gw_request_t *request);

/* claim.c */
void claim_ask(gw_request_t *request, uint64_t retry_of);
void claim_response(wb_gateway_t *gateway, const wb_wire_claim_response *show);
void claim_tell_done(gw_request_t *request, unsigned status, const char *answer, size_t length);
void claims_check(wb_gateway_t *gateway, int64_t now_ms);

/* target_demand.c */
void wants_tick(void *context);
void want_now(wb_gateway_t *gateway);

#endif
