/* Checks declarations and turns them into typed objects. */
#include "wickbridge/declaration.h"

#include "wickbridge/json.h"
#include "wickbridge/policy.h"

#include <string.h>
#include <xxhash.h>

#define DEFAULT_KEEP_ALIVE_MS 60000
#define DEFAULT_DEADLINE_MS 60000
#define MAX_CELLS 1024
#define MAX_REPLICAS 64

/* What a member of a declaration must be. */
typedef struct member_rule_t {
    const char *name;
    json_type type; /* JSON_TRUE stands for a boolean */
    gboolean required;
    int64_t minimum; /* integers */
    int64_t maximum;
} member_rule_t;

typedef struct kind_rule_t {
    const char *kind;
    member_rule_t members[10];
} kind_rule_t;

static const kind_rule_t kind_rules[] = {
    {"service",
     {{"cells", JSON_INTEGER, FALSE, 1, MAX_CELLS},
      {"keep_alive_ms", JSON_INTEGER, FALSE, 0, 7 * 86400000LL},
      {"default_deadline_ms", JSON_INTEGER, FALSE, 1, 86400000LL},
      {"repeatable", JSON_TRUE, FALSE, 0, 0},
      {"policy", JSON_STRING, FALSE, 0, 0},
      {0}}},
    {"model",
     {{"service", JSON_STRING, TRUE, 0, 0},
      {"version", JSON_INTEGER, FALSE, 1, 1LL << 40},
      {"memory_mib", JSON_INTEGER, TRUE, 1, 1LL << 30},
      {"max_replicas", JSON_INTEGER, FALSE, 1, MAX_REPLICAS},
      {"min_replicas", JSON_INTEGER, FALSE, 0, MAX_REPLICAS},
      {0}}},
    {"adapter",
     {{"model", JSON_STRING, TRUE, 0, 0}, {"memory_mib", JSON_INTEGER, TRUE, 1, 1LL << 30}, {0}}},
    {"owner", {{"share", JSON_INTEGER, TRUE, 1, 1000000}, {0}}},
    {"policy", {{"program", JSON_STRING, TRUE, 0, 0}, {0}}},
};

static void service_free(gpointer data) {
    wb_service_t *service = data;
    g_free(service->name);
    g_free(service->policy);
    g_free(service);
}

static void model_free(gpointer data) {
    wb_model_t *model = data;
    g_free(model->name);
    g_free(model->service);
    g_free(model->cell);
    g_free(model);
}

static void adapter_free(gpointer data) {
    wb_adapter_t *adapter = data;
    g_free(adapter->name);
    g_free(adapter->model);
    g_free(adapter);
}

static void owner_free(gpointer data) {
    wb_owner_t *owner = data;
    g_free(owner->name);
    g_free(owner);
}

static void policy_free(gpointer data) {
    wb_policy_t *policy = data;
    g_free(policy->name);
    g_free(policy->program);
    g_free(policy);
}

static const kind_rule_t *kind_find(const char *key) {
    for (size_t i = 0; i < G_N_ELEMENTS(kind_rules); i++) {
        size_t length = strlen(kind_rules[i].kind);
        if (strncmp(key, kind_rules[i].kind, length) == 0 && key[length] == '/')
            return &kind_rules[i];
    }
    return NULL;
}

static gboolean name_is_valid(const char *name) {
    size_t length = strlen(name);
    if (length == 0 || length > 100)
        return FALSE;
    for (const char *place = name; *place != '\0'; place++)
        if (!g_ascii_isalnum(*place) && strchr("-_.:", *place) == NULL)
            return FALSE;
    return TRUE;
}

static apr_status_t fault_set(wb_config_fault_t *fault, const char *key, const char *member) {
    if (fault != NULL) {
        g_strlcpy(fault->key, key, sizeof(fault->key));
        g_strlcpy(fault->member, member, sizeof(fault->member));
    }
    return APR_EINVAL;
}

static const member_rule_t *member_find(const kind_rule_t *rule, const char *name) {
    for (const member_rule_t *member = rule->members; member->name != NULL; member++)
        if (strcmp(member->name, name) == 0)
            return member;
    return NULL;
}

static apr_status_t member_check(const char *key, const member_rule_t *rule, const json_t *value,
                                 wb_config_fault_t *fault, wb_error_t *error) {
    if (rule->type == JSON_TRUE && !json_is_boolean(value))
        wb_error_set(error, APR_EINVAL, "%s: %s must be true or false", key, rule->name);
    else if (rule->type == JSON_STRING && !json_is_string(value))
        wb_error_set(error, APR_EINVAL, "%s: %s must be a text", key, rule->name);
    else if (rule->type == JSON_INTEGER && !json_is_integer(value))
        wb_error_set(error, APR_EINVAL, "%s: %s must be a whole number from %lld to %lld", key,
                     rule->name, (long long)rule->minimum, (long long)rule->maximum);
    else if (rule->type == JSON_INTEGER && (json_integer_value(value) < rule->minimum ||
                                            json_integer_value(value) > rule->maximum))
        wb_error_set(error, APR_EINVAL, "%s: %s is %lld, but must be from %lld to %lld", key,
                     rule->name, (long long)json_integer_value(value), (long long)rule->minimum,
                     (long long)rule->maximum);
    else
        return APR_SUCCESS;
    return fault_set(fault, key, rule->name);
}

static apr_status_t object_check(const char *key, const json_t *object, wb_config_fault_t *fault,
                                 wb_error_t *error) {
    const kind_rule_t *rule = kind_find(key);
    if (rule == NULL) {
        wb_error_set(error, APR_EINVAL,
                     "%s: the kind must be service, model, adapter, owner or policy", key);
        return fault_set(fault, key, "kind");
    }
    if (!name_is_valid(strchr(key, '/') + 1)) {
        wb_error_set(error, APR_EINVAL,
                     "%s: a name has 1 to 100 letters, digits, or any of - _ . :", key);
        return fault_set(fault, key, "name");
    }
    if (!json_is_object(object)) {
        wb_error_set(error, APR_EINVAL, "%s: must be a mapping", key);
        return fault_set(fault, key, "");
    }
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)object, name, value) {
        const member_rule_t *member = member_find(rule, name);
        if (member == NULL) {
            wb_error_set(error, APR_EINVAL, "%s: a %s has no member '%s'", key, rule->kind, name);
            return fault_set(fault, key, name);
        }
        apr_status_t status = member_check(key, member, value, fault, error);
        if (status != APR_SUCCESS)
            return status;
    }
    for (const member_rule_t *member = rule->members; member->name != NULL; member++) {
        if (!member->required || json_object_get(object, member->name) != NULL)
            continue;
        wb_error_set(error, APR_EINVAL, "%s: '%s' must be given", key, member->name);
        return fault_set(fault, key, member->name);
    }
    return APR_SUCCESS;
}

static void service_add(wb_config_t *config, const char *name, const json_t *object) {
    wb_service_t *service = g_new0(wb_service_t, 1);
    service->name = g_strdup(name);
    service->cells = wb_json_integer(object, "cells", 1);
    service->keep_alive_ms = wb_json_integer(object, "keep_alive_ms", DEFAULT_KEEP_ALIVE_MS);
    service->default_deadline_ms =
        wb_json_integer(object, "default_deadline_ms", DEFAULT_DEADLINE_MS);
    service->repeatable = wb_json_boolean(object, "repeatable", TRUE);
    service->policy = g_strdup(wb_json_text(object, "policy", ""));
    g_hash_table_insert(config->services, service->name, service);
}

static void model_add(wb_config_t *config, const char *name, const json_t *object) {
    wb_model_t *model = g_new0(wb_model_t, 1);
    model->name = g_strdup(name);
    model->service = g_strdup(wb_json_text(object, "service", ""));
    model->version = wb_json_integer(object, "version", 1);
    model->memory_bytes = wb_json_integer(object, "memory_mib", 1) * WB_MIB;
    model->max_replicas = wb_json_integer(object, "max_replicas", 1);
    model->min_replicas = wb_json_integer(object, "min_replicas", 0);
    g_hash_table_insert(config->models, model->name, model);
}

static void object_add(wb_config_t *config, const char *key, const json_t *object) {
    const char *name = strchr(key, '/') + 1;
    if (g_str_has_prefix(key, "service/"))
        service_add(config, name, object);
    else if (g_str_has_prefix(key, "model/"))
        model_add(config, name, object);
    else if (g_str_has_prefix(key, "adapter/")) {
        wb_adapter_t *adapter = g_new0(wb_adapter_t, 1);
        adapter->name = g_strdup(name);
        adapter->model = g_strdup(wb_json_text(object, "model", ""));
        adapter->memory_bytes = wb_json_integer(object, "memory_mib", 1) * WB_MIB;
        g_hash_table_insert(config->adapters, adapter->name, adapter);
    } else if (g_str_has_prefix(key, "owner/")) {
        wb_owner_t *owner = g_new0(wb_owner_t, 1);
        owner->name = g_strdup(name);
        owner->share = wb_json_integer(object, "share", 1);
        g_hash_table_insert(config->owners, owner->name, owner);
    } else {
        wb_policy_t *policy = g_new0(wb_policy_t, 1);
        policy->name = g_strdup(name);
        policy->program = g_strdup(wb_json_text(object, "program", ""));
        g_hash_table_insert(config->policies, policy->name, policy);
    }
}

static apr_status_t model_check_references(const wb_config_t *config, wb_model_t *model,
                                           wb_config_fault_t *fault, wb_error_t *error) {
    g_autofree char *key = g_strconcat("model/", model->name, NULL);
    const wb_service_t *service = wb_config_service(config, model->service);
    if (service == NULL) {
        wb_error_set(error, APR_EINVAL, "%s: there is no service '%s'", key, model->service);
        return fault_set(fault, key, "service");
    }
    if (model->min_replicas > model->max_replicas) {
        wb_error_set(error, APR_EINVAL, "%s: min_replicas is %lld, but max_replicas is %lld", key,
                     (long long)model->min_replicas, (long long)model->max_replicas);
        return fault_set(fault, key, "min_replicas");
    }
    model->cell = wb_cell_name_for(service, model->name);
    return APR_SUCCESS;
}

static apr_status_t adapter_check_references(const wb_config_t *config, const wb_adapter_t *adapter,
                                             wb_config_fault_t *fault, wb_error_t *error) {
    g_autofree char *key = g_strconcat("adapter/", adapter->name, NULL);
    if (wb_config_model(config, adapter->model) == NULL) {
        wb_error_set(error, APR_EINVAL, "%s: there is no model '%s'", key, adapter->model);
        return fault_set(fault, key, "model");
    }
    if (wb_config_model(config, adapter->name) != NULL) {
        wb_error_set(error, APR_EINVAL, "%s: a model has this name already", key);
        return fault_set(fault, key, "name");
    }
    return APR_SUCCESS;
}

static apr_status_t policy_check(const wb_policy_t *policy, wb_config_fault_t *fault,
                                 wb_error_t *error) {
    wb_policy_program_t *program = NULL;
    if (wb_policy_compile(&program, policy->name, policy->program, error) == APR_SUCCESS) {
        wb_policy_free(program);
        return APR_SUCCESS;
    }
    g_autofree char *key = g_strconcat("policy/", policy->name, NULL);
    return fault_set(fault, key, "program");
}

static apr_status_t references_check(wb_config_t *config, wb_config_fault_t *fault,
                                     wb_error_t *error) {
    GHashTableIter iterator;
    gpointer value;
    apr_status_t status = APR_SUCCESS;
    g_hash_table_iter_init(&iterator, config->models);
    while (status == APR_SUCCESS && g_hash_table_iter_next(&iterator, NULL, &value))
        status = model_check_references(config, value, fault, error);
    g_hash_table_iter_init(&iterator, config->adapters);
    while (status == APR_SUCCESS && g_hash_table_iter_next(&iterator, NULL, &value))
        status = adapter_check_references(config, value, fault, error);
    g_hash_table_iter_init(&iterator, config->policies);
    while (status == APR_SUCCESS && g_hash_table_iter_next(&iterator, NULL, &value))
        status = policy_check(value, fault, error);
    g_hash_table_iter_init(&iterator, config->services);
    while (status == APR_SUCCESS && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_service_t *service = value;
        if (*service->policy == '\0' || wb_config_policy(config, service->policy) != NULL)
            continue;
        g_autofree char *key = g_strconcat("service/", service->name, NULL);
        wb_error_set(error, APR_EINVAL, "%s: there is no policy '%s'", key, service->policy);
        status = fault_set(fault, key, "policy");
    }
    return status;
}

apr_status_t wb_config_parse(json_t *objects, uint64_t version, wb_config_t **config,
                             wb_config_fault_t *fault, wb_error_t *error) {
    wb_config_t *parsed = g_new0(wb_config_t, 1);
    parsed->references = 1;
    parsed->version = version;
    parsed->objects = json_incref(objects);
    parsed->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
    parsed->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
    parsed->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, adapter_free);
    parsed->owners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, owner_free);
    parsed->policies = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, policy_free);
    const char *key;
    json_t *object;
    apr_status_t status = APR_SUCCESS;
    json_object_foreach(objects, key, object) {
        status = object_check(key, object, fault, error);
        if (status != APR_SUCCESS)
            break;
        object_add(parsed, key, object);
    }
    if (status == APR_SUCCESS)
        status = references_check(parsed, fault, error);
    if (status == APR_SUCCESS)
        *config = parsed;
    else
        wb_config_unref(parsed);
    return status;
}

wb_config_t *wb_config_ref(wb_config_t *config) {
    g_atomic_int_inc(&config->references);
    return config;
}

void wb_config_unref(wb_config_t *config) {
    if (config == NULL || !g_atomic_int_dec_and_test(&config->references))
        return;
    json_decref(config->objects);
    g_hash_table_unref(config->services);
    g_hash_table_unref(config->models);
    g_hash_table_unref(config->adapters);
    g_hash_table_unref(config->owners);
    g_hash_table_unref(config->policies);
    g_free(config);
}

const wb_service_t *wb_config_service(const wb_config_t *config, const char *name) {
    return g_hash_table_lookup(config->services, name);
}

const wb_model_t *wb_config_model(const wb_config_t *config, const char *name) {
    return g_hash_table_lookup(config->models, name);
}

const wb_adapter_t *wb_config_adapter(const wb_config_t *config, const char *name) {
    return g_hash_table_lookup(config->adapters, name);
}

const wb_owner_t *wb_config_owner(const wb_config_t *config, const char *name) {
    return g_hash_table_lookup(config->owners, name);
}

const wb_policy_t *wb_config_policy(const wb_config_t *config, const char *name) {
    return g_hash_table_lookup(config->policies, name);
}

static gint name_compare(gconstpointer left, gconstpointer right) {
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

GPtrArray *wb_config_cells(const wb_config_t *config) {
    GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, config->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_service_t *service = value;
        for (int64_t i = 0; i < service->cells; i++)
            g_ptr_array_add(cells, g_strdup_printf("%s/%d", service->name, (int)i));
    }
    g_ptr_array_sort(cells, name_compare);
    return cells;
}

char *wb_cell_name_for(const wb_service_t *service, const char *key) {
    int64_t best = 0;
    uint64_t best_hash = 0;
    for (int64_t i = 0; i < service->cells; i++) {
        uint64_t hash = XXH64(key, strlen(key), (uint64_t)i);
        if (i == 0 || hash > best_hash) {
            best = i;
            best_hash = hash;
        }
    }
    return g_strdup_printf("%s/%d", service->name, (int)best);
}

json_t *wb_config_objects_apply(const json_t *objects, const json_t *change) {
    json_t *result = json_copy((json_t *)objects);
    const char *key;
    json_t *object;
    json_object_foreach(json_object_get(change, "set"), key, object)
        json_object_set(result, key, object);
    size_t index;
    json_array_foreach(json_object_get(change, "remove"), index, object) {
        if (json_is_string(object))
            json_object_del(result, json_string_value(object));
    }
    return result;
}
