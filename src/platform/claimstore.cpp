#include "platform/claimstore.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace ibisfork::platform {

using Json = nlohmann::json;

namespace {

constexpr const char *claimPrefix = "claim/";

/// Bodies may be any bytes, and the table's rows are text.
std::string base64From(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string bytesFrom(const std::string &text, std::size_t size)
{
    std::string bytes(text.size(), '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    bytes.resize(length < 0 ? 0 : std::min(size, static_cast<std::size_t>(length)));
    return bytes;
}

std::string claimText(const coord::Claim &claim)
{
    Json json{{"digest", claim.digest},
              {"token", claim.token},
              {"claimer", claim.claimer},
              {"claimed_at", claim.claimedAt},
              {"state", claim.answer ? "done" : "running"}};
    if (claim.answer) {
        json["status"] = claim.answer->status;
        json["content_type"] = claim.answer->contentType;
        json["size"] = claim.answer->body.size();
        json["body"] = base64From(claim.answer->body);
    }
    return json.dump();
}

coord::Claim claimFrom(const std::string &text)
{
    const Json json = Json::parse(text);
    coord::Claim claim;
    claim.digest = json.at("digest").get<std::string>();
    claim.token = json.at("token").get<std::string>();
    claim.claimer = json.at("claimer").get<std::string>();
    claim.claimedAt = json.at("claimed_at").get<std::int64_t>();
    if (json.at("state") == "done") {
        claim.answer
            = coord::RecordedAnswer{json.at("status").get<int>(),
                                    json.at("content_type").get<std::string>(),
                                    bytesFrom(json.at("body").get<std::string>(), json.at("size").get<std::size_t>())};
    }
    return claim;
}

std::optional<coord::StoredClaims> claimsFrom(const std::optional<StoredRows> &rows)
{
    if (!rows) {
        return std::nullopt;
    }
    try {
        coord::StoredClaims claims;
        for (const auto &[key, row] : *rows) {
            claims[key] = {claimFrom(row.value), row.version};
        }
        return claims;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

/// A workspace's name without what would make its rows those of another.
std::string escaped(const std::string &name)
{
    std::string out;
    for (const char letter : name) {
        if (letter == '/') {
            out += "%2F";
        } else if (letter == '%') {
            out += "%25";
        } else {
            out += letter;
        }
    }
    return out;
}

} // namespace

ClaimStore::ClaimStore(TableClient &table)
    : m_table(table)
{ }

std::string ClaimStore::rowKey(const std::string &workspace, const std::string &key)
{
    return claimPrefix + escaped(workspace) + "/" + key;
}

void ClaimStore::read(const std::vector<std::string> &keys,
                      std::function<void(std::optional<coord::StoredClaims>)> done)
{
    readQuery({keys, "", ""}, std::move(done));
}

void ClaimStore::readAll(std::function<void(std::optional<coord::StoredClaims>)> done)
{
    readQuery({{}, claimPrefix, ""}, std::move(done));
}

void ClaimStore::readQuery(const ReadQuery &query, std::function<void(std::optional<coord::StoredClaims>)> done)
{
    m_table.read(query, [done = std::move(done)](const std::optional<StoredRows> &rows) { done(claimsFrom(rows)); });
}

void ClaimStore::commit(const std::vector<coord::ClaimWrite> &writes, std::function<void(CommitOutcome)> done)
{
    Transaction transaction;
    for (const auto &write : writes) {
        transaction.conditions.push_back({write.key, write.rowVersion});
        transaction.writes.push_back({write.key, write.claim ? std::optional(claimText(*write.claim)) : std::nullopt});
    }
    m_table.commit(transaction, std::move(done));
}

} // namespace ibisfork::platform
