/**
 * @file platform.h
 * @brief The parts of the platform stand-in: table service, object store, machines, weights.
 *
 * Locks: each part has one lock of its own, held only inside its functions.
 */
#ifndef WICKBRIDGE_STANDIN_PLATFORM_H
#define WICKBRIDGE_STANDIN_PLATFORM_H

#include "../standin_http.h"

#include <stdint.h>

/** How a service behaves at present. */
typedef enum platform_mode_t {
    PLATFORM_UP,     /**< answers */
    PLATFORM_REFUSE, /**< answers 503 at once */
    PLATFORM_HANG    /**< never answers */
} platform_mode_t;

/** Settings of the stand-in. */
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

/** A rate limit: tokens refill at `per_s`, at most one second's worth is kept. */
typedef struct platform_bucket_t {
    double tokens;
    double per_s;
    int64_t filled_us;
    int64_t taken;   /**< operations let through so far */
    int64_t refused; /**< operations refused so far */
} platform_bucket_t;

/** Take one token. @return 0, or the time in ms after which to come back */
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
/** A stand-in for the platform's own knowledge: machine processes are registered by who starts
 * them. */
void machines_register(wb_http_exchange_t *exchange);
/** Mark a machine as leaving; takes effect in the list after the lag. */
void machines_leave(wb_http_exchange_t *exchange);
void machines_set_fault(platform_mode_t mode);
/** Look at the registered processes; called regularly. */
void machines_tick(void);

void weights_setup(double loads_per_s, int64_t at_once);
void weights_handle(wb_http_exchange_t *exchange);
void weights_set_slowdown(double factor);
/** Let transfers make progress; called regularly. */
void weights_tick(void);
json_t *weights_counters(void);

/** Hold an exchange for ever, as a service that hangs does. */
void platform_hang(wb_http_exchange_t *exchange);

#endif
