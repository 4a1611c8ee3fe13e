/* A minimal HTTP/1.1 client over a raw socket. */
#include "estate.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

wire_t *wire_open(int port) {
    wire_t *wire = wire_try_open(port);
    g_assert_nonnull(wire);
    return wire;
}

wire_t *wire_try_open(int port) {
    wire_t *wire = g_new0(wire_t, 1);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                  .sin_port = htons((uint16_t)port)};
    wire->unread = g_string_new(NULL);
    wire->descriptor = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(wire->descriptor, (struct sockaddr *)&address, sizeof(address)) != 0) {
        wire_close(wire);
        return NULL;
    }
    return wire;
}

void wire_close(wire_t *wire) {
    close(wire->descriptor);
    g_string_free(wire->unread, TRUE);
    g_free(wire);
}

gboolean wire_send(wire_t *wire, const char *format, ...) {
    va_list values;
    va_start(values, format);
    g_autofree char *text = g_strdup_vprintf(format, values);
    va_end(values);
    size_t length = strlen(text);
    size_t sent = 0;
    while (sent < length) {
        ssize_t count = send(wire->descriptor, text + sent, length - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return FALSE; /* the server closed the connection; the next read reports it */
        sent += (size_t)count;
    }
    return TRUE;
}

gboolean wire_wait(wire_t *wire, int timeout_ms) {
    struct pollfd watched = {wire->descriptor, POLLIN, 0};
    return wire->unread->len > 0 || poll(&watched, 1, timeout_ms) > 0;
}

/* Reads available bytes. Returns FALSE if the connection is closed or the time has passed. */
static gboolean bytes_receive(wire_t *wire, int64_t until_ms, gboolean *closed) {
    struct pollfd watched = {wire->descriptor, POLLIN, 0};
    int64_t remaining_ms = until_ms - harness_now_ms();
    if (remaining_ms <= 0 || poll(&watched, 1, (int)remaining_ms) <= 0)
        return FALSE;
    char chunk[4096];
    ssize_t count = recv(wire->descriptor, chunk, sizeof(chunk), 0);
    if (count <= 0) {
        *closed = TRUE;
        return FALSE;
    }
    g_string_append_len(wire->unread, chunk, count);
    return TRUE;
}

static gboolean head_has(const wire_response_t *answer, const char *text) {
    return strstr(answer->head->str, text) != NULL;
}

/* Moves a chunk from the unread bytes to the body. Returns its length, or -1 if it isn't complete.
 */
static long chunk_take(wire_t *wire, GString *body) {
    char *line_end = strstr(wire->unread->str, "\r\n");
    if (line_end == NULL)
        return -1;
    long length = strtol(wire->unread->str, NULL, 16);
    size_t head = (size_t)(line_end - wire->unread->str) + 2;
    if (wire->unread->len < head + (size_t)length + 2)
        return -1;
    g_string_append_len(body, wire->unread->str + head, length);
    g_string_erase(wire->unread, 0, (gssize)(head + (size_t)length + 2));
    return length;
}

static void chunks_read(wire_t *wire, wire_response_t *answer, int64_t until_ms) {
    for (;;) {
        long length = chunk_take(wire, answer->body);
        if (length == 0) {
            answer->whole = TRUE;
            return;
        }
        if (length < 0 && !bytes_receive(wire, until_ms, &answer->closed))
            return;
    }
}

static void length_read(wire_t *wire, wire_response_t *answer, size_t length, int64_t until_ms) {
    while (wire->unread->len < length && bytes_receive(wire, until_ms, &answer->closed))
        continue;
    size_t taken = MIN(length, wire->unread->len);
    g_string_append_len(answer->body, wire->unread->str, (gssize)taken);
    g_string_erase(wire->unread, 0, (gssize)taken);
    answer->whole = taken == length;
}

wire_response_t *wire_read(wire_t *wire, int timeout_ms) {
    wire_response_t *answer = g_new0(wire_response_t, 1);
    int64_t until_ms = harness_now_ms() + timeout_ms;
    answer->head = g_string_new(NULL);
    answer->body = g_string_new(NULL);
    char *end;
    while ((end = strstr(wire->unread->str, "\r\n\r\n")) == NULL)
        if (!bytes_receive(wire, until_ms, &answer->closed))
            return answer;
    size_t length = (size_t)(end - wire->unread->str) + 4;
    g_string_append_len(answer->head, wire->unread->str, (gssize)length);
    g_string_erase(wire->unread, 0, (gssize)length);
    answer->status = atoi(answer->head->str + strlen("HTTP/1.1 "));
    if (head_has(answer, "Transfer-Encoding: chunked")) {
        chunks_read(wire, answer, until_ms);
    } else {
        const char *length_header = strstr(answer->head->str, "Content-Length: ");
        length_read(wire, answer, length_header != NULL ? (size_t)atol(length_header + 16) : 0,
                    until_ms);
    }
    return answer;
}

void wire_response_free(wire_response_t *answer) {
    g_string_free(answer->head, TRUE);
    g_string_free(answer->body, TRUE);
    g_free(answer);
}

gboolean wire_is_closed(wire_t *wire, int timeout_ms) {
    gboolean closed = FALSE;
    int64_t until_ms = harness_now_ms() + timeout_ms;
    while (bytes_receive(wire, until_ms, &closed))
        continue;
    return closed && wire->unread->len == 0;
}

void wire_post(wire_t *wire, const char *path, const char *id, const char *headers,
               const char *body) {
    wire_send(wire,
              "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: %s\r\n%s"
              "Content-Length: %zu\r\n\r\n%s",
              path, id, headers, strlen(body), body);
}

wire_response_t *wire_request(int port, const char *path, const char *id, const char *headers) {
    wire_t *wire = wire_open(port);
    wire_post(wire, path, id, headers, "hello");
    wire_response_t *answer = wire_read(wire, 15000);
    wire_close(wire);
    return answer;
}
