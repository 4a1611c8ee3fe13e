/* Requests that the tests of edge nodes share: headers with a deadline of 7 s, and with a model and
 * a prompt as well. */
#ifndef WICKBRIDGE_TEST_EDGE_H
#define WICKBRIDGE_TEST_EDGE_H

#include "harness/estate.h"

#define EDGE_DEADLINE "Request-Deadline-Ms: 7000\r\n"
#define EDGE_MODEL(name) "Model: " name "\r\nPrompt-Prefix: ab:50,cd:50\r\n" EDGE_DEADLINE

/** @return the status of the answer to a request */
static inline int asked(const estate_t *estate, int node, const char *path, const char *id,
                        const char *headers) {
    wire_response_t *answer = wire_request(estate->nodes[node].clients_port, path, id, headers);
    int status = answer->status;
    wire_response_free(answer);
    return status;
}

#endif
