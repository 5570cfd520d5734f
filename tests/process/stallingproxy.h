#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace ibisfork::process {

/// Forwards TCP connections. On demand it stops forwarding for those that are open, without closing them, as a
/// middlebox does that has lost track of them; or it holds back new ones too.
class StallingProxy
{
public:
    explicit StallingProxy(const std::string &target);
    ~StallingProxy();
    StallingProxy(const StallingProxy &) = delete;
    StallingProxy &operator=(const StallingProxy &) = delete;

    std::string address() const;
    /// Connections open now go silent for good; new ones work.
    void stallOpen() { ++m_epoch; }
    /// Connections made from now on are silent from the start.
    void stallNew(bool stall) { m_stallNew = stall; }
    /// Every connection goes silent for good once this many bytes have come back from the target; 0 for never.
    void stallAfter(std::size_t bytes) { m_stallAfter = bytes; }
    unsigned accepted() const { return m_accepted; }

private:
    struct Link
    {
        int caller = -1;
        int target = -1;
        unsigned epoch = 0;
        std::size_t bytesBack = 0;
        bool stalled = false;
        bool closed = false;
    };

    void run();
    void acceptOne();
    bool silent(const Link &link) const;
    void forward(Link &link, int from, int to);

    std::string m_target;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stop{false};
    std::atomic<unsigned> m_epoch{0};
    std::atomic<bool> m_stallNew{false};
    std::atomic<std::size_t> m_stallAfter{0};
    std::atomic<unsigned> m_accepted{0};
    std::vector<Link> m_links;
    std::thread m_thread;
};

} // namespace ibisfork::process
