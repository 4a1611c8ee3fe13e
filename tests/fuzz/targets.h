/* Parsers under the fuzzer. Each takes any bytes and must neither crash nor leak. */
#ifndef WICKBRIDGE_FUZZ_TARGETS_H
#define WICKBRIDGE_FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

void target_message(const uint8_t *data, size_t size);     /* XDR between nodes */
void target_config(const uint8_t *data, size_t size);      /* declarations */
void target_inventory(const uint8_t *data, size_t size);   /* an engine's inventory */
void target_api_key(const uint8_t *data, size_t size);     /* a caller's request and its key */
void target_engine_row(const uint8_t *data, size_t size);  /* an engine's row in the store */
void target_engine_head(const uint8_t *data, size_t size); /* what an engine's answer tells of it */

#endif
