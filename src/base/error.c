/* Error structs and names of verdicts. */
#include "wickbridge/error.h"

#include <stdarg.h>
#include <stdio.h>

apr_status_t wb_error_set(wb_error_t *error, apr_status_t code, const char *format, ...) {
    if (error == NULL)
        return code;
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(error->message, sizeof(error->message), format, arguments);
    va_end(arguments);
    error->code = code;
    return code;
}

const char *wb_verdict_name(wb_verdict_t verdict) {
    switch (verdict) {
    case WB_VERDICT_NOT_RUN:
        return "not-run";
    case WB_VERDICT_MAY_HAVE_RUN:
        return "may-have-run";
    case WB_VERDICT_COMPLETED:
        return "completed";
    }
    return "may-have-run";
}
