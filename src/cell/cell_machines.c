/* Polls the platform's machine list every machine_poll_ms: for a cell that this node owns, and, to
 * learn of removed nodes, for a cell without an owner whose group this node belongs to. A failed
 * read is tried again at the next poll. */
#include "cell_host_types.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <string.h>
#include <xxhash.h>

static wb_machine_state_t state_parse(const json_t *machine) {
    const char *state = wb_json_text(machine, "state", "live");
    if (strcmp(state, "gone") == 0)
        return WB_MACHINE_REMOVED;
    return strcmp(state, "leaving") == 0 ? WB_MACHINE_DRAINING : WB_MACHINE_LIVE;
}

/* An engine belongs to one cell of its service, chosen by its id. */
static gboolean engine_is_ours(hosted_cell_t *hosted, const wb_config_t *config,
                               const json_t *machine) {
    const wb_service_t *service = wb_config_service(config, wb_json_text(machine, "service", ""));
    if (service == NULL)
        return FALSE;
    g_autofree char *cell = wb_cell_name_for(service, wb_json_text(machine, "id", ""));
    return strcmp(cell, hosted->name) == 0;
}

static void engine_apply(hosted_cell_t *hosted, const json_t *machine, int64_t now_ms) {
    const char *id = wb_json_text(machine, "id", "");
    const char *address = wb_json_text(machine, "address", "");
    wb_machine_state_t state = state_parse(machine);
    wb_cell_set_machine(hosted->cell, id, address, wb_json_text(machine, "zone", ""), state,
                        now_ms);
    if (state == WB_MACHINE_REMOVED)
        wb_engine_client_unfollow(hosted->engines, id);
    else
        wb_engine_client_follow(hosted->engines, id, address);
}

static void machines_update(hosted_cell_t *hosted, const json_t *machines) {
    wb_cell_host_t *host = hosted->host;
    const wb_config_t *config = wb_config_store_current(host->parts.config_store);
    int64_t now_ms = wb_clock_ms();
    size_t index;
    json_t *machine;
    json_array_foreach(machines, index, machine) {
        const char *role = wb_json_text(machine, "role", "");
        if (strcmp(role, "node") == 0 && state_parse(machine) == WB_MACHINE_REMOVED)
            wb_membership_on_machine_removed(host->parts.membership,
                                             wb_json_text(machine, "id", ""));
        else if (hosted->cell != NULL && strcmp(role, "engine") == 0 &&
                 engine_is_ours(hosted, config, machine))
            engine_apply(hosted, machine, now_ms);
    }
    if (hosted->cell == NULL)
        return;
    wb_cell_set_machines_known(hosted->cell);
    wb_cell_step(hosted->cell, now_ms);
}

/* Context of a read; names the cell, which may have been removed when the response arrives. */
typedef struct machines_call_t {
    wb_cell_host_t *host;
    char *cell;
} machines_call_t;

static void machines_on_read(wb_platform_status_t status, const json_t *body, void *context) {
    machines_call_t *call = context;
    hosted_cell_t *hosted = cell_host_find(call->host, call->cell);
    if (hosted != NULL) {
        hosted->machines_call_pending = FALSE;
        const json_t *machines = json_object_get(body, "machines");
        if (status == WB_PLATFORM_DONE && machines != NULL) {
            hosted->machines_version = wb_json_integer(body, "version", 0);
            machines_update(hosted, machines);
        }
    }
    g_free(call->cell);
    g_free(call);
}

void cell_machines_tick(hosted_cell_t *hosted, int64_t now_ms) {
    if (hosted->machines_call_pending || now_ms < hosted->machines_next_ms)
        return;
    hosted->machines_call_pending = TRUE;
    hosted->machines_next_ms = now_ms + hosted->host->options.machine_poll_ms;
    machines_call_t *call = g_new0(machines_call_t, 1);
    call->host = hosted->host;
    call->cell = g_strdup(hosted->name);
    wb_platform_list_machines(hosted->host->parts.platform, hosted->machines_version,
                              machines_on_read, call);
}
