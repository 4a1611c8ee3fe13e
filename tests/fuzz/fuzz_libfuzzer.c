/* libFuzzer entry point; the first byte selects the target. */
#include "targets.h"
#include "world.h"

#include "wickbridge/log.h"

#include <stdlib.h>

/* First bytes from this one on select row_targets. */
#define FIRST_OF_ROWS 200

static void (*const row_targets[])(const uint8_t *data, size_t size) = {
    target_catalog_row, target_store_answer, target_node_row,
    target_lease_row,   target_stream_row,   target_engine_report,
    target_engine_head, target_api_key,      target_peer_message};

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerInitialize(int *argc, char ***argv) {
    (void)argc;
    (void)argv;
    wb_log_setup(FALSE, G_LOG_LEVEL_ERROR, "fuzz");
    return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    if (size == 0)
        return 0;
    if (data[0] >= FIRST_OF_ROWS) {
        row_targets[(data[0] - FIRST_OF_ROWS) % G_N_ELEMENTS(row_targets)](data + 1, size - 1);
        return 0;
    }
    world_counters_t counters = {0};
    switch (data[0] % 5) {
    case 0:
        target_message(data + 1, size - 1);
        break;
    case 1:
        target_config(data + 1, size - 1);
        break;
    case 2:
        target_inventory(data + 1, size - 1);
        break;
    case 3:
        target_engine_row(data + 1, size - 1);
        break;
    default:
        if (simulation_run(data + 1, size - 1, 1, 0, &counters) != NULL)
            abort();
    }
    return 0;
}
