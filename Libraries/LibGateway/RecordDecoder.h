#pragma once

#include <LibCore/Result.h>
#include <LibGateway/FleetLog.h>
#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/UpstreamReport.h>

#include <string>
#include <variant>

namespace Gateway {

/// The operator's word that a model's weights are to be of this version.
struct WeightsTarget
{
    std::string model;
    std::uint64_t version = 0;
};

/// A record under a key that means nothing to this program.
struct UnknownRecord
{ };

using OperatorRecord = std::variant<GatewayConfiguration, WeightsTarget, UnknownRecord>;

/// Reads the records that operators and upstreams write, in whatever encoding they come.
class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;

    /// Fails with ConfigurationInvalid, naming the key and the fault.
    virtual Core::Result<OperatorRecord> decodeOperator(const FleetRecord &record) const = 0;
    /// Fails with ConfigurationInvalid for an entry that names no upstream to use.
    virtual Core::Result<UpstreamReport> decodeUpstream(const FleetRecord &record) const = 0;
};

} // namespace Gateway
