#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "net/address.h"
#include "net/httpcall.h"

namespace ibisfork::platform {

/// What a judge thinks of an answer; @c score is from 0 to 1.
struct Rating
{
    std::string requestId;
    std::string workspace;
    /// model@version that gave the answer.
    std::string version;
    std::string judge;
    double score = 0.0;
};

struct RatingsPage
{
    std::vector<Rating> ratings;
    /// Where to read on.
    std::uint64_t next = 0;
};

/// The platform's service that rates answers, over HTTP. Lives on one event loop; one read at a time.
class RatingsClient
{
public:
    RatingsClient(event_base *base, net::Address address, base::Duration timeout);

    /// Reads the ratings after @p position; gives nothing if the service does not answer in time. Ratings that
    /// can't be read are passed over. A read that is asked
    /// for while one runs is dropped.
    void read(std::uint64_t position, const std::function<void(std::optional<RatingsPage>)> &done);

private:
    event_base *m_base;
    net::Address m_address;
    base::Duration m_timeout;
    std::unique_ptr<net::HttpCall> m_call;
};

} // namespace ibisfork::platform
