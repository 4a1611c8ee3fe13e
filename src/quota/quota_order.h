/**
 * @file quota_order.h
 * @brief Which of a tenant's requests go first while it is short of its limit.
 *
 * Its requests are of kinds: those of one service and one rank. What its callers need most is what
 * is cheap: at 7.5 times its usual, a tenant of the users' sheet can be given all its payouts,
 * look-ups and chats for a sixth of what it asks for in tokens, and a sixth of its drafts and
 * audits besides; by chance each kind got a quarter. So cheap kinds go before dear ones, kinds of a
 * like cost share alike, no kind goes before a more urgent one of its service, and each keeps a
 * part of what chance would give it, so that none starves.
 *
 * Kinds are judged by their mean cost, never single requests: a long prompt is as good as a short
 * one of its kind.
 *
 * Pure: the same claims give the same shares at any node.
 */
#ifndef WICKBRIDGE_QUOTA_ORDER_H
#define WICKBRIDGE_QUOTA_ORDER_H

#include <glib.h>
#include <stdint.h>

/** A kind of request: a service and a rank in it, in one figure. */
typedef uint32_t wb_quota_class_t;

/** All kinds that aren't named. */
#define WB_QUOTA_OTHER_CLASSES 0

/** What is asked of a kind. */
typedef struct wb_quota_claim_t {
    wb_quota_class_t kind;
    double asked_per_s; /**< units */
    double cost;        /**< of a request, on average */
    double share;       /**< out: of what is asked that may be admitted, 0 to 1 */
} wb_quota_claim_t;

/** @param rank 0 is the most urgent; beyond 254 they count as one */
wb_quota_class_t wb_quota_class(const char *service, int rank);

/** Share what a limit bears among kinds. The shares of what is asked add up to it, or are all 1. */
void wb_quota_order_allocate(wb_quota_claim_t *claims, size_t count, double bearable_per_s);

#endif
