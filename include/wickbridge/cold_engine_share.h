/**
 * @file cold_engine_share.h
 * @brief How many requests a second this node may send to an engine that is cold.
 *
 * The load that it answers: an engine has just started, or a whole zone of them comes back, with
 * models that stand nowhere else, and bears some requests a second at first (6.5, say) where all
 * gateways together would send it more: who waited for the model comes in one moment. It falls over
 * then. All gateways share what it bears, in touch or not, new or paused, so the share of each must
 * hold without a word between them.
 *
 * Each engine's requests a second are dealt out among the nodes by rendezvous hashing: every node
 * finds the same order of nodes for an engine, and as many as it bears requests have one each (or
 * several, where there are fewer nodes than that). The others wait until it is warm, which takes
 * seconds, or use another engine. Shares by chance would let more callers through on average, but
 * 87 nodes with a request each at one moment would break the bound of 14 one time in some. Nodes
 * that are gone keep their share until their rows go: then less is sent than may be.
 *
 * Pure: the time is passed in.
 */
#ifndef WICKBRIDGE_COLD_ENGINE_SHARE_H
#define WICKBRIDGE_COLD_ENGINE_SHARE_H

#include "wickbridge/send_limiter.h"

/** In which requests are counted: a second as the engine counts it, and a tenth for what takes
 * longer on its way than what comes after it. */
#define WB_COLD_WINDOW_MS 1100

/**
 * @param per_s requests a second that the engine bears from all nodes together
 * @param nodes all nodes that share it, with this one; 0: this one has no part now
 * @param rank  nodes that come before this one, by wb_rendezvous_rank
 * @return requests a second for this node
 */
unsigned wb_cold_engine_share(double per_s, unsigned nodes, unsigned rank);

#endif
