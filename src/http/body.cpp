#include "http/body.h"

#include <utility>

namespace ibisfork::http {

Body::Body(std::string bytes)
    : Body(std::move(bytes), {})
{ }

Body::Body(std::string bytes, memory::Reservation reservation)
    : m_shared(std::make_shared<const Shared>(Shared{std::move(bytes), std::move(reservation)}))
{ }

void Body::appendTo(evbuffer *buffer) const
{
    if (empty()) {
        return;
    }
    auto owner = std::make_unique<std::shared_ptr<const Shared>>(m_shared);
    const auto bytes = view();
    if (evbuffer_add_reference(buffer, bytes.data(), bytes.size(), &Body::release, owner.get()) == 0) {
        // The buffer calls release() once the bytes are sent or dropped.
        static_cast<void>(owner.release());
    }
}

void Body::release(const void *, std::size_t, void *shared)
{
    const std::unique_ptr<std::shared_ptr<const Shared>> owner(static_cast<std::shared_ptr<const Shared> *>(shared));
}

} // namespace ibisfork::http
