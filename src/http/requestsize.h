#pragma once

#include <cstddef>

#include "http/message.h"

namespace ibisfork::http {

/// Bytes that a request needs besides its body, about, if its head has @p headBytes as it was sent.
std::size_t requestSize(const RequestHead &head, std::size_t headBytes);

} // namespace ibisfork::http
