/* What the integration tests share. */
#ifndef WICKBRIDGE_INTEGRATION_H
#define WICKBRIDGE_INTEGRATION_H

#include "../harness/harness.h"

/* Many callers at once; each result is checked by the test. */
typedef struct crowd_t {
    GPtrArray *answers; /* answer_t */
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
/* Waits for all answers. */
void crowd_join(crowd_t *crowd);
void crowd_free(crowd_t *crowd);
/* Answers that are whole with so many tokens. */
int crowd_whole(const crowd_t *crowd, int tokens);
/* Answers that are refusals which say "not run" and when to come back. */
int crowd_refused(const crowd_t *crowd);

#endif
