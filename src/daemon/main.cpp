#include <csignal>
#include <iostream>
#include <random>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <ibisfork/base/log.h>
#include <ibisfork/base/metrics.h>
#include <ibisfork/base/overloaded.h>

#include "daemon/earlysignals.h"
#include "daemon/gatewaymain.h"
#include "daemon/standardstreams.h"
#include "daemon/startsettings.h"
#include "fleettask/fleettask.h"
#include "memory/allocator.h"
#include "net/timer.h"
#include "operators/operatorstask.h"
#include "serving/servingtask.h"
#include "settings/settings.h"

namespace {

using namespace ibisfork;

constexpr std::size_t decisionsKept = 10000;
constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

std::string newIncarnation()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

/// Hands SIGHUP on as a message to read the certificates again.
class Reload
{
public:
    Reload(event_base *base, serving::ServingTask &serving)
        : m_serving(serving)
        , m_hangup(evsignal_new(base, SIGHUP, &Reload::onSignal, this))
    {
        event_add(m_hangup.get(), nullptr);
    }

private:
    static void onSignal(evutil_socket_t, short, void *self)
    {
        static_cast<Reload *>(self)->m_serving.post(serving::ReloadCertificates{});
    }

    serving::ServingTask &m_serving;
    net::EventPtr m_hangup;
};

/// Waits for a signal to end, then lets running requests finish within the bound of the settings.
class Shutdown
{
public:
    Shutdown(event_base *base, serving::ServingTask &serving, fleettask::FleetTask &fleet, base::Duration within)
        : m_base(base)
        , m_serving(serving)
        , m_fleet(fleet)
        , m_within(within)
        , m_terminate(evsignal_new(base, SIGTERM, &Shutdown::onSignal, this))
        , m_interrupt(evsignal_new(base, SIGINT, &Shutdown::onSignal, this))
        , m_timeout(base, [base] { event_base_loopbreak(base); })
    {
        event_add(m_terminate.get(), nullptr);
        event_add(m_interrupt.get(), nullptr);
    }

    void begin()
    {
        base::LogLine(base::LogLevel::Info, "drain").field("within_ms", base::toMilliseconds(m_within));
        m_timeout.startOnce(m_within);
        m_serving.post(serving::BeginDrain{[this] {
            m_fleet.post(fleettask::LeaveFleet{[base = m_base] {
                event_base_loopbreak(base);
            }});
        }});
    }

private:
    static void onSignal(evutil_socket_t, short, void *self) { static_cast<Shutdown *>(self)->begin(); }

    event_base *m_base;
    serving::ServingTask &m_serving;
    fleettask::FleetTask &m_fleet;
    base::Duration m_within;
    net::EventPtr m_terminate;
    net::EventPtr m_interrupt;
    net::Timer m_timeout;
};

void run(const settings::Settings &settings)
{
    base::MetricsRegistry metrics;
    serving::DecisionLog decisions(decisionsKept);
    const auto base = net::makeEventBase();
    const auto incarnation = newIncarnation();
    serving::ServingTask serving(settings, metrics, decisions, incarnation);
    fleettask::FleetTask fleet(settings, metrics, incarnation, [&](const fleettask::FleetUpdate &update) {
        std::visit([&](const auto &message) { serving.post(message); }, update);
    });
    serving.onChange([&](const coord::Change &change, coord::Revision base) {
        fleet.post(fleettask::SubmitChange{{change, base, std::nullopt}, [](const fleettask::ChangeStatus &) {
                                           }});
    });
    serving.onNotice([&](const upstream::ColdStartNotice &notice) {
        const auto sign = base::nameOf(upstream::coldStartSignalNames, notice.signal);
        fleet.post(fleettask::PeerNotice{fleettask::NoticeKind::ColdStart, notice.upstream, std::string(sign)});
    });
    operators::OperatorPorts ports;
    ports.fleet = [&](fleettask::FleetRequest request) {
        fleet.post(std::move(request));
    };
    ports.ready = [&] {
        return serving.ready();
    };
    ports.explain = [&](const std::string &requestId) {
        return decisions.find(requestId);
    };
    operators::OperatorsTask operatorsTask(settings, metrics, std::move(ports));
    const Reload reload(base.get(), serving);
    Shutdown shutdown(base.get(), serving, fleet, settings.timing.drainWithin);

    serving.start();
    fleet.start();
    operatorsTask.start();
    base::LogLine(base::LogLevel::Info, "listening")
        .field("node", settings.node.name)
        .field("callers", serving.address().text())
        .field("operators", operatorsTask.address().text());
    if (daemon::isStopRequested()) {
        shutdown.begin();
    }
    event_base_loop(base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
    operatorsTask.stop();
    fleet.stop();
    serving.stop();
    base::LogLine(base::LogLevel::Info, "stopped").field("node", settings.node.name);
}

/// Reads the settings in @p path and runs the node that they describe.
void start(const std::string &path)
{
    const auto settings = daemon::awaitSettings(path);
    if (!settings) {
        return;
    }
    std::visit(base::Overloaded{
                   [](const settings::Settings &own) {
                       base::setLogLevel(own.logLevel);
                       run(own);
                   },
                   [](const daemon::GatewayStart &gateway) {
                       base::setLogLevel(gateway.settings.logLevel);
                       daemon::runGateway(gateway);
                   },
               },
               *settings);
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("ibisforkd", "Routes requests to versions of language models and to plain services.");
    auto add = options.add_options();
    add("settings", "settings of this node, in YAML", cxxopts::value<std::string>(), "FILE");
    add("check", "check the settings and exit");
    add("h,help", "show this help");
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    daemon::prepareSignals();
    daemon::prepareStandardStreams();
    memory::returnFreedMemory();
    try {
        auto options = makeOptions();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return exitOk;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "ibisforkd: --settings FILE is required\n";
            return exitUsage;
        }
        const auto path = arguments["settings"].as<std::string>();
        if (arguments.count("check") > 0) {
            daemon::checkSettings(path);
            std::cout << "settings are good\n";
        } else {
            start(path);
        }
        return exitOk;
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "ibisforkd: " << error.what() << '\n';
        return exitUsage;
    } catch (const std::exception &error) {
        std::cerr << "ibisforkd: " << error.what() << '\n';
        return exitFailure;
    }
}
