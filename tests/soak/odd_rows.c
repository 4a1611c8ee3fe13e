/* Another writer whose odd rows come and go among those of the engines: nested too deeply, with
 * numbers and texts out of range, addresses that are none, and keys that hold line breaks, quotes
 * or control characters. A service with such rows must be served as without them, engines that come
 * after them must be followed, and nothing of a row may act but as data. */
#include "soak.h"

#include "harness/harness_types.h"

#include <stdio.h>
#include <string.h>

#define SERVICE "kiosk"
#define SOUND_ENGINES 2
#define CLOSED_PORT 9 /* a node that takes such a row for an engine's finds out at once */
#define CLIENTS 6
#define CLIENT_GAP_MAX_MS 60
#define PUT_GAP_MAX_MS 400
#define PRESENT_MAX 12
/* An engine that comes after an odd row leaves after this time. */
#define FOLLOWER_MS 3500
#define FOLLOWERS_AT_ONCE 2
/* Requests that may fail at nodes in touch, and the share of them beyond that. */
#define FAILED_MAX 10
#define FAILED_SHARE 0.02
#define INJECTED_HEADER "x-odd"
#define REPORTED_MAX 4
#define STDERR_PREFIX                                                                              \
    "(process:" /* begins warnings on the error output, which logs hold as well                    \
                 */

/* A value that another writer gives a member of a row: before, open and close so many times, middle
 * and after. Without a member it is the whole row. */
typedef struct odd_value_t {
    const char *member;
    const char *before;
    const char *open;
    int times;
    const char *middle;
    const char *close;
    const char *after;
} odd_value_t;

static const odd_value_t odd_values[] = {
    {"extra", "", "[", 50, "", "]", ""},
    {"extra", "", "[", 2000, "", "]", ""},
    {"extra", "", "[", 2047, "", "]", ""},
    {"extra", "", "[", 2049, "", "]", ""},
    {"extra", "", "[", 20000, "", "]", ""},
    {"extra", "", "{\"a\":", 2000, "1", "}", ""},
    {"extra", "", "{\"a\":", 9000, "1", "}", ""},
    {"models", "", "[", 3000, "", "]", ""},
    {NULL, "", "[", 30000, "", "", ""},
    {NULL, "row", "", 0, "", "", ""},
    {NULL, "", "", 0, "", "", ""},
    {NULL, "null", "", 0, "", "", ""},
    {"extra", "1e999", "", 0, "", "", ""},
    {"extra", "99999999999999999999999", "", 0, "", "", ""},
    {"sequence", "9223372036854775807", "", 0, "", "", ""},
    {"sequence", "18446744073709551616", "", 0, "", "", ""},
    {"slots", "4611686018427387904", "", 0, "", "", ""},
    {"slots", "1e300", "", 0, "", "", ""},
    {"slots", "-9223372036854775808", "", 0, "", "", ""},
    {"coldRemainingMs", "1e308", "", 0, "", "", ""},
    {"coldRemainingMs", "-4611686018427387904", "", 0, "", "", ""},
    {"remainingMs", "4611686018427387904", "", 0, "", "", ""},
    {"born", "4611686018427387904", "", 0, "", "", ""},
    {"models", "[1,null,{\"name\":5},{\"name\":\"m0\",\"version\":\"x\",\"adapters\":{\"a\":1}}]",
     "", 0, "", "", ""},
    {"models", "[{\"name\":\"m0\",\"version\":4611686018427387904,\"adapters\":[]}]", "", 0, "", "",
     ""},
    {"models", "[", "{\"name\":\"m0\",\"version\":1},", 2000, "{}", "", "]"},
    {"zone", "\"", "z", 30000, "", "", "\""},
    {"version", "\"", "v", 30000, "", "", "\""},
    {"service", "\"", "s", 30000, "", "", "\""},
    {"zone", "\"zone\\r\\nX-Odd: 1\"", "", 0, "", "", ""},
    {"zone", "\"a\\u0000b\"", "", 0, "", "", ""},
    {"zone", "\"\\\"\\\\,{%s%n\\u0001\\u007f\"", "", 0, "", "", ""},
    {"version", "\"v1\\r\\nX-Odd: 1\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:99999\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:65536\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:0\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:-1\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:4294967305\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:99999999999999999999\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:\"", "", 0, "", "", ""},
    {"address", "\":9\"", "", 0, "", "", ""},
    {"address", "\":\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:9:9\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:x\"", "", 0, "", "", ""},
    {"address", "\"[::1]:9\"", "", 0, "", "", ""},
    {"address", "\"[::1:9\"", "", 0, "", "", ""},
    {"address", "\"::1\"", "", 0, "", "", ""},
    {"address", "\"300.1.1.1:9\"", "", 0, "", "", ""},
    {"address", "\"256.256.256.256:99999\"", "", 0, "", "", ""},
    {"address", "\"host.invalid:9\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:9 x\"", "", 0, "", "", ""},
    {"address", "\" 127.0.0.1:9\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:\\r\\n9\"", "", 0, "", "", ""},
    {"address", "\"127.0.0.1:9\\r\\nX-Odd: 1\"", "", 0, "", "", ""},
    {"address", "\"%s%n:9\"", "", 0, "", "", ""},
    {"address", "\"", "a", 20000, "", "", ":9\""},
};

/* Keys of rows of which nothing else is odd. Those with the name of a sound engine before a line
 * break lead to that engine, which would take their requests for its own. */
static const char *const odd_keys[] = {
    "kiosk-1\r\nX-Odd: 1",
    "kiosk-2\nX-Odd: 1",
    "kiosk-1\rX-Odd: 1",
    "odd\"\\,{\"x\":1}",
    "odd\t",
    "odd\x01\x7f",
    "odd%s%n",
    " odd ",
};

/* Lengths of keys that hold nothing else odd. */
static const int odd_key_lengths[] = {200, 250, 4000};

/* An engine that came after an odd row. */
typedef struct follower_t {
    char name[32];
    int64_t put_ms;
    gboolean is_there;
} follower_t;

struct soak_odd_rows_t {
    GMutex lock;       /* guards the members below */
    GArray *followers; /* of follower_t */
    int puts;
    int warnings; /* on the nodes' error output */
    int ports[SOUND_ENGINES];
};

typedef struct kiosk_client_t {
    soak_t *soak;
    int number;
} kiosk_client_t;

static void times_append(GString *text, const char *part, int times) {
    for (int i = 0; i < times; i++) {
        g_string_append(text, part);
    }
}

static char *value_text(const odd_value_t *value) {
    GString *text = g_string_new(value->before);
    times_append(text, value->open, value->times);
    g_string_append(text, value->middle);
    times_append(text, value->close, value->times);
    g_string_append(text, value->after);
    return g_string_free(text, FALSE);
}

/* @return an engine's row in which one member has another value, or which has it besides; owned by
 * the caller. @param name NULL: the row is as it should be */
static char *row_text(int port, const char *name, const char *value) {
    g_autofree char *address = g_strdup_printf("\"127.0.0.1:%d\"", port);
    const struct {
        const char *name;
        const char *value;
    } members[] = {{"service", "\"" SERVICE "\""}, {"address", address}, {"zone", "\"zone-2\""},
                   {"version", "\"v1\""},          {"slots", "8"},       {"state", "\"ready\""},
                   {"coldRemainingMs", "0"},       {"sequence", "1"}};
    GString *text = g_string_new("{");
    gboolean taken = name == NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        gboolean is_odd = g_strcmp0(members[i].name, name) == 0;
        taken |= is_odd;
        g_string_append_printf(text, "%s\"%s\":%s", i > 0 ? "," : "", members[i].name,
                               is_odd ? value : members[i].value);
    }
    if (!taken) {
        g_string_append_printf(text, ",\"%s\":%s", name, value);
    }
    g_string_append(text, "}");
    return g_string_free(text, FALSE);
}

/* @param value NULL: removes the row */
static void row_put(const soak_t *soak, const char *key, const char *value) {
    json_t *call = json_pack("{s:s, s:s, s:s}", "do", "put", "table", "servers", "key", key);
    if (value != NULL) {
        json_object_set_new(call, "value", json_string(value));
    }
    char *text = json_dumps(call, JSON_COMPACT);
    estate_command(soak->estate, "%s", text);
    free(text);
    json_decref(call);
}

/* Puts a row with an odd value. @return its key, owned by the caller */
static char *odd_value_put(const soak_t *soak, GRand *rand) {
    int index = g_rand_int_range(rand, 0, G_N_ELEMENTS(odd_values));
    const odd_value_t *odd = &odd_values[index];
    g_autofree char *value = value_text(odd);
    g_autofree char *row =
        odd->member != NULL ? row_text(CLOSED_PORT, odd->member, value) : g_strdup(value);
    char *key = g_strdup_printf("odd-%d", index);
    row_put(soak, key, row);
    return key;
}

static char *odd_key_put(const soak_t *soak, GRand *rand) {
    int index = g_rand_int_range(rand, 0, G_N_ELEMENTS(odd_keys) + G_N_ELEMENTS(odd_key_lengths));
    gboolean is_long = index >= (int)G_N_ELEMENTS(odd_keys);
    char *key = is_long
                    ? g_strnfill((gsize)odd_key_lengths[index - (int)G_N_ELEMENTS(odd_keys)], 'k')
                    : g_strdup(odd_keys[index]);
    int port = CLOSED_PORT;
    for (int i = 0; i < SOUND_ENGINES; i++) {
        g_autofree char *name = g_strdup_printf(SERVICE "-%d", i + 1);
        port = g_str_has_prefix(key, name) ? soak->odd_rows->ports[i] : port;
    }
    g_autofree char *row = row_text(port, NULL, NULL);
    row_put(soak, key, row);
    return key;
}

static void follower_start(soak_t *soak) {
    soak_odd_rows_t *odd = soak->odd_rows;
    follower_t follower = {.is_there = TRUE};
    g_snprintf(follower.name, sizeof(follower.name), SERVICE "-after-%u", odd->followers->len);
    estate_command(soak->estate,
                   "{\"do\":\"engine-start\",\"engine\":\"%s\",\"options\":{\"service\":\"" SERVICE
                   "\",\"zone\":\"zone-2\",\"work_ms\":10}}",
                   follower.name);
    follower.put_ms = harness_now_ms();
    g_mutex_lock(&odd->lock);
    g_array_append_val(odd->followers, follower);
    g_mutex_unlock(&odd->lock);
}

/* Lets followers leave that have been there long enough. @return how many stay */
static int followers_leave(soak_t *soak, int64_t came_before_ms) {
    soak_odd_rows_t *odd = soak->odd_rows;
    int stay = 0;
    for (guint i = 0; i < odd->followers->len; i++) {
        follower_t *follower = &g_array_index(odd->followers, follower_t, i);
        if (follower->is_there && follower->put_ms < came_before_ms) {
            soak_drain_t drain = {.at_ms = harness_now_ms()};
            g_strlcpy(drain.engine, follower->name, sizeof(drain.engine));
            estate_command(soak->estate, "{\"do\":\"engine-leave\",\"engine\":\"%s\"}",
                           follower->name);
            follower->is_there = FALSE;
            g_mutex_lock(&soak->lock);
            g_array_append_val(soak->drains, drain);
            g_mutex_unlock(&soak->lock);
        }
        stay += follower->is_there;
    }
    return stay;
}

static gpointer writer_run(gpointer data) {
    soak_t *soak = data;
    GRand *rand = g_rand_new_with_seed(soak->seed + 8000);
    g_autoptr(GPtrArray) present = g_ptr_array_new_with_free_func(g_free);
    while (!g_atomic_int_get(&soak->stop)) {
        gboolean odd_key = g_rand_int_range(rand, 0, 3) == 0;
        g_ptr_array_add(present, odd_key ? odd_key_put(soak, rand) : odd_value_put(soak, rand));
        soak->odd_rows->puts++;
        if (followers_leave(soak, harness_now_ms() - FOLLOWER_MS) < FOLLOWERS_AT_ONCE) {
            follower_start(soak);
        }
        g_usleep((gulong)g_rand_int_range(rand, 20, PUT_GAP_MAX_MS) * 1000);
        while (present->len > (guint)g_rand_int_range(rand, 0, PRESENT_MAX)) {
            guint index = (guint)g_rand_int_range(rand, 0, (int)present->len);
            row_put(soak, present->pdata[index], NULL);
            g_ptr_array_remove_index_fast(present, index);
        }
    }
    followers_leave(soak, G_MAXINT64);
    for (guint i = 0; i < present->len; i++) {
        row_put(soak, present->pdata[i], NULL);
    }
    g_rand_free(rand);
    return NULL;
}

static gpointer client_run(gpointer data) {
    kiosk_client_t *client = data;
    soak_t *soak = client->soak;
    GRand *rand = g_rand_new_with_seed(soak->seed + 8100 + (guint32)client->number);
    for (int i = 0; !g_atomic_int_get(&soak->stop); i++) {
        soak_request_t request = {.path = SOAK_KIOSK_PATH,
                                  .node = g_rand_int_range(rand, 0, soak->nodes)};
        g_snprintf(request.id, sizeof(request.id), "z%d-%d", client->number, i);
        soak_request_send(soak, &request, NULL, "Request-Deadline-Ms: 2000\r\n", "hello");
        g_usleep((gulong)g_rand_int_range(rand, 0, CLIENT_GAP_MAX_MS) * 1000);
    }
    g_rand_free(rand);
    g_free(client);
    return NULL;
}

void soak_odd_rows_start(soak_t *soak, GPtrArray *threads) {
    soak_odd_rows_t *odd = g_new0(soak_odd_rows_t, 1);
    estate_t *estate = soak->estate;
    g_mutex_init(&odd->lock);
    odd->followers = g_array_new(FALSE, FALSE, sizeof(follower_t));
    soak->odd_rows = odd;
    estate_add_service(estate, "{\"name\":\"" SERVICE "\",\"maxConnections\":100}");
    estate_add_route(estate,
                     "{\"name\":\"" SERVICE "\",\"host\":\"a.example\",\"pathPrefix\":\"/" SERVICE
                     "/\",\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":400,"
                     "\"priority\":2,\"service\":\"" SERVICE "\",\"maxAttempts\":2}");
    for (int i = 0; i < SOUND_ENGINES; i++) {
        odd->ports[i] = port_find();
        estate_command(estate,
                       "{\"do\":\"engine-start\",\"engine\":\"" SERVICE "-%d\",\"options\":{"
                       "\"service\":\"" SERVICE "\",\"zone\":\"zone-%d\",\"work_ms\":10,"
                       "\"port\":%d}}",
                       i + 1, i + 1, odd->ports[i]);
    }
    soak_config_rewrite(soak);
    g_usleep(SOAK_CONFIG_MS * 1000);
    g_ptr_array_add(threads, g_thread_new("odd-rows", writer_run, soak));
    for (int i = 0; i < CLIENTS; i++) {
        kiosk_client_t *client = g_new0(kiosk_client_t, 1);
        *client = (kiosk_client_t){soak, i};
        g_ptr_array_add(threads, g_thread_new("kiosk", client_run, client));
    }
}

static gboolean is_in_touch(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    return !soak_is_out_of_touch(soak, node, from_ms, to_ms) &&
           !soak_store_turns_nodes_away(soak, node, from_ms, to_ms);
}

static void served_check(soak_t *soak) {
    int sent = 0;
    int failed = 0;
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        if (strcmp(request->path, SOAK_KIOSK_PATH) != 0 ||
            !is_in_touch(soak, request->node, request->began_ms, request->ended_ms)) {
            continue;
        }
        sent++;
        failed += request->status != 200 || !request->complete;
    }
    printf("  odd rows: %d put, %u engines came after them, %d requests at nodes in touch, %d "
           "failed\n",
           soak->odd_rows->puts, soak->odd_rows->followers->len, sent, failed);
    if (failed > FAILED_MAX + FAILED_SHARE * sent) {
        soak_fail(soak, "odd rows: %d of %d requests failed at nodes in touch", failed, sent);
    }
}

static void headers_check(soak_t *soak, const json_t *seen) {
    int injected = 0;
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        const char *name;
        json_t *value;
        json_object_foreach(json_object_get(run, "headers"), name, value) {
            if (g_ascii_strcasecmp(name, INJECTED_HEADER) == 0 && injected++ < REPORTED_MAX) {
                soak_fail(soak, "odd rows: %s reached %s with a header of a row's making",
                          soak_text_of(run, "id"), soak_text_of(run, "engine"));
            }
        }
    }
    if (injected > REPORTED_MAX) {
        soak_fail(soak, "odd rows: %d requests had a header of a row's making", injected);
    }
}

/* When a node first logged that it follows the engine. */
static void seen_note(GHashTable *first_ms, const json_t *line) {
    const char *event = soak_text_of(line, "event");
    const char *engine = soak_text_of(line, "engine");
    if (g_strcmp0(event, "engine-seen") == 0 && engine != NULL &&
        !g_hash_table_contains(first_ms, engine)) {
        int64_t at_ms = soak_number_of(line, "steady_ms");
        g_hash_table_insert(first_ms, g_strdup(engine), g_memdup2(&at_ms, sizeof(at_ms)));
    }
}

/* Reads a node's log. @return engine -> when the node first followed it, in ms; owned by the caller
 */
static GHashTable *log_read(soak_t *soak, int node) {
    GHashTable *first_ms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autofree char *text = NULL;
    int unreadable = 0;
    if (!g_file_get_contents(soak->estate->nodes[node].process.log_path, &text, NULL, NULL)) {
        soak_fail(soak, "node %d has no log", node);
        return first_ms;
    }
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        json_t *object = json_loads(*line, 0, NULL);
        if (object != NULL) {
            seen_note(first_ms, object);
        } else if (g_str_has_prefix(*line, STDERR_PREFIX)) {
            soak->odd_rows->warnings++;
        } else if (**line != '\0' && unreadable++ < REPORTED_MAX) {
            soak_fail(soak, "odd rows: node %d logged what isn't JSON: %.160s", node, *line);
        }
        json_decref(object);
    }
    if (unreadable > REPORTED_MAX) {
        soak_fail(soak, "odd rows: node %d logged %d lines that aren't JSON", node, unreadable);
    }
    return first_ms;
}

static void followed_check(soak_t *soak, int node, GHashTable *first_ms) {
    const GArray *followers = soak->odd_rows->followers;
    int reported = 0;
    for (guint i = 0; i < followers->len; i++) {
        const follower_t *follower = &g_array_index(followers, follower_t, i);
        const int64_t *at_ms = g_hash_table_lookup(first_ms, follower->name);
        int64_t until_ms = follower->put_ms + SOAK_DRAIN_MS;
        gboolean in_time = at_ms != NULL && *at_ms <= until_ms;
        gboolean is_over = follower->put_ms + FOLLOWER_MS > harness_now_ms();
        if (!in_time && !is_over && is_in_touch(soak, node, follower->put_ms, until_ms) &&
            reported++ < REPORTED_MAX) {
            soak_fail(soak, "odd rows: %s came at %.2f s, node %d followed it %s", follower->name,
                      (double)(follower->put_ms - soak->began_ms) / 1000, node,
                      at_ms != NULL ? "late" : "never");
        }
    }
}

void soak_odd_rows_check(soak_t *soak, const json_t *seen) {
    if (soak->odd_rows == NULL) {
        return;
    }
    served_check(soak);
    headers_check(soak, seen);
    for (int node = 0; node < soak->nodes; node++) {
        g_autoptr(GHashTable) first_ms = log_read(soak, node);
        followed_check(soak, node, first_ms);
    }
    printf("  odd rows: %d warnings on the error output of nodes\n", soak->odd_rows->warnings);
}

void soak_odd_rows_free(soak_t *soak) {
    if (soak->odd_rows == NULL) {
        return;
    }
    g_array_unref(soak->odd_rows->followers);
    g_mutex_clear(&soak->odd_rows->lock);
    g_clear_pointer(&soak->odd_rows, g_free);
}
