/* Guards against bytes of an engine's answer that get into another one, or an answer that ends as
 * complete too early: every head of a response, by what the client has got so far. */
#include "unit.h"

#include "request/answer_use.h"

#define OF_STREAM 200 /* status of the answer whose events the client has begun to get */

static const unsigned statuses[] = {200, 201, 204, 205, 206, 300, 302, 304, 400, 404,
                                    408, 421, 422, 429, 500, 501, 502, 503, 504, 599};

/* Calls a function for each combination of facts. */
static void facts_each(void (*check)(const wb_answer_facts_t *facts, wb_answer_use_t use)) {
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        for (unsigned bits = 0; bits < 64; bits++) {
            wb_answer_facts_t facts = {.status = statuses[i],
                                       .rejected = (bits & 1) != 0,
                                       .sealed = (bits & 2) != 0,
                                       .has_events = (bits & 4) != 0,
                                       .on_stream = (bits & 8) != 0,
                                       .client_status = (bits & 16) != 0 ? OF_STREAM : 0,
                                       .may_resend = (bits & 32) != 0};
            wb_answer_decision_t decision = wb_answer_decide(&facts);
            g_assert_true((decision.reason != NULL) ==
                          (decision.use == WB_ANSWER_REFUSE || decision.use == WB_ANSWER_DROP));
            check(&facts, decision.use);
        }
    }
}

static void check_begun(const wb_answer_facts_t *facts, wb_answer_use_t use) {
    if (facts->client_status == 0)
        return;
    gboolean may_follow = !facts->rejected && facts->sealed && facts->has_events &&
                          facts->on_stream && facts->status == OF_STREAM;
    g_assert_cmpint(use == WB_ANSWER_STREAM, ==, may_follow);
    g_assert_cmpint(use, !=, WB_ANSWER_FORWARD);
}

/* Behind events that the client has, only a stream of the same status goes on. */
static void test_behind_events(void) {
    facts_each(check_begun);
}

static void check_seal(const wb_answer_facts_t *facts, wb_answer_use_t use) {
    if (facts->rejected || facts->sealed)
        return;
    g_assert_cmpint(use, ==, WB_ANSWER_REFUSE);
}

static void test_unsealed(void) {
    facts_each(check_seal);
}

static void check_promise(const wb_answer_facts_t *facts, wb_answer_use_t use) {
    unsigned status = facts->status;
    if (facts->rejected)
        g_assert_cmpint(use, ==, WB_ANSWER_DROP);
    else if (status == 408 || status == 421 || status == 429 || status == 503)
        g_assert_cmpint(use, ==, WB_ANSWER_REFUSE);
}

static void test_promises(void) {
    facts_each(check_promise);
}

static void check_first(const wb_answer_facts_t *facts, wb_answer_use_t use) {
    if (facts->client_status != 0 || facts->rejected || use == WB_ANSWER_REFUSE)
        return;
    gboolean elsewhere = facts->status >= 500 && facts->may_resend;
    gboolean streams = facts->status / 100 == 2 && facts->on_stream;
    g_assert_cmpint(use, ==,
                    elsewhere ? WB_ANSWER_DROP
                    : streams ? WB_ANSWER_STREAM
                              : WB_ANSWER_FORWARD);
}

/* Before the client has got anything, a failure is passed on only if no other engine is asked. */
static void test_first_answer(void) {
    facts_each(check_first);
}

static void tests_add(void) {
    g_test_add_func("/answer-use/behind-events", test_behind_events);
    g_test_add_func("/answer-use/unsealed", test_unsealed);
    g_test_add_func("/answer-use/promises", test_promises);
    g_test_add_func("/answer-use/first-answer", test_first_answer);
}

UNIT_TEST_MAIN(tests_add)
