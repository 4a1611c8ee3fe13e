/* Helpers shared by the stand-in programs. */
#include "standin_http.h"

#include "wickbridge/json.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

void standin_reply_json(wb_http_exchange_t *exchange, unsigned status, json_t *body) {
    char *text = wb_json_dump(body);
    json_decref(body);
    wb_http_exchange_reply(exchange, status, "application/json", text, strlen(text));
    free(text);
}

void standin_reply_error(wb_http_exchange_t *exchange, unsigned status, const char *code,
                         const char *message, int64_t retry_after_ms) {
    if (retry_after_ms >= 0) {
        char seconds[32];
        g_snprintf(seconds, sizeof(seconds), "%.3f", (double)retry_after_ms / 1000.0);
        wb_http_exchange_add_header(exchange, "Retry-After", seconds);
    }
    standin_reply_json(exchange, status,
                       json_pack("{s:{s:s, s:s}}", "error", "code", code, "message", message));
}

json_t *standin_read_json(wb_http_exchange_t *exchange) {
    size_t length;
    const char *body = wb_http_exchange_body(exchange, &length);
    json_error_t failure;
    json_t *value = json_loadb(body, length, 0, &failure);
    if (value == NULL)
        standin_reply_error(exchange, 400, "bad_json", failure.text, -1);
    return value;
}

char *standin_read_file(const char *path) {
    char *text = NULL;
    g_autoptr(GError) failure = NULL;
    if (*path != '\0' && !g_file_get_contents(path, &text, NULL, &failure))
        g_error("%s", failure->message);
    return text;
}

static void signals_fill(sigset_t *set) {
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
}

void standin_signals_block(void) {
    sigset_t set;
    signals_fill(&set);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

void standin_signals_wait(void) {
    sigset_t set;
    signals_fill(&set);
    int received;
    sigwait(&set, &received);
}
