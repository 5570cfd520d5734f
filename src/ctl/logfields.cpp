#include "ctl/logfields.h"

namespace ibisfork::ctl {

std::string logField(const std::string &line, const std::string &key)
{
    const auto at = line.find(" " + key + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + key.size() + 2;
    return line.substr(from, line.find(' ', from) - from);
}

} // namespace ibisfork::ctl
