/**
 * @file engine_subset.h
 * @brief Which engines of a model a gateway is told of when no gateway can know all engines.
 *
 * The load that it answers: thousands of engines before hundreds of gateways, each of which sees a
 * request in some seconds. A model has tens or hundreds of replicas; a gateway needs enough of them
 * to choose well, and gateways of a zone the same ones, as a prompt that one of them has sent is
 * read there already. So the engines are taken in the order of rendezvous hashing by model, those
 * of the gateway's own zone first: two gateways of one zone get the same list as long as they ask
 * for the same number, whoever answers them, and another engine more or less changes one place in
 * it.
 *
 * Pure. It costs a look at each engine of the service and a sort of those that hold the model.
 */
#ifndef WICKBRIDGE_ENGINE_SUBSET_H
#define WICKBRIDGE_ENGINE_SUBSET_H

#include "wickbridge/fleet.h"

/** As many as the users' machines choose among in under 100 us, and four times as many as a model's
 * engines in a zone on average where 9,640 engines with two places hold 299 models in 6 zones. */
#define WB_ENGINE_SUBSET_MAX 64

/**
 * @param engines of the service, as wb_fleet_service tells; NULL: none
 * @param model   "" for any engine of the service
 * @param zone    of the gateway that asks
 * @return at most WB_ENGINE_SUBSET_MAX wb_engine_t that hold the model and get work; to be
 * unreffed
 */
GPtrArray *wb_engine_subset(const GPtrArray *engines, const char *model, const char *zone,
                            int64_t now_ms);

#endif
