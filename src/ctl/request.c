/* Calls the operators' HTTP interface of nodes with libcurl. Timeouts are in milliseconds. */
#include "ctl.h"

#include "wickbridge/json.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 2000L
#define RESPONSE_TIMEOUT_MS 30000L

static size_t body_collect(char *data, size_t size, size_t count, void *context) {
    g_string_append_len(context, data, (gssize)(size * count));
    return size * count;
}

static void tls_set(CURL *curl, const ctl_options_t *options) {
    /* Nodes are addressed by changing IP addresses, so only the certificate's issuer is checked. */
    curl_easy_setopt(curl, CURLOPT_SSL_VERIFYHOST, 0L);
    if (options->ca_file != NULL)
        curl_easy_setopt(curl, CURLOPT_CAINFO, options->ca_file);
    if (options->certificate_file != NULL)
        curl_easy_setopt(curl, CURLOPT_SSLCERT, options->certificate_file);
    if (options->key_file != NULL)
        curl_easy_setopt(curl, CURLOPT_SSLKEY, options->key_file);
}

apr_status_t ctl_request_node(const ctl_options_t *options, const char *node, const char *method,
                              const char *path, const json_t *body, ctl_response_t *answer,
                              wb_error_t *error) {
    g_autoptr(GString) collected = g_string_new(NULL);
    g_autofree char *url =
        g_strdup_printf("%s://%s%s", options->ca_file != NULL ? "https" : "http", node, path);
    char *text = body != NULL ? wb_json_dump(body) : NULL;
    CURL *curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, RESPONSE_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, body_collect);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, collected);
    if (text != NULL)
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
    tls_set(curl, options);
    CURLcode code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer->status);
    curl_easy_cleanup(curl);
    free(text);
    if (code != CURLE_OK)
        return wb_error_set(error, code == CURLE_COULDNT_CONNECT ? APR_ECONNREFUSED : APR_EGENERAL,
                            "%s: %s", node, curl_easy_strerror(code));
    answer->body = json_loadb(collected->str, collected->len, 0, NULL);
    if (answer->body == NULL)
        return wb_error_set(error, APR_EGENERAL, "%s: the answer is no JSON", node);
    return APR_SUCCESS;
}

apr_status_t ctl_request(const ctl_options_t *options, const char *method, const char *path,
                         const json_t *body, ctl_response_t *answer, wb_error_t *error) {
    apr_status_t status = wb_error_set(error, APR_EINVAL, "no node is given");
    for (char **node = options->nodes; *node != NULL; node++) {
        status = ctl_request_node(options, *node, method, path, body, answer, error);
        /* Tries the next node only if no connection was made: otherwise the request may have taken
         * effect. */
        if (status != APR_ECONNREFUSED)
            break;
    }
    return status;
}

void ctl_response_clear(ctl_response_t *answer) {
    json_decref(answer->body);
    answer->body = NULL;
}

void ctl_print_json(const json_t *value) {
    char *text = json_dumps(value, JSON_INDENT(2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);
    printf("%s\n", text != NULL ? text : "null");
    free(text);
}

int ctl_print_error(const char *message) {
    fprintf(stderr, "wickctl: %s\n", message);
    return CTL_FAILED;
}
