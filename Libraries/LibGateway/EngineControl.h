#pragma once

#include <LibGateway/UpstreamReport.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace Gateway {

/// What an engine says of itself when asked.
struct EngineState
{
    /// Orders that it accepted in this life.
    std::uint64_t ordersAccepted = 0;
    /// Whether it carries out an order.
    bool isBusy = false;
    unsigned waiting = 0;
    unsigned running = 0;
    std::map<std::string, std::uint64_t> weights;
};

/// An order to take other weights. Runs under way finish on the old ones first.
struct WeightsOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string holder;
    std::uint64_t fencingToken = 0;
    /// The engine carries the order out only if it has accepted this many before.
    std::uint64_t expectedOrders = 0;
};

enum class OrderOutcome {
    Accepted,
    AlreadyInForce,
    /// Another order is in progress, or the expected number of orders differs.
    Conflict,
    /// The engine has seen a higher fencing token, or is another upstream.
    Rejected,
};

/// Asks engines for their state and gives them orders. Calls throw Error when no answer came; an
/// order may then be carried out all the same, later.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    virtual boost::asio::awaitable<EngineState> state(const UpstreamReport &engine) = 0;
    /// Waits for news of a store of prompt parts behind the position, and moves it on. Returns the
    /// number of the store's life.
    virtual boost::asio::awaitable<std::uint64_t> storeEpoch(Http::Endpoint store,
                                                             std::uint64_t &position) = 0;
    virtual boost::asio::awaitable<OrderOutcome> order(const UpstreamReport &engine,
                                                       const WeightsOrder &order) = 0;
};

} // namespace Gateway
