/* Guards against a report that an engine sends a second time, in front of the next one, misleading
 * the controller: answers to its calls are told apart by their place alone. */
#include "unit.h"

#include "control/engine_orders.h"

#include "wickbridge/catalog.h"
#include "wickbridge/http_reader.h"
#include "wickbridge/tcp_stream.h"

#include <string.h>

#define HEAD_LIMIT_BYTES 4096
#define LOAD_MS 200
/* Between the second answer that the engine sends and the first. */
#define ANSWER_MS 10
#define TASKS 6
#define TASKS_TIMEOUT_MS 15000

/* An engine with room for one model. */
typedef struct fixture_t {
    wb_loop_t *loop;
    wb_tcp_listener_t *listener;
    wb_edge_settings_t settings;
    wb_edge_metrics_t metrics;
    wb_service_t *service;
    wb_engine_orders_t *orders;
    const char *held; /* "": none */
    const char *loading;
    int64_t sequence;
    int tasks;     /* begun */
    int accepted;  /* orders */
    int conflicts; /* orders that named another sequence, or came while it was busy */
    int overloads; /* loads that exceed its memory */
    int copies;    /* of reports that were sent */
} fixture_t;

typedef struct connection_t {
    fixture_t *fixture;
    wb_tcp_stream_t *stream;
    wb_http_reader_t *reader;
    GString *body;
    gboolean is_order;
    char *copy;   /* sent in front of the next answer; NULL: none */
    char *answer; /* due */
} connection_t;

static const char *const models[] = {"m1", "m2"};

static const char *model_intern(const char *name) {
    return strcmp(name, models[0]) == 0 ? models[0] : models[1];
}

/* The engine. */

static char *answer_text(int status, const char *body) {
    return g_strdup_printf("HTTP/1.1 %d OK\r\nContent-Length: %zu\r\n\r\n%s", status, strlen(body),
                           body);
}

static void load_end(void *context) {
    fixture_t *fixture = context;
    fixture->held = fixture->loading;
    fixture->loading = "";
}

/* An order's body: load or unload, the model, the expected sequence. */
static int order_take(fixture_t *fixture, const char *text) {
    g_auto(GStrv) words = g_strsplit(text, " ", 3);
    if (*fixture->loading != '\0' || g_ascii_strtoll(words[2], NULL, 10) != fixture->sequence) {
        fixture->conflicts++;
        return 409;
    }
    fixture->accepted++;
    fixture->sequence++;
    if (strcmp(words[0], "unload") == 0) {
        fixture->held = "";
        return 202;
    }
    fixture->overloads += *fixture->held != '\0';
    fixture->loading = model_intern(words[1]);
    wb_loop_after(fixture->loop, LOAD_MS, load_end, fixture);
    return 202;
}

static char *report_text(const fixture_t *fixture) {
    g_autofree char *body = g_strdup_printf("%lld %d %s", (long long)fixture->sequence,
                                            *fixture->loading != '\0', fixture->held);
    return answer_text(200, body);
}

static void answer_send(void *context) {
    connection_t *connection = context;
    g_autofree char *answer = g_steal_pointer(&connection->answer);
    if (connection->stream != NULL)
        wb_tcp_stream_write(connection->stream, answer, strlen(answer));
}

static void reader_head(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    (void)reader;
    connection_t *connection = context;
    connection->is_order = strcmp(head->method, "POST") == 0;
    g_string_truncate(connection->body, 0);
}

static void reader_body(wb_http_reader_t *reader, const char *data, size_t length, void *context) {
    (void)reader;
    g_string_append_len(((connection_t *)context)->body, data, (gssize)length);
}

/* The copy arrives first, and the answer that is due after the caller has taken the copy for it. */
static void reader_complete(wb_http_reader_t *reader, void *context) {
    connection_t *connection = context;
    fixture_t *fixture = connection->fixture;
    wb_http_reader_next(reader);
    if (connection->copy != NULL) {
        fixture->copies++;
        wb_tcp_stream_write(connection->stream, connection->copy, strlen(connection->copy));
    }
    g_clear_pointer(&connection->copy, g_free);
    g_free(connection->answer);
    connection->answer = connection->is_order
                             ? answer_text(order_take(fixture, connection->body->str), "")
                             : report_text(fixture);
    if (!connection->is_order)
        connection->copy = g_strdup(connection->answer);
    wb_loop_after(fixture->loop, ANSWER_MS, answer_send, connection);
}

static const wb_http_reader_events_t reader_events = {reader_head, reader_body, reader_complete};

static void stream_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    connection_t *connection = context;
    while (length > 0) {
        size_t used = wb_http_reader_feed(connection->reader, data, length);
        g_assert_cmpuint(used, >, 0);
        data += used;
        length -= used;
    }
}

/* Timers may still name the connection, so it stays until the process ends. */
static void stream_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)how;
    wb_tcp_stream_close(stream);
    ((connection_t *)context)->stream = NULL;
}

static void connection_accepted(wb_tcp_stream_t *stream, void *context) {
    static const wb_tcp_events_t events = {NULL, stream_data, stream_end, NULL};
    connection_t *connection = g_new0(connection_t, 1);
    connection->fixture = context;
    connection->stream = stream;
    connection->reader = wb_http_reader_create(TRUE, HEAD_LIMIT_BYTES, &reader_events, connection);
    connection->body = g_string_new(NULL);
    wb_tcp_stream_set_events(stream, &events, connection);
}

static wb_engine_state_t *report_parse(const char *engine_id, const char *body, size_t length) {
    g_autofree char *text = g_strndup(body, length);
    g_auto(GStrv) words = g_strsplit(text, " ", 3);
    wb_engine_state_t *state = wb_engine_state_create(engine_id);
    state->reported = TRUE;
    state->sequence = g_ascii_strtoll(words[0], NULL, 10);
    state->busy = strcmp(words[1], "1") == 0;
    if (*words[2] != '\0')
        wb_engine_state_add_model(state, words[2], 1);
    return state;
}

static char *order_body(const wb_order_t *order) {
    return g_strdup_printf("%s %s %lld", order->kind == WB_ORDER_LOAD ? "load" : "unload",
                           order->model, (long long)order->expected_sequence);
}

static const wb_dialect_t dialect = {.expected_engine = "Expected-Engine",
                                     .not_run = "Not-Run",
                                     .seal = "Seal",
                                     .engine_load = "Load",
                                     .engine_limit = "Limit",
                                     .engine_brittle = "Brittle",
                                     .engine_draining = "Draining",
                                     .report_target = "/report",
                                     .order_target = "/order",
                                     .order_body = order_body,
                                     .report_parse = report_parse};

/* The controller. */

static gboolean may_act(void *context) {
    (void)context;
    return TRUE;
}

static int64_t authorize_order(const char *engine, void *context) {
    (void)engine;
    (void)context;
    return 0;
}

static GPtrArray *pick_victims(const wb_engine_state_t *state, const char *model, void *context) {
    (void)context;
    GPtrArray *victims = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < G_N_ELEMENTS(models); i++)
        if (strcmp(models[i], model) != 0 && g_hash_table_contains(state->models, models[i]))
            g_ptr_array_add(victims, g_strdup(models[i]));
    return victims;
}

static const wb_service_t *service_find(const char *name, void *context) {
    (void)name;
    return ((fixture_t *)context)->service;
}

static gboolean store_allows_load(const char *service, void *context) {
    (void)service;
    (void)context;
    return TRUE;
}

static unsigned store_load_started(const char *service, void *context) {
    (void)service;
    (void)context;
    return 1;
}

static void store_load_ended(const char *service, unsigned concurrent, int64_t took_ms,
                             int64_t nominal_ms, void *context) {
    (void)service;
    (void)concurrent;
    (void)took_ms;
    (void)nominal_ms;
    (void)context;
}

static void load_crashed(const wb_engine_t *engine, const char *model, void *context) {
    (void)engine;
    (void)model;
    (void)context;
    g_assert_not_reached();
}

static void report_holding(wb_engine_t *engine, const char *model, const char *adapter,
                           gboolean held, void *context) {
    (void)engine;
    (void)adapter;
    const fixture_t *fixture = context;
    if (held)
        g_assert_cmpstr(fixture->held, ==, model);
}

static void report_estimate(const wb_engine_t *engine, const char *model, unsigned ready_in_ms,
                            void *context) {
    (void)engine;
    (void)model;
    (void)ready_in_ms;
    (void)context;
}

static uint64_t token(void *context) {
    (void)context;
    return 1;
}

static void call_failed(wb_engine_t *engine, void *context) {
    (void)engine;
    (void)context;
}

static gboolean may_be_cut_off(const wb_engine_t *engine, void *context) {
    (void)engine;
    (void)context;
    return FALSE;
}

/* The models are wanted by turns. */
static void task_next(void *context) {
    fixture_t *fixture = context;
    if (wb_engine_orders_is_busy(fixture->orders))
        return;
    if (fixture->tasks == TASKS)
        wb_loop_quit(fixture->loop);
    else
        wb_engine_orders_add(fixture->orders, models[fixture->tasks++ % 2], "");
}

static void timed_out(void *context) {
    (void)context;
    g_assert_not_reached();
}

static wb_engine_t *engine_announce(const fixture_t *fixture, wb_fleet_t *fleet) {
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    state->address = g_strdup_printf("127.0.0.1:%u", wb_tcp_listener_port(fixture->listener));
    state->zone = g_strdup("zone-1");
    state->slots = 1;
    return wb_fleet_announce(fleet, state);
}

/* A copy costs an order that the engine refuses at most: no model is loaded beyond the engine's
 * memory, counted as held while it isn't, or ordered twice. */
static void test_copies(void) {
    fixture_t fixture = {.held = "", .loading = ""};
    const wb_engine_orders_owner_t owner = {.may_act = may_act,
                                            .authorize_order = authorize_order,
                                            .pick_victims = pick_victims,
                                            .service = service_find,
                                            .store_allows_load = store_allows_load,
                                            .store_load_started = store_load_started,
                                            .store_load_ended = store_load_ended,
                                            .load_crashed = load_crashed,
                                            .report_holding = report_holding,
                                            .report_estimate = report_estimate,
                                            .token = token,
                                            .call_failed = call_failed,
                                            .may_be_cut_off = may_be_cut_off,
                                            .context = &fixture};
    wb_error_t error;
    fixture.settings = (wb_edge_settings_t){.id = "n1",
                                            .connect_timeout_ms = 1000,
                                            .silence_limit_ms = 5000,
                                            .order_timeout_ms = 2000,
                                            .drain_ms = 1000};
    g_assert_cmpint(wb_loop_create(&fixture.loop, "test", 64, &error), ==, APR_SUCCESS);
    g_assert_cmpint(wb_tcp_listen(fixture.loop, "127.0.0.1:0", 5000, connection_accepted, &fixture,
                                  &fixture.listener, &error),
                    ==, APR_SUCCESS);
    wb_catalog_t *catalog = wb_catalog_create(1);
    fixture.service = wb_catalog_add_service(catalog, "llm");
    for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
        wb_model_spec_t *model = wb_service_add_model(fixture.service, models[i]);
        model->store_load_ms = LOAD_MS;
        model->weights_mb = 1;
    }
    wb_fleet_t *fleet = wb_fleet_create();
    fixture.orders =
        wb_engine_orders_create(fixture.loop, &fixture.settings, &dialect,
                                engine_announce(&fixture, fleet), &fixture.metrics, &owner);
    wb_loop_every(fixture.loop, ANSWER_MS, task_next, &fixture);
    wb_loop_after(fixture.loop, TASKS_TIMEOUT_MS, timed_out, &fixture);
    wb_loop_run(fixture.loop);
    g_test_message("%d orders, %d conflicts, %d copies", fixture.accepted, fixture.conflicts,
                   fixture.copies);
    g_assert_cmpint(fixture.copies, >, TASKS);
    g_assert_cmpint(fixture.overloads, ==, 0);
    g_assert_cmpint(fixture.accepted, ==, 2 * TASKS - 1); /* nothing is unloaded for the first */
    g_assert_cmpint(fixture.conflicts, <=, fixture.copies);
    g_assert_cmpstr(fixture.held, ==, models[(TASKS - 1) % 2]);
    wb_engine_orders_free(fixture.orders);
}

static void tests_add(void) {
    g_test_add_func("/engine-reports/copies", test_copies);
}

UNIT_TEST_MAIN(tests_add)
