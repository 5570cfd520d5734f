#include <ibisfork/coord/rendezvous.h>

#include <algorithm>

#include <xxhash.h>

namespace ibisfork::coord {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<std::string> rendezvousChoose(std::string_view key,
                                          const std::vector<std::string> &candidates,
                                          std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> weighted;
    weighted.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        weighted.emplace_back(rendezvousWeight(key, candidate), &candidate);
    }
    count = std::min(count, weighted.size());
    const auto heavier = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count), weighted.end(), heavier);
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back(*weighted[i].second);
    }
    return chosen;
}

} // namespace ibisfork::coord
