#include "gateway/requesttrait.h"

#include <fmt/format.h>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::gateway {

RequestTrait bodyTrait(const std::string &workspace, const std::string &path, const std::string &body)
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
        traits.push_back({TraitKind::PromptPart, parts[i].id});
    }
    return traits;
}

std::string traitText(const RequestTrait &trait)
{
    return fmt::format("{}:{}", base::nameOf(traitKindNames, trait.kind), trait.id);
}

std::optional<RequestTrait> parseTrait(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto kind = base::valueOf(traitKindNames, text.substr(0, colon));
    return kind ? std::optional(RequestTrait{*kind, std::string(text.substr(colon + 1))}) : std::nullopt;
}

} // namespace ibisfork::gateway
