#include <iostream>

#include <fmt/format.h>
#include <fmt/ostream.h>

#include "policy/benches.h"

int main()
{
    using namespace ibisfork::bench;
    const nlohmann::json results{{"cascade", cascadeBench()},
                                 {"exposure", exposureBench()},
                                 {"overload", overloadBench()},
                                 {"routing", routingBench()}};
    for (const auto &[name, rows] : results.items()) {
        for (const auto &row : rows) {
            fmt::print(std::cout, "{} {}\n", name, row.dump());
        }
    }
    return 0;
}
