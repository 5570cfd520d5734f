#include "gateway/requesttrait.h"

#include <charconv>

#include <fmt/format.h>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::gateway {

namespace {

constexpr char escapeMark = '%';
constexpr std::size_t escapeLength = 3;
constexpr int hexadecimal = 16;
/// Callers choose the ids of parts, and thousands of them are kept; longer ones are known by their hash.
constexpr std::size_t maxPartIdBytes = 64;

/// Replaces what need not be valid text, since callers may send any bytes, and the mark itself by %XX.
std::string escaped(const std::string &id)
{
    constexpr unsigned char firstNonAscii = 0x80;
    std::string out;
    for (const char c : id) {
        const auto byte = static_cast<unsigned char>(c);
        out += byte >= firstNonAscii || c == escapeMark ? fmt::format("%{:02X}", byte) : std::string(1, c);
    }
    return out;
}

std::string unescaped(std::string_view text)
{
    std::string out;
    while (!text.empty()) {
        unsigned char byte = 0;
        const bool mayBeEscape = text.front() == escapeMark && text.size() >= escapeLength;
        const auto *end = text.data() + (mayBeEscape ? escapeLength : 0);
        const bool isEscape = mayBeEscape && std::from_chars(text.data() + 1, end, byte, hexadecimal).ptr == end;
        out += isEscape ? static_cast<char>(byte) : text.front();
        text.remove_prefix(isEscape ? escapeLength : 1);
    }
    return out;
}

/// @p id, or what stands for a long one.
std::string boundedId(const std::string &id)
{
    if (id.size() <= maxPartIdBytes) {
        return id;
    }
    return fmt::format("{:016x}{:016x}", coord::rendezvousWeight("part", id), coord::rendezvousWeight(id, "part"));
}

} // namespace

RequestTrait bodyTrait(const std::string &workspace, const std::string &path, std::string_view body)
{
    return {TraitKind::Body,
            fmt::format("{:016x}{:016x}",
                        coord::rendezvousWeight(workspace + '\n' + path, body),
                        coord::rendezvousWeight(body, workspace))};
}

std::vector<RequestTrait> partTraits(const std::vector<PromptPart> &parts)
{
    std::vector<RequestTrait> traits;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        traits.push_back({TraitKind::PromptPart, boundedId(parts[i].id)});
    }
    return traits;
}

std::string traitText(const RequestTrait &trait)
{
    return fmt::format("{}:{}", base::nameOf(traitKindNames, trait.kind), escaped(trait.id));
}

std::optional<RequestTrait> parseTrait(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto kind = base::valueOf(traitKindNames, text.substr(0, colon));
    return kind ? std::optional(RequestTrait{*kind, unescaped(text.substr(colon + 1))}) : std::nullopt;
}

} // namespace ibisfork::gateway
