/**
 * @file engine_subset.h
 * @brief Selects the engines of a model that a relay sends to a gateway, in fleets too large for
 * each gateway to know all engines.
 *
 * Engines are ordered by zone, that of the gateway first, and then by a rendezvous hash seeded with
 * the model. So all gateways of a zone get the same list from any relay, and profit from the prompt
 * prefixes that the others have sent there; and an engine that joins or leaves changes only one
 * entry of the list.
 *
 * Pure: depends on its arguments only, and doesn't fail. The cost is one check of each engine of
 * the service and a sort of those that hold the model.
 */
#ifndef WICKBRIDGE_ENGINE_SUBSET_H
#define WICKBRIDGE_ENGINE_SUBSET_H

#include "wickbridge/fleet.h"

/** Length of the list, as long as software versions don't matter: enough to choose well among, and
 * cheap to choose from (100 us). Four times as many as a model's engines in a zone where 9,640
 * engines hold 299 models in 6 zones. */
#define WB_ENGINE_SUBSET_MAX 64
/** Beyond that, engines are added of software versions that have fewer than this in the list. */
#define WB_ENGINE_SUBSET_VERSION_MIN 8
/** Maximum length with those. */
#define WB_ENGINE_SUBSET_LIMIT (2 * WB_ENGINE_SUBSET_MAX)

/**
 * @param engines the service's engines, from wb_fleet_service; NULL: none
 * @param model   "" for any engine of the service
 * @param zone    of the requesting gateway
 * @param now_ms  monotonic time
 * @return at most WB_ENGINE_SUBSET_LIMIT borrowed wb_engine_t that hold the model and are usable;
 * the array is to be freed with g_ptr_array_unref
 */
GPtrArray *wb_engine_subset(const GPtrArray *engines, const char *model, const char *zone,
                            int64_t now_ms);

#endif
