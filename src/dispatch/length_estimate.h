/**
 * @file length_estimate.h
 * @brief How many tokens an answer will have: by the caller's hint, else by what answers of its
 * kind had.
 *
 * Hints are right in the middle and often far off, so one counts as much as the average of its
 * kind: the guess is their geometric mean. It never exceeds what the caller allows. Pure.
 */
#ifndef WICKBRIDGE_LENGTH_ESTIMATE_H
#define WICKBRIDGE_LENGTH_ESTIMATE_H

#include <glib.h>

typedef struct wb_length_estimate_t wb_length_estimate_t;

wb_length_estimate_t *wb_length_estimate_create(void);
void wb_length_estimate_free(wb_length_estimate_t *guess);
/** An answer of a kind of request was whole. */
void wb_length_estimate_learn(wb_length_estimate_t *guess, const char *kind, double tokens);
/**
 * @param hint the caller's, 0: none
 * @param most the caller's limit, 0: none
 * @return expected tokens, 1 at least
 */
double wb_length_estimate_tokens(const wb_length_estimate_t *guess, const char *kind, double hint,
                              double most);

#endif
