/* Compares strategies to share tenants' limits among gateways: prints one table per number of
 * nodes. */
#include "fuzz/quota_sim.h"

#include <stdio.h>

#define SEEDS 8

typedef quota_strategy_t *(*create_fn)(int nodes, const wb_tenants_t *tenants);

static void row_print(create_fn create, const char *name, int nodes, quota_fault_t fault) {
    quota_result_t worst = {0};
    double refused = 0;
    double served = 0;
    worst.hot_served = 1e9;
    for (unsigned seed = 1; seed <= SEEDS; seed++) {
        quota_result_t result = quota_sim_run(create, nodes, fault, seed);
        worst.max_of_limit = MAX(worst.max_of_limit, result.max_of_limit);
        worst.max_of_rule = MAX(worst.max_of_rule, result.max_of_rule);
        refused += result.refused / SEEDS;
        served += result.hot_served / SEEDS;
    }
    printf("%-24s %-8s %10.3f %10.3f %10.4f %10.3f\n", quota_fault_name(fault), name,
           worst.max_of_limit, worst.max_of_rule, refused, served);
}

int main(void) {
    static const struct {
        const char *name;
        create_fn create;
    } ways[] = {{"equal", quota_strategy_equal},
                {"lots", quota_strategy_lots},
                {"shares", quota_strategy_shares}};
    static const int sizes[] = {84, 350};
    for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
        printf("%d nodes, %d seeds\n%-24s %-8s %10s %10s %10s %10s\n", sizes[s], SEEDS, "trouble",
               "way", "of limit", "of rule", "refused", "hot served");
        for (int fault = 0; fault < QUOTA_FAULTS; fault++) {
            for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
                row_print(ways[i].create, ways[i].name, sizes[s], (quota_fault_t)fault);
            }
        }
    }
    return 0;
}
