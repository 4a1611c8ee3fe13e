/* Runs the fuzz targets on valid inputs with a few random bytes changed, with a fixed seed. */
#include "targets.h"

#include "wickbridge/message.h"

#include <stdio.h>
#include <string.h>

#define ROUNDS 60000

static const char config_sample[] =
    "{\"service/s\":{\"cells\":2,\"repeatable\":false},\"model/m\":{\"service\":\"s\","
    "\"memory_mib\":10,\"max_replicas\":2},\"adapter/a\":{\"model\":\"m\",\"memory_mib\":1},"
    "\"owner/o\":{\"share\":3},\"policy/p\":{\"program\":\"function keep_alive_ms(m) return 1 "
    "end\"}}";
static const char inventory_sample[] =
    "{\"id\":\"e\",\"fence\":\"4294967297\",\"sequence\":3,\"capacity_bytes\":100,\"leaving\":"
    "false,"
    "\"models\":[{\"name\":\"m\",\"bytes\":5,\"state\":\"loaded\",\"adapters\":[{\"name\":\"a\","
    "\"state\":\"loading\"}]}],\"disk_copies\":[\"m\",5]}";

static const char engine_row_sample[] =
    "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":"
    "64,"
    "\"state\":\"ready\",\"coldRemainingMs\":0,\"models\":[{\"name\":\"m\",\"version\":1,"
    "\"adapters\":["
    "\"a1\",{\"name\":\"a2\"}]}],\"atHand\":{\"resident\":[\"m\"],\"onDisk\":[]},\"sequence\":4,"
    "\"born\":1700000000123}";

static const char request_sample[] =
    "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k-1\r\n"
    "authorization: Token k-2\r\nTenant: south\r\nContent-Length: 0\r\n\r\n";
static const char key_sample[] =
    "GET / HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k-1 \r\n\r\n";

static const char head_sample[] =
    "HTTP/1.1 503 Busy\r\nRetry-After: 2.5\r\nServer-Limit: 1.5\r\nServer-Leaving: 1\r\n"
    "Server-Load: 3,0,8,120\r\nContent-Length: 0\r\n\r\n";

static GByteArray *message_sample(void) {
    wb_wire_slot slots[] = {{"m", "e1"}, {"m", "e2"}};
    wb_wire_name members[] = {"n1", "n2"};
    wb_wire_message message = {.kind = WB_WIRE_GROUP_STATE};
    wb_wire_group_state *state = &message.wb_wire_message_u.group_state;
    state->cell = "s/0";
    state->epoch = 7;
    state->record.members.names.names_len = 2;
    state->record.members.names.names_val = members;
    state->record.slots.slots_len = 2;
    state->record.slots.slots_val = slots;
    GByteArray *bytes = g_byte_array_new();
    wb_message_encode(&message, bytes, NULL);
    g_byte_array_remove_range(bytes, 0, 4);
    return bytes;
}

static void input_mutate(GRand *random, GByteArray *bytes) {
    int changes = g_rand_int_range(random, 1, 6);
    for (int i = 0; i < changes && bytes->len > 0; i++)
        bytes->data[g_rand_int_range(random, 0, (gint32)bytes->len)] =
            (guint8)g_rand_int_range(random, 0, 256);
    if (bytes->len > 0 && g_rand_int_range(random, 0, 4) == 0)
        g_byte_array_set_size(bytes, (guint)g_rand_int_range(random, 0, (gint32)bytes->len));
}

static void target_run(const void *sample, size_t size,
                       void (*target)(const uint8_t *data, size_t size)) {
    GRand *random = g_rand_new_with_seed(1);
    for (int i = 0; i < ROUNDS; i++) {
        g_autoptr(GByteArray) bytes = g_byte_array_new();
        g_byte_array_append(bytes, sample, (guint)size);
        input_mutate(random, bytes);
        target(bytes->data, bytes->len);
    }
    g_rand_free(random);
}

int main(void) {
    g_autoptr(GByteArray) message = message_sample();
    target_run(message->data, message->len, target_message);
    target_run(config_sample, sizeof(config_sample) - 1, target_config);
    target_run(inventory_sample, sizeof(inventory_sample) - 1, target_inventory);
    target_run(request_sample, sizeof(request_sample) - 1, target_api_key);
    target_run(key_sample, sizeof(key_sample) - 1, target_api_key);
    target_run(engine_row_sample, sizeof(engine_row_sample) - 1, target_engine_row);
    target_run(head_sample, sizeof(head_sample) - 1, target_engine_head);
    printf("%d changed inputs for each of 7 samples\n", ROUNDS);
    return 0;
}
