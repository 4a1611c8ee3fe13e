/* Runs the fuzz targets on valid inputs with a few random bytes changed, with a fixed seed. */
#include "targets.h"

#include "wickbridge/message.h"

#include <stdio.h>
#include <string.h>

#define ROUNDS 60000
/* The store's limit for a row. */
#define DEEP_BYTES (64 * 1024)

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

static const char catalog_sample[] =
    "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"host\":\"a.example\",\"pathPrefix\":\"/chat/"
    "\","
    "\"routeType\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":800,\"priority\":1,"
    "\"resumable\":true,\"trafficSplit\":[{\"service\":\"s\",\"weight\":0.5}]}],\"services\":[{"
    "\"name\":\"s\",\"maxConnections\":100,\"coldStartS\":2,\"engine\":{\"weightsMb\":2100,"
    "\"adapterSlots\":2,\"models\":[{\"name\":\"m\",\"weightsMb\":1e3,\"loadS\":0.2}]}}],"
    "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"ratePerS\":5}],\"limits\":{"
    "\"maxHeaderBytes\":4096,\"idleTimeoutMs\":20000}}";
static const char answer_sample[] =
    "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"a\\ud83d\\ude00\",\"value\":\"dg==\","
    "\"ver\":7},"
    "{\"key\":\"b\\u0000c\",\"ver\":8,\"gone\":true}],\"ver\":9,\"now_ms\":1000,\"more\":true}";
static const char node_sample[] = "10.0.0.1:7000 17 0.125 4 10.0.0.1:7001 zone-2 later";
static const char report_sample[] =
    "{\"sequence\":5,\"busy\":false,\"coming\":[],\"models\":[{\"name\":\"m\",\"version\":1,"
    "\"adapters\":[\"a\"]}],\"atHand\":{\"resident\":[\"m\"],\"onDisk\":[]},\"born\":"
    "1700000000123}";

/* Encodes a value as it stands in a row. */
static void xdr_append(GByteArray *bytes, xdrproc_t type, void *value) {
    guint length = bytes->len;
    guint size = (guint)xdr_sizeof(type, value);
    XDR stream;
    g_byte_array_set_size(bytes, length + size);
    xdrmem_create(&stream, (char *)bytes->data + length, size, XDR_ENCODE);
    type(&stream, value);
    xdr_destroy(&stream);
}

static GByteArray *lease_sample(void) {
    wb_wire_name engines[] = {"e1", "e2"};
    uint64_t crashed[] = {1, 2};
    wb_wire_poison_entry poisoned = {.body_bytes = 9, .engines = {2, crashed}, .left_ms = 500};
    wb_wire_quota_entry share = {"t", 0, 500000};
    wb_wire_lease lease = {.holder = "a",
                           .address = "10.0.0.1:7000",
                           .token = 7,
                           .beat = 9,
                           .has_grants = TRUE,
                           .granted = {2, engines}};
    wb_wire_poison poison = {{1, &poisoned}};
    wb_wire_quota quota = {{1, &share}};
    wb_wire_writer writer = {WB_WIRE_FORMAT_VERSION};
    wb_wire_service_version version = {"s", "v1", 400};
    wb_wire_service_versions versions = {.known_for_ms = 500, .entries = {1, &version}};
    wb_wire_extensions extensions = {0};
    GByteArray *bytes = g_byte_array_new();
    wb_extensions_add(&extensions, WB_WIRE_EXTENSION_WRITER, (xdrproc_t)xdr_wb_wire_writer,
                      &writer);
    wb_extensions_add(&extensions, WB_WIRE_EXTENSION_VERSIONS,
                      (xdrproc_t)xdr_wb_wire_service_versions, &versions);
    xdr_append(bytes, (xdrproc_t)xdr_wb_wire_lease, &lease);
    xdr_append(bytes, (xdrproc_t)xdr_wb_wire_poison, &poison);
    xdr_append(bytes, (xdrproc_t)xdr_wb_wire_quota, &quota);
    xdr_append(bytes, (xdrproc_t)xdr_wb_wire_extensions, &extensions);
    wb_extensions_clear(&extensions);
    return bytes;
}

static GByteArray *stream_sample(void) {
    wb_wire_stored_origin origin = {"s", "v1"};
    wb_wire_stored_start start = {.origin = 0, .left_ms = 500};
    wb_wire_stored_starts stored = {
        .format_version = 1, .written_ms = 1000, .origins = {1, &origin}, .entries = {1, &start}};
    GByteArray *bytes = g_byte_array_new();
    xdr_append(bytes, (xdrproc_t)xdr_wb_wire_stored_starts, &stored);
    return bytes;
}

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

static GByteArray *demand_sample(void) {
    wb_wire_tenant_usage usage = {"t", 3, 40, 400, 300};
    wb_wire_engine_usage engine = {"e1", 150, 9000};
    wb_wire_message message = {.kind = WB_WIRE_DEMAND};
    message.wb_wire_message_u.demand =
        (wb_wire_demand){.node = "n1", .tenants = {1, &usage}, .engines = {1, &engine}};
    GByteArray *bytes = g_byte_array_new();
    wb_message_encode(&message, bytes, NULL);
    g_byte_array_remove_range(bytes, 0, 4);
    return bytes;
}

static GByteArray *quota_sample(void) {
    wb_wire_quota_entry shares[] = {{"t", 0, 500000}, {"t", 3, 250000}};
    wb_wire_message message = {.kind = WB_WIRE_QUOTA};
    message.wb_wire_message_u.quota.tenants.tenants_len = 2;
    message.wb_wire_message_u.quota.tenants.tenants_val = shares;
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

/* Nests as deep as a row of 64 KiB can, in each of the targets that read JSON. */
static void deep_run(void) {
    static void (*const targets[])(const uint8_t *data, size_t size) = {
        target_engine_row, target_catalog_row, target_store_answer, target_engine_report};
    static const char *const openings[] = {"[", "{\"models\":", "{\"rows\":[", "[{\"a\":"};
    for (size_t i = 0; i < G_N_ELEMENTS(openings); i++) {
        g_autoptr(GString) text = g_string_new("{\"version\":7,\"services\":[],\"routes\":");
        while (text->len < DEEP_BYTES)
            g_string_append(text, openings[i]);
        for (size_t j = 0; j < G_N_ELEMENTS(targets); j++)
            targets[j]((const uint8_t *)text->str, text->len);
    }
}

static void rows_run(void) {
    g_autoptr(GByteArray) lease = lease_sample();
    g_autoptr(GByteArray) starts = stream_sample();
    target_run(catalog_sample, sizeof(catalog_sample) - 1, target_catalog_row);
    target_run(answer_sample, sizeof(answer_sample) - 1, target_store_answer);
    target_run(node_sample, sizeof(node_sample) - 1, target_node_row);
    target_run(report_sample, sizeof(report_sample) - 1, target_engine_report);
    target_run(lease->data, lease->len, target_lease_row);
    target_run(starts->data, starts->len, target_stream_row);
    deep_run();
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
    g_autoptr(GByteArray) demand = demand_sample();
    g_autoptr(GByteArray) quota = quota_sample();
    target_run(demand->data, demand->len, target_peer_message);
    target_run(quota->data, quota->len, target_peer_message);
    rows_run();
    printf("%d changed inputs for each of 15 samples\n", ROUNDS);
    return 0;
}
