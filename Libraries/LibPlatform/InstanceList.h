#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Result.h>
#include <LibHttp/Endpoint.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

enum class InstanceRole {
    Entry,
    Upstream,
};

enum class InstanceState {
    Live,
    Leaving,
};

/// One entry of the platform's list.
struct ListedInstance
{
    std::string id;
    Core::DataCentreId dataCentre;
    InstanceRole role = InstanceRole::Upstream;
    /// The upstream group; empty for entry instances.
    Core::UpstreamGroupId group;
    /// The address for requests; for entry instances the peer port.
    Http::Endpoint address;
    /// An entry instance's admin port.
    std::optional<Http::Endpoint> admin;
    InstanceState state = InstanceState::Live;
    /// Changes with each restart.
    std::uint64_t incarnation = 0;
};

/// The platform's list of live and leaving instances, which may be out of date.
struct InstanceList
{
    std::vector<ListedInstance> instances;
};

/// Parses the JSON of the list. Fails with PlatformUnavailable when it is invalid.
Core::Result<InstanceList> parseInstanceList(std::string_view json);

/// A source of the instance list.
class InstanceDirectory
{
public:
    virtual ~InstanceDirectory() = default;
    /// Returns the current list. Throws Error(PlatformUnavailable) when there is no answer.
    virtual boost::asio::awaitable<InstanceList> list() = 0;
};

} // namespace Platform
