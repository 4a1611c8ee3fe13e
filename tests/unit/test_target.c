/* How long requests for a model wait for a node that can decide on it. */
#include "unit.h"

#include "gateway/gateway_types.h"

#define WAIT_MS 6000

/* A loss in which the last request was given up does not count against the next one. */
static void test_earlier_loss_is_over(void) {
    wb_gateway_t gateway = {0};
    gw_shard_t *shard = &gateway.shards[0];
    gw_request_t request = {.owner = (char *)"north", .share = 1};
    shard->targets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, target_free);
    gw_target_t *target = target_get(shard, "m1", "", "cell", 0);
    target_enqueue(target, &request, FALSE);
    g_assert_false(target_update_owner_loss(target, TRUE, 1000, WAIT_MS));
    g_assert_false(target_update_owner_loss(target, TRUE, 6999, WAIT_MS));
    g_assert_true(target_update_owner_loss(target, TRUE, 7000, WAIT_MS));
    wb_fair_queue_pop(target->queue);
    g_assert_false(target_update_owner_loss(target, FALSE, 7100, WAIT_MS));
    /* Much later, the first request after the partition: it waits its own time. */
    target_enqueue(target, &request, FALSE);
    g_assert_false(target_update_owner_loss(target, TRUE, 60000, WAIT_MS));
    g_assert_true(target_update_owner_loss(target, TRUE, 66000, WAIT_MS));
    wb_fair_queue_pop(target->queue);
    g_hash_table_unref(shard->targets);
}

static void tests_add(void) {
    g_test_add_func("/target/earlier-loss-is-over", test_earlier_loss_is_over);
}

UNIT_TEST_MAIN(tests_add)
