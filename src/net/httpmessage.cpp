#include "net/httpmessage.h"

#include <strings.h>

namespace ibisfork::net {

std::optional<std::string> HttpHeaders::find(const std::string &name) const
{
    for (const auto &[key, value] : m_fields) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace ibisfork::net
