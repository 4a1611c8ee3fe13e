/* An engine's row from the store, which is untrusted: an accepted row must be complete. */
#include "targets.h"

#include "../../platform/platform.h"

#include <stdlib.h>
#include <string.h>

void target_engine_row(const uint8_t *data, size_t size) {
    wb_error_t error = {0};
    wb_engine_state_t *state = wb_platform_engine_parse("e1", data, size, &error);
    if (state == NULL) {
        if (*error.message == '\0')
            abort();
        return;
    }
    if (*state->service == '\0' || strchr(state->address, ':') == NULL || *state->zone == '\0' ||
        state->slots < 1 || state->born_ms < 0 || state->cold_ms < 0)
        abort();
    wb_engine_state_free(state);
}
