#pragma once

#include <memory>
#include <string>

#include "faultproxy.h"
#include "nodelimits.h"
#include "process/harness.h"

namespace ibisfork::soak {

/// One node as a process of its own, started again whenever it is told to.
class NodeProcess
{
public:
    /// Files go to @p folder. The node reaches @p store through a proxy of its own.
    NodeProcess(event_base *base, const net::Address &store, const std::string &folder, std::size_t index);

    /// Name of the build that is built along with the soak.
    static constexpr const char *newestDaemon = "ibisforkd";

    void start();
    /// The node runs @p daemon, the path of a program, from its next start on.
    void setDaemon(const std::string &daemon) { m_daemon = daemon; }
    /// How many processes were started.
    unsigned starts() const { return m_starts; }
    /// Whether the process was started from @p daemon.
    bool runs(const std::string &daemon) const { return started() && m_running == daemon; }
    void signal(int number) const;
    /// Asks the process to end; its end is then expected.
    void terminate();
    /// Kills the process, if there is one.
    void kill();
    bool started() const { return m_program != nullptr; }
    bool stopping() const { return m_stopping; }
    /// From now on the node listens on the same ports at each start.
    void keepPorts();
    /// The address of one of those ports, chosen by @p which.
    net::Address portToTake(unsigned which) const;
    void setLimits(const NodeLimits &limits) { m_limits = limits; }
    /// 0 before the process has said where it listens.
    std::size_t residentMb() const;
    /// How often the process has waited for events; 0 if none runs.
    std::size_t waits() const;
    /// Writes the first @p share of the settings; 1 for all of them.
    void writeSettings(double share) const;
    /// From now on a start finds so much of its settings.
    void writeSettingsAtStart(double share) { m_shareAtStart = share; }
    /// How the process has ended.
    std::string end() const { return m_program ? m_program->end() : std::string(); }
    /// Whether the process has ended by itself.
    bool ended() { return m_program && m_program->ended(); }
    /// Addresses that the process has said it listens on; false before it has.
    bool readAddresses();

    gateway::test::FaultProxy &storeLink() { return m_store; }
    const std::string &domain() const { return m_domain; }
    const net::Address &callers() const { return m_callers; }
    const net::Address &readiness() const { return m_readiness; }
    std::string log() const;

    /// What the balancer last heard.
    bool ready = false;

private:
    gateway::test::FaultProxy m_store;
    std::string m_folder;
    std::string m_name;
    std::string m_domain;
    std::string m_daemon = newestDaemon;
    std::string m_running;
    NodeLimits m_limits;
    net::Address m_callersPort{"127.0.0.1", 0};
    net::Address m_readinessPort = m_callersPort;
    net::Address m_operatorsPort = m_callersPort;
    double m_shareAtStart = 1;
    unsigned m_starts = 0;
    bool m_stopping = false;
    std::unique_ptr<process::Program> m_program;
    net::Address m_callers;
    net::Address m_readiness;
};

} // namespace ibisfork::soak
