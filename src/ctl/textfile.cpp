#include "ctl/textfile.h"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "ctl/invocation.h"

namespace ibisfork::ctl {

std::string readTextFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        throw UsageError(fmt::format("{}: can't be read", path));
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace ibisfork::ctl
