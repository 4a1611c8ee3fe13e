/**
 * @file record.h
 * @brief The replicated record of a cell: members, slots, engines and claims; changed by commands
 * only.
 *
 * Pure: no clock, socket or lock; the same commands in the same order result in equal records.
 * Times are monotonic, in milliseconds. The functions report no errors. Not thread-safe.
 */
#ifndef WICKBRIDGE_RECORD_H
#define WICKBRIDGE_RECORD_H

#include "wickbridge/message.h"

/** The only run of an idempotency key, for requests that must not run twice. */
typedef struct wb_claim_t {
    char *model;
    char *key;
    char *stream;
    char *engine;
    char *engine_address;
    char *node;
    uint64_t attempt;
    uint64_t digest;  /**< of the request's body, kind and path */
    gboolean done;    /**< the run has ended */
    unsigned status;  /**< of the response, once done */
    char *answer;     /**< the response's body, once done */
    int64_t taken_ms; /**< when this member applied the claim; in a received record, computed from
                         the claim's age */
} wb_claim_t;

/** Permission to load a model on an engine; a model is loaded only where it has a slot. */
typedef struct wb_slot_t {
    char *model;
    char *engine;
} wb_slot_t;

/** An engine of the cell, as in the latest machine list. */
typedef struct wb_record_engine_t {
    char *engine;
    char *address;
    char *zone;
    unsigned state; /**< wb_machine_state_t; never WB_MACHINE_REMOVED, such engines are removed */
} wb_record_engine_t;

/** wb_record_engine_t.state of an engine to remove; equals WB_MACHINE_REMOVED. */
#define WB_RECORD_ENGINE_REMOVED 2

typedef struct wb_record_t {
    uint64_t generation;
    GPtrArray *members;                 /**< char * */
    GPtrArray *slots;                   /**< wb_slot_t * */
    GHashTable *engines;                /**< id -> wb_record_engine_t * */
    GHashTable *claims;                 /**< "model\nkey" -> wb_claim_t * */
    int64_t claims_incomplete_until_ms; /**< until then, claims from before the loss of a majority
                                may be missing */
    gboolean slots_unverified; /**< slots may be missing after the loss of a majority, until the
                              inventories of all engines were received */
} wb_record_t;

wb_record_t *wb_record_create(void);
void wb_record_free(wb_record_t *record);

/** Apply a command. @param now_ms time stamp of new claims, for their retention */
void wb_record_apply(wb_record_t *record, const wb_wire_command *command, int64_t now_ms);

/** Convert to a wire record, to be freed with wb_record_wire_clear. */
void wb_record_to_wire(const wb_record_t *record, wb_wire_record *wire, int64_t now_ms);
void wb_record_wire_clear(wb_wire_record *wire);
wb_record_t *wb_record_from_wire(const wb_wire_record *wire, int64_t now_ms);

gboolean wb_record_has_member(const wb_record_t *record, const char *node);
gboolean wb_record_has_slot(const wb_record_t *record, const char *model, const char *engine);
guint wb_record_slot_count(const wb_record_t *record, const char *model);
const wb_claim_t *wb_record_claim(const wb_record_t *record, const char *model, const char *key);

/** Decision on a request that claims its idempotency key. */
typedef enum wb_claim_decision_t {
    WB_CLAIM_PROPOSE,   /**< the key is unused, or its last attempt is known not to have run */
    WB_CLAIM_REPEATED,  /**< the same attempt was proposed before */
    WB_CLAIM_TAKEN,     /**< another attempt ran or may still run */
    WB_CLAIM_DONE,      /**< the response of the first run is known */
    WB_CLAIM_MISMATCH,  /**< the key was used for a different request */
    WB_CLAIM_UNVERIFIED /**< the record may have lost the key's claim */
} wb_claim_decision_t;

/** Decide on a claim. @param want must have a stream: it asks to run, not only to look the key up
 */
wb_claim_decision_t wb_claim_decide(const wb_record_t *record, const wb_wire_claim_request *want,
                                    int64_t now_ms);

/** Fill in the command that claims a key for a request. It borrows the strings of `want`. */
void wb_claim_fill_command(const wb_wire_claim_request *want, uint64_t attempt,
                           wb_wire_command *command);

/** Retention of responses in claims; the claims themselves are kept longer. */
#define WB_CLAIM_RESPONSE_RETENTION_MS 60000

/** Remove claims older than `retention_ms`, and responses older than
 * WB_CLAIM_RESPONSE_RETENTION_MS, so that a record with many claims still fits into a message. */
void wb_record_expire_claims(wb_record_t *record, int64_t now_ms, int64_t retention_ms);

#endif
