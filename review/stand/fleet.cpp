#include "fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ibisfork::review {

namespace {

using nlohmann::json;

/// As in deploy/system.toml.
constexpr const char *daemonPath = "target/ibisforkd";
/// memoryMb of the smaller site, which the deploy file passes on.
constexpr const char *memoryMegabytes = "110";

std::string address(int port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

} // namespace

void Record::add(const std::string &line)
{
    std::ostringstream text;
    text << std::fixed << secondsNow() << ' ' << line;
    const std::lock_guard lock(m_mutex);
    m_file << text.str() << std::endl;
}

Node::Node(std::string name, std::string domain, int storePort, std::string folder)
    : m_name(std::move(name))
    , m_domain(std::move(domain))
    , m_folder(std::move(folder))
    , m_settings(m_folder + "/" + m_name + ".yaml")
    , m_callers(freePort())
    , m_readiness(freePort())
    , m_operators(freePort())
    , m_forwarding(freePort())
{
    writeSettings(storePort);
}

Node::~Node()
{
    kill();
}

void Node::writeSettings(int storePort) const
{
    std::ofstream(m_settings) << "node:\n  name: \"" << m_name << "\"\n  failure_domain: \"" << m_domain
                              << "\"\n  region: \"r\"\nlisten:\n  callers: " << address(m_callers)
                              << "\n  readiness: " << address(m_readiness) << "\n  operators: " << address(m_operators)
                              << "\n  forwarding: " << address(m_forwarding)
                              << "\nstore:\n  address: " << address(storePort) << "\nseeds: [" << address(m_operators)
                              << "]\nbounds:\n  resend_ratio: 0.9\n  resend_extra: 54\n  resend_window: 10s\n"
                                 "  cold_factor: 1.5\n  cold_tolerance: 5\n  exposure_share: 0.15\n"
                                 "  exposure_tolerance: 30\n  engine_heartbeat: 1200ms\n  shutdown_grace: 8s\n";
}

void Node::start()
{
    const auto log = m_folder + "/" + m_name + "-" + std::to_string(++m_starts) + ".log";
    m_process = fork();
    if (m_process == 0) {
        // The node ends with the program that started it, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        setenv("IBISFORK_MEMORY_MB", memoryMegabytes, 1);
        execl(daemonPath, daemonPath, "--settings", m_settings.c_str(), nullptr);
        _exit(127);
    }
}

void Node::kill()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }
}

bool Node::isReady() const
{
    constexpr int ok = 200;
    const auto connection = Connection::open(m_readiness);
    if (!connection || !connection->write("GET /ibisfork/readyz HTTP/1.1\r\nHost: node\r\n\r\n")) {
        return false;
    }
    const auto answer = connection->readMessage();
    return answer && answer->status() == ok;
}

bool Node::waitReady(double seconds) const
{
    for (const auto until = secondsNow() + seconds; secondsNow() < until; sleepFor(0.05)) {
        if (isReady()) {
            return true;
        }
    }
    return false;
}

double Node::memoryMb() const
{
    constexpr double kilobytesPerMegabyte = 1024;
    std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atof(line.c_str() + 6) / kilobytesPerMegabyte;
        }
    }
    return 0;
}

json configuration(const json &routes, const std::vector<std::string> &services)
{
    json list = json::array();
    for (const auto &name : services) {
        list.push_back({{"name", name}, {"maxConns", 360}, {"healthPath", "/healthz"}});
    }
    const json tenant{{"name", "tenant-1"}, {"apiKeys", json::array({"key-1"})}};
    return {
        {"version", 1},
        {"routes", routes},
        {"services", list},
        {"tenants", json::array({tenant})},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

json streamingRoute(const std::string &prefix, const std::string &service, bool resumable)
{
    return {{"name", "route" + prefix},
            {"hostname", "service.example"},
            {"pathPrefix", prefix},
            {"routeType", "streaming"},
            {"timeoutMs", 20000},
            {"goalMs", 3000},
            {"itlTargetMs", 1200},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", 3},
            {"public", false},
            {"sticky", true},
            {"resumable", resumable}};
}

json engineEntry(const std::string &service,
                 int port,
                 const std::string &zone,
                 const std::string &version,
                 std::int64_t born)
{
    static std::atomic<std::uint64_t> seq = 0;
    return {{"service", service},
            {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", zone},
            {"version", version},
            {"slots", 64},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"born", born},
            {"seq", ++seq}};
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void endWith(int status)
{
    std::fflush(nullptr);
    std::_Exit(status);
}

void failToRun(const std::string &reason)
{
    std::fprintf(stderr, "could not run: %s\n", reason.c_str());
    endWith(2);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace ibisfork::review
