/* Checks and writes lines of HTTP heads. */
#include "wickbridge/http_head.h"

#include <string.h>

gboolean wb_http_value_is_valid(const char *text) {
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++)
        if (g_ascii_iscntrl(text[i]))
            return FALSE;
    return length > 0 && text[0] != ' ' && text[length - 1] != ' ' &&
           g_utf8_validate(text, (gssize)length, NULL);
}

void wb_http_header_append(GString *head, const char *name, const char *value) {
    g_string_append(head, name);
    g_string_append(head, ": ");
    gsize start = head->len;
    g_string_append(head, value);
    for (gsize i = start; i < head->len; i++)
        if (g_ascii_iscntrl(head->str[i]) && head->str[i] != '\t')
            head->str[i] = ' ';
    g_string_append(head, "\r\n");
}
