/**
 * @file platform.h
 * @brief Stand-in for platform services: table service, object store, machine list, weight store.
 *
 * Each service has a rate limit or a lag, and faults that tests set. Handlers (functions that take
 * a wb_http_exchange_t) answer it themselves, errors included. Times are monotonic ms unless a name
 * says otherwise. Functions that return json_t * pass its reference to the caller.
 *
 * Locks: each service has its own, held only inside its functions; any thread may call them
 * after the setup.
 */
#ifndef WICKBRIDGE_STANDIN_PLATFORM_H
#define WICKBRIDGE_STANDIN_PLATFORM_H

#include "../standin_http.h"

#include <stdint.h>

/** Availability of a service. */
typedef enum platform_mode_t {
    PLATFORM_UP,     /**< responds */
    PLATFORM_REFUSE, /**< responds with 503 at once */
    PLATFORM_HANG    /**< never responds */
} platform_mode_t;

/** Settings of the process; see main.c for defaults. */
typedef struct platform_settings_t {
    const char *listen;
    int64_t table_operations_per_s;
    int64_t object_operations_per_s;
    int64_t machine_list_lag_ms;
    int64_t weight_loads_per_s;
    int64_t weight_loads_at_once;
    const char *log_level;
    const char *tls_key;
    const char *tls_certificate;
    const char *tls_trust;
} platform_settings_t;

/** A token bucket: refills at `per_s`, holds at most one second's tokens. */
typedef struct platform_bucket_t {
    double tokens;
    double per_s;
    int64_t filled_us;
    int64_t taken;   /**< operations admitted */
    int64_t refused; /**< operations refused */
} platform_bucket_t;

/** Take one token. @return 0, or the time in ms after which to retry */
int64_t platform_bucket_take(platform_bucket_t *bucket);

void table_setup(double operations_per_s);
void table_handle(wb_http_exchange_t *exchange);
void table_set_fault(platform_mode_t mode, int64_t delay_ms);
json_t *table_counters(void);

void objects_setup(double operations_per_s);
void objects_handle(wb_http_exchange_t *exchange);
void objects_set_fault(platform_mode_t mode);
json_t *objects_counters(void);

void machines_setup(int64_t lag_ms);
void machines_handle(wb_http_exchange_t *exchange);
/** Register a machine's process; called by the program that starts it. */
void machines_register(wb_http_exchange_t *exchange);
/** Set a machine to draining; listed after the lag. */
void machines_drain(wb_http_exchange_t *exchange);
void machines_set_fault(platform_mode_t mode);
/** Check the registered processes and publish changes that are due; called regularly. */
void machines_tick(void);

void weights_setup(double loads_per_s, int64_t at_once);
void weights_handle(wb_http_exchange_t *exchange);
void weights_set_slowdown(double factor);
/** Advance transfers; called regularly. */
void weights_tick(void);
json_t *weights_counters(void);

/** Never answer this exchange. */
void platform_hang(wb_http_exchange_t *exchange);

#endif
