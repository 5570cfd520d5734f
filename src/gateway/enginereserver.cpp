#include "gateway/enginereserver.h"

#include <algorithm>

#include "http/status.h"
#include "platform/callcodec.h"

namespace ibisfork::gateway {

namespace {

/// The request follows its reservation at once; one that is not used holds room for no longer than this.
constexpr std::chrono::milliseconds reservationTime{500};

EngineReserver::Reply replyOf(const http::CallAnswer &answer)
{
    EngineReserver::Reply reply;
    reply.isAnswered = answer.head.status != http::CallClient::noAnswer;
    reply.answer = platform::decodeAnswer(answer.head);
    if (answer.head.status == http::status::ok) {
        reply.reservation = platform::decodeReservation(answer.body);
    }
    return reply;
}

} // namespace

EngineReserver::EngineReserver(event_base *base)
    : m_client(base)
{ }

void EngineReserver::reserve(const EngineEntry &engine,
                             std::uint64_t tokens,
                             std::chrono::milliseconds longest,
                             Replied replied)
{
    const RoomRequest room{engine.id, engine.address.text(), tokens, std::min(reservationTime, longest)};
    m_client.send(engine.address,
                  platform::encodeReserve(room),
                  replyTimeout,
                  [replied = std::move(replied)](const http::CallAnswer &answer) { replied(replyOf(answer)); });
}

} // namespace ibisfork::gateway
