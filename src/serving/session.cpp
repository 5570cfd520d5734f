#include "serving/session.h"

#include <algorithm>
#include <vector>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <ibisfork/fleet/digest.h>
#include <ibisfork/fleet/exceptions.h>

namespace ibisfork::serving {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::hours lifetime{24};
constexpr std::size_t maxTokenBytes = 2048;
constexpr std::string_view formatTag = "s1.";
constexpr std::size_t base64Group = 4;
constexpr std::size_t base64Bytes = 3;

std::string base64Url(std::string_view bytes)
{
    std::string text((bytes.size() + base64Bytes - 1) / base64Bytes * base64Group + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    text.erase(std::find(text.begin(), text.end(), '='), text.end());
    return text;
}

std::optional<std::string> fromBase64Url(std::string text)
{
    std::replace(text.begin(), text.end(), '-', '+');
    std::replace(text.begin(), text.end(), '_', '/');
    const auto padding = (base64Group - text.size() % base64Group) % base64Group;
    text.append(padding, '=');
    std::string bytes(text.size() / base64Group * base64Bytes, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    if (length < static_cast<int>(padding)) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string signature(std::string_view text, const std::string &secret)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest,
         &length);
    return base64Url({reinterpret_cast<const char *>(digest), length});
}

Session sessionFrom(const Json &json)
{
    Session session;
    session.workspace = json.at("workspace").get<std::string>();
    session.id = json.at("id").get<std::string>();
    session.version = fleet::VersionId::parse(json.at("version").get<std::string>());
    session.issuedAt = WallTime(std::chrono::seconds(json.at("issued").get<std::int64_t>()));
    session.expiresAt = WallTime(std::chrono::seconds(json.at("expires").get<std::int64_t>()));
    return session;
}

std::variant<Session, SessionError> readPayload(const std::string &payload, const std::string &workspace, WallTime now)
{
    const auto bytes = fromBase64Url(payload);
    if (!bytes) {
        return SessionError::Malformed;
    }
    try {
        const Session session = sessionFrom(Json::parse(*bytes));
        if (session.workspace != workspace) {
            return SessionError::WrongWorkspace;
        }
        if (now >= session.expiresAt) {
            return SessionError::Expired;
        }
        return session;
    } catch (const Json::exception &) {
        return SessionError::Malformed;
    } catch (const fleet::ConfigError &) {
        return SessionError::Malformed;
    }
}

} // namespace

WallTime wallNow()
{
    return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

const fleet::SessionKey *signingKey(const SessionKeys &keys)
{
    const auto key = std::find_if(keys.begin(), keys.end(), [](const auto &entry) {
        return entry.second.state == fleet::SessionKeyState::Signing;
    });
    return key == keys.end() ? nullptr : &key->second;
}

std::string signSession(const Session &session, const fleet::SessionKey &key)
{
    const Json payload{{"workspace", session.workspace},
                       {"id", session.id},
                       {"version", session.version.value().text()},
                       {"issued", session.issuedAt.time_since_epoch().count()},
                       {"expires", session.expiresAt.time_since_epoch().count()}};
    const auto text = fmt::format("{}{}.{}", formatTag, key.id, base64Url(payload.dump()));
    return fmt::format("{}.{}", text, signature(text, key.secret));
}

std::variant<Session, SessionError> readSession(const std::string &token,
                                                const SessionKeys &keys,
                                                const std::string &workspace,
                                                WallTime now)
{
    const auto macDot = token.rfind('.');
    if (token.size() > maxTokenBytes || !token.starts_with(formatTag) || macDot < formatTag.size()) {
        return SessionError::Malformed;
    }
    const auto payloadDot = token.rfind('.', macDot - 1);
    if (payloadDot < formatTag.size()) {
        return SessionError::Malformed;
    }
    const auto key = keys.find(token.substr(formatTag.size(), payloadDot - formatTag.size()));
    if (key == keys.end()) {
        return SessionError::UnknownKey;
    }
    const auto expected = signature(std::string_view(token).substr(0, macDot), key->second.secret);
    if (!fleet::equalConstantTime(expected, std::string_view(token).substr(macDot + 1))) {
        return SessionError::BadSignature;
    }
    return readPayload(token.substr(payloadDot + 1, macDot - payloadDot - 1), workspace, now);
}

Session newSession(const std::string &workspace)
{
    constexpr std::size_t idBytes = 16;
    std::vector<unsigned char> random(idBytes);
    RAND_bytes(random.data(), static_cast<int>(random.size()));
    Session session;
    session.workspace = workspace;
    session.id = fmt::format("{:02x}", fmt::join(random, ""));
    extendSession(session, wallNow());
    return session;
}

void extendSession(Session &session, WallTime now)
{
    session.issuedAt = now;
    session.expiresAt = now + lifetime;
}

} // namespace ibisfork::serving
