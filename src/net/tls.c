/* Wraps sockets of links in TLS by GnuTLS. */
#include "wickbridge/tls.h"

#include <apr_portable.h>
#include <gnutls/gnutls.h>

struct wb_tls_context_t {
    gnutls_certificate_credentials_t credentials;
};

struct wb_tls_session_t {
    gnutls_session_t session;
    int failure;
};

apr_status_t wb_tls_context_create(wb_tls_context_t **context, const char *key_file,
                                   const char *certificate_file, const char *trust_file,
                                   wb_error_t *error) {
    wb_tls_context_t *created = g_new0(wb_tls_context_t, 1);
    gnutls_certificate_allocate_credentials(&created->credentials);
    int result = gnutls_certificate_set_x509_key_file(created->credentials, certificate_file,
                                                      key_file, GNUTLS_X509_FMT_PEM);
    if (result < 0) {
        wb_error_set(error, APR_EINVAL, "key %s with certificate %s: %s", key_file,
                     certificate_file, gnutls_strerror(result));
        wb_tls_context_free(created);
        return APR_EINVAL;
    }
    result = gnutls_certificate_set_x509_trust_file(created->credentials, trust_file,
                                                    GNUTLS_X509_FMT_PEM);
    if (result <= 0) {
        wb_error_set(error, APR_EINVAL, "authority %s: %s", trust_file,
                     result == 0 ? "no certificate in it" : gnutls_strerror(result));
        wb_tls_context_free(created);
        return APR_EINVAL;
    }
    *context = created;
    return APR_SUCCESS;
}

void wb_tls_context_free(wb_tls_context_t *context) {
    gnutls_certificate_free_credentials(context->credentials);
    g_free(context);
}

wb_tls_session_t *wb_tls_session_create(wb_tls_context_t *context, apr_socket_t *socket,
                                        gboolean is_server) {
    wb_tls_session_t *session = g_new0(wb_tls_session_t, 1);
    unsigned flags = is_server ? GNUTLS_SERVER : GNUTLS_CLIENT;
    int descriptor;
    apr_os_sock_get(&descriptor, socket);
    gnutls_init(&session->session, flags | GNUTLS_NONBLOCK | GNUTLS_NO_SIGNAL);
    gnutls_set_default_priority(session->session);
    gnutls_credentials_set(session->session, GNUTLS_CRD_CERTIFICATE, context->credentials);
    if (is_server)
        gnutls_certificate_server_set_request(session->session, GNUTLS_CERT_REQUIRE);
    /* Nodes are known by addresses; what counts is that their authority has signed. */
    gnutls_session_set_verify_cert(session->session, NULL, 0);
    gnutls_transport_set_int(session->session, descriptor);
    return session;
}

void wb_tls_session_free(wb_tls_session_t *session) {
    gnutls_deinit(session->session);
    g_free(session);
}

static wb_tls_step_t step_from(wb_tls_session_t *session, ssize_t result) {
    if (result == GNUTLS_E_AGAIN || result == GNUTLS_E_INTERRUPTED)
        return gnutls_record_get_direction(session->session) == 0 ? WB_TLS_WANTS_READ
                                                                  : WB_TLS_WANTS_WRITE;
    if (!gnutls_error_is_fatal((int)result))
        return WB_TLS_WANTS_READ;
    session->failure = (int)result;
    return WB_TLS_FAILED;
}

wb_tls_step_t wb_tls_session_handshake(wb_tls_session_t *session) {
    int result = gnutls_handshake(session->session);
    return result == GNUTLS_E_SUCCESS ? WB_TLS_DONE : step_from(session, result);
}

wb_tls_step_t wb_tls_session_send(wb_tls_session_t *session, const char *data, gsize *length) {
    ssize_t result = gnutls_record_send(session->session, data, *length);
    *length = result > 0 ? (gsize)result : 0;
    return result > 0 ? WB_TLS_DONE : step_from(session, result);
}

wb_tls_step_t wb_tls_session_receive(wb_tls_session_t *session, char *data, gsize *length) {
    ssize_t result = gnutls_record_recv(session->session, data, *length);
    *length = result > 0 ? (gsize)result : 0;
    if (result > 0)
        return WB_TLS_DONE;
    return result == 0 ? WB_TLS_ENDED : step_from(session, result);
}

const char *wb_tls_session_error(const wb_tls_session_t *session) {
    return session->failure != 0 ? gnutls_strerror(session->failure) : "the connection broke";
}
