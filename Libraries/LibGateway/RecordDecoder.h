#pragma once

#include <LibCore/Result.h>
#include <LibGateway/FleetLog.h>
#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/UpstreamReport.h>

#include <string>
#include <variant>

namespace Gateway {

/// The version of a model's weights that the operator requests.
struct WeightsTarget
{
    std::string model;
    std::uint64_t version = 0;
};

/// A record with a key that this program does not use.
struct UnknownRecord
{ };

using OperatorRecord = std::variant<GatewayConfiguration, WeightsTarget, UnknownRecord>;

/// Decodes the records of operators and upstreams, independent of their encoding.
class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;

    /// Fails with ConfigurationInvalid; the detail contains the key and the cause.
    virtual Core::Result<OperatorRecord> decodeOperator(const FleetRecord &record) const = 0;
    /// Fails with ConfigurationInvalid if the record does not describe a usable upstream.
    virtual Core::Result<UpstreamReport> decodeUpstream(const FleetRecord &record) const = 0;
};

} // namespace Gateway
