#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;

/// A node that first reads its settings from a pipe, so that the test knows when it is about to.
class GatewaySignalsTest : public testing::Test
{
protected:
    GatewaySignalsTest()
        : m_folder(std::filesystem::temp_directory_path() / fmt::format("ibisfork-signals-{}", getpid()))
    {
        // A process that has ended must fail the test, not end it.
        std::signal(SIGPIPE, SIG_IGN);
        std::filesystem::create_directories(m_folder);
        mkfifo(settingsPath().c_str(), 0600);
    }
    ~GatewaySignalsTest() override { std::filesystem::remove_all(m_folder); }

    std::string settingsPath() const { return m_folder / "settings.yaml"; }
    std::string outputPath() const { return m_folder / "out.log"; }

    static constexpr const char *settings
        = "node: {name: n, failure_domain: d, region: r}\n"
          "listen: {callers: 127.0.0.1:0, readiness: 127.0.0.1:0, operators: 127.0.0.1:0}\n"
          "store: {address: 127.0.0.1:1}\n";

    bool saysStart() const
    {
        std::ifstream file(outputPath());
        for (std::string line; std::getline(file, line);) {
            if (fieldOf(line, "event") == "start") {
                return true;
            }
        }
        return false;
    }

    std::filesystem::path m_folder;
};

TEST_F(GatewaySignalsTest, reloadAskedFor_whileTheProcessStarts_doesNotEndIt)
{
    Program node("ibisforkd", {"--settings", settingsPath()}, outputPath(), outputPath());
    {
        // Opens once the process has opened the other end.
        std::ofstream pipe(settingsPath());
        node.signal(SIGHUP);
        std::this_thread::sleep_for(50ms);
        EXPECT_FALSE(node.ended());
        // Whoever opens it from now on finds a file.
        const std::string file = m_folder / "file.yaml";
        std::ofstream(file) << settings;
        std::filesystem::rename(file, settingsPath());
        pipe << settings;
    }
    EXPECT_TRUE(eventually(10s, [this] { return saysStart(); }));
}

} // namespace ibisfork::process
