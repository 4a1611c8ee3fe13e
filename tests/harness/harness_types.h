/* Shared by the harness's own files. */
#ifndef WICKBRIDGE_TEST_HARNESS_TYPES_H
#define WICKBRIDGE_TEST_HARNESS_TYPES_H

#include "harness.h"

int port_find(void);
/* Takes the arguments (without the program's name) over. */
void process_prepare(cluster_t *cluster, process_t *process, const char *name, const char *program,
                     GPtrArray *arguments);
void process_start(process_t *process);
void process_clear(process_t *process);

#endif
