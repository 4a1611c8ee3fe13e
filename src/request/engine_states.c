/* Engines that reported a limit, that they are brittle or that they are draining, and those whose
 * state is to be sent to other nodes. */
#include "request/request_types.h"

void wb_edge_track_reporting_engine(wb_edge_t *edge, wb_engine_t *engine) {
    if (!g_hash_table_contains(edge->reporting_engines, engine)) {
        g_hash_table_add(edge->reporting_engines, wb_engine_ref(engine));
    }
}

void wb_edge_queue_state_update(wb_edge_t *edge, wb_engine_t *engine) {
    if (!wb_list_is_linked(&engine->state_update_item)) {
        wb_list_add_tail(&edge->state_updates, &wb_engine_ref(engine)->state_update_item);
    }
}

static gboolean is_unrestricted(gpointer key, gpointer value, gpointer context) {
    (void)value;
    (void)context;
    const wb_engine_t *engine = key;
    return engine->gone ||
           !(engine->limit.named || engine->drain_reported || engine->brittle.named);
}

void wb_edge_reporting_engines_sweep(wb_edge_t *edge) {
    g_hash_table_foreach_remove(edge->reporting_engines, is_unrestricted, NULL);
}
