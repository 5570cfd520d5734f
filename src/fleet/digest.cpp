#include <ibisfork/fleet/digest.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace ibisfork::fleet {

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest);
    return fmt::format("{:02x}", fmt::join(digest, ""));
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace ibisfork::fleet
