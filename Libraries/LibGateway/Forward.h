#pragma once

namespace Gateway {

class ConfigurationState;
class EngineControl;
class FleetLog;
class FleetWatcher;
class Gateway;
class KvCacheStore;
class PrefixCacheEstimate;
class RequestDialect;
class RetryBudgetShare;
class Upstream;
class UpstreamFleet;
class WeightsRollout;
struct CallerRequest;
struct GatewayConfiguration;
struct Route;
struct Service;
struct Tenant;
struct UpstreamReport;

} // namespace Gateway
