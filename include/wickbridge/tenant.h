/**
 * @file tenant.h
 * @brief Tenants of the operators' configuration: API keys, priority, quota and allowed regions.
 *
 * Keys are stored only as HMAC-SHA256 digests under a random secret of the process; they must never
 * be written to a log, a message or an error.
 *
 * Rates are in units per second, where a unit is a request or a token (wb_quota_unit_t). Lookups
 * return NULL if nothing matches; the process aborts if the system provides no random bytes.
 * wb_key_digest is thread-safe; a wb_tenants_t may be used by one thread at a time.
 *
 * Usage is counted in src/quota; the key's header is parsed in api_key.h.
 */
#ifndef WICKBRIDGE_TENANT_H
#define WICKBRIDGE_TENANT_H

#include <glib.h>
#include <stdint.h>

/** Size of an HMAC-SHA256 digest. */
#define WB_KEY_DIGEST_BYTES 32
/** Max length of a key; a longer one in a request is invalid. */
#define WB_KEY_MAX_BYTES 512
/** The tenant has no priority; its requests have that of their route. */
#define WB_TENANT_NO_PRIORITY (-1)

typedef struct wb_key_digest_t {
    guchar bytes[WB_KEY_DIGEST_BYTES];
} wb_key_digest_t;

/** Unit of a tenant's quota. */
typedef enum wb_quota_unit_t {
    WB_QUOTA_REQUESTS, /**< each request costs 1 */
    WB_QUOTA_TOKENS    /**< a request costs its prompt tokens plus its max output tokens */
} wb_quota_unit_t;

typedef struct wb_tenant_t {
    char *name;
    int rank; /**< priority, overrides the route's; 0 is the most urgent; or WB_TENANT_NO_PRIORITY
               */
    wb_quota_unit_t unit;
    double default_tokens;  /**< cost of a request that states no token counts */
    double rate_per_s;      /**< units per second over all nodes; 0: no limit */
    double burst;           /**< units allowed beyond the rate */
    char **allowed_regions; /**< regions in which its requests may be served; NULL: all */
} wb_tenant_t;

typedef struct wb_tenants_t wb_tenants_t;

wb_tenants_t *wb_tenants_create(void);
void wb_tenants_free(wb_tenants_t *tenants);

/** Add a tenant. @return the tenant, to be filled in; the existing one if the name is known. Owned
 * by `tenants` */
wb_tenant_t *wb_tenants_add(wb_tenants_t *tenants, const char *name);
/** Assign a key to a tenant, and take it from another tenant that has it. */
void wb_tenants_add_key(wb_tenants_t *tenants, wb_tenant_t *tenant, const char *key);
/** @return the tenant by name, or NULL */
const wb_tenant_t *wb_tenants_find(const wb_tenants_t *tenants, const char *name);
/** @return the tenant that the key is assigned to, or NULL */
const wb_tenant_t *wb_tenants_find_by_key(const wb_tenants_t *tenants,
                                          const wb_key_digest_t *digest);
/** @return name -> wb_tenant_t; owned by `tenants` */
GHashTable *wb_tenants_all(const wb_tenants_t *tenants);

/** Compute a key's digest under this process's secret; comparable within one process only. */
wb_key_digest_t wb_key_digest(const char *key, gsize length);

/**
 * Compute the cost of a request in units of its tenant's quota.
 * @param tokens prompt tokens plus max output tokens; negative: the request states none
 */
double wb_tenant_cost(const wb_tenant_t *tenant, double tokens);

#endif
