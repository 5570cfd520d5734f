#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/context.h"
#include "http/callclient.h"
#include "http/latebytes.h"
#include "http/upstreamconnection.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// Checks whether the node has a path to engines: to one that has fallen silent, by a new connection, and to those of a
/// service that the node is cut off from, by their health checks.
class ReachProbe
{
public:
    explicit ReachProbe(Context &context);
    ReachProbe(const ReachProbe &) = delete;
    ReachProbe &operator=(const ReachProbe &) = delete;

    /// Probes one engine of each service that the node is cut off from. To be called a few times a second.
    void tick();
    /// Asks @p engine for its health over a new connection, unless that is being done, and records if the connection
    /// does not come about, or that the engine goes on.
    void checkPath(const EngineEntry &engine);

private:
    /// A health check of an engine that has fallen silent.
    struct PathCheck
    {
        EngineEntry engine;
        std::unique_ptr<http::UpstreamConnection> connection;
        std::unique_ptr<net::Timer> timer;
        http::LateBytes lateBytes;
        /// The connection has come about in time.
        bool awaitsAnswer = false;
    };

    void onCheckTimer(const std::string &engineId);
    void onCheckFailed(const std::string &engineId, http::ConnectionFailure failure);
    void onCheckAnswered(const std::string &engineId, const http::ResponseHead &head);
    void endCheck(const std::string &engineId, std::string_view outcome);
    std::string healthCheck(const EngineEntry &engine) const;
    void probe(const std::string &service);

    void handleAnswer(const EngineEntry &engine,
                      const http::ResponseHead &head,
                      std::optional<base::TimePoint> connectedAt);

    Context &m_context;
    http::CallClient m_client;
    /// By engine.
    std::map<std::string, PathCheck> m_checks;
    /// Probes so far, by service; successive ones go to different engines.
    std::map<std::string, std::size_t> m_probes;
};

} // namespace ibisfork::gateway
