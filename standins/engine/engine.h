/**
 * @file engine.h
 * @brief Stand-in for a model engine: models in memory, streams in a batch, prefix cache, reports.
 *
 * One process is one engine. Times are monotonic ms, sizes bytes, unless a name says otherwise.
 * Handlers (functions that take a wb_http_exchange_t) answer it themselves, errors included.
 *
 * Locks: engine_lock guards all state. Functions marked "Lock held" need it held by the caller; all
 * others take it themselves.
 */
#ifndef WICKBRIDGE_STANDIN_ENGINE_H
#define WICKBRIDGE_STANDIN_ENGINE_H

#include "../standin_http.h"

#include "wickbridge/http_client.h"

#include <stdint.h>

/** Settings of the process; see main.c for units and defaults. */
typedef struct engine_settings_t {
    const char *listen;
    const char *id;
    const char *weights;
    const char *disk_models;
    const char *log_level;
    const char *tls_key;
    const char *tls_certificate;
    const char *tls_trust;
    int64_t memory_mib;
    int64_t host_cache_mib;
    int64_t batch;
    int64_t queue_limit;
    int64_t token_interval_ms;
    int64_t prefill_ms_per_kib;
    int64_t call_ms;
    int64_t remote_ms_per_gib;
    int64_t disk_ms_per_gib;
    int64_t memory_ms_per_gib;
    int64_t report_lag_ms;
    int64_t cache_entries;
    int64_t stream_retention_ms;
    int64_t load_slowdown;
} engine_settings_t;

extern engine_settings_t engine_settings;
extern GMutex engine_lock;
extern wb_http_client_t *engine_client;

/** @return the monotonic clock in ms */
int64_t engine_now_ms(void);

typedef enum engine_load_state_t {
    ENGINE_LOADING,
    ENGINE_LOADED,
    ENGINE_UNLOADING /**< takes no new streams; removed when none is left */
} engine_load_state_t;

typedef struct engine_adapter_t {
    char *name;
    int64_t bytes;
    engine_load_state_t state;
    int running;
} engine_adapter_t;

/** A model in accelerator memory, and its adapters by name. */
typedef struct engine_model_t {
    char *name;
    int64_t version;
    int64_t bytes;
    engine_load_state_t state;
    int running; /**< streams waiting or running */
    GHashTable *adapters;
} engine_model_t;

void models_setup(void);
void models_order(wb_http_exchange_t *exchange);
void models_fence(wb_http_exchange_t *exchange);
void models_inventory(wb_http_exchange_t *exchange);
void models_history(wb_http_exchange_t *exchange);
/** Finish loads that are due and answer inventory polls that timed out. */
void models_tick(void);
/** @return the loaded model, or NULL; owned by the engine. Lock held. */
engine_model_t *models_find_loaded(const char *name);
/** @return the loaded adapter, or NULL; owned by its model. Lock held. */
engine_adapter_t *models_find_adapter(engine_model_t *model, const char *name);
/** Release the model and adapter ("": none) of an ended stream. Lock held. */
void models_release(const char *model_name, const char *adapter_name);
/** Increment the inventory's sequence and answer pending polls. Lock held. */
void models_changed(void);
/** @return TRUE while the engine refuses new streams */
gboolean engine_is_draining(void);
void engine_drain(void);

/** Called once when weights have arrived, from any thread, without the lock. Takes over the ticket.
 */
typedef void (*loads_finished_fn)(void *ticket);
/** Start fetching weights, and retry until that succeeds. @param full_speed_ms duration at the
 * weight store's full speed */
void loads_fetch_remote(int64_t full_speed_ms, loads_finished_fn finished, void *ticket);

void streams_setup(void);
void streams_start(wb_http_exchange_t *exchange, const char *id);
void streams_resume(wb_http_exchange_t *exchange, const char *id);
void streams_cancel(wb_http_exchange_t *exchange, const char *id);
void streams_ledger(wb_http_exchange_t *exchange);
/** Advance the batch by one step. */
void streams_tick(void);
/** Count running and waiting streams. Lock held. */
void streams_count(int *running, int *waiting);

/** Response format, by the kind of request. */
typedef enum answer_kind_t { ANSWER_CHAT, ANSWER_COMPLETION, ANSWER_CALL } answer_kind_t;

/** Everything from which any part of a response can be generated again. */
typedef struct answer_t {
    answer_kind_t kind;
    char *id;
    char *model;
    uint64_t seed; /**< chosen by the first engine; the text is derived from it */
    uint64_t prompt_hash;
    int64_t prompt_bytes;
    int tokens; /**< in the complete response */
    int64_t created_s;
    char *call_result; /**< ANSWER_CALL only */
} answer_t;

/** Append the event with this index (0 to answer_events()-1) as a server-sent event. */
void answer_append_event(GString *out, const answer_t *answer, int index);
/** @return the number of events of the complete response */
int answer_events(const answer_t *answer);
/** @return the complete response as JSON, freed by the caller */
char *answer_whole(const answer_t *answer);

void cache_setup(void);
/** Insert a prompt's prefix, or mark it recently used. @return TRUE when it was cached. Lock held.
 */
gboolean cache_touch(uint64_t prefix_hash);
void cache_events(wb_http_exchange_t *exchange);
void cache_export(wb_http_exchange_t *exchange, const char *stream);
void cache_import(wb_http_exchange_t *exchange);

void report_show(wb_http_exchange_t *exchange);
void report_tick(void);

#endif
