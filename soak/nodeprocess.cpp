#include "nodeprocess.h"

#include <array>
#include <csignal>
#include <fstream>

#include <fmt/format.h>

#include "domains.h"
#include "freeport.h"
#include "times.h"

namespace ibisfork::soak {

NodeProcess::NodeProcess(event_base *base, const net::Address &store, const std::string &folder, std::size_t index)
    : m_store(base, store)
    , m_folder(folder)
    , m_name(fmt::format("n{}", index))
    , m_domain(domainOf(index))
{ }

std::string NodeProcess::log() const
{
    return fmt::format("{}/{}-{}.log", m_folder, m_name, m_starts);
}

void NodeProcess::keepPorts()
{
    m_callersPort = freePort();
    m_readinessPort = freePort();
    m_operatorsPort = freePort();
}

net::Address NodeProcess::portToTake(unsigned which) const
{
    return std::array{m_callersPort, m_readinessPort, m_operatorsPort}.at(which % 3);
}

std::size_t NodeProcess::residentMb() const
{
    // Before it runs its program, a process has the memory of the one that forks it.
    return m_program && m_callers.port != 0 ? soak::residentMb(m_program->pid()) : 0;
}

std::size_t NodeProcess::waits() const
{
    return m_program ? soak::waitsOf(m_program->pid()) : 0;
}

void NodeProcess::writeSettings(double share) const
{
    const auto text = fmt::format(
        "node: {{name: {}, failure_domain: {}, region: r}}\n"
        "listen: {{callers: {}, readiness: {}, operators: {}}}\n"
        "store: {{address: {}}}\n"
        "bounds: {{resend_ratio: 0.9, resend_extra: 50, cold_factor: 1.5, cold_tolerance: 5, shutdown_grace: {}s}}\n",
        m_name,
        m_domain,
        m_callersPort.text(),
        m_readinessPort.text(),
        m_operatorsPort.text(),
        m_store.address().text(),
        shutdownGrace.count());
    const auto written = static_cast<std::size_t>(static_cast<double>(text.size()) * share);
    std::ofstream(fmt::format("{}/{}.yaml", m_folder, m_name)) << text.substr(0, written);
}

void NodeProcess::start()
{
    writeSettings(m_shareAtStart);
    ++m_starts;
    ready = false;
    m_stopping = false;
    m_callers = {};
    m_running = m_daemon;
    m_program = std::make_unique<process::Program>(
        m_daemon, std::vector<std::string>{"--settings", fmt::format("{}/{}.yaml", m_folder, m_name)}, log(), log());
    limitDescriptors(m_program->pid(), m_limits.descriptors);
}

void NodeProcess::signal(int number) const
{
    if (m_program) {
        m_program->signal(number);
    }
}

void NodeProcess::terminate()
{
    m_stopping = true;
    signal(SIGTERM);
}

void NodeProcess::kill()
{
    m_program.reset();
    ready = false;
}

bool NodeProcess::readAddresses()
{
    if (!m_program || m_callers.port != 0) {
        return m_program != nullptr;
    }
    std::ifstream file(log());
    for (std::string line; std::getline(file, line);) {
        if (process::fieldOf(line, "event") == "start") {
            m_callers = net::Address::parse(process::fieldOf(line, "callers"));
            m_readiness = net::Address::parse(process::fieldOf(line, "readiness"));
            return true;
        }
    }
    return false;
}

} // namespace ibisfork::soak
