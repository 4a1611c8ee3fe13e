/* The operators' configuration: building it and looking up routes and services. */
#include "wickbridge/catalog.h"

#include <math.h>
#include <string.h>
#include <strings.h>

#define GOLDEN_RATIO 0.6180339887498949

static void target_clear(gpointer data) {
    g_free(((wb_route_target_t *)data)->service);
}

static void route_free(gpointer data) {
    wb_route_t *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->path_prefix);
    g_strfreev(route->allowed_regions);
    g_array_unref(route->parts);
    g_free(route);
}

static void model_free(gpointer data) {
    wb_model_spec_t *model = data;
    g_free(model->name);
    g_free(model);
}

static void service_free(gpointer data) {
    wb_service_t *service = data;
    g_free(service->name);
    g_hash_table_unref(service->models);
    g_free(service);
}

wb_catalog_t *wb_catalog_create(int64_t version) {
    wb_catalog_t *catalog = g_new0(wb_catalog_t, 1);
    catalog->references = 1;
    catalog->version = version;
    catalog->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    catalog->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
    return catalog;
}

wb_catalog_t *wb_catalog_ref(wb_catalog_t *catalog) {
    catalog->references++;
    return catalog;
}

void wb_catalog_unref(wb_catalog_t *catalog) {
    if (catalog == NULL || --catalog->references > 0)
        return;
    g_hash_table_unref(catalog->hosts);
    g_hash_table_unref(catalog->services);
    wb_tenants_free(catalog->tenants);
    g_free(catalog);
}

wb_route_t *wb_catalog_add_route(wb_catalog_t *catalog, const char *name, const char *host,
                                 const char *path_prefix) {
    wb_route_t *route = g_new0(wb_route_t, 1);
    route->name = g_strdup(name);
    route->host = g_ascii_strdown(host, -1);
    route->path_prefix = g_strdup(path_prefix);
    route->max_attempts = 1;
    route->parts = g_array_new(FALSE, FALSE, sizeof(wb_route_target_t));
    route->split_point = g_random_double();
    g_array_set_clear_func(route->parts, target_clear);
    GPtrArray *routes = g_hash_table_lookup(catalog->hosts, route->host);
    if (routes == NULL) {
        routes = g_ptr_array_new_with_free_func(route_free);
        g_hash_table_insert(catalog->hosts, g_strdup(route->host), routes);
    }
    g_ptr_array_add(routes, route);
    catalog->route_count++;
    return route;
}

void wb_route_add_target(wb_route_t *route, const char *service, double weight) {
    wb_route_target_t target = {g_strdup(service), weight};
    g_array_append_val(route->parts, target);
}

wb_service_t *wb_catalog_add_service(wb_catalog_t *catalog, const char *name) {
    wb_service_t *service = g_new0(wb_service_t, 1);
    service->name = g_strdup(name);
    service->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
    g_hash_table_replace(catalog->services, service->name, service);
    return service;
}

wb_model_spec_t *wb_service_add_model(wb_service_t *service, const char *name) {
    wb_model_spec_t *model = g_new0(wb_model_spec_t, 1);
    model->name = g_strdup(name);
    g_hash_table_replace(service->models, model->name, model);
    return model;
}

/* Sorts routes by descending length of their prefixes. */
static gint compare_prefix_length(gconstpointer left, gconstpointer right) {
    const wb_route_t *a = *(wb_route_t *const *)left;
    const wb_route_t *b = *(wb_route_t *const *)right;
    size_t a_length = strlen(a->path_prefix);
    size_t b_length = strlen(b->path_prefix);
    return a_length > b_length ? -1 : a_length < b_length;
}

static void service_compute_mean_load(wb_service_t *service) {
    GHashTableIter iter;
    gpointer model;
    int64_t sum_ms = 0;
    g_hash_table_iter_init(&iter, service->models);
    while (g_hash_table_iter_next(&iter, NULL, &model)) {
        sum_ms += ((const wb_model_spec_t *)model)->store_load_ms;
    }
    service->store_load_ms = sum_ms / MAX((int64_t)g_hash_table_size(service->models), 1);
}

void wb_catalog_seal(wb_catalog_t *catalog) {
    GHashTableIter iter;
    gpointer routes;
    g_hash_table_iter_init(&iter, catalog->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &routes))
        g_ptr_array_sort(routes, compare_prefix_length);
    gpointer service;
    g_hash_table_iter_init(&iter, catalog->services);
    while (g_hash_table_iter_next(&iter, NULL, &service))
        service_compute_mean_load(service);
}

wb_route_t *wb_catalog_route(const wb_catalog_t *catalog, const char *host, const char *path) {
    g_autofree char *name = g_ascii_strdown(host, -1);
    char *port = strchr(name, ':');
    if (port != NULL)
        *port = '\0';
    GPtrArray *routes = g_hash_table_lookup(catalog->hosts, name);
    if (routes == NULL)
        return NULL;
    size_t path_length = strcspn(path, "?#");
    for (guint i = 0; i < routes->len; i++) {
        wb_route_t *route = g_ptr_array_index(routes, i);
        size_t length = strlen(route->path_prefix);
        if (length <= path_length && memcmp(route->path_prefix, path, length) == 0)
            return route;
    }
    return NULL;
}

const wb_service_t *wb_catalog_service(const wb_catalog_t *catalog, const char *name) {
    return g_hash_table_lookup(catalog->services, name);
}

gboolean wb_route_leads_to(const wb_route_t *route, const char *service) {
    for (guint i = 0; i < route->parts->len; i++) {
        const wb_route_target_t *target = &g_array_index(route->parts, wb_route_target_t, i);
        if (target->weight > 0 && strcmp(target->service, service) == 0)
            return TRUE;
    }
    return FALSE;
}

const char *wb_route_pick_service(wb_route_t *route) {
    double total = 0;
    for (guint i = 0; i < route->parts->len; i++)
        total += g_array_index(route->parts, wb_route_target_t, i).weight;
    if (total <= 0)
        return NULL;
    if (route->parts->len == 1)
        return g_array_index(route->parts, wb_route_target_t, 0).service;
    route->split_point = fmod(route->split_point + GOLDEN_RATIO, 1.0);
    double remaining = route->split_point * total;
    for (guint i = 0; i < route->parts->len; i++) {
        const wb_route_target_t *target = &g_array_index(route->parts, wb_route_target_t, i);
        if (remaining < target->weight)
            return target->service;
        remaining -= target->weight;
    }
    return g_array_index(route->parts, wb_route_target_t, route->parts->len - 1).service;
}
