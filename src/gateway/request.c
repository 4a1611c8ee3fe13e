/* Parses and validates clients' requests: path, headers and JSON body. An invalid request is
 * answered with HTTP status 400 or 404. Deadlines are in milliseconds. */
#include "gateway_types.h"

#include "wickbridge/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEADLINE_MAX_MS 86400000
#define KEY_MAX_LENGTH 128
#define PATH_MAX_LENGTH 200
#define OWNER_DEFAULT "default"

gw_request_t *request_ref(gw_request_t *request) {
    g_atomic_int_inc(&request->references);
    return request;
}

void request_unref(gw_request_t *request) {
    if (!g_atomic_int_dec_and_test(&request->references))
        return;
    if (request->call != NULL)
        wb_http_call_unref(request->call);
    g_mutex_clear(&request->lock);
    g_free(request->model);
    g_free(request->adapter);
    g_free(request->owner);
    g_free(request->key);
    g_free(request->body);
    g_free(request->path);
    g_free(request->engine);
    g_free(request->engine_address);
    g_free(request->seed);
    g_string_free(request->partial_event, TRUE);
    g_free(request);
}

static void random_id(char *name, const char *prefix) {
    g_snprintf(name, REQUEST_ID_SIZE, "%s%08x%08x%08x", prefix, g_random_int(), g_random_int(),
               g_random_int());
}

void request_new_stream_id(gw_request_t *request) {
    random_id(request->stream, "s-");
}

int64_t request_time_left_ms(const gw_request_t *request) {
    return request->deadline_ms - wb_clock_ms();
}

void request_set_reason(gw_request_t *request, const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    g_vsnprintf(request->reason, sizeof(request->reason), format, arguments);
    va_end(arguments);
}

static gw_request_t *request_create(wb_gateway_t *gateway, wb_http_exchange_t *exchange) {
    gw_request_t *request = g_new0(gw_request_t, 1);
    request->references = 1;
    g_mutex_init(&request->lock);
    request->gateway = gateway;
    request->exchange = exchange;
    request->partial_event = g_string_new(NULL);
    request->arrived_ms = wb_clock_ms();
    random_id(request->id, "r-");
    request_new_stream_id(request);
    return request;
}

/* Looks up a model, an adapter, or "model:adapter". Sets adapter to "" if the name has none. */
static const wb_model_t *model_lookup(const wb_config_t *config, const char *name,
                                      const char **adapter) {
    *adapter = "";
    const wb_model_t *model = wb_config_model(config, name);
    if (model != NULL)
        return model;
    const wb_adapter_t *found = wb_config_adapter(config, name);
    const char *colon = strchr(name, ':');
    if (found == NULL && colon != NULL) {
        found = wb_config_adapter(config, colon + 1);
        if (found != NULL && (strlen(found->model) != (size_t)(colon - name) ||
                              strncmp(found->model, name, (size_t)(colon - name)) != 0))
            found = NULL;
    }
    if (found == NULL)
        return NULL;
    *adapter = found->name;
    return wb_config_model(config, found->model);
}

/* Returns FALSE if the header isn't an integer from 1 to DEADLINE_MAX_MS. */
static gboolean deadline_parse(wb_http_exchange_t *exchange, int64_t *deadline_ms) {
    const char *text = wb_http_exchange_header(exchange, "Wickbridge-Deadline-Ms");
    if (text == NULL)
        return TRUE;
    char *end;
    int64_t value = g_ascii_strtoll(text, &end, 10);
    if (end == text || *end != '\0' || value < 1 || value > DEADLINE_MAX_MS)
        return FALSE;
    *deadline_ms = value;
    return TRUE;
}

/* Returns FALSE if the header is neither "yes" nor "no". */
static gboolean repeatable_parse(wb_http_exchange_t *exchange, gboolean *repeatable) {
    const char *text = wb_http_exchange_header(exchange, "Wickbridge-Repeatable");
    if (text == NULL)
        return TRUE;
    if (strcmp(text, "yes") != 0 && strcmp(text, "no") != 0)
        return FALSE;
    *repeatable = strcmp(text, "yes") == 0;
    return TRUE;
}

/* Returns the error message for the client, or NULL if the headers are valid. */
static const char *headers_parse(gw_request_t *request, const wb_config_t *config,
                                 const wb_service_t *service) {
    int64_t deadline_ms = service->default_deadline_ms;
    request->repeatable = service->repeatable;
    if (!deadline_parse(request->exchange, &deadline_ms))
        return "Wickbridge-Deadline-Ms must be a whole number from 1 to 86400000.";
    if (!repeatable_parse(request->exchange, &request->repeatable))
        return "Wickbridge-Repeatable must be yes or no.";
    request->deadline_ms = request->arrived_ms + deadline_ms;
    const char *owner = wb_http_exchange_header(request->exchange, "Wickbridge-Owner");
    request->owner = g_strdup(owner != NULL ? owner : OWNER_DEFAULT);
    const wb_owner_t *declared = wb_config_owner(config, request->owner);
    if (owner != NULL && declared == NULL)
        return "Wickbridge-Owner names no declared owner.";
    request->share = declared != NULL ? (double)declared->share : 1.0;
    const char *key = wb_http_exchange_header(request->exchange, "Idempotency-Key");
    if (key != NULL && (*key == '\0' || strlen(key) > KEY_MAX_LENGTH))
        return "Idempotency-Key must have 1 to 128 characters.";
    if (key != NULL)
        request->key = g_strconcat(request->owner, "/", key, NULL);
    return NULL;
}

static gw_request_t *request_reject(gw_request_t *request, unsigned status, const char *code,
                                    const char *message) {
    response_send_rejection(request->gateway, request->exchange, status, code, message);
    request_unref(request);
    return NULL;
}

/* Sets the model and the values of the headers. On an error, answers, frees the request and returns
 * NULL. */
static gw_request_t *request_resolve(gw_request_t *request, const wb_config_t *config,
                                     const char *name, const char *service_name) {
    const char *adapter;
    const wb_model_t *model = model_lookup(config, name, &adapter);
    if (model == NULL || (service_name != NULL && strcmp(model->service, service_name) != 0)) {
        g_autofree char *message = g_strdup_printf("The model '%.100s' does not exist.", name);
        return request_reject(request, 404, "model_not_found", message);
    }
    request->model = g_strdup(model->name);
    request->adapter = g_strdup(adapter);
    const char *invalid = headers_parse(request, config, wb_config_service(config, model->service));
    if (invalid != NULL)
        return request_reject(request, 400, "invalid_header", invalid);
    return request;
}

/* Returns the model of an opaque call: from its header, or the only model of its service; "" if
 * the service has none or several. */
static const char *call_model_name(const wb_config_t *config, wb_http_exchange_t *exchange,
                                   const char *service) {
    const char *name = wb_http_exchange_header(exchange, "Wickbridge-Model");
    if (name != NULL)
        return name;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, config->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_model_t *model = value;
        if (strcmp(model->service, service) != 0)
            continue;
        if (name != NULL)
            return "";
        name = model->name;
    }
    return name != NULL ? name : "";
}

/* Returns the error message for the client, or NULL if the body is valid. */
static const char *body_validate(const json_t *body, gw_kind_t kind) {
    if (kind == KIND_CALL)
        return NULL;
    if (!json_is_object(body))
        return "The body must be a JSON object.";
    if (!json_is_string(json_object_get(body, "model")))
        return "'model' must be given as a string.";
    if (kind == KIND_CHAT && !json_is_array(json_object_get(body, "messages")))
        return "'messages' must be given as an array.";
    if (kind == KIND_COMPLETION && json_object_get(body, "prompt") == NULL)
        return "'prompt' must be given.";
    const json_t *stream = json_object_get(body, "stream");
    if (stream != NULL && !json_is_boolean(stream) && !json_is_null(stream))
        return "'stream' must be true or false.";
    return NULL;
}

/* Returns a new reference, or NULL. */
static wb_config_t *config_get(wb_gateway_t *gateway) {
    g_mutex_lock(&gateway->config_lock);
    wb_config_t *config = gateway->config != NULL ? wb_config_ref(gateway->config) : NULL;
    g_mutex_unlock(&gateway->config_lock);
    return config;
}

/* Escapes the path, so that it can't inject a line break into the Engine-Path header. */
static char *path_escape(const char *path) {
    return g_uri_escape_string(path, G_URI_RESERVED_CHARS_ALLOWED_IN_PATH, FALSE);
}

gw_request_t *request_read(wb_gateway_t *gateway, wb_http_exchange_t *exchange, gw_kind_t kind,
                           const char *service, const char *call_path) {
    gw_request_t *request = request_create(gateway, exchange);
    request->kind = kind;
    if (kind == KIND_CALL)
        request->path = path_escape(call_path);
    if (request->path != NULL && strlen(request->path) > PATH_MAX_LENGTH)
        return request_reject(request, 400, "invalid_path", "The path is too long.");
    size_t length;
    const char *text = wb_http_exchange_body(exchange, &length);
    json_error_t failure;
    json_t *body = json_loadb(text, length, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, &failure);
    if (body == NULL) {
        g_autofree char *message =
            g_strdup_printf("The body is not valid JSON: line %d: %s.", failure.line, failure.text);
        return request_reject(request, 400, "invalid_json", message);
    }
    const char *invalid = body_validate(body, kind);
    if (invalid != NULL) {
        json_decref(body);
        return request_reject(request, 400, "invalid_request", invalid);
    }
    wb_config_t *config = config_get(gateway);
    const char *name = kind == KIND_CALL ? call_model_name(config, exchange, service)
                                         : wb_json_text(body, "model", "");
    request->streaming = kind != KIND_CALL && wb_json_boolean(body, "stream", FALSE);
    request->body = g_strndup(text, length);
    request->body_length = length;
    request->digest = XXH64(text, length, (uint64_t)kind) >> 1;
    if (request->path != NULL)
        request->digest ^= XXH64(request->path, strlen(request->path), 1) >> 1;
    request = request_resolve(request, config, name, service);
    json_decref(body);
    wb_config_unref(config);
    return request;
}

gw_request_t *request_read_fetch(wb_gateway_t *gateway, wb_http_exchange_t *exchange,
                                 const char *key) {
    gw_request_t *request = request_create(gateway, exchange);
    const char *name = wb_http_exchange_query(exchange, "model");
    const char *stream = wb_http_exchange_query(exchange, "stream");
    if (name == NULL)
        return request_reject(request, 400, "invalid_request",
                              "The query must name the model: ?model=NAME");
    wb_config_t *config = config_get(gateway);
    request->fetch_only = TRUE;
    request->streaming = stream != NULL && strcmp(stream, "true") == 0;
    request = request_resolve(request, config, name, NULL);
    wb_config_unref(config);
    if (request != NULL) {
        g_free(request->key);
        request->key = g_strconcat(request->owner, "/", key, NULL);
    }
    return request;
}
