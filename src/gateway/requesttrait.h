#pragma once

#include <array>
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <ibisfork/base/names.h>

#include "gateway/call.h"

namespace ibisfork::gateway {

/// What requests may have in common that makes them crash engines.
enum class TraitKind {
    Body, ///< The whole request: workspace, path and body.
    PromptPart, ///< A prompt part that several requests may share.
};
inline constexpr std::array<base::Name<TraitKind>, 2> traitKindNames{{
    {TraitKind::Body, "body"},
    {TraitKind::PromptPart, "part"},
}};

/// One trait of a request.
struct RequestTrait
{
    TraitKind kind = TraitKind::Body;
    /// Hash of the request as 32 hexadecimal digits, or the id of the prompt part.
    std::string id{};

    auto operator<=>(const RequestTrait &other) const = default;
};

/// Hashes the request that @p workspace sent to @p path.
RequestTrait bodyTrait(const std::string &workspace, const std::string &path, std::string_view body);
/// The parts that other requests may share: all but the last, which belongs to the request or its session alone.
std::vector<RequestTrait> partTraits(const std::vector<PromptPart> &parts);

/// Text form "KIND:ID", in ASCII; other bytes of the id are escaped.
std::string traitText(const RequestTrait &trait);
/// Returns nullopt if @p text names no trait.
std::optional<RequestTrait> parseTrait(std::string_view text);

} // namespace ibisfork::gateway
