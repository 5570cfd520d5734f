#pragma once

#include <memory>
#include <string>

#include <openssl/ssl.h>

#include "net/libevent.h"

namespace ibisfork::net {

struct SslContextDeleter
{
    void operator()(SSL_CTX *context) const { SSL_CTX_free(context); }
};

/// Certificate and key of a server, read from files in PEM.
class TlsContext
{
public:
    /// Throws NetError if the files can't be read or do not match.
    TlsContext(std::string certificateFile, std::string keyFile);

    /// Reads the files again for connections to come; what is held stays if they can't be read. Throws NetError.
    void reload();

    /// A connection that a server is about to accept.
    bufferevent *newServerConnection(event_base *base) const;

private:
    std::string m_certificateFile;
    std::string m_keyFile;
    std::unique_ptr<SSL_CTX, SslContextDeleter> m_context;
};

} // namespace ibisfork::net
