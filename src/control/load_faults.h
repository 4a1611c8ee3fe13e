/**
 * @file load_faults.h
 * @brief Models whose loads crash the engines that are ordered to load them.
 *
 * Damaged weights, or weights that an engine's software doesn't bear, end each engine that loads
 * them, with all that it runs; whoever waits for the model would have it ordered at the next one.
 * After WB_LOAD_FAULTS_MAX_CRASHES engines in a row a model isn't ordered for a while; the first load
 * after that decides. A load that ends well forgets all.
 *
 * Pure: the time is passed in. The holder of the lease keeps it; a new holder begins anew, as an
 * engine may have ended for another reason.
 */
#ifndef WICKBRIDGE_LOAD_FAULTS_H
#define WICKBRIDGE_LOAD_FAULTS_H

#include <glib.h>
#include <stdint.h>

/** Engines that must have ended in a row, as for requests (poison_registry.h). */
#define WB_LOAD_FAULTS_MAX_CRASHES 3
/** A minute, then twice that and so on. It is what callers of a sound model lose when three engines
 * that loaded it ended for other reasons; a damaged one costs an engine after each pause. */
#define WB_LOAD_FAULTS_BACKOFF_MIN_MS (60 * 1000)
#define WB_LOAD_FAULTS_BACKOFF_MAX_MS (16 * 60 * 1000)

typedef struct wb_load_faults_t wb_load_faults_t;

wb_load_faults_t *wb_load_faults_create(void);
void wb_load_faults_free(wb_load_faults_t *faults);
/** An engine ended while it loaded a model. @return engines in a row so far */
guint wb_load_faults_record_crash(wb_load_faults_t *faults, const char *service, const char *model,
                             int64_t now_ms);
/** A load of the model ended well. */
void wb_load_faults_record_success(wb_load_faults_t *faults, const char *service, const char *model);
/** @return TRUE when engines have ended under loads lately: else nothing is paused */
gboolean wb_load_faults_any(const wb_load_faults_t *faults);
/** @return ms for which the model isn't to be loaded; 0: it may be */
int64_t wb_load_faults_backoff_ms(const wb_load_faults_t *faults, const char *service,
                                 const char *model, int64_t now_ms);

#endif
