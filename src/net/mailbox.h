#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include "net/guard.h"
#include "net/libevent.h"

namespace ibisfork::net {

/// Messages to a task: any thread posts, the task's own thread handles them in order.
template<typename Message>
class Mailbox
{
public:
    using Handler = std::function<void(Message)>;

    Mailbox(event_base *base, Handler handler)
        : m_handler(std::move(handler))
        , m_event(event_new(base, -1, EV_PERSIST, &Mailbox::onEvent, this))
    { }

    void post(Message message)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_messages.push_back(std::move(message));
        }
        event_active(m_event.get(), EV_READ, 0);
    }

private:
    static void onEvent(evutil_socket_t, short, void *self) { static_cast<Mailbox *>(self)->drain(); }

    void drain()
    {
        std::vector<Message> messages;
        {
            const std::lock_guard lock(m_mutex);
            messages.swap(m_messages);
        }
        for (auto &message : messages) {
            runGuarded("message", [&] { m_handler(std::move(message)); });
        }
    }

    Handler m_handler;
    std::mutex m_mutex;
    std::vector<Message> m_messages;
    EventPtr m_event;
};

} // namespace ibisfork::net
