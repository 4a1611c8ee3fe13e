/* Engines that reported a limit or that they are draining, and those whose state is to be sent to
 * other nodes. */
#include "request/request_types.h"

void wb_edge_note_told(wb_edge_t *edge, wb_engine_t *engine) {
    if (!g_hash_table_contains(edge->told_engines, engine)) {
        g_hash_table_add(edge->told_engines, wb_engine_ref(engine));
    }
}

void wb_edge_queue_state(wb_edge_t *edge, wb_engine_t *engine) {
    if (!wb_list_is_linked(&engine->state_news)) {
        wb_list_add_tail(&edge->state_news, &wb_engine_ref(engine)->state_news);
    }
}

static gboolean is_unrestricted(gpointer key, gpointer value, gpointer context) {
    (void)value;
    (void)context;
    const wb_engine_t *engine = key;
    return engine->gone || !(engine->limit.named || engine->told_leaving);
}

void wb_edge_told_engines_sweep(wb_edge_t *edge) {
    g_hash_table_foreach_remove(edge->told_engines, is_unrestricted, NULL);
}
