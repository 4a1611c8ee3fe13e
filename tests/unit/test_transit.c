/* Guards against a queued message that counts as just sent. */
#include "unit.h"

#include "edge/transit.h"

#define OFFSET_MS 1000000 /* between the clocks of the two machines */

static void test_delay(void) {
    wb_transit_t transit = {0};
    g_assert_cmpint(wb_transit_delay_ms(&transit, 100, OFFSET_MS + 105), ==, 0);
    g_assert_cmpint(wb_transit_delay_ms(&transit, 400, OFFSET_MS + 402), ==, 0);
    g_assert_cmpint(wb_transit_delay_ms(&transit, 700, OFFSET_MS + 3702), ==, 3000);
    /* Sent later, but received with the previous one. */
    g_assert_cmpint(wb_transit_delay_ms(&transit, 3000, OFFSET_MS + 3702), ==, 700);
    g_assert_cmpint(wb_transit_delay_ms(&transit, 4000, OFFSET_MS + 4002), ==, 0);
}

static void test_sender_with_a_later_clock(void) {
    wb_transit_t transit = {0};
    g_assert_cmpint(wb_transit_delay_ms(&transit, OFFSET_MS, 10), ==, 0);
    g_assert_cmpint(wb_transit_delay_ms(&transit, OFFSET_MS + 300, 1310), ==, 1000);
}

/* Guards against a drift of the clocks that counts as delay, which grows for as long as the link
 * lives. */
static void test_drift(void) {
    wb_transit_t transit = {0};
    int64_t received_ms = OFFSET_MS;
    for (int64_t sent_ms = 0; sent_ms < 100000000; sent_ms += 300) {
        received_ms = OFFSET_MS + sent_ms + sent_ms / 2000; /* 500 ppm */
        g_assert_cmpint(wb_transit_delay_ms(&transit, sent_ms, received_ms), <=, 31);
    }
    /* 50 s of drift later, a delay is still seen. */
    g_assert_cmpint(wb_transit_delay_ms(&transit, 100000000, received_ms + 3300), >=, 3000);
}

static void tests_add(void) {
    g_test_add_func("/transit/drift", test_drift);
    g_test_add_func("/transit/delay", test_delay);
    g_test_add_func("/transit/sender-with-a-later-clock", test_sender_with_a_later_clock);
}

UNIT_TEST_MAIN(tests_add)
