/* Benchmark of engine selection: engines with two loaded models each, HOLDERS of which hold the
 * requested one. Usage: wb-bench-dispatch [ENGINES]. Prints microseconds per selection. */
#include "request/request_types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHOICES 20000
#define ENGINES 140
/* Engines that hold the requested model. */
#define HOLDERS 16

static void engines_add(wb_fleet_t *fleet, int count) {
    for (int i = 0; i < count; i++) {
        g_autofree char *id = g_strdup_printf("i-%010x", i * 7919);
        g_autofree char *other = g_strdup_printf("m%d", i + 1);
        wb_engine_state_t *state = wb_engine_state_create(id);
        state->service = g_strdup("llm");
        state->address = g_strdup("127.0.0.1:1");
        state->zone = g_strdup(i % 4 == 0 ? "zone-1" : "zone-2");
        state->slots = 48;
        wb_engine_state_add_model(state, i % MAX(count / HOLDERS, 1) == 0 ? "m0" : "x0", 1);
        wb_engine_state_add_model(state, other, 1);
        wb_engine_t *engine = wb_fleet_announce(fleet, state);
        wb_engine_pace_add(&engine->pace, i % 4 == 0 ? 55 : 120, 1000);
        engine->total_tokens_per_s = 1000.0 * (i % 20);
    }
}

static wb_exchange_t *exchange_create(wb_edge_t *edge, wb_catalog_t *catalog) {
    wb_exchange_t *exchange = g_new0(wb_exchange_t, 1);
    wb_route_t *route = wb_catalog_add_route(catalog, "draft", "a.example", "/draft/");
    route->kind = WB_ROUTE_STREAM;
    route->target_latency_ms = 800;
    route->target_gap_ms = 400;
    exchange->edge = edge;
    exchange->route = route;
    exchange->service = wb_catalog_add_service(catalog, "llm");
    exchange->model = g_strdup("m0");
    exchange->adapter = g_strdup("");
    exchange->out_tokens = 50;
    exchange->prompt_tokens = 9190;
    exchange->parts = g_array_new(FALSE, FALSE, sizeof(wb_prompt_part_t));
    exchange->tried = g_array_new(FALSE, FALSE, sizeof(wb_tried_engine_t));
    static const int64_t tokens[] = {2520, 3780, 2890};
    for (guint i = 0; i < G_N_ELEMENTS(tokens); i++) {
        wb_prompt_part_t part = {g_strdup_printf("part%u", i), tokens[i]};
        g_array_append_val(exchange->parts, part);
    }
    return exchange;
}

int main(int argc, char **argv) {
    int engines = argc > 1 ? atoi(argv[1]) : ENGINES;
    wb_edge_t edge = {.shared_loads_valid = TRUE};
    edge.settings.zone = "zone-1";
    edge.settings.prefill_tokens_per_ms = 30;
    edge.settings.step_ms = 5.3;
    edge.settings.read_piece_tokens = 2048;
    edge.settings.event_tokens = 5;
    edge.settings.engine_pace = 1;
    edge.fleet = wb_fleet_create();
    edge.wait_scale = wb_wait_scale_create();
    engines_add(edge.fleet, MAX(engines, 1));
    wb_exchange_t *exchange = exchange_create(&edge, wb_catalog_create(1));
    wb_dispatch_decision_t decision;
    unsigned chosen = 0;
    int64_t started_us = wb_clock_us();
    for (int i = 0; i < CHOICES; i++) {
        chosen += wb_balancer_choose(&edge, exchange, 2000, &decision) != NULL;
    }
    double each_us = (double)(wb_clock_us() - started_us) / CHOICES;
    printf("%d engines: %.1f us a choice (%u of %d found one)\n", engines, each_us, chosen,
           CHOICES);
    return chosen == CHOICES ? 0 : 1;
}
