/* Tenants of the configuration, and their keys' digests. */
#include "wickbridge/tenant.h"

#include <string.h>
#include <sys/random.h>

struct wb_tenants_t {
    GHashTable *by_name; /* name -> wb_tenant_t */
    GHashTable *by_key;  /* wb_key_digest_t -> wb_tenant_t, owned by by_name */
};

static void tenant_free(gpointer data) {
    wb_tenant_t *tenant = data;
    g_free(tenant->name);
    g_strfreev(tenant->allowed_regions);
    g_free(tenant);
}

static guint digest_hash(gconstpointer data) {
    guint hash;
    memcpy(&hash, data, sizeof(hash));
    return hash;
}

/* Takes the same time wherever two digests differ. */
static gboolean digest_equal(gconstpointer left, gconstpointer right) {
    const wb_key_digest_t *a = left;
    const wb_key_digest_t *b = right;
    guchar difference = 0;
    for (size_t i = 0; i < WB_KEY_DIGEST_BYTES; i++) {
        difference |= a->bytes[i] ^ b->bytes[i];
    }
    return difference == 0;
}

wb_tenants_t *wb_tenants_create(void) {
    wb_tenants_t *tenants = g_new0(wb_tenants_t, 1);
    tenants->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, tenant_free);
    tenants->by_key = g_hash_table_new_full(digest_hash, digest_equal, g_free, NULL);
    return tenants;
}

void wb_tenants_free(wb_tenants_t *tenants) {
    if (tenants == NULL) {
        return;
    }
    g_hash_table_unref(tenants->by_key);
    g_hash_table_unref(tenants->by_name);
    g_free(tenants);
}

wb_tenant_t *wb_tenants_add(wb_tenants_t *tenants, const char *name) {
    wb_tenant_t *tenant = g_hash_table_lookup(tenants->by_name, name);
    if (tenant != NULL) {
        return tenant;
    }
    tenant = g_new0(wb_tenant_t, 1);
    tenant->name = g_strdup(name);
    tenant->rank = WB_TENANT_NO_PRIORITY;
    g_hash_table_insert(tenants->by_name, tenant->name, tenant);
    return tenant;
}

void wb_tenants_add_key(wb_tenants_t *tenants, wb_tenant_t *tenant, const char *key) {
    wb_key_digest_t digest = wb_key_digest(key, strlen(key));
    g_hash_table_replace(tenants->by_key, g_memdup2(&digest, sizeof(digest)), tenant);
}

const wb_tenant_t *wb_tenants_find(const wb_tenants_t *tenants, const char *name) {
    return g_hash_table_lookup(tenants->by_name, name);
}

const wb_tenant_t *wb_tenants_find_by_key(const wb_tenants_t *tenants, const wb_key_digest_t *digest) {
    return g_hash_table_lookup(tenants->by_key, digest);
}

GHashTable *wb_tenants_all(const wb_tenants_t *tenants) {
    return tenants->by_name;
}

/* The secret that digests are made under, drawn once. Configurations are read by a thread, too. */
static const guchar *process_secret(void) {
    static guchar secret[WB_KEY_DIGEST_BYTES];
    static gsize drawn;
    if (g_once_init_enter(&drawn)) {
        /* Without a secret, digests would be the same in all processes. */
        if (getrandom(secret, sizeof(secret), 0) != (ssize_t)sizeof(secret)) {
            g_error("the system has no random bytes for the secret that keys are digested under");
        }
        g_once_init_leave(&drawn, 1);
    }
    return secret;
}

wb_key_digest_t wb_key_digest(const char *key, gsize length) {
    wb_key_digest_t digest = {{0}};
    gsize size = sizeof(digest.bytes);
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, process_secret(), WB_KEY_DIGEST_BYTES);
    g_hmac_update(hmac, (const guchar *)key, (gssize)length);
    g_hmac_get_digest(hmac, digest.bytes, &size);
    g_hmac_unref(hmac);
    return digest;
}

double wb_tenant_cost(const wb_tenant_t *tenant, double tokens) {
    if (tenant->unit == WB_QUOTA_REQUESTS) {
        return 1;
    }
    return tokens >= 0 ? tokens : tenant->default_tokens;
}
