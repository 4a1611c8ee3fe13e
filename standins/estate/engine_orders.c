/* The stand-in's engines: models and orders. */
#include "engine_internal.h"

#include "wickbridge/json.h"

#include <string.h>

#define ORDER_LATE_MS 1500

/* An order in progress. */
typedef struct wb_estate_load_t {
    wb_estate_engine_t *engine;
    unsigned start; /* incarnation that it belongs to: a crash discards it */
    json_t *order;
} wb_estate_load_t;

static wb_estate_load_t *load_create(wb_estate_engine_t *engine, const json_t *order) {
    wb_estate_load_t *load = g_new0(wb_estate_load_t, 1);
    load->engine = engine;
    load->start = engine->start_count;
    load->order = json_deep_copy(order);
    return load;
}

static void load_free(wb_estate_load_t *load) {
    json_decref(load->order);
    g_free(load);
}

static gboolean load_is_stale(const wb_estate_load_t *load) {
    return load->engine->ended || load->start != load->engine->start_count;
}

static void violation(wb_estate_engine_t *engine, const char *text) {
    json_array_append_new(engine->seen->violations, json_sprintf("%s at %s", text, engine->id));
}

static json_t *model_find(const wb_estate_engine_t *engine, const char *name, size_t *index) {
    size_t i;
    json_t *model;
    json_array_foreach(engine->models, i,
                       model) if (strcmp(wb_json_text(model, "name", ""), name) == 0) {
        if (index != NULL)
            *index = i;
        return model;
    }
    return NULL;
}

static size_t adapter_find(const json_t *model, const char *name) {
    size_t i;
    json_t *adapter;
    json_array_foreach(json_object_get(model, "adapters"), i,
                       adapter) if (strcmp(json_string_value(adapter), name) == 0) return i;
    return G_MAXSIZE;
}

gboolean wb_estate_engine_holds(const wb_estate_engine_t *engine, const char *wanted) {
    g_auto(GStrv) names = g_strsplit(wanted, "/", 2);
    const json_t *model = model_find(engine, names[0], NULL);
    return model != NULL && (names[1] == NULL || adapter_find(model, names[1]) != G_MAXSIZE);
}

static double used_mb(const wb_estate_engine_t *engine) {
    double used = 0;
    size_t i;
    json_t *model;
    json_array_foreach(engine->models, i, model) used +=
        (double)wb_estate_engine_option(engine, "model_mb", 1000);
    return used;
}

void wb_estate_engine_add_model(wb_estate_engine_t *engine, const char *name) {
    if (used_mb(engine) + (double)wb_estate_engine_option(engine, "model_mb", 1000) >
        (double)wb_estate_engine_option(engine, "weights_mb", 2000))
        violation(engine, "loaded beyond its room");
    json_array_append_new(engine->models,
                          json_pack("{s:s, s:i, s:[]}", "name", name, "version", 1, "adapters"));
}

static void load_done(void *context) {
    wb_estate_load_t *load = context;
    wb_estate_engine_t *engine = load->engine;
    const char *name = wb_json_text(load->order, "model", "");
    size_t index;
    if (load_is_stale(load)) {
        load_free(load);
        return;
    }
    engine->busy = FALSE;
    if (g_strcmp0(name, engine->crash_model) == 0) {
        load_free(load);
        wb_estate_engine_crash(engine);
        return;
    }
    if (strcmp(wb_json_text(load->order, "operation", ""), "model_load") == 0) {
        if (model_find(engine, name, NULL) == NULL)
            wb_estate_engine_add_model(engine, name);
    } else if (model_find(engine, name, &index) != NULL) {
        json_array_remove(engine->models, index);
    }
    wb_estate_engine_announce(engine);
    load_free(load);
}

static unsigned adapter_order(wb_estate_engine_t *engine, const json_t *order, gboolean is_load) {
    json_t *model = model_find(engine, wb_json_text(order, "model", ""), NULL);
    const char *adapter = wb_json_text(order, "adapter", "");
    if (model == NULL)
        return 400;
    json_t *adapters = json_object_get(model, "adapters");
    size_t index = adapter_find(model, adapter);
    if (is_load && index == G_MAXSIZE) {
        if ((int64_t)json_array_size(adapters) >=
            wb_estate_engine_option(engine, "adapter_slots", 2))
            violation(engine, "adapters beyond its places");
        json_array_append_new(adapters, json_string(adapter));
    } else if (!is_load && index != G_MAXSIZE) {
        json_array_remove(adapters, index);
    }
    engine->sequence++;
    return is_load ? 202 : 200;
}

/* Applies an order. Returns its HTTP status. */
static unsigned order_apply(wb_estate_engine_t *engine, const json_t *order) {
    const json_t *expected = json_object_get(order, "expectedVersion");
    if (json_object_get(order, "holder") == NULL || json_object_get(order, "fencingToken") == NULL)
        return 400;
    if (engine->busy || (expected != NULL && json_integer_value(expected) != engine->sequence))
        return 409;
    gboolean is_load = strcmp(wb_json_text(order, "operation", ""), "model_load") == 0;
    if (json_object_get(order, "adapter") != NULL)
        return adapter_order(engine, order, is_load);
    if (is_load == (model_find(engine, wb_json_text(order, "model", ""), NULL) != NULL))
        return 200;
    engine->sequence++;
    engine->busy = TRUE;
    wb_estate_load_t *load = load_create(engine, order);
    wb_loop_after(engine->loop,
                  wb_estate_engine_option(engine, is_load ? "load_ms" : "unload_ms", 50), load_done,
                  load);
    return 202;
}

static void order_due(void *context) {
    wb_estate_load_t *load = context;
    if (!load_is_stale(load))
        order_apply(load->engine, load->order);
    load_free(load);
}

void wb_estate_engine_order(wb_estate_engine_t *engine, wb_http_connection_t *connection,
                            const wb_http_head_t *head, const GByteArray *body) {
    json_t *order = json_loadb((const char *)body->data, body->len, 0, NULL);
    const char *expected = wb_http_head_get(head, "Expected-Instance");
    unsigned status = 400;
    gboolean responds = TRUE;
    if (expected != NULL && strcmp(expected, engine->id) != 0) {
        status = 421;
    } else if (wb_estate_engine_consume_fault(engine, "order-lost")) {
        status = order_apply(engine, order);
        responds = FALSE;
    } else if (wb_estate_engine_consume_fault(engine, "order-late")) {
        wb_estate_load_t *load = load_create(engine, order);
        wb_loop_after(engine->loop, ORDER_LATE_MS, order_due, load);
        status = 0;
        responds = FALSE;
    } else if (order != NULL) {
        status = order_apply(engine, order);
    }
    json_array_append_new(engine->seen->orders,
                          json_pack("{s:s, s:s, s:I, s:s, s:s, s:s, s:i, s:I}", "engine",
                                    engine->id, "holder", wb_json_text(order, "holder", ""),
                                    "token", (json_int_t)wb_json_integer(order, "fencingToken", 0),
                                    "operation", wb_json_text(order, "operation", ""), "model",
                                    wb_json_text(order, "model", ""), "adapter",
                                    wb_json_text(order, "adapter", ""), "status", (int)status,
                                    "at_ms", (json_int_t)wb_clock_ms()));
    json_decref(order);
    if (responds)
        wb_http_connection_reply(connection, status, wb_http_status_reason(status), "", NULL, 0);
}
