#pragma once

#include <LibConfiguration/ConfigurationRecord.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <jujubectl/Context.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubectl {

/// One upstream as an instance sees it.
struct UpstreamStatus
{
    std::string id;
    std::string group;
    std::uint64_t incarnation = 0;
    std::int64_t inFlight = 0;
    bool isLeaving = false;
    bool isSuspected = false;
};

/// What an instance says of itself at GET /status.
struct InstanceStatus
{
    std::string instance;
    std::string dataCentre;
    std::string version;
    Configuration::Generation generation = 0;
    bool isReady = false;
    bool isDraining = false;
    std::vector<UpstreamStatus> upstreams;
    /// The answer as it came.
    boost::json::value raw;
};

/// Reads the answer of GET /status. A field that is absent keeps its default.
InstanceStatus parseInstanceStatus(boost::json::value answer);

/// A target and its status, or why there is none.
struct TargetStatus
{
    AdminTarget target;
    bool isReachable = false;
    InstanceStatus status;
    std::string fault;
};

/// Asks every target in turn.
boost::asio::awaitable<std::vector<TargetStatus>> fetchStatuses(Context &context);

} // namespace Jujubectl
