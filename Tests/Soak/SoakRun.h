#pragma once

#include "Clients.h"
#include "GatewayFleet.h"
#include "Judge.h"
#include "Schedule.h"
#include "UpstreamFleet.h"
#include "World.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Soak {

struct SoakOptions
{
    std::uint64_t seed = 1;
    Time length {25'000};
    unsigned instances = 6;
    unsigned upstreams = 8;
    unsigned clients = 40;
    unsigned zones = 1;
    /// Whether upstreams name limits at times.
    bool hasLimits = false;
    /// Troubles to play instead of those of the seed.
    std::vector<Step> steps;
    /// A program of this build, or an absolute path.
    std::string gateway = "jujubesaddle-gateway";
    /// Where the logs of instances and the report go.
    std::string folder;
};

struct SoakResult
{
    std::vector<Break> breaks;
    std::size_t requests = 0;
    std::size_t arrivals = 0;
    std::size_t served = 0;
    std::size_t steps = 0;
    /// The number of requests by the status that their clients saw; "0" without an answer.
    std::map<std::string, std::size_t> statuses;
    /// The greatest share of the retry budget that a window used.
    double retryUse = 0;
    /// Of one gateway process, in bytes.
    std::size_t greatestMemory = 0;
    Time greatestLag {0};

    /// Returns the number of breaks of each rule as one line.
    std::string summary() const;
};

/// Plays a schedule of troubles against gateway processes, and judges what was seen.
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);

    SoakResult run();

private:
    boost::asio::awaitable<void> play();
    boost::asio::awaitable<void> measureLag();
    boost::asio::awaitable<void> endStoreTrouble(std::vector<std::string> callers, Time time);
    void apply(const Step &step);
    void applyToGateways(const Step &step);
    void applyToStore(const Step &step);
    void applyToUpstreams(const Step &step);
    void configure();
    void writeReport(const SoakResult &result) const;

    SoakOptions m_options;
    Shape m_shape;
    std::vector<Step> m_steps;
    Core::IoThreads m_storeThreads {2};
    StandIns::StoreStandIn m_store {m_storeThreads};
    World m_world;
    UpstreamFleet m_upstreams;
    GatewayFleet m_gateways;
    Clients m_clients;
    unsigned m_version = 0;
    bool m_hasPassingRoute = true;
    unsigned m_passingKeys = 1;
    /// The number of troubles of the store that concern a caller.
    std::map<std::string, unsigned> m_storeTroubles;
    Time m_greatestLag {0};
};

} // namespace Soak
