#pragma once

#include <memory>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

namespace ibisfork::net {

/// Deleters that let std::unique_ptr own the objects of libevent.
struct EventBaseDeleter
{
    /// Runs what was put off to the loop, then frees it.
    void operator()(event_base *base) const;
};

struct EventDeleter
{
    void operator()(event *item) const { event_free(item); }
};

struct EvHttpDeleter
{
    void operator()(evhttp *server) const { evhttp_free(server); }
};

struct BufferEventDeleter
{
    void operator()(bufferevent *item) const { bufferevent_free(item); }
};

struct EvBufferDeleter
{
    void operator()(evbuffer *buffer) const { evbuffer_free(buffer); }
};

using EventBasePtr = std::unique_ptr<event_base, EventBaseDeleter>;
using EventPtr = std::unique_ptr<event, EventDeleter>;
using EvHttpPtr = std::unique_ptr<evhttp, EvHttpDeleter>;
using BufferEventPtr = std::unique_ptr<bufferevent, BufferEventDeleter>;
using EvBufferPtr = std::unique_ptr<evbuffer, EvBufferDeleter>;

/// Makes an event base that other threads may wake. Throws NetError.
EventBasePtr makeEventBase();

} // namespace ibisfork::net
