/**
 * @file http_head.h
 * @brief Lines of HTTP heads: which texts may stand in them, and writing them.
 *
 * All values that aren't constants are written by wb_http_header_append. A text that its receiver
 * compares, such as an id, is checked by wb_http_value_is_valid where it is read.
 */
#ifndef WICKBRIDGE_HTTP_HEAD_H
#define WICKBRIDGE_HTTP_HEAD_H

#include <glib.h>

/** @return TRUE if a receiver of the text as a header's value gets the same text: it is UTF-8, not
 * empty, and has neither a control character nor a blank at an end */
gboolean wb_http_value_is_valid(const char *text);

/** Append a header line. Control characters of the value other than tabs become blanks, as RFC
 * 9110, section 5.5 has it, so that no value ends its line. */
void wb_http_header_append(GString *head, const char *name, const char *value);

#endif
