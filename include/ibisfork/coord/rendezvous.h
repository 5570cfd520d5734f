#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ibisfork::coord {

/// Weight of @p candidate for @p key; the same in every process.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// The @p count candidates with the highest weights for @p key, heaviest first.
std::vector<std::string> rendezvousChoose(std::string_view key,
                                          const std::vector<std::string> &candidates,
                                          std::size_t count);

} // namespace ibisfork::coord
