#pragma once

#include "../StandIns/StoreStandIn.h"
#include "History.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace Soak {

/// Random decisions from a seed.
class Dice
{
public:
    explicit Dice(std::uint64_t seed)
        : m_engine(seed)
    { }

    /// Returns a number from low to high, including both.
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low
               + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(high - low + 1));
    }
    Time time(std::int64_t low, std::int64_t high) { return Time(between(low, high)); }
    bool chance(double probability)
    {
        constexpr std::int64_t Steps = 1'000'000;
        return static_cast<double>(between(0, Steps - 1)) < probability * Steps;
    }

private:
    std::mt19937_64 m_engine;
};

/// What the parts of a run share. All of it belongs to one thread, except the store's own threads.
struct World
{
    World(StandIns::StoreStandIn &storeStandIn, std::uint64_t seed)
        : store(storeStandIn)
        , dice(seed)
    { }

    Time now() const
    {
        return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - start);
    }

    /// Returns the data centre of the n-th instance, or of the n-th upstream of a service.
    std::string zone(std::size_t n) const
    {
        return std::string(1, static_cast<char>('a' + n % zones));
    }

    boost::asio::io_context context;
    StandIns::StoreStandIn &store;
    Dice dice;
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    History history;
    unsigned zones = 1;
    /// Upstreams cannot write to the store either.
    bool isStoreDown = false;
    bool isStopping = false;
};

boost::asio::awaitable<void> pause(Time time);

} // namespace Soak
