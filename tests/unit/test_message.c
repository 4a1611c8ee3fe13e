/* Guards against messages changed by encoding, and malformed bytes that are accepted. */
#include "unit.h"

#include "wickbridge/message.h"

#include <stdlib.h>
#include <string.h>

static void test_there_and_back(void) {
    wb_wire_message message = {.kind = WB_WIRE_CLAIM_REQUEST};
    wb_wire_claim_request *want = &message.wb_wire_message_u.claim_request;
    want->request = 7;
    want->model = "m";
    want->key = "north/k";
    want->stream = "s-1";
    want->engine = "e";
    want->engine_address = "127.0.0.1:1";
    want->node = "n";
    want->digest = UINT64_MAX;
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    g_assert_cmpint(wb_message_encode(&message, bytes, NULL), ==, APR_SUCCESS);
    wb_wire_message decoded;
    g_assert_cmpint(wb_message_decode(bytes->data + 4, bytes->len - 4, &decoded, NULL), ==,
                    APR_SUCCESS);
    g_assert_cmpstr(decoded.wb_wire_message_u.claim_request.key, ==, "north/k");
    g_assert_cmpuint(decoded.wb_wire_message_u.claim_request.digest, ==, UINT64_MAX);
    wb_message_clear(&decoded);
    for (guint length = 0; length < bytes->len - 4; length++)
        g_assert_cmpint(wb_message_decode(bytes->data + 4, length, &decoded, NULL), ==, APR_EINVAL);
}

static void test_too_long_a_name(void) {
    g_autofree char *name = g_strnfill(WB_WIRE_NAME_MAX + 1, 'x');
    wb_wire_message message = {.kind = WB_WIRE_CONFIG_FETCH};
    message.kind = WB_WIRE_GROUP_HAND_OVER;
    message.wb_wire_message_u.group_hand_over.cell = name;
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    g_assert_cmpint(wb_message_encode(&message, bytes, NULL), ==, APR_EINVAL);
    g_assert_cmpuint(bytes->len, ==, 0);
}

static wb_wire_extensions parts_create(void) {
    static uint64_t born_ms[] = {1700000000001, 0, 1700000000003};
    wb_wire_extensions parts = {0};
    wb_wire_start_times starts = {{3, born_ms}};
    wb_wire_writer writer = {WB_WIRE_FORMAT_VERSION};
    g_assert_true(wb_extensions_add(&parts, WB_WIRE_EXTENSION_STARTS,
                                    (xdrproc_t)xdr_wb_wire_start_times, &starts));
    g_assert_true(wb_extensions_add(&parts, WB_WIRE_EXTENSION_WRITER, (xdrproc_t)xdr_wb_wire_writer,
                                    &writer));
    return parts;
}

/* Extensions after a message are decoded; truncated or extra bytes make the message invalid. */
static void test_parts(void) {
    wb_wire_message message = {.kind = WB_WIRE_SYNC};
    wb_wire_extensions parts = parts_create();
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    g_assert_cmpint(wb_message_encode_with_extensions(&message, &parts, bytes, NULL), ==,
                    APR_SUCCESS);
    wb_extensions_clear(&parts);
    wb_wire_message decoded;
    wb_wire_extensions decoded_parts;
    const guchar *data = bytes->data + 4;
    guint length = bytes->len - 4;
    g_assert_cmpint(wb_message_decode_with_extensions(data, length, &decoded, &decoded_parts, NULL),
                    ==, APR_SUCCESS);
    wb_wire_start_times starts = {{0, NULL}};
    g_assert_true(wb_extensions_read(&decoded_parts, WB_WIRE_EXTENSION_STARTS,
                                     (xdrproc_t)xdr_wb_wire_start_times, &starts));
    g_assert_cmpuint(starts.born_ms.born_ms_len, ==, 3);
    g_assert_cmpuint(starts.born_ms.born_ms_val[2], ==, 1700000000003);
    xdr_free((xdrproc_t)xdr_wb_wire_start_times, &starts);
    wb_extensions_clear(&decoded_parts);
    wb_message_clear(&decoded);
    for (guint cut = 5; cut < length; cut++) {
        g_assert_cmpint(
            wb_message_decode_with_extensions(data, cut, &decoded, &decoded_parts, NULL), ==,
            APR_EINVAL);
    }
    g_byte_array_append(bytes, (const guint8 *)"more", 4);
    g_assert_cmpint(wb_message_decode_with_extensions(bytes->data + 4, length + 4, &decoded,
                                                      &decoded_parts, NULL),
                    ==, APR_EINVAL);
}

/* Unknown extensions, and extra bytes of known ones, are skipped: later builds may send them. */
static void test_parts_of_a_later_build(void) {
    wb_wire_extensions parts = parts_create();
    wb_wire_extension *unknown = &parts.parts.parts_val[0];
    unknown->kind = 4711;
    wb_wire_extension *longer = &parts.parts.parts_val[1];
    longer->value.value_val = realloc(longer->value.value_val, 12);
    memset(longer->value.value_val + 4, 7, 8);
    longer->value.value_len = 12;
    wb_wire_writer writer = {0};
    wb_wire_start_times starts = {{0, NULL}};
    g_assert_false(wb_extensions_read(&parts, WB_WIRE_EXTENSION_STARTS,
                                      (xdrproc_t)xdr_wb_wire_start_times, &starts));
    g_assert_true(wb_extensions_read(&parts, WB_WIRE_EXTENSION_WRITER,
                                     (xdrproc_t)xdr_wb_wire_writer, &writer));
    g_assert_cmpuint(writer.form, ==, WB_WIRE_FORMAT_VERSION);
    wb_extensions_clear(&parts);
}

static void test_kinds_of_a_later_build(void) {
    static const guchar later[] = {0, 0, 0, WB_WIRE_TUNNEL_OPEN_COUNTED + 1, 1, 2, 3};
    static const guchar known[] = {0, 0, 0, WB_WIRE_SYNC};
    static const guchar none[] = {0, 0, 0, 0};
    g_assert_true(wb_message_is_unknown(later, sizeof(later)));
    g_assert_false(wb_message_is_unknown(known, sizeof(known)));
    g_assert_false(wb_message_is_unknown(none, sizeof(none)));
    g_assert_false(wb_message_is_unknown(later, 3));
}

static void tests_add(void) {
    g_test_add_func("/message/there-and-back", test_there_and_back);
    g_test_add_func("/message/parts", test_parts);
    g_test_add_func("/message/parts-of-a-later-build", test_parts_of_a_later_build);
    g_test_add_func("/message/kinds-of-a-later-build", test_kinds_of_a_later_build);
    g_test_add_func("/message/too-long-a-name", test_too_long_a_name);
}

UNIT_TEST_MAIN(tests_add)
