/* Evidence of which engines this node reaches. */
#include "wickbridge/engine_reach.h"

/* How long evidence counts: a cut that has ended is found out by the next attempt in any case. */
#define EVIDENCE_MS 5000
/* How long other nodes aren't asked about an engine that they failed to reach. */
#define PEERS_FAILED_MS 500
/* Engines that must have been tried for a verdict on the node itself, if there are as many. */
#define SAMPLE_ENGINES 6
#define MIN_ENGINES 2
/* The node is isolated if the engines cut off are more than this many times those that it reaches.
 */
#define CUT_RATIO 2

gboolean wb_engine_reach_is_doubtful(const wb_engine_reach_t *reach, int64_t now_ms) {
    return reach->failed_ms != 0 && reach->failed_ms > reach->connected_ms &&
           now_ms - reach->failed_ms < EVIDENCE_MS;
}

gboolean wb_engine_reach_is_cut(const wb_engine_reach_t *reach, int64_t now_ms) {
    return wb_engine_reach_is_doubtful(reach, now_ms) && reach->by_peer_ms > reach->connected_ms &&
           now_ms - reach->by_peer_ms < EVIDENCE_MS;
}

gboolean wb_engine_reach_may_ask_peers(const wb_engine_reach_t *reach, int64_t now_ms) {
    return reach->peers_failed_ms == 0 || reach->by_peer_ms > reach->peers_failed_ms ||
           now_ms - reach->peers_failed_ms >= PEERS_FAILED_MS;
}

typedef struct wb_reach_entry_t {
    wb_reach_result_t result;
    int64_t since_ms; /* of the first result in a row that is the same */
    int64_t at_ms;
} wb_reach_entry_t;

struct wb_reach_summary_t {
    GHashTable *engines; /* id -> wb_reach_entry_t; those tried recently */
};

wb_reach_summary_t *wb_reach_summary_create(void) {
    wb_reach_summary_t *summary = g_new0(wb_reach_summary_t, 1);
    summary->engines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return summary;
}

void wb_reach_summary_free(wb_reach_summary_t *summary) {
    g_hash_table_unref(summary->engines);
    g_free(summary);
}

void wb_reach_summary_add(wb_reach_summary_t *summary, const char *engine, wb_reach_result_t result,
                          int64_t now_ms) {
    wb_reach_entry_t *entry = g_hash_table_lookup(summary->engines, engine);
    if (entry == NULL) {
        entry = g_new0(wb_reach_entry_t, 1);
        g_hash_table_insert(summary->engines, g_strdup(engine), entry);
    }
    if (entry->since_ms == 0 || entry->result != result)
        entry->since_ms = now_ms;
    entry->result = result;
    entry->at_ms = now_ms;
}

static gboolean entry_is_old(gpointer key, gpointer value, gpointer now_ms) {
    (void)key;
    return *(int64_t *)now_ms - ((wb_reach_entry_t *)value)->at_ms >= EVIDENCE_MS;
}

static void entries_expire(wb_reach_summary_t *summary, int64_t now_ms) {
    g_hash_table_foreach_remove(summary->engines, entry_is_old, &now_ms);
}

/* Counts entries with this result and one not before `from_ms`. */
static unsigned entries_count(const wb_reach_summary_t *summary, wb_reach_result_t result,
                              int64_t from_ms) {
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, summary->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_reach_entry_t *entry = value;
        count += entry->result == result && entry->at_ms >= from_ms;
    }
    return count;
}

/* Returns since when an engine isn't reached by this node; G_MAXINT64: each one is. */
static int64_t trouble_since_ms(const wb_reach_summary_t *summary) {
    int64_t since_ms = G_MAXINT64;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, summary->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_reach_entry_t *entry = value;
        if (entry->result != WB_REACH_CONNECTED)
            since_ms = MIN(since_ms, entry->since_ms);
    }
    return since_ms;
}

unsigned wb_reach_summary_count(wb_reach_summary_t *summary, wb_reach_result_t result,
                                int64_t now_ms) {
    entries_expire(summary, now_ms);
    return entries_count(summary, result, 0);
}

gboolean wb_reach_summary_has(wb_reach_summary_t *summary, const char *engine, int64_t now_ms) {
    entries_expire(summary, now_ms);
    const wb_reach_entry_t *entry = g_hash_table_lookup(summary->engines, engine);
    return entry != NULL && entry->at_ms >= trouble_since_ms(summary);
}

wb_reach_verdict_t wb_reach_summary_verdict(wb_reach_summary_t *summary, unsigned engines,
                                            int64_t now_ms) {
    if (g_hash_table_size(summary->engines) == 0)
        return WB_REACH_NORMAL;
    entries_expire(summary, now_ms);
    /* Earlier successes say nothing about a cut that began later. */
    int64_t from_ms = trouble_since_ms(summary);
    unsigned connected = entries_count(summary, WB_REACH_CONNECTED, from_ms);
    unsigned cut = entries_count(summary, WB_REACH_BY_PEER, from_ms);
    unsigned failed = entries_count(summary, WB_REACH_FAILED, from_ms);
    unsigned needed = MIN(SAMPLE_ENGINES, engines);
    if (cut == 0)
        return connected == 0 && failed >= MAX(needed, MIN_ENGINES) ? WB_REACH_NONE
                                                                    : WB_REACH_NORMAL;
    if (connected + cut + failed < needed)
        return WB_REACH_UNDECIDED;
    return cut >= MIN_ENGINES && cut > CUT_RATIO * connected ? WB_REACH_ISOLATED : WB_REACH_NORMAL;
}
