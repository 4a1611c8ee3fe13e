/**
 * @file virtual_loop.h
 * @brief Replacement for the server's loop: timers and clock on virtual time, in milliseconds.
 *
 * A program links this instead of the real loop, and server code runs unchanged as fast as the
 * machine can. Only timers and the clock are implemented, no sockets. State is global and not
 * thread safe. Functions don't fail.
 */
#ifndef WICKBRIDGE_TEST_VIRTUAL_LOOP_H
#define WICKBRIDGE_TEST_VIRTUAL_LOOP_H

#include "wickbridge/list.h"
#include "wickbridge/loop.h"

/** Run the timers due up to `until_ms` and advance the virtual clock to it. */
void virtual_loop_run(int64_t until_ms);
/** Free all timers without running them. */
void virtual_loop_clear(void);

#endif
