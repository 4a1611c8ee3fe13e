/* HTTP requests with curl, and checks of their responses. */
#include "harness_types.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct collector_t {
    answer_t *answer;
    GString *body;
    int64_t started_us;
} collector_t;

static size_t body_collect(char *data, size_t size, size_t count, void *context) {
    collector_t *collector = context;
    if (collector->body->len == 0)
        collector->answer->first_seconds =
            (double)(g_get_monotonic_time() - collector->started_us) / 1e6;
    g_string_append_len(collector->body, data, (gssize)(size * count));
    return size * count;
}

static void header_match(const char *line, size_t length, const char *name, char **value) {
    size_t name_length = strlen(name);
    if (length <= name_length || g_ascii_strncasecmp(line, name, name_length) != 0)
        return;
    g_free(*value);
    *value = g_strstrip(g_strndup(line + name_length, length - name_length));
}

static size_t header_collect(char *line, size_t size, size_t count, void *context) {
    collector_t *collector = context;
    answer_t *answer = collector->answer;
    size_t length = size * count;
    header_match(line, length, "Wickbridge-Verdict:", &answer->verdict);
    header_match(line, length, "Wickbridge-Engine:", &answer->engine);
    header_match(line, length, "Wickbridge-Request-Id:", &answer->request_id);
    header_match(line, length, "Retry-After:", &answer->retry_after);
    return length;
}

const char *harness_tls_folder;

static void tls_set(CURL *curl) {
    if (harness_tls_folder == NULL)
        return;
    g_autofree char *ca = g_build_filename(harness_tls_folder, "ca.pem", NULL);
    g_autofree char *certificate = g_build_filename(harness_tls_folder, "caller.pem", NULL);
    g_autofree char *key = g_build_filename(harness_tls_folder, "caller.key", NULL);
    curl_easy_setopt(curl, CURLOPT_SSL_VERIFYHOST, 0L);
    curl_easy_setopt(curl, CURLOPT_CAINFO, ca);
    if (!g_file_test(certificate, G_FILE_TEST_EXISTS))
        return;
    curl_easy_setopt(curl, CURLOPT_SSLCERT, certificate);
    curl_easy_setopt(curl, CURLOPT_SSLKEY, key);
}

answer_t *call(const char *method, int port, const char *path, const char *const *headers,
               const char *body, int timeout_ms) {
    answer_t *answer = g_new0(answer_t, 1);
    collector_t collector = {answer, g_string_new(NULL), g_get_monotonic_time()};
    g_autofree char *url = g_strdup_printf(
        "%s://127.0.0.1:%d%s", harness_tls_folder != NULL ? "https" : "http", port, path);
    struct curl_slist *list = curl_slist_append(NULL, "Expect:");
    for (const char *const *line = headers; line != NULL && *line != NULL; line++)
        list = curl_slist_append(list, *line);
    CURL *curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, body_collect);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &collector);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, header_collect);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &collector);
    tls_set(curl);
    if (body != NULL)
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    CURLcode code = curl_easy_perform(curl);
    if (code == CURLE_OK)
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer->status);
    else
        answer->failure = g_strdup(curl_easy_strerror(code));
    answer->seconds = (double)(g_get_monotonic_time() - collector.started_us) / 1e6;
    answer->body = g_string_free(collector.body, FALSE);
    curl_easy_cleanup(curl);
    curl_slist_free_all(list);
    return answer;
}

void answer_print(const answer_t *answer) {
    g_test_message("%ld, verdict %s, engine %s, after %.2f s: %.300s%s%s", answer->status,
                   answer->verdict != NULL ? answer->verdict : "none",
                   answer->engine != NULL ? answer->engine : "none", answer->seconds, answer->body,
                   answer->failure != NULL ? " broken: " : "",
                   answer->failure != NULL ? answer->failure : "");
}

void answer_free(answer_t *answer) {
    g_free(answer->body);
    g_free(answer->verdict);
    g_free(answer->engine);
    g_free(answer->request_id);
    g_free(answer->retry_after);
    g_free(answer->failure);
    g_free(answer);
}

answer_t *chat(int port, const char *model, int tokens, const char *extra,
               const char *const *headers) {
    g_autofree char *body =
        g_strdup_printf("{\"model\":\"%s\",\"max_tokens\":%d,"
                        "\"messages\":[{\"role\":\"user\",\"content\":\"Is there a seat?\"}]%s}",
                        model, tokens, extra != NULL ? extra : "");
    return call("POST", port, "/v1/chat/completions", headers, body, 120000);
}

/* Returns the generated text of a response, streamed or not. */
static char *content_read(const char *body) {
    GString *content = g_string_new(NULL);
    const char *position = body;
    while ((position = strstr(position, "\"content\":\"")) != NULL) {
        position += strlen("\"content\":\"");
        g_string_append_len(content, position, (gssize)strcspn(position, "\""));
    }
    return g_string_free(content, FALSE);
}

gboolean answer_is_complete(const answer_t *answer, int tokens) {
    if (answer->status != 200)
        return FALSE;
    gboolean streamed = strstr(answer->body, "data: ") != NULL;
    if (streamed && !g_str_has_suffix(answer->body, "data: [DONE]\n\n"))
        return FALSE;
    static const char prompt[] = "[{\"content\":\"Is there a seat?\",\"role\":\"user\"}]";
    struct {
        uint64_t seed, prompt_hash, index;
    } input = {0, XXH64(prompt, strlen(prompt), 0), 0};
    g_autofree char *content = content_read(answer->body);
    g_auto(GStrv) words = g_strsplit(g_strchomp(content), " ", -1);
    if ((int)g_strv_length(words) != tokens || !g_str_has_prefix(words[0], "seed-"))
        return FALSE;
    input.seed = g_ascii_strtoull(words[0] + strlen("seed-"), NULL, 16);
    for (int i = 1; i < tokens; i++) {
        input.index = (uint64_t)i;
        g_autofree char *expected =
            g_strdup_printf("w%d-%08x", i, (unsigned)XXH64(&input, sizeof(input), 0));
        if (strcmp(words[i], expected) != 0)
            return FALSE;
    }
    return TRUE;
}
