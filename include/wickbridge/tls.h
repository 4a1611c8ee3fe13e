/**
 * @file tls.h
 * @brief TLS on links between nodes, by GnuTLS: both sides show a certificate of the nodes'
 * authority.
 *
 * Threads: a context is read-only once created; a session belongs to its link's loop.
 */
#ifndef WICKBRIDGE_TLS_H
#define WICKBRIDGE_TLS_H

#include "wickbridge/error.h"

#include <apr_network_io.h>
#include <glib.h>

typedef struct wb_tls_context_t wb_tls_context_t;
typedef struct wb_tls_session_t wb_tls_session_t;

/** How a step of a session went. */
typedef enum wb_tls_step_t {
    WB_TLS_DONE,
    WB_TLS_WANTS_READ,  /**< again when the socket can be read */
    WB_TLS_WANTS_WRITE, /**< again when the socket can be written */
    WB_TLS_ENDED,       /**< the other side closed it */
    WB_TLS_FAILED       /**< wrong or missing certificate, or a broken connection */
} wb_tls_step_t;

/** Read key, certificate and authority from PEM files. */
apr_status_t wb_tls_context_create(wb_tls_context_t **context, const char *key_file,
                                   const char *certificate_file, const char *trust_file,
                                   wb_error_t *error);
void wb_tls_context_free(wb_tls_context_t *context);

wb_tls_session_t *wb_tls_session_create(wb_tls_context_t *context, apr_socket_t *socket,
                                        gboolean is_server);
void wb_tls_session_free(wb_tls_session_t *session);

wb_tls_step_t wb_tls_session_handshake(wb_tls_session_t *session);
/** @param length in: what is to be sent; out: what was */
wb_tls_step_t wb_tls_session_send(wb_tls_session_t *session, const char *data, gsize *length);
/** @param length in: room; out: what came */
wb_tls_step_t wb_tls_session_receive(wb_tls_session_t *session, char *data, gsize *length);

/** @return one line on the last failure */
const char *wb_tls_session_error(const wb_tls_session_t *session);

#endif
