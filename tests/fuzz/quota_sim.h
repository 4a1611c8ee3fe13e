/**
 * @file quota_sim.h
 * @brief Many gateways before tenants with limits, on a virtual clock: how exactly a way of sharing
 * the limits keeps them, against one bucket that sees each request.
 */
#ifndef WICKBRIDGE_TEST_QUOTA_SIM_H
#define WICKBRIDGE_TEST_QUOTA_SIM_H

#include "wickbridge/tenant.h"

typedef struct quota_way_t quota_way_t;

/** A way of sharing limits: the first member of each. */
struct quota_way_t {
    const char *name;
    gboolean (*ask)(quota_way_t *way, int node, const wb_tenant_t *tenant, double cost,
                    int64_t now_ms);
    void (*tick)(quota_way_t *way, int64_t now_ms); /**< each 10 ms */
    void (*set_limits)(quota_way_t *way, const wb_tenants_t *tenants, int64_t now_ms);
    /** A node can, or can't, reach the one that decides. */
    void (*set_reached)(quota_way_t *way, int node, gboolean reached, int64_t now_ms);
    /** The one that decides is gone; another that knows nothing takes its place. */
    void (*take_over)(quota_way_t *way, int64_t now_ms);
    /** The one that decides is cut off with a third of the nodes, for which it goes on to decide;
     * another begins for the others. Or that is over: the other one decides for all. */
    void (*split)(quota_way_t *way, gboolean begins, int64_t now_ms);
    void (*restart)(quota_way_t *way, int node, int64_t now_ms); /**< a node forgets all */
    void (*destroy)(quota_way_t *way);
};

quota_way_t *quota_way_equal(int nodes, const wb_tenants_t *tenants);
quota_way_t *quota_way_lots(int nodes, const wb_tenants_t *tenants);
/** The product's own: quota_ledger.h and quota_limiter.h. */
quota_way_t *quota_way_shares(int nodes, const wb_tenants_t *tenants);

typedef enum quota_trouble_t {
    QUOTA_CALM,
    QUOTA_HOT,           /**< one tenant asks 7.5 times its usual */
    QUOTA_HOT_SMALL,     /**< the smallest one does */
    QUOTA_HOT_CUT,       /**< and a sixth of the nodes is cut off a second before */
    QUOTA_HOT_CUT_AFTER, /**< and a sixth of the nodes is cut off while it does */
    QUOTA_HOT_CUT_MANY,  /**< and a third of the nodes is cut off a second before */
    QUOTA_HOT_SPLIT,     /**< and a second one decides for two thirds of the nodes */
    QUOTA_HOT_TAKE_OVER, /**< and the one that decides is gone for 3 s while it does */
    QUOTA_HOT_ALONE,     /**< and no node reaches the one that decides from a second before on */
    QUOTA_HOT_RESTART,   /**< and all nodes are killed and come back after 1 s */
    QUOTA_LOWERED,       /**< the largest tenant's limit falls to a fifth */
    QUOTA_CUT,           /**< a sixth of the nodes is cut off; all ask as usual */
    QUOTA_SPLIT,         /**< a second one decides for two thirds of the nodes; all as usual */
    QUOTA_TAKE_OVER,     /**< the one that decides is gone for 3 s; all ask as usual */
    QUOTA_TROUBLES
} quota_trouble_t;

typedef struct quota_result_t {
    double most;         /**< most admitted in a window, over what the limit allows; all tenants */
    double most_of_rule; /**< the same over what the users' rule allows */
    double refused;      /**< of what one bucket would admit, the share that was not; all tenants */
    double hot_served;   /**< of what one bucket would admit of the hot tenant, what was */
} quota_result_t;

const char *quota_trouble_name(quota_trouble_t trouble);
/** Play 40 s. @param create one of the ways */
quota_result_t quota_sim_play(quota_way_t *(*create)(int nodes, const wb_tenants_t *tenants),
                              int nodes, quota_trouble_t trouble, unsigned seed);

#endif
