/* Guards against two owners of a group and lost committed commands. Fuzzer seeds that once failed
 * are run again, named after the failure. */
#include "unit.h"

#include "../fuzz/world.h"

#include "wickbridge/group.h"

#include <string.h>

#define MEMBERS 3

typedef struct net_t {
    wb_group_t *groups[MEMBERS];
    gboolean down[MEMBERS];
    GQueue messages; /* of net_message_t */
} net_t;

typedef struct net_message_t {
    int from;
    int to;
    GByteArray *bytes;
} net_message_t;

typedef struct net_member_t {
    net_t *net;
    int index;
} net_member_t;

static void member_send(const char *to, const wb_wire_message *message, void *context) {
    net_member_t *member = context;
    net_message_t *item = g_new(net_message_t, 1);
    item->from = member->index;
    item->to = to[1] - '0';
    item->bytes = g_byte_array_new();
    wb_message_encode(message, item->bytes, NULL);
    g_queue_push_tail(&member->net->messages, item);
}

static void ignore_epoch(uint64_t epoch, void *context) {
    (void)epoch;
    (void)context;
}

static void ignore(void *context) {
    (void)context;
}

static void net_deliver(net_t *net, int64_t now_ms) {
    net_message_t *item;
    while ((item = g_queue_pop_head(&net->messages)) != NULL) {
        wb_wire_message message;
        char from[3] = {'n', (char)('0' + item->from), '\0'};
        g_assert_cmpint(
            wb_message_decode(item->bytes->data + 4, item->bytes->len - 4, &message, NULL), ==,
            APR_SUCCESS);
        if (!net->down[item->to] && !net->down[item->from])
            wb_group_on_message(net->groups[item->to], from, &message, now_ms);
        wb_message_clear(&message);
        g_byte_array_unref(item->bytes);
        g_free(item);
    }
}

static int net_owner(const net_t *net) {
    int owner = -1;
    for (int i = 0; i < MEMBERS; i++)
        if (!net->down[i] && wb_group_role(net->groups[i]) == WB_GROUP_OWNER)
            owner = i;
    return owner;
}

static void net_run(net_t *net, int64_t *now_ms, int64_t span_ms) {
    for (int64_t until_ms = *now_ms + span_ms; *now_ms < until_ms; *now_ms += 20) {
        for (int i = 0; i < MEMBERS; i++)
            if (!net->down[i])
                wb_group_tick(net->groups[i], *now_ms);
        net_deliver(net, *now_ms);
    }
}

static void test_takeover_keeps_what_counted(void) {
    static net_t net;
    static net_member_t members[MEMBERS];
    int64_t now_ms = 1000;
    g_autoptr(GPtrArray) names = g_ptr_array_new();
    g_queue_init(&net.messages);
    for (int i = 0; i < MEMBERS; i++) {
        static const char *const node_names[] = {"n0", "n1", "n2"};
        members[i] = (net_member_t){&net, i};
        wb_group_options_t options = {"s/0", node_names[i], 100, 400, (uint64_t)i + 1};
        wb_group_events_t events = {member_send, ignore_epoch, ignore, ignore_epoch, &members[i]};
        net.groups[i] = wb_group_create(&options, &events, now_ms);
        g_ptr_array_add(names, (gpointer)node_names[i]);
    }
    wb_group_bootstrap(net.groups[0], wb_record_create(), names, 1, 65537, now_ms);
    net_run(&net, &now_ms, 500);
    g_assert_cmpint(net_owner(&net), ==, 0);
    wb_wire_command command = {.kind = WB_WIRE_COMMAND_SLOT_ADD};
    command.wb_wire_command_u.slot_add.model = "m";
    command.wb_wire_command_u.slot_add.engine = "e";
    uint64_t sequence = wb_group_propose(net.groups[0], &command, now_ms);
    g_assert_cmpuint(sequence, >, 0);
    net_deliver(&net, now_ms);
    g_assert_cmpuint(wb_group_committed(net.groups[0]), >=, sequence);
    net.down[0] = TRUE;
    net_run(&net, &now_ms, 3000);
    int owner = net_owner(&net);
    g_assert_cmpint(owner, >, 0);
    g_assert_true(wb_record_has_slot(wb_group_record(net.groups[owner]), "m", "e"));
    /* The previous owner reconnects and steps down. */
    net.down[0] = FALSE;
    net_run(&net, &now_ms, 1500);
    g_assert_cmpint(wb_group_role(net.groups[0]), !=, WB_GROUP_OWNER);
    g_assert_cmpint(net_owner(&net), ==, owner);
    for (int i = 0; i < MEMBERS; i++)
        wb_group_free(net.groups[i]);
}

/* 30,000 claims with answers of 4 KiB fit into a message because old answers are dropped. */
static void test_record_with_many_claims_fits(void) {
    wb_record_t *record = wb_record_create();
    g_autofree char *answer = g_strnfill(4000, 'x');
    for (int i = 0; i < 30000; i++) {
        g_autofree char *key = g_strdup_printf("north/%d", i);
        wb_wire_claim_request want = {0};
        want.model = "m";
        want.key = key;
        want.stream = "s-0123456789abcdef01234567";
        want.engine = "engine-1";
        want.engine_address = "127.0.0.1:7000";
        want.node = "node-1~1a235b3029e1a32";
        wb_wire_command command;
        wb_claim_fill_command(&want, 1, &command);
        wb_record_apply(record, &command, i * 10);
        command.kind = WB_WIRE_COMMAND_CLAIM_DONE;
        command.wb_wire_command_u.claim_done.status = 200;
        command.wb_wire_command_u.claim_done.answer = answer;
        wb_record_apply(record, &command, i * 10);
    }
    wb_record_expire_claims(record, 300000, 600000);
    g_assert_cmpuint(g_hash_table_size(record->claims), ==, 30000);
    g_assert_cmpstr(wb_record_claim(record, "m", "north/0")->answer, ==, "");
    g_assert_true(wb_record_claim(record, "m", "north/0")->done);
    g_assert_cmpstr(wb_record_claim(record, "m", "north/29999")->answer, ==, answer);
    wb_wire_message message = {.kind = WB_WIRE_GROUP_STATE};
    message.wb_wire_message_u.group_state.cell = "s/0";
    wb_record_to_wire(record, &message.wb_wire_message_u.group_state.record, 300000);
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    g_assert_cmpint(wb_message_encode(&message, bytes, NULL), ==, APR_SUCCESS);
    wb_record_wire_clear(&message.wb_wire_message_u.group_state.record);
    wb_record_free(record);
}

static void seed_run(guint32 seed) {
    world_counters_t figures = {0};
    g_assert_cmpstr(simulation_run(NULL, 0, seed, 4000, &figures), ==, NULL);
}

static void test_seed_founder_with_an_old_record(void) {
    seed_run(61);
}

static void test_seed_successor_takes_an_unsure_record_as_sure(void) {
    seed_run(122);
}

static void test_seed_adapter_load_under_way_not_counted(void) {
    seed_run(104);
}

static void test_seed_slot_comes_back_without_room(void) {
    seed_run(362);
}

static void test_seed_row_two_steps_ahead(void) {
    seed_run(11375);
}

static void tests_add(void) {
    g_test_add_func("/group/takeover-keeps-what-counted", test_takeover_keeps_what_counted);
    g_test_add_func("/group/record-with-many-claims-fits", test_record_with_many_claims_fits);
    g_test_add_func("/seeds/founder-with-an-old-record", test_seed_founder_with_an_old_record);
    g_test_add_func("/seeds/successor-takes-an-unsure-record-as-sure",
                    test_seed_successor_takes_an_unsure_record_as_sure);
    g_test_add_func("/seeds/adapter-load-under-way-not-counted",
                    test_seed_adapter_load_under_way_not_counted);
    g_test_add_func("/seeds/slot-comes-back-without-room", test_seed_slot_comes_back_without_room);
    g_test_add_func("/seeds/row-two-steps-ahead", test_seed_row_two_steps_ahead);
}

UNIT_TEST_MAIN(tests_add)
