#pragma once

#include <fstream>

#include <sys/types.h>

#include "store.h"

namespace ibisfork::review {

/// What happened, as lines of record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    { }

    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// A node: the daemon of the deploy file, with settings as the platform fills them in for one machine.
class Node
{
public:
    /// @p folder: for its settings and logs.
    Node(std::string name, std::string domain, int storePort, std::string folder);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    /// Ends the process at once and waits for it.
    void kill();
    bool isReady() const;
    bool waitReady(double seconds) const;
    /// Memory that the process has in use, in MB.
    double memoryMb() const;
    int callers() const { return m_callers; }
    const std::string &name() const { return m_name; }

private:
    void writeSettings(int storePort) const;

    std::string m_name;
    std::string m_domain;
    std::string m_folder;
    std::string m_settings;
    int m_callers;
    int m_readiness;
    int m_operators;
    int m_forwarding;
    pid_t m_process = 0;
    unsigned m_starts = 0;
};

/// The routes that a case has, and one key, "key-1" of the tenant "tenant-1".
nlohmann::json configuration(const nlohmann::json &routes, const std::vector<std::string> &services);
/// A streaming route whose requests may be resumed, with times as in the site file.
nlohmann::json streamingRoute(const std::string &prefix, const std::string &service, bool resumable);
/// What an engine writes of itself to the store.
nlohmann::json engineEntry(const std::string &service,
                           int port,
                           const std::string &zone,
                           const std::string &version,
                           std::int64_t born);
std::int64_t unixMilliseconds();
/// Ends the program with @p status, without waiting for the threads of the stand-ins.
[[noreturn]] void endWith(int status);
/// Ends with 2, which says that the case couldn't run.
[[noreturn]] void failToRun(const std::string &reason);
/// False if TROUBLE=0 is set: the disruption is left out.
bool hasTrouble();

} // namespace ibisfork::review
