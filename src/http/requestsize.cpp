#include "http/requestsize.h"

#include <algorithm>

namespace ibisfork::http {

namespace {

/// A head is kept as bytes, as headers and as what they say.
constexpr std::size_t copiesOfHead = 3;
/// What a request needs besides its bytes.
constexpr std::size_t requestBytes = 4096;
/// What a field of a head, or an item of its list, needs besides its bytes: both may be as short as two of them.
constexpr std::size_t fieldBytes = 256;

/// Number of fields and of further items in their lists.
std::size_t fieldCount(const HeaderList &headers)
{
    std::size_t count = 0;
    for (const auto &header : headers) {
        count += 1 + static_cast<std::size_t>(std::count(header.value.begin(), header.value.end(), ','));
    }
    return count;
}

} // namespace

std::size_t requestSize(const RequestHead &head, std::size_t headBytes)
{
    return requestBytes + copiesOfHead * headBytes + fieldBytes * fieldCount(head.headers);
}

} // namespace ibisfork::http
