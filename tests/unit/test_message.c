/* Messages survive the wire, and bytes that are none are turned away. */
#include "unit.h"

#include "wickbridge/message.h"

#include <string.h>

static void test_there_and_back(void) {
    wb_wire_message message = {.kind = WB_WIRE_CLAIM_WANT};
    wb_wire_claim_want *want = &message.wb_wire_message_u.claim_want;
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
    wb_wire_message back;
    g_assert_cmpint(wb_message_decode(bytes->data + 4, bytes->len - 4, &back, NULL), ==,
                    APR_SUCCESS);
    g_assert_cmpstr(back.wb_wire_message_u.claim_want.key, ==, "north/k");
    g_assert_cmpuint(back.wb_wire_message_u.claim_want.digest, ==, UINT64_MAX);
    wb_message_clear(&back);
    for (guint length = 0; length < bytes->len - 4; length++)
        g_assert_cmpint(wb_message_decode(bytes->data + 4, length, &back, NULL), ==, APR_EINVAL);
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

static void tests_add(void) {
    g_test_add_func("/message/there-and-back", test_there_and_back);
    g_test_add_func("/message/too-long-a-name", test_too_long_a_name);
}

UNIT_TEST_MAIN(tests_add)
