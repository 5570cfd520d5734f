#include "net/libevent.h"

#include <csignal>

#include <event2/thread.h>

#include "net/exceptions.h"

namespace ibisfork::net {

void EventBaseDeleter::operator()(event_base *base) const
{
    // What is put off may put off more.
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    event_base_free(base);
}

EventBasePtr makeEventBase()
{
    static const int threads = evthread_use_pthreads();
    static const auto pipeSignal = std::signal(SIGPIPE, SIG_IGN);
    (void)pipeSignal;
    EventBasePtr base(threads == 0 ? event_base_new() : nullptr);
    if (!base) {
        throw NetError(errormessage::noEventBase);
    }
    return base;
}

} // namespace ibisfork::net
