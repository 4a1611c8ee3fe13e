/* A stand-in engine that frames its answers itself, so that it can send bytes that are no answer.
 */
#include "estate.h"

#include "wickbridge/http_reader.h"
#include "wickbridge/json.h"
#include "wickbridge/tcp_stream.h"

#include <stdlib.h>
#include <string.h>

#define BEAT_MS 300
#define HEAD_LIMIT_BYTES 65536
#define SILENCE_LIMIT_MS 20000
#define PIECE_BYTES 65536
/* Fault "status-NNN": sealed answers with this status, as it is written. */
#define STATUS_FAULT "status-"
#define LONG_EVENT_BYTES 300000
/* Until what was written before has been read. */
#define RESET_AFTER_MS 50

struct wb_estate_faulty_engine_t {
    wb_loop_t *loop;
    wb_estate_store_t *store;
    wb_estate_seen_t *seen;
    char *id;
    json_t *options; /* service, zone, port, announce_port, work_ms, events (1: its answers are
                        events), cuts (1: it answers as wb_estate_cut_answer says), breaks (1: as
                        wb_estate_broken_stream says); for repeated
                        answers: after (how many answers later a copy comes; 0: directly behind its
                        answer), copies; for endless ones: piece_bytes, pause_ms between pieces */
    wb_tcp_listener_t *listener;
    int64_t heartbeats;
    int64_t started_ms; /* Unix ms */
    char *fault;
    int fault_count;
};

/* An answer that will be sent once more. */
typedef struct held_answer_t {
    int answers_before;
    char *text;
} held_answer_t;

typedef struct connection_t {
    wb_estate_faulty_engine_t *engine;
    wb_tcp_stream_t *stream; /* NULL: it has been closed */
    wb_http_reader_t *reader;
    wb_timer_t *timer; /* until the running request is answered, or the next piece is sent */
    char *id;          /* of the running request */
    gboolean goes_on;  /* it has a Last-Event-Id */
    gboolean is_head;  /* its method is HEAD: answers have no body */
    GString *body;     /* of the running request */
    char *piece;       /* what is sent without end; NULL: nothing is */
    GArray *held;      /* of held_answer_t */
    int64_t flood_began_ms;
    int64_t flood_bytes;
} connection_t;

static int64_t option(const wb_estate_faulty_engine_t *engine, const char *name, int64_t fallback) {
    return wb_json_integer(engine->options, name, fallback);
}

static void announce(void *context) {
    wb_estate_faulty_engine_t *engine = context;
    int64_t own_port = wb_tcp_listener_port(engine->listener);
    g_autofree char *address =
        g_strdup_printf("127.0.0.1:%lld", (long long)option(engine, "announce_port", own_port));
    json_t *row = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I, s:[]}", "service",
                            wb_json_text(engine->options, "service", "engines"), "address", address,
                            "zone", wb_json_text(engine->options, "zone", "zone-1"), "version",
                            "v1", "slots", 8, "state", "ready", "coldRemainingMs", 0, "sequence",
                            (json_int_t)++engine->heartbeats, "born",
                            (json_int_t)engine->started_ms, "models");
    char *text = wb_json_dump(row);
    wb_estate_store_put(engine->store, "servers", engine->id, text);
    free(text);
    json_decref(row);
}

static void held_clear(gpointer data) {
    g_free(((held_answer_t *)data)->text);
}

static void connection_free(connection_t *connection) {
    if (connection->flood_bytes > 0)
        json_array_append_new(connection->engine->seen->floods,
                              json_pack("{s:s, s:s, s:I, s:I}", "id", connection->id, "engine",
                                        connection->engine->id, "bytes",
                                        (json_int_t)connection->flood_bytes, "ms",
                                        (json_int_t)(wb_clock_ms() - connection->flood_began_ms)));
    if (connection->timer != NULL)
        wb_timer_cancel(connection->timer);
    if (connection->stream != NULL)
        wb_tcp_stream_close(connection->stream);
    wb_http_reader_free(connection->reader);
    g_array_unref(connection->held);
    g_free(connection->id);
    g_string_free(connection->body, TRUE);
    g_free(connection->piece);
    g_free(connection);
}

static void text_send(connection_t *connection, const char *text) {
    wb_tcp_stream_write(connection->stream, text, strlen(text));
}

static char *answer_text(const connection_t *connection, const char *first_line, const char *lines,
                         const char *body) {
    return g_strdup_printf("HTTP/1.1 %s\r\nRequest-Attempt-Id: %s\r\nKeep-Alive: timeout=5\r\n%s"
                           "Content-Length: %zu\r\n\r\n%s",
                           first_line, connection->id, lines, strlen(body),
                           connection->is_head ? "" : body);
}

/* Sends an answer, and copies of it directly behind it or in front of a later one. */
static void answer_send(connection_t *connection, const char *first_line, const char *lines,
                        const char *body, gboolean again) {
    const wb_estate_faulty_engine_t *engine = connection->engine;
    g_autofree char *text = answer_text(connection, first_line, lines, body);
    text_send(connection, text);
    int after = (int)option(engine, "after", 1);
    for (int64_t i = 0; again && i < option(engine, "copies", 1); i++) {
        if (after == 0) {
            text_send(connection, text);
            continue;
        }
        held_answer_t held = {after, g_strdup(text)};
        g_array_append_val(connection->held, held);
    }
    wb_http_reader_next(connection->reader);
}

static void held_send(connection_t *connection) {
    for (guint i = connection->held->len; i > 0; i--) {
        held_answer_t *held = &g_array_index(connection->held, held_answer_t, i - 1);
        if (--held->answers_before > 0)
            continue;
        text_send(connection, held->text);
        g_array_remove_index(connection->held, i - 1);
    }
}

static void piece_send(void *context) {
    connection_t *connection = context;
    int64_t pause_ms = option(connection->engine, "pause_ms", 0);
    size_t length = strlen(connection->piece);
    connection->timer = NULL;
    connection->flood_bytes += (int64_t)length;
    wb_tcp_stream_write(connection->stream, connection->piece, length);
    if (pause_ms > 0 || wb_tcp_stream_unsent(connection->stream) == 0)
        connection->timer =
            wb_loop_after(connection->engine->loop, pause_ms, piece_send, connection);
}

/* The ways to send without end: what comes first, and what follows again and again. */
typedef struct endless_way_t {
    const char *name;
    const char *first; /* its %s is the request's id */
    const char *unit;  /* repeated to fill a piece */
    gboolean is_chunk; /* each piece is a chunk */
    gboolean has_run;
} endless_way_t;

#define HEAD(status) "HTTP/1.1 " status "\r\nRequest-Attempt-Id: %s\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define SEAL "Response-Seal: seal\r\n"

static const endless_way_t endless_ways[] = {
    {"endless-body", HEAD("200 OK") CHUNKED, "z", TRUE, TRUE},
    {"endless-close", HEAD("200 OK") "Connection: close\r\n\r\n", "z", FALSE, TRUE},
    {"endless-sealed", HEAD("200 OK") SEAL CHUNKED, "z", TRUE, TRUE},
    {"endless-event", HEAD("200 OK") SEAL "Content-Type: text/event-stream\r\n" CHUNKED, "z", TRUE,
     TRUE},
    {"endless-failure", HEAD("500 Failed") SEAL CHUNKED, "z", TRUE, TRUE},
    {"endless-failure-close", HEAD("500 Failed") SEAL "Connection: close\r\n\r\n", "z", FALSE,
     TRUE},
    {"endless-rejection", HEAD("503 Full") "Not-Executed: 1\r\n" CHUNKED, "z", TRUE, FALSE},
    {"endless-foreign", "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: none-%s\r\n" CHUNKED, "z", TRUE,
     TRUE},
    {"endless-interim", "", "HTTP/1.1 103 Early\r\n\r\n", FALSE, TRUE},
    {"endless-head", HEAD("200 OK") "X-Line: ", "z", FALSE, TRUE},
    {"endless-reason", "HTTP/1.1 200 ", "z", FALSE, TRUE},
    {"endless-garbage", "", "z", FALSE, TRUE},
    {"endless-extension", HEAD("200 OK") SEAL CHUNKED "5;a=", "z", FALSE, TRUE},
    {"endless-trailer", HEAD("200 OK") SEAL CHUNKED "0\r\n", "T: y\r\n", FALSE, TRUE},
};

static const endless_way_t *endless_way_find(const char *name) {
    for (size_t i = 0; i < G_N_ELEMENTS(endless_ways); i++)
        if (strcmp(endless_ways[i].name, name) == 0)
            return &endless_ways[i];
    return NULL;
}

static char *piece_create(const endless_way_t *way, size_t length) {
    g_autoptr(GString) text = g_string_sized_new(length + 32);
    while (text->len < length)
        g_string_append(text, way->unit);
    if (way->is_chunk) {
        g_autofree char *size = g_strdup_printf("%zx\r\n", text->len);
        g_string_prepend(text, size);
        g_string_append(text, "\r\n");
    }
    return g_strdup(text->str);
}

static void endless_begin(connection_t *connection, const endless_way_t *way) {
    const wb_estate_faulty_engine_t *engine = connection->engine;
    g_auto(GStrv) words = g_strsplit(way->first, "%s", 2);
    g_autofree char *first = g_strjoinv(connection->id, words);
    text_send(connection, first);
    connection->flood_began_ms = wb_clock_ms();
    connection->piece = piece_create(way, (size_t)option(engine, "piece_bytes", PIECE_BYTES));
    piece_send(connection);
}

static void run_record(const connection_t *connection) {
    json_array_append_new(connection->engine->seen->runs,
                          json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:{}}", "id",
                                    connection->id, "engine", connection->engine->id, "body",
                                    connection->body->str, "path", "", "model", "", "last_event_id",
                                    "", "deadline_ms", (json_int_t)-1, "at_ms",
                                    (json_int_t)wb_clock_ms(), "headers"));
}

static void run_end(void *context) {
    connection_t *connection = context;
    connection->timer = NULL;
    gboolean is_event = option(connection->engine, "events", 0) != 0;
    g_autofree char *body =
        g_strdup_printf("%sran %s at %s%s", is_event ? "data: " : "", connection->id,
                        connection->engine->id, is_event ? "\n\n" : "");
    answer_send(connection, "200 OK", SEAL, body, FALSE);
}

/* Sends the part of an answer that the request's id asks for, and ends the connection. Returns
 * FALSE when it asks for none. */
static gboolean cut_answer_send(connection_t *connection) {
    gboolean reset = FALSE;
    g_autofree char *text = wb_estate_cut_answer(connection->id, connection->goes_on, &reset);
    if (text == NULL)
        return FALSE;
    run_record(connection);
    text_send(connection, text);
    if (reset)
        wb_tcp_stream_reset(connection->stream);
    else
        wb_tcp_stream_finish(connection->stream);
    return TRUE;
}

/* Returns how often the running request has been sent to engines. */
static unsigned sends_count(const connection_t *connection) {
    unsigned count = 0;
    size_t i;
    json_t *arrival;
    json_array_foreach(connection->engine->seen->arrivals, i, arrival) count +=
        strcmp(wb_json_text(arrival, "id", ""), connection->id) == 0;
    return count;
}

static void connection_reset(void *context) {
    connection_t *connection = context;
    connection->timer = NULL;
    wb_tcp_stream_reset(connection->stream);
    connection->stream = NULL;
    connection_free(connection);
}

/* Sends the part of a broken stream that the request's id asks for. Returns FALSE when it asks for
 * none. */
static gboolean broken_stream_send(connection_t *connection) {
    wb_estate_stream_part_t part = wb_estate_broken_stream(connection->id, sends_count(connection));
    if (part.text == NULL)
        return FALSE;
    run_record(connection);
    text_send(connection, part.text);
    g_free(part.text);
    if (part.resets) {
        connection->timer =
            wb_loop_after(connection->engine->loop, RESET_AFTER_MS, connection_reset, connection);
    } else if (part.closes) {
        wb_tcp_stream_finish(connection->stream);
        connection->stream = NULL;
        connection_free(connection);
    } else {
        wb_http_reader_next(connection->reader);
    }
    return TRUE;
}

/* Answers a request with a fault. Returns FALSE when the fault is not one of a single answer. */
static gboolean fault_answer(connection_t *connection, const char *fault) {
    if (g_str_has_prefix(fault, "reject")) {
        if (strcmp(fault, "reject-cut") == 0 || strcmp(fault, "reject-stalls") == 0) {
            g_autofree char *text =
                answer_text(connection, "503 Full", "Not-Executed: 1\r\n", "0123456789");
            wb_tcp_stream_write(connection->stream, text, strlen(text) - 5);
            if (strcmp(fault, "reject-cut") == 0)
                wb_tcp_stream_finish(connection->stream);
            return TRUE;
        }
        gboolean again = strcmp(fault, "reject-again") == 0;
        answer_send(connection, "503 Full", "Not-Executed: 1\r\n", "", again);
        return TRUE;
    }
    run_record(connection);
    if (g_str_has_prefix(fault, STATUS_FAULT)) {
        g_autofree char *first_line = g_strdup_printf("%s Odd", fault + strlen(STATUS_FAULT));
        answer_send(connection, first_line, SEAL, "trouble", FALSE);
    } else if (strcmp(fault, "long-event") == 0) {
        g_autofree char *filler =
            g_strnfill((gsize)option(connection->engine, "event_bytes", LONG_EVENT_BYTES), 'z');
        g_autofree char *body = g_strdup_printf("data: a\n\ndata: %s\n\ndata: b\n\n", filler);
        answer_send(connection, "200 OK", SEAL "Content-Type: text/event-stream\r\n", body, FALSE);
    } else if (strcmp(fault, "error-again") == 0)
        answer_send(connection, "500 Failed", SEAL, "failed", TRUE);
    else if (strcmp(fault, "busy") == 0)
        answer_send(connection, "503 Busy", SEAL, "busy", FALSE);
    else
        return FALSE;
    return TRUE;
}

static void reader_head(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    (void)reader;
    connection_t *connection = context;
    const char *id = wb_http_head_get(head, "Request-Attempt-Id");
    g_free(connection->id);
    connection->id = g_strdup(id != NULL ? id : "");
    connection->is_head = strcmp(head->method, "HEAD") == 0;
    connection->goes_on = wb_http_head_get(head, "Last-Event-Id") != NULL;
    g_string_truncate(connection->body, 0);
}

static void reader_body(wb_http_reader_t *reader, const char *data, size_t length, void *context) {
    (void)reader;
    g_string_append_len(((connection_t *)context)->body, data, (gssize)length);
}

static void reader_complete(wb_http_reader_t *reader, void *context) {
    (void)reader;
    connection_t *connection = context;
    wb_estate_faulty_engine_t *engine = connection->engine;
    json_array_append_new(engine->seen->arrivals,
                          json_pack("{s:s, s:s, s:s, s:I}", "id", connection->id, "service",
                                    wb_json_text(engine->options, "service", "engines"), "engine",
                                    engine->id, "at_ms", (json_int_t)wb_clock_ms()));
    held_send(connection);
    if (option(engine, "cuts", 0) != 0 && cut_answer_send(connection))
        return;
    if (option(engine, "breaks", 0) != 0 && broken_stream_send(connection))
        return;
    if (engine->fault_count > 0) {
        engine->fault_count--;
        const endless_way_t *way = endless_way_find(engine->fault);
        if (way == NULL && fault_answer(connection, engine->fault))
            return;
        if (way != NULL) {
            if (way->has_run)
                run_record(connection);
            endless_begin(connection, way);
            return;
        }
    }
    run_record(connection);
    connection->timer =
        wb_loop_after(engine->loop, option(engine, "work_ms", 10), run_end, connection);
}

static const wb_http_reader_events_t reader_events = {reader_head, reader_body, reader_complete};

static void stream_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    connection_t *connection = context;
    wb_http_reader_feed(connection->reader, data, length);
}

static void stream_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)stream;
    (void)how;
    connection_free(context);
}

static void stream_drained(wb_tcp_stream_t *stream, void *context) {
    (void)stream;
    connection_t *connection = context;
    if (connection->piece != NULL && connection->timer == NULL)
        piece_send(connection);
}

static void connection_accepted(wb_tcp_stream_t *stream, void *context) {
    static const wb_tcp_events_t events = {NULL, stream_data, stream_end, stream_drained};
    connection_t *connection = g_new0(connection_t, 1);
    connection->engine = context;
    connection->stream = stream;
    connection->reader = wb_http_reader_create(TRUE, HEAD_LIMIT_BYTES, &reader_events, connection);
    connection->id = g_strdup("");
    connection->body = g_string_new(NULL);
    connection->held = g_array_new(FALSE, FALSE, sizeof(held_answer_t));
    g_array_set_clear_func(connection->held, held_clear);
    wb_tcp_stream_set_events(stream, &events, connection);
}

wb_estate_faulty_engine_t *wb_estate_faulty_engine_start(wb_loop_t *loop, wb_estate_store_t *store,
                                                         wb_estate_seen_t *seen, const char *id,
                                                         json_t *options) {
    wb_estate_faulty_engine_t *engine = g_new0(wb_estate_faulty_engine_t, 1);
    wb_error_t error;
    engine->loop = loop;
    engine->store = store;
    engine->seen = seen;
    engine->id = g_strdup(id);
    engine->options = json_incref(options);
    engine->fault = g_strdup("");
    engine->started_ms = g_get_real_time() / 1000;
    g_autofree char *listen =
        g_strdup_printf("127.0.0.1:%lld", (long long)option(engine, "port", 0));
    if (wb_tcp_listen(loop, listen, SILENCE_LIMIT_MS, connection_accepted, engine,
                      &engine->listener, &error) != APR_SUCCESS)
        g_error("%s", error.message);
    announce(engine);
    wb_loop_every(loop, BEAT_MS, announce, engine);
    return engine;
}

void wb_estate_faulty_engine_set_option(wb_estate_faulty_engine_t *engine, const char *name,
                                        int64_t value) {
    json_object_set_new(engine->options, name, json_integer((json_int_t)value));
}

void wb_estate_faulty_engine_set_fault(wb_estate_faulty_engine_t *engine, const char *fault,
                                       int count) {
    g_free(engine->fault);
    engine->fault = g_strdup(fault);
    engine->fault_count = count;
}
