/**
 * @file soak.h
 * @brief A randomized soak of edge nodes: real processes, faults from outside, promises checked by
 * what callers and engines see.
 *
 * A seed lays down which faults begin when and how long they last, and what callers ask for. The
 * processes' own timing is theirs, so a seed that failed is played several times.
 */
#ifndef WICKBRIDGE_TEST_SOAK_H
#define WICKBRIDGE_TEST_SOAK_H

#include "harness/estate.h"

#define SOAK_NODES 4
#define SOAK_CALLERS 12
#define SOAK_DISTURBED_AFTER_MS 4000 /* a fault may be felt so long after its end */
#define SOAK_POISON_BODY "crash: no engine survives this"
#define SOAK_DRAIN_MS 2000
#define SOAK_EVACUATE_MS 2500 /* as nodes take it that aren't told for how long they may go on */
#define SOAK_LEASE_QUIET_MS 1000
#define SOAK_RETRY_RATIO 0.2

/** A span in which a fault was at work. */
typedef struct soak_span_t {
    char name[32];
    int node; /* that it hit; -1: more than one */
    int64_t from_ms;
    int64_t to_ms;
} soak_span_t;

/** An engine that was told to leave. */
typedef struct soak_leave_t {
    char engine[32];
    int64_t at_ms;
} soak_leave_t;

/** A zone that got nothing new for a time. */
typedef struct soak_evacuation_t {
    char zone[32];
    int64_t from_ms;
    int64_t to_ms;
} soak_evacuation_t;

/** A request as its caller saw it. */
typedef struct soak_request_t {
    char id[32];
    const char *path; /* "/lock/x" and so on; owned by nobody */
    int node;
    int status; /* 0: the connection ended without an answer */
    gboolean whole;
    gboolean closed;  /* the connection ended */
    gboolean on_kept; /* it was asked on a connection that had served others */
    gboolean limited; /* its answer names its engine's limit */
    gboolean leaving; /* its answer tells that its engine leaves */
    int64_t began_ms;
    int64_t ended_ms;
} soak_request_t;

/** One play. The lock guards what threads share. */
typedef struct soak_t {
    guint32 seed;
    GRand *plan;
    estate_t *estate;
    GMutex lock;
    GArray *spans;     /* of soak_span_t */
    GArray *leaves;    /* of soak_leave_t */
    GArray *requests;  /* of soak_request_t */
    GPtrArray *broken; /* texts: promises that did not hold */
    gint stop;
    gint poison_stop;
    gboolean has_poison; /* a request that crashes engines comes again and again */
    gboolean has_paces;  /* engines differ in pace, and some tell figures that can't be */
    gboolean has_zones;  /* engines start again under their id, zones are evacuated, other writers
                            put rows among those of engines */
    gboolean has_builds; /* nodes go from one build to the other, forth and back */
    gboolean has_sheds;  /* engines turn everything away for a while */
    gboolean
        has_states;  /* engines name limits, ask for rest, and tell in answers that they leave */
    int retry_slack; /* requests sent again in a window beyond the ratio */
    int retry_window_s;
    GArray *evacuations; /* of soak_evacuation_t */
    int engines_started; /* makes ids of engines unique */
    int64_t version;     /* of the configuration */
} soak_t;

/** @return a text of an object that the stand-in saw */
static inline const char *soak_text_of(const json_t *object, const char *name) {
    return json_string_value(json_object_get(object, name));
}

static inline int64_t soak_number_of(const json_t *object, const char *name) {
    return json_integer_value(json_object_get(object, name));
}

/** Note that a promise did not hold. */
void soak_broken(soak_t *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** @return TRUE when the node's process was killed or stood still in this time */
gboolean soak_is_halted(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when the node was started anew, as planned or not, or stood still in this time */
gboolean soak_is_restarted(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when the node was started anew, stood still or was cut off in this time */
gboolean soak_is_excused(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);
/** @return TRUE when a fault was at work that may keep this node from its promises in time */
gboolean soak_is_disturbed(soak_t *soak, int node, int64_t from_ms, int64_t to_ms);

/** The same, faults of one name apart. */
gboolean soak_is_disturbed_but(soak_t *soak, int node, int64_t from_ms, int64_t to_ms,
                               const char *name);

/* callers.c */
/** Start the callers' threads. @return them; join with soak_callers_join */
GPtrArray *soak_callers_start(soak_t *soak);
void soak_callers_join(GPtrArray *threads);
/** Start callers that send a request again and again that crashes engines, if this seed has one.
 * @return their threads */
GPtrArray *soak_poison_start(soak_t *soak);
/** Every kind of request is served at every node: called once all faults are over. */
void soak_recovery_check(soak_t *soak);

/* faults.c */
/** Begin and end faults as the seed lays down, until the time is over; then all are over. */
void soak_faults_play(soak_t *soak, int64_t duration_ms);

/* state_checks.c */
/** Compare what engines got with the limits, rest and leaving that they told of. */
void soak_states_check(soak_t *soak, const json_t *seen);

/* checks.c */
/** Compare what engines saw with what callers were told. */
void soak_checks_run(soak_t *soak);

#endif
