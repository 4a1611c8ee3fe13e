/**
 * @file tenant.h
 * @brief Tenants of the operators' configuration: who a caller's key belongs to, how urgent its
 * requests are, and how much it may ask for.
 *
 * Keys are held as HMAC-SHA256 digests under a secret that each process draws at its start: no key
 * can be read from a process, and none is ever written to a log, a message or an error.
 *
 * What it doesn't do: count what a tenant uses (quota.h), or read headers (api_key.h of the edge).
 */
#ifndef WICKBRIDGE_TENANT_H
#define WICKBRIDGE_TENANT_H

#include <glib.h>
#include <stdint.h>

/** Bytes of a key's digest: those of SHA-256. */
#define WB_KEY_DIGEST_BYTES 32
/** Longer texts are no keys; what callers send is bounded by the head's limit only. */
#define WB_KEY_MAX_BYTES 512
/** A tenant without a rank of its own: its requests have their route's. */
#define WB_TENANT_NO_PRIORITY (-1)

typedef struct wb_key_digest_t {
    guchar bytes[WB_KEY_DIGEST_BYTES];
} wb_key_digest_t;

/** What a tenant's limit counts. */
typedef enum wb_quota_unit_t {
    WB_QUOTA_REQUESTS, /**< each request counts one */
    WB_QUOTA_TOKENS    /**< prompt tokens and the most tokens that may come out, together */
} wb_quota_unit_t;

typedef struct wb_tenant_t {
    char *name;
    int rank; /**< 0 is the most urgent; goes before the route's; WB_TENANT_NO_PRIORITY */
    wb_quota_unit_t unit;
    double default_tokens; /**< what a request counts that names no tokens */
    double rate_per_s;   /**< units a second, over all nodes; 0: no limit */
    double burst;        /**< units on top of the rate */
    char **allowed_regions;        /**< regions in which its requests may be served; NULL: all */
} wb_tenant_t;

typedef struct wb_tenants_t wb_tenants_t;

wb_tenants_t *wb_tenants_create(void);
void wb_tenants_free(wb_tenants_t *tenants);

/** @return a tenant to fill in, owned by `tenants`; the present one when the name is known */
wb_tenant_t *wb_tenants_add(wb_tenants_t *tenants, const char *name);
/** Give a tenant a key. Of two tenants with the same key the later one holds it. */
void wb_tenants_add_key(wb_tenants_t *tenants, wb_tenant_t *tenant, const char *key);
const wb_tenant_t *wb_tenants_find(const wb_tenants_t *tenants, const char *name);
/** @return the tenant that holds the key, or NULL */
const wb_tenant_t *wb_tenants_find_by_key(const wb_tenants_t *tenants, const wb_key_digest_t *digest);
/** @return name -> wb_tenant_t */
GHashTable *wb_tenants_all(const wb_tenants_t *tenants);

/** Digest a key under this process's secret; equal only within one process. */
wb_key_digest_t wb_key_digest(const char *key, gsize length);

/**
 * What a request counts against its tenant's limit.
 * @param tokens prompt tokens and the most tokens out, together; negative: the request names none
 */
double wb_tenant_cost(const wb_tenant_t *tenant, double tokens);

#endif
