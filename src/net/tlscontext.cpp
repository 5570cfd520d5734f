#include "net/tlscontext.h"

#include <event2/bufferevent_ssl.h>
#include <fmt/format.h>

#include "net/exceptions.h"

namespace ibisfork::net {

TlsContext::TlsContext(std::string certificateFile, std::string keyFile)
    : m_certificateFile(std::move(certificateFile))
    , m_keyFile(std::move(keyFile))
{
    reload();
}

void TlsContext::reload()
{
    std::unique_ptr<SSL_CTX, SslContextDeleter> context(SSL_CTX_new(TLS_server_method()));
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(context.get(), m_certificateFile.c_str()) != 1) {
        throw NetError(fmt::format(errormessage::badCertificate, m_certificateFile));
    }
    if (SSL_CTX_use_PrivateKey_file(context.get(), m_keyFile.c_str(), SSL_FILETYPE_PEM) != 1
        || SSL_CTX_check_private_key(context.get()) != 1) {
        throw NetError(fmt::format(errormessage::badPrivateKey, m_keyFile, m_certificateFile));
    }
    m_context = std::move(context);
}

bufferevent *TlsContext::newServerConnection(event_base *base) const
{
    bufferevent *connection = bufferevent_openssl_socket_new(
        base, -1, SSL_new(m_context.get()), BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
    // A peer that ends without the closing message of TLS has ended all the same; HTTP says whether all came.
    bufferevent_openssl_set_allow_dirty_shutdown(connection, 1);
    return connection;
}

} // namespace ibisfork::net
