/* Fuzz targets: parsers that must neither crash nor leak on any input. A target aborts if a result
 * is inconsistent. Sizes are in bytes. */
#ifndef WICKBRIDGE_FUZZ_TARGETS_H
#define WICKBRIDGE_FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

void target_message(const uint8_t *data, size_t size);   /* XDR messages between nodes */
void target_config(const uint8_t *data, size_t size);    /* configuration objects in JSON */
void target_inventory(const uint8_t *data, size_t size); /* an engine's inventory in JSON */
void target_api_key(const uint8_t *data, size_t size); /* a client's HTTP request and its API key */
void target_engine_row(const uint8_t *data,
                       size_t size); /* an engine's row in the store, in JSON */
void target_engine_head(const uint8_t *data,
                        size_t size); /* engine-reported state in response headers */
void target_engine_report(const uint8_t *data, size_t size); /* an engine's report, in JSON */
void target_catalog_row(const uint8_t *data, size_t size);   /* operators' configuration, in JSON */
void target_store_answer(const uint8_t *data, size_t size);  /* an answer of the store, in JSON */
void target_node_row(const uint8_t *data, size_t size);      /* a node's row, in text */
void target_lease_row(const uint8_t *data, size_t size);     /* the lease's row, in XDR */
void target_stream_row(const uint8_t *data, size_t size);   /* a row of starts of streams, in XDR */
void target_peer_message(const uint8_t *data, size_t size); /* what XDR messages make nodes do */

#endif
