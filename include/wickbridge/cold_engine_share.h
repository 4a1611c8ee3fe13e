/**
 * @file cold_engine_share.h
 * @brief This node's share of the requests that a cold engine sustains.
 *
 * An engine that has just started (cold engine) sustains only a few requests per second and crashes
 * under more. Requests that waited for a model would otherwise reach it from all gateways at once.
 * The limit must hold even if gateways can't reach each other, so each computes its share locally.
 *
 * The engine's requests per second are divided among the nodes in whole requests, by rendezvous
 * hashing: all nodes compute the same order of nodes for an engine, and as many nodes as it
 * sustains requests get one each, or several if there are fewer nodes. The others wait until the
 * engine is warm, which takes seconds, or use another engine. Random shares would exceed the limit
 * now and then. A node that has stopped keeps its share until its row is removed from the store;
 * until then less is sent than the engine sustains.
 *
 * Pure. The functions can't fail.
 */
#ifndef WICKBRIDGE_COLD_ENGINE_SHARE_H
#define WICKBRIDGE_COLD_ENGINE_SHARE_H

#include "wickbridge/send_limiter.h"

/** Window in which requests are counted: the engine's second, and 0.1 s for differences in network
 * delay. */
#define WB_COLD_WINDOW_MS 1100

/**
 * @param per_s requests per second that the engine sustains from all nodes together
 * @param nodes number of nodes that share it, this one included; 0: this node has no share now
 * @param rank  number of nodes that precede this one, by wb_rendezvous_rank
 * @return requests in any WB_COLD_WINDOW_MS for this node
 */
unsigned wb_cold_engine_share(double per_s, unsigned nodes, unsigned rank);

#endif
