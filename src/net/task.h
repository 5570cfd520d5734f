#pragma once

#include <functional>
#include <string>
#include <thread>

#include "net/libevent.h"

namespace ibisfork::net {

/// A thread with an event loop. What is built in start() lives and dies on that thread.
class Task
{
public:
    explicit Task(std::string name);
    ~Task();
    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    event_base *base() const { return m_base.get(); }

    /// Starts the loop's thread.
    void start();
    /// Ends the loop and waits for the thread; safe from other threads only.
    void stop();

private:
    void run();

    std::string m_name;
    EventBasePtr m_base;
    std::thread m_thread;
};

} // namespace ibisfork::net
