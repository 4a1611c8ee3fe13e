/**
 * @file tls.h
 * @brief Mutual TLS on links between nodes, with GnuTLS: both sides must present a certificate
 * signed by the configured authority.
 *
 * Steps of a session never block. Failures are WB_TLS_FAILED, described by wb_tls_session_error.
 * Threads: a context is read-only once created; a session is used on its link's loop only.
 */
#ifndef WICKBRIDGE_TLS_H
#define WICKBRIDGE_TLS_H

#include "wickbridge/error.h"

#include <apr_network_io.h>
#include <glib.h>

typedef struct wb_tls_context_t wb_tls_context_t;
typedef struct wb_tls_session_t wb_tls_session_t;

/** Result of a step of a session. */
typedef enum wb_tls_step_t {
    WB_TLS_DONE,
    WB_TLS_WANTS_READ,  /**< retry when the socket is readable */
    WB_TLS_WANTS_WRITE, /**< retry when the socket is writable */
    WB_TLS_ENDED,       /**< closed by the peer */
    WB_TLS_FAILED       /**< invalid or missing certificate, or the connection failed */
} wb_tls_step_t;

/** Load key, certificate and authority from PEM files. @return APR_SUCCESS, or the reason in
 * `error`
 */
apr_status_t wb_tls_context_create(wb_tls_context_t **context, const char *key_file,
                                   const char *certificate_file, const char *trust_file,
                                   wb_error_t *error);
void wb_tls_context_free(wb_tls_context_t *context);

wb_tls_session_t *wb_tls_session_create(wb_tls_context_t *context, apr_socket_t *socket,
                                        gboolean is_server);
void wb_tls_session_free(wb_tls_session_t *session);

wb_tls_step_t wb_tls_session_handshake(wb_tls_session_t *session);
/** @param length in: bytes to send; out: bytes sent */
wb_tls_step_t wb_tls_session_send(wb_tls_session_t *session, const char *data, gsize *length);
/** @param length in: capacity of `data`; out: bytes received */
wb_tls_step_t wb_tls_session_receive(wb_tls_session_t *session, char *data, gsize *length);

/** @return one line that describes the last failure */
const char *wb_tls_session_error(const wb_tls_session_t *session);

#endif
