#include "net/task.h"

#include <pthread.h>

namespace ibisfork::net {

Task::Task(std::string name)
    : m_name(std::move(name))
    , m_base(makeEventBase())
{ }

Task::~Task()
{
    stop();
}

void Task::start()
{
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, 15).c_str());
}

void Task::stop()
{
    if (m_thread.joinable()) {
        event_base_loopbreak(m_base.get());
        m_thread.join();
    }
}

void Task::run()
{
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

} // namespace ibisfork::net
