/* Gives bytes to the parsers, and what they accept back to the writers. */
#include "targets.h"

#include "wickbridge/declaration.h"
#include "wickbridge/inventory.h"
#include "wickbridge/message.h"
#include "wickbridge/record.h"

#include <stdlib.h>
#include <string.h>

/* What was read must be written and read again as the same. */
static void message_write_again(const wb_wire_message *message) {
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    if (wb_message_encode(message, bytes, NULL) != APR_SUCCESS)
        return;
    wb_wire_message again;
    if (wb_message_decode(bytes->data + 4, bytes->len - 4, &again, NULL) != APR_SUCCESS)
        abort();
    wb_message_clear(&again);
}

void target_message(const uint8_t *data, size_t size) {
    wb_wire_message message;
    if (wb_message_decode(data, size, &message, NULL) != APR_SUCCESS)
        return;
    message_write_again(&message);
    if (message.kind == WB_WIRE_GROUP_STATE)
        wb_record_free(wb_record_from_wire(&message.wb_wire_message_u.group_state.record, 1000));
    if (message.kind == WB_WIRE_GROUP_APPEND) {
        const wb_wire_group_append *append = &message.wb_wire_message_u.group_append;
        wb_record_t *record = wb_record_create();
        for (u_int i = 0; i < append->commands.commands_len; i++)
            wb_record_apply(record, &append->commands.commands_val[i], 1000);
        wb_record_free(record);
    }
    wb_message_clear(&message);
}

void target_config(const uint8_t *data, size_t size) {
    json_t *objects = json_loadb((const char *)data, size, 0, NULL);
    wb_config_t *config = NULL;
    wb_config_fault_t fault;
    wb_error_t error;
    if (json_is_object(objects) &&
        wb_config_parse(objects, 1, &config, &fault, &error) == APR_SUCCESS) {
        json_t *changed = wb_config_objects_apply(objects, objects);
        json_decref(changed);
        wb_config_unref(config);
    }
    json_decref(objects);
}

void target_inventory(const uint8_t *data, size_t size) {
    json_t *body = json_loadb((const char *)data, size, 0, NULL);
    if (body != NULL)
        wb_inventory_free(wb_inventory_parse(body));
    json_decref(body);
}
