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

std::ifstream openLog(const Invocation &invocation)
{
    if (invocation.log.empty()) {
        throw UsageError("--log FILE is required");
    }
    std::ifstream file(invocation.log);
    if (!file) {
        throw UsageError("the log " + invocation.log + " can't be read");
    }
    return file;
}

} // namespace ibisfork::ctl
