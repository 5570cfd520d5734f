#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/callerbounds.h"

namespace ibisfork::gateway {

/// How often a request of a route may run.
enum class Repeatability {
    Idempotent, ///< May run any number of times.
    AtMostOnce, ///< May run at most once for each attempt of the caller.
    Stream, ///< The answer is an event stream; may continue on another engine if the route is resumable.
};

/// Priorities run from 0, the most urgent, to this value; others count as the nearest of these.
inline constexpr int lowestPriority = 9;

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /// Longest time until the answer to a caller.
    std::chrono::milliseconds timeout{30000};
    /// Target for the time to the first byte of an answer.
    std::chrono::milliseconds objective{1000};
    /// Target for the longest pause between two events of an answer.
    std::chrono::milliseconds pauseObjective{1000};
    /// 0 is the most urgent.
    int priority = 5;
    unsigned maxUpstreams = 1;
    /// Callers need no API key.
    bool isPublic = false;
    bool resumable = false;
    /// Models that the node may choose from, smallest first; empty if callers name the model.
    std::vector<std::string> models;
    std::vector<WeightedService> services;
};

struct ModelCost
{
    std::string model;
    /// Price of 1,000 generated tokens; a prompt token costs a quarter of a generated one.
    double costPerThousand = 0;
};

struct Service
{
    std::string name;
    std::uint32_t maxConnections = 100;
    /// Path of the engines' health check.
    std::string healthPath = "/";
    std::chrono::milliseconds coldPeriod{0};
    /// Requests per second that a cold engine can handle; 0 for no limit.
    double coldRate = 0;
    /// Longest time for which an engine reserves room for a request; 0 if the engines take no reservations.
    std::chrono::milliseconds maxReservation{0};
    std::vector<ModelCost> models;
};

struct Workspace
{
    std::string name;
    std::optional<int> priority;
};

/// One version of the operators' configuration.
class Configuration
{
public:
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::map<std::string, Workspace, std::less<>> workspacesByKey;
    bool hasWorkspaces = false;
    http::CallerBounds callerBounds;

    /// The route of @p host with the longest prefix that matches @p path, or null.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Service *findService(const std::string &name) const;
    /// Builds the index of findRoute() and mostUrgentPriority(). To be called once, after the routes are filled in.
    void index();

    /// Priority of the most urgent route to @p service; 0 if there is none.
    int mostUrgentPriority(const std::string &service) const;

private:
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost;
    std::map<std::string, int> m_mostUrgent;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace ibisfork::gateway
