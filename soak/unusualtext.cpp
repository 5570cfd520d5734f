#include "unusualtext.h"

#include <functional>

namespace ibisfork::soak {

namespace {

constexpr std::size_t shortestBody = 100000;
constexpr std::size_t longestBody = 4194304;
/// More than a connection and a node hold for a caller that doesn't read.
constexpr std::size_t shortestAnswer = 200000;
constexpr std::size_t longestAnswer = 2000000;

std::size_t drawnFor(const std::string &id, std::size_t least, std::size_t most)
{
    return least + std::hash<std::string>()(id) % (most - least);
}

} // namespace

std::string longText(const std::string &id, std::size_t bytes)
{
    std::string text;
    text.reserve(bytes + id.size() + 1);
    while (text.size() < bytes) {
        text.append(id).push_back('\n');
    }
    text.resize(bytes);
    return text;
}

bool isPartOfLongText(const std::string &id, std::size_t at, std::string_view part)
{
    const auto skipped = at % (id.size() + 1);
    return std::string_view(longText(id, skipped + part.size())).substr(skipped) == part;
}

std::size_t longBodyBytes(const std::string &id)
{
    return drawnFor(id, shortestBody, longestBody);
}

std::size_t longAnswerBytes(const std::string &id)
{
    return drawnFor(id, shortestAnswer, longestAnswer);
}

} // namespace ibisfork::soak
