/* How many requests a second this node may send to an engine that is cold. */
#include "wickbridge/cold_engine_share.h"

/* Nodes that come and go are known to others some seconds later: until then two of them may take
 * one share. Of 87 nodes some three come at a time. */
#define USED_SHARE 0.75

unsigned wb_cold_engine_share(double per_s, unsigned nodes, unsigned rank) {
    return wb_rendezvous_share((unsigned)MAX(USED_SHARE * per_s, 1), nodes, rank);
}
