/**
 * @file record.h
 * @brief The replicated record of a cell: members, slots, claims; changed by commands only.
 *
 * Pure: no clock, socket or lock inside; the same commands in the same order give equal records.
 */
#ifndef WICKBRIDGE_RECORD_H
#define WICKBRIDGE_RECORD_H

#include "wickbridge/message.h"

/** A key's one run, for requests that may not be repeated. */
typedef struct wb_claim_t {
    char *model;
    char *key;
    char *stream;
    char *engine;
    char *engine_address;
    char *node;
    uint64_t attempt;
    uint64_t digest;
    gboolean done;
    unsigned status;
    char *answer;
    int64_t taken_ms; /**< local clock when it came here; 0 for a claim without a time */
} wb_claim_t;

/** A slot: the model may be loaded on the engine, and nowhere without one. */
typedef struct wb_slot_t {
    char *model;
    char *engine;
} wb_slot_t;

/** An engine of the cell, as the machine list last showed it. */
typedef struct wb_record_engine_t {
    char *engine;
    char *address;
    char *zone;
    unsigned state; /**< wb_machine_state_t, never gone: such engines are forgotten */
} wb_record_engine_t;

/** wb_record_engine_t.state of an engine to forget; equals WB_MACHINE_REMOVED. */
#define WB_RECORD_ENGINE_REMOVED 2

typedef struct wb_record_t {
    uint64_t generation;
    GPtrArray *members;      /**< char * */
    GPtrArray *slots;        /**< wb_slot_t * */
    GHashTable *engines;     /**< id -> wb_record_engine_t * */
    GHashTable *claims;      /**< "model\nkey" -> wb_claim_t * */
    int64_t claims_incomplete_until_ms; /**< until then claims from before a lost majority may be missing */
    gboolean slots_unverified;   /**< after a lost majority, until all engines were seen */
} wb_record_t;

wb_record_t *wb_record_create(void);
void wb_record_free(wb_record_t *record);

/** Apply a command. @param now_ms stamps new claims for their retention */
void wb_record_apply(wb_record_t *record, const wb_wire_command *command, int64_t now_ms);

/** Fill a wire record; free it with wb_record_wire_clear. */
void wb_record_to_wire(const wb_record_t *record, wb_wire_record *wire, int64_t now_ms);
void wb_record_wire_clear(wb_wire_record *wire);
wb_record_t *wb_record_from_wire(const wb_wire_record *wire, int64_t now_ms);

gboolean wb_record_has_member(const wb_record_t *record, const char *node);
gboolean wb_record_has_slot(const wb_record_t *record, const char *model, const char *engine);
guint wb_record_slot_count(const wb_record_t *record, const char *model);
const wb_claim_t *wb_record_claim(const wb_record_t *record, const char *model, const char *key);

/** What is to be done about a request that asks for its key's one run. */
typedef enum wb_claim_decision_t {
    WB_CLAIM_PROPOSE,     /**< the key is free, or its last attempt is known not to have run */
    WB_CLAIM_REPEATED, /**< this very attempt has been proposed before */
    WB_CLAIM_TAKEN,       /**< another attempt ran or may still run */
    WB_CLAIM_DONE,        /**< the first run's answer is known */
    WB_CLAIM_MISMATCH,    /**< the key belongs to another request */
    WB_CLAIM_UNVERIFIED       /**< the record may have lost the key's claim */
} wb_claim_decision_t;

/** Decide on a claim. @param want with a stream, that is, with something to run */
wb_claim_decision_t wb_claim_decide(const wb_record_t *record, const wb_wire_claim_request *want,
                                    int64_t now_ms);

/** Fill the command that claims a key for a request. It borrows the texts of `want`. */
void wb_claim_fill_command(const wb_wire_claim_request *want, uint64_t attempt, wb_wire_command *command);

/** Answers are kept so long with their claims; the claims themselves stay longer. */
#define WB_CLAIM_RESPONSE_RETENTION_MS 60000

/** Forget claims older than `retention_ms`, and answers older than WB_CLAIM_RESPONSE_RETENTION_MS, so that
 * a record with many claims still fits into a message. */
void wb_record_expire_claims(wb_record_t *record, int64_t now_ms, int64_t retention_ms);

#endif
