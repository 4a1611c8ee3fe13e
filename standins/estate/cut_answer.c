/* Answers of which an engine sends the beginning only, as the request's id asks for. */
#include "estate.h"

#include <stdlib.h>
#include <string.h>

#define HEAD "Request-Attempt-Id: %s\r\nKeep-Alive: timeout=5\r\nResponse-Seal: seal\r\n"
#define OK "HTTP/1.1 200 OK\r\n" HEAD
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"
#define HINTS "HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 9\r\n\r\n"
#define EVENT "data: whole\n\n"
#define LENGTH "Content-Length: 13\r\n\r\n" EVENT
#define CHUNKS "Transfer-Encoding: chunked\r\n\r\n5\r\ndata:\r\n8\r\n whole\n\n\r\n0\r\n"

typedef struct cut_form_t {
    const char *name;
    const char *text; /* its %s is the request's id */
} cut_form_t;

static const cut_form_t cut_forms[] = {
    {"length", OK LENGTH},
    {"empty", OK "Content-Length: 0\r\n\r\n"},
    {"chunks", OK CHUNKS "\r\n"},
    {"trailers", OK CHUNKS "Checksum: 1\r\nOther: 2\r\n\r\n"},
    {"unframed", OK "\r\n"},
    {"interim", INTERIM OK LENGTH},
    {"hints", INTERIM HINTS OK CHUNKS "\r\n"},
    {"204", "HTTP/1.1 204 No Content\r\n" HEAD "\r\n"},
    {"304", "HTTP/1.1 304 Not Modified\r\n" HEAD "Content-Length: 5\r\n\r\n"},
    {"head", OK "Content-Length: 13\r\n\r\n"},
    {"stream", OK "Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\n" EVENT "\r\n0\r\n\r\n"},
};

static const char *form_text(const char *name) {
    for (size_t i = 0; i < G_N_ELEMENTS(cut_forms); i++)
        if (strcmp(cut_forms[i].name, name) == 0)
            return cut_forms[i].text;
    return NULL;
}

char *wb_estate_cut_answer(const char *request_id, gboolean goes_on, gboolean *reset) {
    g_auto(GStrv) asked = g_strsplit(request_id, ".", 4);
    const char *form = g_strv_length(asked) >= 3 ? form_text(asked[0]) : NULL;
    if (form != NULL && goes_on)
        form = form_text("unframed");
    if (form == NULL)
        return NULL;
    g_auto(GStrv) around_id = g_strsplit(form, "%s", 2);
    char *text = g_strjoinv(request_id, around_id);
    size_t length = strlen(text);
    if (!goes_on)
        text[length - MIN((size_t)atol(asked[1]), length)] = '\0';
    *reset = strcmp(asked[2], "reset") == 0;
    return text;
}
