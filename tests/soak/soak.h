/**
 * @file soak.h
 * @brief Randomized soak test of edge nodes: real processes with injected faults.
 *
 * The seed determines which faults begin and how long they last, and what clients send. Process
 * scheduling isn't under its control, so run a failing seed several times. Invariants are
 * checked on what clients received and what the stand-in's engines recorded.
 *
 * Times are in ms of harness_now_ms() unless a name says otherwise. soak_t owns its arrays; its
 * lock guards those that threads share. Failed checks are reported by soak_fail().
 */
#ifndef WICKBRIDGE_TEST_SOAK_H
#define WICKBRIDGE_TEST_SOAK_H

#include "harness/config_oracle.h"
#include "harness/estate.h"

#define SOAK_NODES 4 /* unless --nodes says otherwise */
#define SOAK_NODES_MAX ESTATE_NODES
#define SOAK_CLIENTS 12
#define SOAK_DISTURBED_AFTER_MS 4000 /* a fault may have effects for this long after its end */
#define SOAK_POISON_BODY "crash: no engine survives this"
#define SOAK_DRAIN_MS 2000
#define SOAK_EVACUATE_MS 2500 /* drain time of nodes for an evacuation without a given duration */
#define SOAK_LEASE_HANDOVER_MS 1000
#define SOAK_RETRY_RATIO 0.2
#define SOAK_CONFIG_MS 2000      /* time within which a configuration takes effect */
#define SOAK_CONFIG_SKEW_MS 5000 /* beyond that while the store turns some nodes away */
#define SOAK_REJOIN_WINDOW_S 2   /* how long records of streams are kept, with soak_t.rejoin */
#define SOAK_PROBE_ROUTES 6      /* routes that the operator changes */

typedef struct soak_config_writer_t soak_config_writer_t;
typedef struct soak_rejoin_t soak_rejoin_t;
typedef struct soak_rests_t soak_rests_t;
typedef struct soak_steps_t soak_steps_t;
typedef struct soak_odd_rows_t soak_odd_rows_t;
typedef struct soak_broken_streams_t soak_broken_streams_t;

/** Time during which a fault was active or may have had effects. */
typedef struct soak_span_t {
    char name[32];
    int node;   /* the affected node; -1: several */
    int target; /* the node that the fault was drawn for */
    int64_t from_ms;
    int64_t to_ms; /* SOAK_DISTURBED_AFTER_MS after the fault's end */
} soak_span_t;

/** An engine that was set to draining. */
typedef struct soak_drain_t {
    char engine[32];
    int64_t at_ms;
} soak_drain_t;

/** A time during which a zone was evacuated. */
typedef struct soak_evacuation_t {
    char zone[32];
    int64_t from_ms;
    int64_t to_ms;
} soak_evacuation_t;

/** A time during which nodes were cut off from all engines. */
typedef struct soak_partition_t {
    unsigned nodes; /* bit 1 << index for each */
    int64_t from_ms;
    int64_t to_ms;
} soak_partition_t;

/** A request as its client saw it. */
typedef struct soak_request_t {
    char id[32];
    const char *path; /* "/lock/x" and so on; static */
    int node;
    int life;                  /* number of the node's process; 0: it changed meanwhile */
    int status;                /* 0: the connection closed without a response */
    gboolean complete;         /* the response arrived to its end */
    gboolean closed;           /* the node closed the connection */
    gboolean reused;           /* sent on a connection that had carried other requests */
    gboolean refused_for_long; /* 503 with a Retry-After as for requests that crash engines */
    gboolean reports_limit;    /* its response reports its engine's limit */
    gboolean reports_draining; /* its response reports that its engine is draining */
    int64_t began_ms;
    int64_t ended_ms;
} soak_request_t;

/** Streams that clients sent for, and those that brought events. */
typedef struct soak_streams_t {
    int sent;
    int went_on;
} soak_streams_t;

/** One run of a seed. The lock guards what threads share. */
typedef struct soak_t {
    guint32 seed;
    int nodes;
    int64_t began_ms;
    GRand *rand;
    estate_t *estate;
    GMutex lock;
    GArray *spans;       /* of soak_span_t */
    GArray *drains;      /* of soak_drain_t */
    GArray *requests;    /* of soak_request_t */
    GPtrArray *failures; /* texts of failed checks, owned */
    gint stop;
    gint processor_stop;
    int processor_percent;       /* of a core, for all nodes but the first two; 0: no limit */
    gint paused[SOAK_NODES_MAX]; /* by a fault: must not be resumed */
    gint poison_stop;
    gboolean has_poison; /* a request that crashes engines is sent repeatedly */
    gboolean has_paces;  /* engines differ in pace, and one reports a value out of range */
    gboolean has_zones;  /* engines restart under their id, zones are evacuated, rows of other
                            writers are among those of engines */
    gboolean has_builds; /* nodes switch between the current and the older build */
    gboolean has_load_shedding; /* engines reject every request for a while */
    gboolean has_engine_states; /* engines report limits and draining in responses, and ask for
                                   backoff */
    gboolean has_rollbacks;     /* the store comes back from older copies */
    gboolean
        only_rollbacks; /* and nothing else is disturbed, so that all checks apply between them */
    gboolean has_partitions; /* nodes are cut off from engines */
    gboolean has_unframed;   /* engines' streams have neither length nor chunks, and end early */
    gboolean has_versions;   /* engines of two software versions, and clients that take streams
                                up at other nodes */
    soak_rejoin_t *rejoin;   /* all nodes are killed while versions and routes change; NULL: not */
    soak_rests_t *rests;     /* clients rest on kept connections while limits change; NULL: not */
    soak_steps_t *steps;     /* nodes are out of step while versions join; NULL: not */
    soak_odd_rows_t *odd_rows; /* another writer's rows among those of engines; NULL: none */
    soak_broken_streams_t *broken_streams; /* engines answer with something else instead of going
                                              on; NULL: none do */
    soak_streams_t begun;                  /* new streams of these clients, at nodes in touch */
    soak_streams_t taken_up;               /* streams that they took up there */
    gboolean has_flood;                    /* most new connections go to one node, by turns */
    gboolean has_faulty;                   /* engines send answers twice, or bytes without end */
    int64_t flood_from_ms;                 /* when their clients begin */
    gboolean has_parts;     /* requests that share a part which crashes engines, and sound ones */
    int64_t parts_from_ms;  /* when the former begin */
    gboolean has_tenants;   /* tenants with limits send far more than these at times */
    const char *key_header; /* of all other requests; "": configurations have no tenants */
    gboolean has_brittle_engines; /* engines fall when they have to reject too many requests */
    GArray *partitions;           /* of soak_partition_t */
    soak_config_writer_t *config_writer; /* changes routes; NULL: this seed has none */
    config_oracle_t *configurations;     /* what the operator wrote; guarded by the lock */
    int retry_slack;                     /* retries in a window beyond the ratio */
    int retry_window_s;
    GArray *evacuations; /* of soak_evacuation_t */
    int engines_started; /* counter for unique engine ids */
    int64_t version;     /* of the configuration */
} soak_t;

/** @return a string member of an object that the stand-in recorded; borrowed */
static inline const char *soak_text_of(const json_t *object, const char *name) {
    return json_string_value(json_object_get(object, name));
}

static inline int64_t soak_number_of(const json_t *object, const char *name) {
    return json_integer_value(json_object_get(object, name));
}

#define SOAK_POISON_ID "p" /* begins the ids of requests that crash engines, and of no others */

/* Begin the ids of requests with a part that crashes engines, and of those that share other parts.
 */
#define SOAK_BAD_PART_ID "x"
#define SOAK_SOUND_PART_ID "g"

#define SOAK_REJOIN_ID "w" /* begins the ids of streams that are taken up after all were killed */

#define SOAK_REST_ID "k" /* begins the ids of requests after a rest */

#define SOAK_KIOSK_PATH "/kiosk/x" /* of the service among whose engines odd rows are */

#define SOAK_STEP_PATH "/step/x" /* of streams that are taken up at a node that was out of step */

#define SOAK_FLOOD_ID "f" /* begins the ids of requests that go to one node by turns */

#define SOAK_TENANT_ID "t" /* begins the ids of requests of tenants with limits */

/** @return TRUE if the request is one that crashes engines */
static inline gboolean soak_is_poison(const soak_request_t *request) {
    return g_str_has_prefix(request->id, SOAK_POISON_ID);
}

/** Record a failed check. Any thread. */
void soak_fail(soak_t *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* spans.c */
/** @return TRUE when the node was killed, paused or switched to the other build in this time */
gboolean soak_is_halted(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when the node's process was killed in this time */
gboolean soak_is_killed(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when the node was killed in this time or being stopped as planned */
gboolean soak_is_stopped(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when the node was restarted (planned or not) or paused in this time */
gboolean soak_is_restarted(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when the node was restarted, paused or cut off in this time */
gboolean soak_is_excused(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when a fault was active that may delay this node. @param node -1: any node */
gboolean soak_is_disturbed(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** The same, without faults of this name. */
gboolean soak_is_disturbed_except(soak_t *soak, int node, int64_t from_ms, int64_t to_ms,
                                  const char *name);
/** @return TRUE when the node was disturbed itself, or cut off from other nodes or the store, or
 * the store was disturbed, in this time or shortly before */
gboolean soak_is_out_of_touch(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when the store turned some nodes away in this time or shortly before */
gboolean soak_store_turns_nodes_away(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);

/* clients.c */
/** Start the clients. @return their threads, owned by the caller; end with soak_clients_join */
GPtrArray *soak_clients_start(soak_t *soak);
void soak_clients_join(GPtrArray *threads);
/** Start clients that repeatedly send a request that crashes engines, if this seed has one. @return
 * their threads, as soak_clients_start */
GPtrArray *soak_poison_start(soak_t *soak);
/** Check that every kind of request is served at every node. Call after all faults are over. */
void soak_recovery_check(soak_t *soak);

/** Send a request, on the kept connection if there is one, check the response and record both.
 * @param connection NULL: use one for this request only */
void soak_request_send(soak_t *soak, soak_request_t *request, wire_t **connection,
                       const char *headers, const char *body);

/* config_writer.c */
/** Start the operator, the services of its routes, and clients that probe them. @param threads
 * takes their threads */
void soak_config_start(soak_t *soak, GPtrArray *threads);
void soak_config_free(soak_t *soak);
/** Write a configuration with one thing changed. */
void soak_config_change(soak_t *soak);
/** @return number of the route that a probe was sent on; SOAK_PROBE_ROUTES: it isn't a probe */
guint soak_probe_route(const char *path);

/* tenants.c */
/** Configure tenants with limits, and start their clients. @param threads takes their threads */
void soak_tenants_start(soak_t *soak, GPtrArray *threads);
/** Lower some limits, or raise them again, from the next configuration on. */
void soak_tenants_change(soak_t *soak);
/** Compare what engines ran of each tenant's requests with its limit. */
void soak_tenants_check(soak_t *soak, const json_t *seen);

/* rejoin.c */
/** Start services whose software versions come and go, and clients whose streams break off and are
 * taken up at once or late. @param threads takes their threads, which end with stop */
void soak_rejoin_start(soak_t *soak, GPtrArray *threads);
void soak_rejoin_free(soak_t *soak);
/** Lead the route of these streams to another service, or back. */
void soak_rejoin_move_route(soak_t *soak);
/** @return body of a try of such a stream: no two streams have the same; owned by the caller */
char *soak_rejoin_body(const char *id);
/** Check that streams go on, and print how many. */
void soak_rejoin_check(soak_t *soak);

/* rests.c */
/** Start the operator who changes limits, and clients that rest on kept connections as long as
 * these allow. @param threads takes their threads, which end with stop */
void soak_rests_start(soak_t *soak, GPtrArray *threads);
void soak_rests_free(soak_t *soak);
/** @return body of a request after a rest; owned by the caller */
char *soak_rest_body(const char *id);
/** Check that each whole request was answered, and that connections stayed open while their clients
 * rested as long as they may. */
void soak_rests_check(soak_t *soak, const json_t *seen);

/* odd_rows.c */
/** Start a service with sound engines, its clients, and another writer who puts odd rows among
 * those of its engines. @param threads takes their threads, which end with stop */
void soak_odd_rows_start(soak_t *soak, GPtrArray *threads);
void soak_odd_rows_free(soak_t *soak);
/** Check that the service was served, that engines which came after odd rows were followed, that no
 * engine got a header of a row's making, and that logs stayed readable. */
void soak_odd_rows_check(soak_t *soak, const json_t *seen);

/* broken_streams.c */
/** Start engines that break streams off and don't go on, and clients that send for these. @param
 * threads takes their threads, which end with stop */
void soak_broken_streams_start(soak_t *soak, GPtrArray *threads);
void soak_broken_streams_free(soak_t *soak);
/** @return TRUE for the id of such a stream, which is its body as well */
gboolean soak_is_broken_stream(const char *id);
/** Check that some were whole, and print how many. */
void soak_broken_streams_check(soak_t *soak);

/* steps.c */
/** Start engines of new versions that join while a node is out of step, and clients that take up
 * streams there. @param threads takes their threads, which end with stop */
void soak_steps_start(soak_t *soak, GPtrArray *threads);
void soak_steps_free(soak_t *soak);
/** Check that streams go on there, and print how many. */
void soak_steps_check(soak_t *soak);

/* versions.c */
/** A stream over its client's tries. */
typedef struct soak_stream_t {
    char first_id[32]; /* of the try that brought the first event */
    char version[16];  /* "": no event yet */
    int last;          /* number of the last event */
} soak_stream_t;

/** One try of a stream: the first, or one that takes it up. */
typedef struct soak_stream_try_t {
    const char *id;
    const char *path; /* static */
    int node;
    int model;
    const char *body;
    gboolean unnamed;   /* it doesn't name the stream that it takes up */
    gboolean uncounted; /* soak_t.begun and soak_t.taken_up leave it out */
} soak_stream_try_t;

/** Send a try, check that its events go on where the stream ended, in its version, and record it.
 * @return TRUE when nothing more is to come */
gboolean soak_stream_send(soak_t *soak, soak_stream_t *stream, const soak_stream_try_t *try);
/** Start engines of two software versions, and clients that take streams up. @param threads takes
 * their threads */
void soak_versions_start(soak_t *soak, GPtrArray *threads);
/** Check that a stream holds events of one version. @return its events without the versions, owned
 * by the caller */
char *soak_versions_remove(soak_t *soak, const char *id, const char *body);
/** Compare how many streams that were taken up went on with how many new ones began. */
void soak_versions_check(soak_t *soak);

/* parts.c */
/** Start engines, clients that share parts of prompts, and, 4 s later, those with a part that
 * crashes engines. @param threads takes their threads, which end with poison_stop */
void soak_parts_start(soak_t *soak, GPtrArray *threads);
/** @return body of a request with parts of prompts: no two are alike; owned by the caller */
char *soak_part_body(const char *id);
/** @return TRUE if it is the id of such a request */
static inline gboolean soak_has_parts(const char *id) {
    return g_str_has_prefix(id, SOAK_BAD_PART_ID) || g_str_has_prefix(id, SOAK_SOUND_PART_ID);
}
/** Check how often such parts reached engines, and how many sound requests began. */
void soak_parts_check(soak_t *soak, const json_t *seen);

/* flood.c */
/** Start clients that open most connections to one node, by turns. @param threads takes their
 * threads, which end with poison_stop */
void soak_flood_start(soak_t *soak, GPtrArray *threads);
/** Compare what a node served that got most connections with what all did before. */
void soak_flood_check(soak_t *soak);

/* faulty.c */
/** Start engines that send answers twice, or bytes without end. @param threads takes a thread,
 * which ends with stop */
void soak_faulty_start(soak_t *soak, GPtrArray *threads);
/** Check the nodes' memory. */
void soak_faulty_check(soak_t *soak, const json_t *seen);

/* processor.c */
/** Start to limit the processor of nodes, if this run does. @param threads takes the thread */
void soak_processor_limit(soak_t *soak, GPtrArray *threads);

/* config_checks.c */
/** Compare how requests were handled with the configurations that the operator wrote. */
void soak_config_check(soak_t *soak, const json_t *seen);

/* faults.c */
/** Begin and end faults as the seed determines, for this time; then end all and wait until nodes
 * are ready. */
void soak_faults_run(soak_t *soak, int64_t duration_ms);
/** Write another version of the configuration, with a change where this seed makes any. */
void soak_config_rewrite(soak_t *soak);

/* partitions.c */
/** Compare what nodes served that were cut off from engines with what the others did. */
void soak_partitions_check(soak_t *soak);

/* state_checks.c */
/** Compare what engines received with the limits, backoff and draining that they reported. */
void soak_states_check(soak_t *soak, const json_t *seen);

/* checks.c */
/** Check what engines recorded against what clients received. */
void soak_checks_run(soak_t *soak);

#endif
