#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ibisfork::coord {

/// Rendezvous hash: weight of @p candidate for @p key, the same in all processes.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// Up to @p count of @p candidates with the highest weights for @p key, in descending order of weight.
std::vector<std::string> rendezvousChoose(std::string_view key,
                                          const std::vector<std::string> &candidates,
                                          std::size_t count);

} // namespace ibisfork::coord
