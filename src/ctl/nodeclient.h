#pragma once

#include <string>

#include <ibisfork/base/error.h>
#include <nlohmann/json.hpp>

#include "net/address.h"
#include "net/httpmessage.h"

namespace ibisfork::ctl {

/// A node that does not answer, or answers with an error.
class NodeError : public base::Error
{
public:
    using Error::Error;
};

/// The operators' interface of one node; calls wait for the answer.
class NodeClient
{
public:
    explicit NodeClient(net::Address address);

    /// Throws NodeError.
    nlohmann::json get(const std::string &path) const;
    nlohmann::json post(const std::string &path, const nlohmann::json &body) const;

private:
    nlohmann::json call(net::HttpRequest request) const;

    net::Address m_address;
};

} // namespace ibisfork::ctl
