#pragma once

#include <stdexcept>
#include <string>

namespace ibisfork::base {

/// Base of all exceptions of the project; each layer derives its own.
class Error : public std::runtime_error
{
public:
    explicit Error(const std::string &message)
        : std::runtime_error(message)
    { }
};

} // namespace ibisfork::base
