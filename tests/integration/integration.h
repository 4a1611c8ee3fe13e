/* Helpers shared by the integration tests: concurrent client requests. Functions don't fail; failed
 * requests show in their answers. */
#ifndef WICKBRIDGE_INTEGRATION_H
#define WICKBRIDGE_INTEGRATION_H

#include "../harness/harness.h"

/* Concurrent client requests, whose answers the test checks. */
typedef struct crowd_t {
    GPtrArray *answers; /* of answer_t, in order of completion; owned */
    GMutex lock;
    GPtrArray *threads;
} crowd_t;

typedef struct crowd_call_t {
    int port;
    const char *model;
    int tokens;
    const char *extra;
} crowd_call_t;

crowd_t *crowd_start(const crowd_call_t *calls, int count);
/* Waits until all requests have ended. Must come before crowd_free and the counts below. */
void crowd_join(crowd_t *crowd);
void crowd_free(crowd_t *crowd);
/* Returns the number of complete answers with `tokens` tokens; prints the others. */
int crowd_complete(const crowd_t *crowd, int tokens);
/* Returns the number of 503 refusals with verdict "not-run" and a Retry-After. */
int crowd_refused(const crowd_t *crowd);

#endif
