#include <cstdio>
#include <filesystem>

#include <event2/bufferevent_ssl.h>
#include <gtest/gtest.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include "net/exceptions.h"
#include "net/httpserver.h"
#include "net/timer.h"

namespace ibisfork::net {

using namespace std::chrono_literals;

namespace {

/// Writes a self-signed certificate with @p serial and its key as @p name.pem and @p name.key.
void writeCertificate(const std::string &name, long serial)
{
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), &X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    std::FILE *file = std::fopen((name + ".pem").c_str(), "w");
    PEM_write_X509(file, certificate.get());
    std::fclose(file);
    file = std::fopen((name + ".key").c_str(), "w");
    PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
}

/// A caller that sends one request over TLS and keeps the answer and the serial number of the certificate.
class TlsCaller
{
public:
    TlsCaller(event_base *base, const Address &server)
        : m_base(base)
        , m_context(SSL_CTX_new(TLS_client_method()))
        , m_connection(bufferevent_openssl_socket_new(base,
                                                      -1,
                                                      SSL_new(m_context.get()),
                                                      BUFFEREVENT_SSL_CONNECTING,
                                                      BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_storage address{};
        int length = sizeof(address);
        evutil_parse_sockaddr_port(server.text().c_str(), reinterpret_cast<sockaddr *>(&address), &length);
        bufferevent_setcb(m_connection, &TlsCaller::onRead, nullptr, &TlsCaller::onEvent, this);
        bufferevent_enable(m_connection, EV_READ | EV_WRITE);
        const std::string request = "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";
        bufferevent_write(m_connection, request.data(), request.size());
        bufferevent_socket_connect(m_connection, reinterpret_cast<sockaddr *>(&address), length);
    }
    ~TlsCaller() { bufferevent_free(m_connection); }
    TlsCaller(const TlsCaller &) = delete;
    TlsCaller &operator=(const TlsCaller &) = delete;

    const std::string &answer() const { return m_answer; }
    long serial() const { return m_serial; }

private:
    static void onRead(bufferevent *connection, void *self)
    {
        char buffer[1024];
        const auto length = bufferevent_read(connection, buffer, sizeof(buffer));
        static_cast<TlsCaller *>(self)->m_answer.append(buffer, length);
    }

    static void onEvent(bufferevent *connection, short events, void *self)
    {
        auto *caller = static_cast<TlsCaller *>(self);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            const std::unique_ptr<X509, decltype(&X509_free)> certificate(
                SSL_get1_peer_certificate(bufferevent_openssl_get_ssl(connection)), &X509_free);
            caller->m_serial = ASN1_INTEGER_get(X509_get0_serialNumber(certificate.get()));
            return;
        }
        event_base_loopbreak(caller->m_base);
    }

    event_base *m_base;
    std::unique_ptr<SSL_CTX, SslContextDeleter> m_context;
    bufferevent *m_connection;
    std::string m_answer;
    long m_serial = 0;
};

} // namespace

class TlsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string folder = std::filesystem::temp_directory_path() / "ibisfork-tls-XXXXXX";
        ASSERT_NE(mkdtemp(folder.data()), nullptr);
        m_name = folder + "/server";
        writeCertificate(m_name, 7);
    }
    void TearDown() override { std::filesystem::remove_all(std::filesystem::path(m_name).parent_path()); }

    std::string m_name;
    EventBasePtr m_base = makeEventBase();
};

TEST_F(TlsTest, server_withCertificate_answersAndTakesANewOneAfterReload)
{
    TlsContext context(m_name + ".pem", m_name + ".key");
    HttpServer server(m_base.get(), {"127.0.0.1", 0}, {}, [](const HttpServerRequest &request) {
        request.reply->send(200, {}, "hello");
    });
    server.useTls(context);
    Timer timeout(m_base.get(), [this] { event_base_loopbreak(m_base.get()); });
    timeout.startOnce(20s);
    {
        const TlsCaller caller(m_base.get(), server.address());
        event_base_dispatch(m_base.get());
        EXPECT_EQ(caller.serial(), 7);
        EXPECT_NE(caller.answer().find("hello"), std::string::npos);
    }
    writeCertificate(m_name, 8);
    context.reload();
    const TlsCaller caller(m_base.get(), server.address());
    event_base_dispatch(m_base.get());
    EXPECT_EQ(caller.serial(), 8);
}

TEST_F(TlsTest, reload_withUnreadableFile_keepsWhatIsHeld)
{
    TlsContext context(m_name + ".pem", m_name + ".key");
    std::filesystem::remove(m_name + ".pem");
    EXPECT_THROW(context.reload(), NetError);
    bufferevent *connection = context.newServerConnection(m_base.get());
    EXPECT_NE(connection, nullptr);
    bufferevent_free(connection);
}

TEST_F(TlsTest, context_withKeyOfAnotherCertificate_isRefused)
{
    writeCertificate(m_name + "-other", 9);
    EXPECT_THROW(TlsContext(m_name + ".pem", m_name + "-other.key"), NetError);
}

} // namespace ibisfork::net
