/* Internal interface of the harness: ports and child processes. */
#ifndef WICKBRIDGE_TEST_HARNESS_TYPES_H
#define WICKBRIDGE_TEST_HARNESS_TYPES_H

#include "harness.h"

/* Returns a port on the loopback address that nothing listens on at present. */
int port_find(void);
/* Sets up a process without starting it. Takes ownership of `arguments`, which don't include the
 * program's name. */
void process_prepare(cluster_t *cluster, process_t *process, const char *name, const char *program,
                     GPtrArray *arguments);
void process_start(process_t *process);
/* Kills the process if it runs, and frees what process_prepare allocated. */
void process_clear(process_t *process);

#endif
