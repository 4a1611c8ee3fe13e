/**
 * @file virtual_loop.h
 * @brief The product's timers and clock, played as fast as the machine can.
 *
 * A program links this in place of the product's loop; its code then runs unchanged on a virtual
 * clock. Sockets can't be watched.
 */
#ifndef WICKBRIDGE_TEST_VIRTUAL_LOOP_H
#define WICKBRIDGE_TEST_VIRTUAL_LOOP_H

#include "wickbridge/list.h"
#include "wickbridge/loop.h"

/** Run what is due up to a time of the virtual clock. */
void virtual_loop_run(int64_t until_ms);
/** Forget all timers. */
void virtual_loop_clear(void);

#endif
