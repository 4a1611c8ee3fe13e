/* Generates responses. Any part of a response can be generated again from its seed and prompt. */
#include "engine.h"

#include <string.h>
#include <xxhash.h>

typedef struct answer_word_input_t {
    uint64_t seed;
    uint64_t prompt_hash;
    uint64_t index;
} answer_word_input_t;

/* The first word is the seed, so that a reader can verify all others. */
static void word_append(GString *out, const answer_t *answer, int index) {
    if (index == 0) {
        g_string_append_printf(out, "seed-%016" G_GINT64_MODIFIER "x ", (guint64)answer->seed);
        return;
    }
    answer_word_input_t input = {answer->seed, answer->prompt_hash, (uint64_t)index};
    guint64 hash = XXH64(&input, sizeof(input), 0);
    g_string_append_printf(out, "w%d-%08x ", index, (unsigned)hash);
}

static void chunk_append(GString *out, const answer_t *answer, int index, gboolean last) {
    gboolean chat = answer->kind == ANSWER_CHAT;
    g_string_append_printf(out,
                           "data: {\"id\":\"%s\",\"object\":\"%s\",\"created\":%" G_GINT64_FORMAT
                           ",\"model\":\"%s\",\"choices\":[{\"index\":0,",
                           answer->id, chat ? "chat.completion.chunk" : "text_completion",
                           answer->created_s, answer->model);
    if (chat && last)
        g_string_append(out, "\"delta\":{}");
    else if (chat) {
        g_string_append(out, index == 0 ? "\"delta\":{\"role\":\"assistant\",\"content\":\""
                                        : "\"delta\":{\"content\":\"");
        word_append(out, answer, index);
        g_string_append(out, "\"}");
    } else {
        g_string_append(out, "\"text\":\"");
        if (!last)
            word_append(out, answer, index);
        g_string_append(out, "\"");
    }
    g_string_append_printf(out, ",\"finish_reason\":%s}]}\n\n", last ? "\"stop\"" : "null");
}

int answer_events(const answer_t *answer) {
    return answer->kind == ANSWER_CALL ? 1 : answer->tokens + 2;
}

void answer_append_event(GString *out, const answer_t *answer, int index) {
    if (answer->kind == ANSWER_CALL)
        g_string_append_printf(out, "data: %s\n\n", answer->call_result);
    else if (index < answer->tokens)
        chunk_append(out, answer, index, FALSE);
    else if (index == answer->tokens)
        chunk_append(out, answer, index, TRUE);
    else
        g_string_append(out, "data: [DONE]\n\n");
}

char *answer_whole(const answer_t *answer) {
    if (answer->kind == ANSWER_CALL)
        return g_strdup(answer->call_result);
    gboolean chat = answer->kind == ANSWER_CHAT;
    g_autoptr(GString) text = g_string_new(NULL);
    for (int i = 0; i < answer->tokens; i++)
        word_append(text, answer, i);
    int prompt_tokens = (int)(answer->prompt_bytes / 4);
    return g_strdup_printf(
        "{\"id\":\"%s\",\"object\":\"%s\",\"created\":%" G_GINT64_FORMAT
        ",\"model\":\"%s\",\"choices\":[{\"index\":0,%s%s%s,\"finish_reason\":\"stop\"}],"
        "\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}",
        answer->id, chat ? "chat.completion" : "text_completion", answer->created_s, answer->model,
        chat ? "\"message\":{\"role\":\"assistant\",\"content\":\"" : "\"text\":\"", text->str,
        chat ? "\"}" : "\"", prompt_tokens, answer->tokens, prompt_tokens + answer->tokens);
}
