/* This node's request rate for a warming engine. */
#include "wickbridge/cold_engine_share.h"

/* Nodes learn of added and removed nodes some seconds late; until then two of them may use the same
 * share. The unused rest covers for that. */
#define USED_SHARE 0.75

unsigned wb_cold_engine_share(double per_s, unsigned nodes, unsigned rank) {
    return wb_rendezvous_share((unsigned)MAX(USED_SHARE * per_s, 1), nodes, rank);
}
