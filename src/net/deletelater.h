#pragma once

#include <memory>

#include "net/libevent.h"

namespace ibisfork::net {

/// Destroys @p object from the loop, for objects that may be inside one of their own functions.
template<typename Object>
void deleteLater(event_base *base, std::unique_ptr<Object> object)
{
    const auto destroy = [](evutil_socket_t, short, void *self) {
        delete static_cast<Object *>(self);
    };
    const timeval now{0, 0};
    if (object) {
        event_base_once(base, -1, EV_TIMEOUT, destroy, object.release(), &now);
    }
}

} // namespace ibisfork::net
