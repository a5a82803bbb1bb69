#pragma once

#include <LibConfiguration/ConfigurationRecord.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <jujubectl/Context.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubectl {

/// The state of an upstream as an instance reports it.
struct UpstreamStatus
{
    std::string id;
    std::string group;
    std::uint64_t incarnation = 0;
    std::int64_t inFlight = 0;
    bool isLeaving = false;
    bool isSuspected = false;
};

/// The status that an instance reports at GET /status.
struct InstanceStatus
{
    std::string instance;
    std::string dataCentre;
    std::string version;
    Configuration::Generation generation = 0;
    bool isReady = false;
    bool isDraining = false;
    std::vector<UpstreamStatus> upstreams;
    /// The unparsed answer.
    boost::json::value raw;
};

/// Parses the answer to GET /status. An absent field keeps its default.
InstanceStatus parseInstanceStatus(boost::json::value answer);

/// A target and its status, or the error that prevented reading it.
struct TargetStatus
{
    AdminTarget target;
    bool isReachable = false;
    InstanceStatus status;
    std::string fault;
};

/// Queries all targets one after the other.
boost::asio::awaitable<std::vector<TargetStatus>> fetchStatuses(Context &context);

} // namespace Jujubectl
