/* A stream that its first engine breaks off, what a second engine answers instead of going on, and
 * how a third one goes on. */
#include "estate.h"

#include <string.h>

#define OK "HTTP/1.1 200 OK\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define PAGE "Content-Type: text/html\r\n"
#define SEAL "Response-Seal: seal\r\n"
#define FIRST_EVENT "id: 1\r\ndata: one\r\n\r\n"
#define MORE_EVENTS "id: 2\r\ndata: two\r\n\r\nid: 3\r\ndata: three\r\n\r\n"
/* Longer than any buffer of a whole answer. */
#define LONG_BYTES 74000
#define SHORT_BYTES 20

typedef enum framing_t {
    FRAMED_BY_LENGTH,
    FRAMED_BY_CHUNKS,
    FRAMED_BY_CLOSE,
    WITHOUT_BODY
} framing_t;

typedef struct stream_form_t {
    const char *name;
    const char *first_line;
    const char *lines;
    framing_t framing;
    size_t bytes;
} stream_form_t;

static const stream_form_t forms[] = {
    {"500", "HTTP/1.1 500 Failed\r\n", PAGE SEAL, FRAMED_BY_LENGTH, SHORT_BYTES},
    {"500-long", "HTTP/1.1 500 Failed\r\n", PAGE SEAL, FRAMED_BY_LENGTH, LONG_BYTES},
    {"500-chunks", "HTTP/1.1 500 Failed\r\n", PAGE SEAL, FRAMED_BY_CHUNKS, LONG_BYTES},
    {"500-close", "HTTP/1.1 500 Failed\r\n", PAGE SEAL, FRAMED_BY_CLOSE, LONG_BYTES},
    {"500-events", "HTTP/1.1 500 Failed\r\n", EVENTS SEAL, FRAMED_BY_CHUNKS, LONG_BYTES},
    {"404-long", "HTTP/1.1 404 None\r\n", PAGE SEAL, FRAMED_BY_LENGTH, LONG_BYTES},
    {"302-long", "HTTP/1.1 302 Found\r\n", PAGE SEAL, FRAMED_BY_LENGTH, LONG_BYTES},
    {"304", "HTTP/1.1 304 Same\r\n", SEAL, WITHOUT_BODY, 0},
    {"204", "HTTP/1.1 204 Empty\r\n", SEAL, WITHOUT_BODY, 0},
    {"206-events", "HTTP/1.1 206 Part\r\n", EVENTS SEAL, FRAMED_BY_CHUNKS, SHORT_BYTES},
    {"200-page", OK, PAGE SEAL, FRAMED_BY_LENGTH, SHORT_BYTES},
    {"200-page-long", OK, PAGE SEAL, FRAMED_BY_LENGTH, LONG_BYTES},
    {"200-page-close", OK, PAGE SEAL, FRAMED_BY_CLOSE, SHORT_BYTES},
    {"200-coded", OK, EVENTS SEAL "Content-Encoding: gzip\r\n", FRAMED_BY_CHUNKS, SHORT_BYTES},
    {"200-unsealed", OK, EVENTS, FRAMED_BY_LENGTH, LONG_BYTES},
    {"503-own", "HTTP/1.1 503 Busy\r\n", PAGE SEAL, FRAMED_BY_LENGTH, LONG_BYTES},
    {"000", "HTTP/1.1 000 None\r\n", PAGE SEAL, FRAMED_BY_LENGTH, LONG_BYTES},
    {"999", "HTTP/1.1 999 None\r\n", PAGE SEAL, FRAMED_BY_LENGTH, LONG_BYTES},
    {"503-rejected", "HTTP/1.1 503 Full\r\n", PAGE "Not-Executed: 1\r\n", FRAMED_BY_CHUNKS,
     LONG_BYTES},
};

static const stream_form_t *form_find(const char *name) {
    for (size_t i = 0; i < G_N_ELEMENTS(forms); i++)
        if (strcmp(forms[i].name, name) == 0)
            return &forms[i];
    return NULL;
}

static char *framed(const char *first_line, const char *id, const char *lines, framing_t framing,
                    const char *body) {
    g_autofree char *head =
        g_strdup_printf("%sRequest-Attempt-Id: %s\r\n%s", first_line, id, lines);
    switch (framing) {
    case FRAMED_BY_LENGTH:
        return g_strdup_printf("%sContent-Length: %zu\r\n\r\n%s", head, strlen(body), body);
    case FRAMED_BY_CHUNKS:
        return g_strdup_printf("%sTransfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n", head,
                               strlen(body), body);
    case FRAMED_BY_CLOSE:
        return g_strdup_printf("%sConnection: close\r\n\r\n%s", head, body);
    default:
        return g_strdup_printf("%s\r\n", head);
    }
}

/* Blank lines, so that parts of the page look like events. */
static char *page_create(size_t bytes) {
    GString *page = g_string_sized_new(bytes + 1);
    while (page->len < bytes)
        g_string_append(page, "<p>failed</p>\r\n\r\n");
    g_string_truncate(page, bytes);
    return g_string_free(page, FALSE);
}

static char *form_text(const stream_form_t *form, const char *id) {
    g_autofree char *page = page_create(form->bytes);
    return framed(form->first_line, id, form->lines, form->framing, page);
}

static char *broken_text(const char *id) {
    g_autofree char *text = framed(OK, id, EVENTS SEAL, FRAMED_BY_CHUNKS, FIRST_EVENT);
    return g_strndup(text, strlen(text) - strlen("0\r\n\r\n"));
}

wb_estate_stream_part_t wb_estate_broken_stream(const char *request_id, unsigned send) {
    wb_estate_stream_part_t part = {NULL, FALSE, FALSE};
    g_auto(GStrv) asked = g_strsplit(request_id, ".", 3);
    const stream_form_t *form = g_strv_length(asked) >= 2 ? form_find(asked[1]) : NULL;
    gboolean breaks = form != NULL && strcmp(asked[0], "broken") == 0;
    if (form == NULL || (!breaks && strcmp(asked[0], "failed") != 0))
        return part;
    unsigned stage = breaks ? send : send + 1;
    if (stage == 1) {
        part.text = broken_text(request_id);
        part.resets = TRUE;
    } else if (stage == 2) {
        part.text = form_text(form, request_id);
        part.closes = form->framing == FRAMED_BY_CLOSE;
    } else {
        part.text = framed(OK, request_id, EVENTS SEAL, FRAMED_BY_CHUNKS,
                           breaks ? MORE_EVENTS : FIRST_EVENT MORE_EVENTS);
    }
    return part;
}
