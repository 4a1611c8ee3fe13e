/* Carries out tasks on one engine: reads its state, sends orders, checks their outcome. */
#include "control/engine_orders_types.h"

#include "control/placement.h"
#include "fleet/engine_response.h"

#include "wickbridge/event_log.h"
#include "wickbridge/http_head.h"

#include <string.h>

#define POLL_MIN_MS 60
#define POLL_MAX_MS 400
#define POLL_DIVISOR 8
/* Interval of the checks whether the weight store's rate limit allows a load. */
#define STORE_RETRY_MS 40
/* About the time of a lease row's write, which a pending grant waits for: an answer of the store
 * (4 ms) and a round trip. */
#define GRANT_POLL_MS 8
#define UNLOAD_POLL_MS 80
/* Delay of the first check after a load should be complete. If the engine is idle without the model
 * four such delays after that time, the order counts as lost, and the task tries again. */
#define LOAD_GRACE_MS 250
#define RETRY_MS 150
/* Maximum resends of an order whose outcome is unknown. */
#define MAX_RESENDS 8
/* After this many failed calls in a row, or its end, an engine gets no new tasks for
 * UNREACHABLE_MS. */
#define MAX_FAILURES 3
#define UNREACHABLE_MS 2000
#define TASK_TIMEOUT_MS 12000
#define RESPONSE_MAX_BYTES ((size_t)1024 * 1024) /* of reports and orders */

static void orders_advance(wb_engine_orders_t *orders);

static void advance_now(void *context) {
    wb_engine_orders_t *orders = context;
    orders->timer = NULL;
    orders_advance(orders);
}

static void advance_after(wb_engine_orders_t *orders, int64_t delay_ms) {
    if (orders->timer != NULL)
        wb_timer_cancel(orders->timer);
    orders->timer = wb_loop_after(orders->loop, MAX(delay_ms, 0), advance_now, orders);
}

static void state_discard(wb_engine_orders_t *orders) {
    wb_engine_state_free(orders->state);
    orders->state = NULL;
}

static void task_end(wb_engine_orders_t *orders, const char *outcome) {
    wb_engine_task_t *task = wb_engine_task_pop(&orders->tasks);
    wb_event(
        "task-over",
        ",\"engine\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"outcome\":\"%s\",\"ms\":%lld",
        orders->engine->state->id, task->model, task->adapter, outcome,
        (long long)(wb_clock_ms() - task->created_ms));
    wb_engine_task_free(task);
    if (orders->awaited != WB_AWAIT_NONE) {
        /* The outcome of an accepted order is unknown: its model may still take memory. */
        state_discard(orders);
        orders->awaited = WB_AWAIT_NONE;
    }
    advance_after(orders, 0);
}

static void unreachable_begin(wb_engine_orders_t *orders) {
    orders->failures = 0;
    orders->unreachable_until_ms = wb_clock_ms() + UNREACHABLE_MS;
}

static void call_failed(wb_engine_orders_t *orders) {
    orders->failures++;
    orders->owner.call_failed(orders->engine, orders->owner.context);
    if (orders->failures < MAX_FAILURES) {
        advance_after(orders, RETRY_MS);
        return;
    }
    unreachable_begin(orders);
    if (wb_engine_task_first(&orders->tasks) != NULL)
        task_end(orders, "unreachable");
}

/* Handles the end of an engine that was loading a model. */
static void load_crashed(wb_engine_orders_t *orders) {
    orders->owner.load_crashed(orders->engine, orders->order_model, orders->owner.context);
    unreachable_begin(orders);
    state_discard(orders);
    if (wb_engine_task_first(&orders->tasks) != NULL)
        task_end(orders, "crashed");
    orders->awaited = WB_AWAIT_NONE;
}

/* The engine refuses connections and may be loading a model. It has ended, unless only this node is
 * refused: the first failed call makes the owner find that out. */
static void load_refused(wb_engine_orders_t *orders) {
    orders->awaited = WB_AWAIT_LOADED;
    if (orders->failures > 0 &&
        !orders->owner.may_be_cut_off(orders->engine, orders->owner.context))
        load_crashed(orders);
    else
        call_failed(orders);
}

void wb_engine_orders_on_engine_ended(wb_engine_orders_t *orders) {
    if (orders->awaited == WB_AWAIT_LOADED) {
        load_crashed(orders);
        return;
    }
    unreachable_begin(orders);
    state_discard(orders);
    orders->awaited = WB_AWAIT_NONE;
    if (wb_engine_task_first(&orders->tasks) != NULL) {
        task_end(orders, "engine-restarted");
    }
}

/* Compares the start of the engine that sent a report with the known one: -1: earlier, 1: later. */
static int start_compare(const wb_engine_orders_t *orders, const wb_engine_state_t *state) {
    if (state->born_ms == 0) {
        return 0; /* the engine doesn't report its start */
    }
    if (wb_engine_state_is_later(orders->engine->state, state)) {
        return 1;
    }
    return wb_engine_state_is_later(state, orders->engine->state) ? -1 : 0;
}

static gboolean state_has(const wb_engine_state_t *state, const char *model, const char *adapter) {
    const wb_engine_model_t *held = g_hash_table_lookup(state->models, model);
    if (held == NULL)
        return FALSE;
    return *adapter == '\0' || g_hash_table_contains(held->adapters, adapter);
}

/* Ends the first task, as the engine holds its model or adapter. */
static void task_done(wb_engine_orders_t *orders) {
    const wb_engine_task_t *task = wb_engine_task_first(&orders->tasks);
    if (orders->order_from_store && *task->adapter == '\0' &&
        strcmp(task->model, orders->order_model) == 0) {
        orders->order_from_store = FALSE;
        orders->owner.store_load_ended(
            orders->engine->state->service, orders->order_concurrent_loads,
            wb_clock_ms() - orders->order_sent_ms, orders->order_load_ms, orders->owner.context);
    }
    orders->owner.report_holding(orders->engine, task->model, task->adapter, TRUE,
                                 orders->owner.context);
    task_end(orders, "done");
}

/* Polls less often the longer an order takes, so that its end is seen at most an eighth of its time
 * late. */
static int64_t poll_delay_ms(const wb_engine_orders_t *orders) {
    int64_t elapsed_ms = wb_clock_ms() - orders->order_sent_ms;
    return CLAMP(elapsed_ms / POLL_DIVISOR, POLL_MIN_MS, POLL_MAX_MS);
}

/* Checks whether a new report shows the awaited effect of an order. */
static void awaited_check(wb_engine_orders_t *orders) {
    gboolean has = state_has(orders->state, orders->order_model, "");
    gboolean is_done = !orders->state->busy && (orders->awaited == WB_AWAIT_LOADED ? has : !has);
    if (!is_done) {
        gboolean lost = !orders->state->busy && orders->awaited == WB_AWAIT_LOADED &&
                        wb_clock_ms() > orders->load_due_ms + 4 * LOAD_GRACE_MS;
        if (lost)
            orders->awaited = WB_AWAIT_NONE;
        else if (orders->awaited == WB_AWAIT_LOADED && orders->state->busy)
            wb_engine_orders_report_load_overdue(orders);
        advance_after(orders, poll_delay_ms(orders));
        return;
    }
    gboolean loaded = orders->awaited == WB_AWAIT_LOADED;
    orders->awaited = WB_AWAIT_NONE;
    if (loaded && wb_engine_task_first(&orders->tasks) != NULL)
        task_done(orders);
    else
        advance_after(orders, 0);
}

static void report_answered(const wb_http_result_t *result, void *context) {
    wb_engine_orders_t *orders = context;
    orders->calling = FALSE;
    wb_engine_state_t *state = NULL;
    if (result->outcome == WB_HTTP_COMPLETED && result->status == 200)
        state =
            orders->dialect->report_parse(orders->engine->state->id, result->body, result->length);
    if (result->refused && orders->awaited == WB_AWAIT_LOADED) {
        load_refused(orders);
        return;
    }
    if (state == NULL) {
        call_failed(orders);
        return;
    }
    orders->failures = 0;
    int start = start_compare(orders, state);
    if (start > 0) {
        /* The engine has restarted; its new announcement will follow. */
        wb_engine_state_free(state);
        wb_engine_orders_on_engine_ended(orders);
        return;
    }
    if (start < 0 || (orders->state != NULL && state->sequence < orders->state->sequence)) {
        /* The report is older than the cached state. */
        wb_engine_state_free(state);
        advance_after(orders, POLL_MIN_MS);
        return;
    }
    wb_engine_state_free(orders->state);
    orders->state = state;
    if (orders->awaited != WB_AWAIT_NONE) {
        awaited_check(orders);
    } else if (state->busy) {
        state_discard(orders);
        advance_after(orders, POLL_MIN_MS);
    } else {
        advance_after(orders, 0);
    }
}

/* Applies the engine-reported state in the response headers of a report or order. */
static void response_head_apply(const wb_http_head_t *head, void *context) {
    wb_engine_orders_t *orders = context;
    wb_engine_response_t response = {orders->dialect,     head,
                                     WB_RESPONSE_TO_CALL, orders->call_sent_ms,
                                     wb_clock_ms(),       orders->settings->drain_ms};
    if (wb_engine_update_from_response(orders->engine, &response, orders->metrics)) {
        orders->owner.engine_state_changed(orders->engine, orders->owner.context);
    }
}

static void report_request(wb_engine_orders_t *orders) {
    wb_http_request_t request = {.method = "GET",
                                 .target = orders->dialect->report_target,
                                 .timeout_ms = orders->settings->order_timeout_ms,
                                 .max_bytes = RESPONSE_MAX_BYTES,
                                 .on_head = response_head_apply,
                                 .on_result = report_answered,
                                 .context = orders};
    orders->calling = TRUE;
    orders->call_sent_ms = wb_clock_ms();
    wb_http_pool_call(orders->peer, &request);
}

/* Returns 0 when an order may be sent now, else ms after which to ask again. */
static int64_t order_wait_ms(const wb_engine_orders_t *orders) {
    if (!orders->owner.may_act(orders->owner.context)) {
        return RETRY_MS;
    }
    int64_t wait_ms =
        orders->owner.authorize_order(orders->engine->state->id, orders->owner.context);
    return wait_ms < 0 ? GRANT_POLL_MS : MIN(wait_ms, RETRY_MS);
}

static gboolean order_may_send(void *context) {
    return order_wait_ms(context) == 0;
}

static void order_send(wb_engine_orders_t *orders);

/* Updates the cached state, as the engine accepted the order.
 * @param already_done the engine held, or didn't hold, the model or adapter already */
static void order_accepted(wb_engine_orders_t *orders, gboolean already_done) {
    wb_engine_state_t *state = orders->state;
    int64_t now_ms = wb_clock_ms();
    gboolean is_adapter = *orders->order_adapter != '\0';
    if (already_done && !(is_adapter && orders->order.kind == WB_ORDER_UNLOAD)) {
        state_discard(orders); /* unknown whether the engine's sequence number has changed */
        advance_after(orders, 0);
        return;
    }
    state->sequence = orders->order.expected_sequence + 1;
    wb_engine_model_t *held = g_hash_table_lookup(state->models, orders->order_model);
    if (orders->order.kind == WB_ORDER_UNLOAD) {
        if (is_adapter) {
            if (held != NULL)
                g_hash_table_remove(held->adapters, orders->order_adapter);
            advance_after(orders, 0);
            return;
        }
        orders->awaited = WB_AWAIT_UNLOADED;
        advance_after(orders, UNLOAD_POLL_MS);
        return;
    }
    if (is_adapter) {
        if (held != NULL) {
            g_hash_table_add(held->adapters, g_strdup(orders->order_adapter));
            g_hash_table_add(state->arriving,
                             g_strjoin("/", orders->order_model, orders->order_adapter, NULL));
        }
        advance_after(orders, orders->settings->adapter_load_ms);
        return;
    }
    orders->awaited = WB_AWAIT_LOADED;
    advance_after(orders, orders->load_due_ms + LOAD_GRACE_MS - now_ms);
}

static void order_answered(const wb_http_result_t *result, void *context) {
    wb_engine_orders_t *orders = context;
    orders->calling = FALSE;
    wb_event("order-answered",
             ",\"engine\":\"%s\",\"kind\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\","
             "\"sequence\":%lld,\"token\":%llu,\"status\":%u,\"outcome\":%d",
             orders->engine->state->id, orders->order.kind == WB_ORDER_LOAD ? "load" : "unload",
             orders->order_model, orders->order_adapter, (long long)orders->order.expected_sequence,
             (unsigned long long)orders->order.token, result->status, (int)result->outcome);
    if (result->outcome == WB_HTTP_NOT_SENT) {
        /* An earlier attempt, whose response was lost, may have started the load. */
        gboolean may_load = orders->resends > 0 && orders->order.kind == WB_ORDER_LOAD &&
                            *orders->order_adapter == '\0';
        if (result->refused && may_load)
            load_refused(orders);
        else
            call_failed(orders);
        return;
    }
    if (result->outcome == WB_HTTP_UNKNOWN) {
        /* The order may still be carried out; at most one with this sequence number will be. */
        orders->metrics->orders_unknown++;
        if (++orders->resends > MAX_RESENDS)
            call_failed(orders);
        else
            order_send(orders);
        return;
    }
    orders->resends = 0;
    if (result->status == 202 || result->status == 200) {
        orders->failures = 0;
        order_accepted(orders, result->status == 200);
        return;
    }
    state_discard(orders);
    if (result->status == 400 && wb_engine_task_first(&orders->tasks) != NULL)
        task_end(orders, "refused");
    else
        advance_after(orders, POLL_MIN_MS);
}

static void order_send(wb_engine_orders_t *orders) {
    int64_t wait_ms = order_wait_ms(orders);
    if (wait_ms > 0) {
        advance_after(orders, wait_ms);
        return;
    }
    orders->order_sent_ms = wb_clock_ms();
    if (orders->order_from_store)
        orders->order_concurrent_loads =
            orders->owner.store_load_started(orders->engine->state->service, orders->owner.context);
    orders->metrics->orders++;
    g_autofree char *body = orders->dialect->order_body(&orders->order);
    g_autoptr(GString) headers = g_string_new(NULL);
    wb_http_header_append(headers, orders->dialect->expected_engine, orders->engine->state->id);
    wb_http_request_t request = {.method = "POST",
                                 .target = orders->dialect->order_target,
                                 .headers = headers->str,
                                 .body = body,
                                 .timeout_ms = orders->settings->order_timeout_ms,
                                 .max_bytes = RESPONSE_MAX_BYTES,
                                 .fresh = TRUE,
                                 .may_send = order_may_send,
                                 .on_head = response_head_apply,
                                 .on_result = order_answered,
                                 .context = orders};
    orders->calling = TRUE;
    orders->call_sent_ms = orders->order_sent_ms;
    wb_http_pool_call(orders->peer, &request);
}

static void order_prepare(wb_engine_orders_t *orders, wb_order_kind_t kind, const char *model,
                          const char *adapter) {
    g_free(orders->order_model);
    g_free(orders->order_adapter);
    orders->order_model = g_strdup(model);
    orders->order_adapter = g_strdup(adapter);
    orders->resends = 0;
    orders->order_from_store = FALSE;
    orders->order = (wb_order_t){kind,
                                 orders->order_model,
                                 orders->order_adapter,
                                 orders->state->sequence,
                                 orders->settings->id,
                                 orders->owner.token(orders->owner.context)};
    if (kind == WB_ORDER_UNLOAD) {
        orders->metrics->unloads++;
        orders->owner.report_holding(orders->engine, model, adapter, FALSE, orders->owner.context);
    }
}

static void load_model(wb_engine_orders_t *orders, const wb_engine_task_t *task,
                       const wb_model_spec_t *spec) {
    g_autoptr(GPtrArray) victims =
        orders->owner.pick_victims(orders->state, task->model, orders->owner.context);
    if (victims == NULL) {
        task_end(orders, "no-room");
        return;
    }
    if (victims->len > 0) {
        order_prepare(orders, WB_ORDER_UNLOAD, g_ptr_array_index(victims, 0), "");
        order_send(orders);
        return;
    }
    gboolean from_store;
    double load_ms = wb_placement_load_ms(spec, orders->engine->state, &from_store);
    if (from_store &&
        !orders->owner.store_allows_load(orders->engine->state->service, orders->owner.context)) {
        advance_after(orders, STORE_RETRY_MS);
        return;
    }
    if (from_store)
        orders->metrics->store_loads++;
    else
        orders->metrics->local_loads++;
    order_prepare(orders, WB_ORDER_LOAD, task->model, "");
    orders->order_from_store = from_store;
    orders->order_load_ms = (int64_t)load_ms;
    orders->load_due_ms = wb_clock_ms() + (int64_t)load_ms;
    order_send(orders);
}

static void load_adapter(wb_engine_orders_t *orders, const wb_engine_task_t *task,
                         const wb_service_t *service, const wb_model_spec_t *spec) {
    if (!state_has(orders->state, task->model, "")) {
        task_end(orders, "no-model");
        return;
    }
    if (!wb_placement_adapter_fits(service, orders->state, spec)) {
        g_autofree char *victim =
            orders->owner.pick_adapter_victim(orders->state, orders->owner.context);
        if (victim == NULL && g_hash_table_size(orders->state->arriving) > 0) {
            /* An adapter being loaded can't be evicted; a new report shows whether it is there. */
            state_discard(orders);
            advance_after(orders, POLL_MIN_MS);
            return;
        }
        if (victim == NULL) {
            task_end(orders, "no-room");
            return;
        }
        char *slash = strchr(victim, '/');
        *slash = '\0';
        order_prepare(orders, WB_ORDER_UNLOAD, victim, slash + 1);
        order_send(orders);
        return;
    }
    order_prepare(orders, WB_ORDER_LOAD, task->model, task->adapter);
    order_send(orders);
}

static void task_advance(wb_engine_orders_t *orders, const wb_engine_task_t *task) {
    const wb_service_t *service =
        orders->owner.service(orders->engine->state->service, orders->owner.context);
    const wb_model_spec_t *spec =
        service != NULL ? g_hash_table_lookup(service->models, task->model) : NULL;
    if (spec == NULL || wb_clock_ms() - task->created_ms > TASK_TIMEOUT_MS)
        task_end(orders, "given-up");
    else if (state_has(orders->state, task->model, task->adapter))
        task_done(orders);
    else if (*task->adapter != '\0')
        load_adapter(orders, task, service, spec);
    else
        load_model(orders, task, spec);
}

static void orders_advance(wb_engine_orders_t *orders) {
    const wb_engine_task_t *task = wb_engine_task_first(&orders->tasks);
    if (orders->calling || task == NULL)
        return;
    /* Requests the grant now, so that its write runs in parallel with the report. */
    int64_t wait_ms = order_wait_ms(orders);
    gboolean may_act = orders->owner.may_act(orders->owner.context);
    if (may_act && (orders->state == NULL || orders->awaited != WB_AWAIT_NONE))
        report_request(orders);
    else if (wait_ms == 0)
        task_advance(orders, task);
    else if (wb_clock_ms() - task->created_ms > TASK_TIMEOUT_MS)
        task_end(orders, "given-up");
    else {
        if (may_act)
            wb_engine_orders_report_grant_overdue(orders, task);
        advance_after(orders, wait_ms);
    }
}

void wb_engine_orders_add(wb_engine_orders_t *orders, const char *model, const char *adapter) {
    if (wb_engine_orders_has(orders, model, adapter)) {
        return;
    }
    gboolean idle = orders->tasks.len == 0;
    gboolean first_is_started = orders->calling || orders->awaited != WB_AWAIT_NONE;
    wb_engine_task_enqueue(&orders->tasks, wb_engine_task_create(model, adapter, wb_clock_ms()),
                           first_is_started);
    if (idle && !orders->calling) {
        advance_after(orders, 0);
    }
}

void wb_engine_orders_on_engine_announced(wb_engine_orders_t *orders) {
    if (orders->awaited == WB_AWAIT_NONE || orders->calling || orders->state == NULL)
        return;
    gboolean has = state_has(orders->engine->state, orders->order_model, "");
    if (has != (orders->awaited == WB_AWAIT_LOADED))
        return;
    /* The announcement shows the order's effect. */
    if (orders->awaited == WB_AWAIT_LOADED) {
        const wb_engine_model_t *held =
            g_hash_table_lookup(orders->engine->state->models, orders->order_model);
        wb_engine_state_add_model(orders->state, orders->order_model, held->version);
        orders->awaited = WB_AWAIT_NONE;
        if (wb_engine_task_first(&orders->tasks) != NULL)
            task_done(orders);
        return;
    }
    g_hash_table_remove(orders->state->models, orders->order_model);
    orders->awaited = WB_AWAIT_NONE;
    advance_after(orders, 0);
}
