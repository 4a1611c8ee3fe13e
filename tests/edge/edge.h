/* Request headers that the tests of edge nodes share: a deadline of 7 s, and a model with a prompt.
 */
#ifndef WICKBRIDGE_TEST_EDGE_H
#define WICKBRIDGE_TEST_EDGE_H

#include "harness/estate.h"

#define EDGE_DEADLINE "Request-Deadline-Ms: 7000\r\n"
#define EDGE_MODEL(name) "Model: " name "\r\nPrompt-Prefix: ab:50,cd:50\r\n" EDGE_DEADLINE

#endif
