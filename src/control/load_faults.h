/**
 * @file load_faults.h
 * @brief Exponential backoff for models whose loads crash engines.
 *
 * Damaged weights, or weights that the engine's software can't handle, crash each engine that loads
 * them, with all requests that run on it; while requests wait for the model, the controller would
 * order it on one engine after the other. Once WB_LOAD_FAULTS_MAX_CRASHES engines in a row have
 * crashed, the model isn't loaded until a backoff has passed; another crash after that doubles the
 * backoff, a successful load resets it.
 *
 * Pure: the time is passed in, in ms of the monotonic clock. Nothing here fails. The state belongs
 * to the lease holder; a new holder starts without it, as an engine may have ended for another
 * reason.
 */
#ifndef WICKBRIDGE_LOAD_FAULTS_H
#define WICKBRIDGE_LOAD_FAULTS_H

#include <glib.h>
#include <stdint.h>

/** Crashes in a row before a model's loads back off; the same number as for poison requests. */
#define WB_LOAD_FAULTS_MAX_CRASHES 3
/** First backoff, which doubles up to the limit. A sound model is unavailable for this time if
 * three engines that loaded it ended for other reasons; a damaged one costs an engine after each
 * backoff.
 */
#define WB_LOAD_FAULTS_BACKOFF_MIN_MS (60 * 1000)
#define WB_LOAD_FAULTS_BACKOFF_MAX_MS (16 * 60 * 1000)

typedef struct wb_load_faults_t wb_load_faults_t;

wb_load_faults_t *wb_load_faults_create(void);
void wb_load_faults_free(wb_load_faults_t *faults);
/** An engine ended while it loaded a model. @return crashes in a row so far */
guint wb_load_faults_record_crash(wb_load_faults_t *faults, const char *service, const char *model,
                                  int64_t now_ms);
/** A load of the model succeeded. */
void wb_load_faults_record_success(wb_load_faults_t *faults, const char *service,
                                   const char *model);
/** @return TRUE when any model has crashed engines since its last successful load */
gboolean wb_load_faults_any(const wb_load_faults_t *faults);
/** @return ms for which the model must not be loaded; 0: it may be */
int64_t wb_load_faults_backoff_ms(const wb_load_faults_t *faults, const char *service,
                                  const char *model, int64_t now_ms);

#endif
