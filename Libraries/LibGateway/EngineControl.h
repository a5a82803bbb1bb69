#pragma once

#include <LibGateway/UpstreamReport.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Gateway {

/// The state that an engine reports on request.
struct EngineState
{
    /// Number of orders accepted since the engine started.
    std::uint64_t ordersAccepted = 0;
    /// Whether the engine is executing an order.
    bool isBusy = false;
    unsigned waiting = 0;
    unsigned running = 0;
    std::map<std::string, std::uint64_t> weights;
};

/// An order to load another version of the weights. Running requests finish on the old version
/// first.
struct WeightsOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string holder;
    std::uint64_t fencingToken = 0;
    /// The engine rejects the order unless it has accepted exactly this many orders before.
    std::uint64_t expectedOrders = 0;
};

enum class OrderOutcome {
    Accepted,
    AlreadyInForce,
    /// Another order is in progress, or the number of accepted orders differs from the expected
    /// one.
    Conflict,
    /// The engine has seen a higher fencing token, or another upstream answers at the address.
    Rejected,
};

/// Queries the state of engines and sends them orders. Calls throw Core::Error if no answer
/// arrives; the engine may still execute such an order later.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    virtual boost::asio::awaitable<EngineState> state(const UpstreamReport &engine) = 0;
    /// Long-polls a KV cache store for events after the position, and advances the position.
    /// Returns the epoch of the store process.
    virtual boost::asio::awaitable<std::uint64_t> storeEpoch(Http::Endpoint store,
                                                             std::uint64_t &position) = 0;
    /// Sends the order only if maySend, called right before its first byte is written, returns
    /// true; otherwise throws Core::Error. An order is sent at most once.
    virtual boost::asio::awaitable<OrderOutcome> order(const UpstreamReport &engine,
                                                       const WeightsOrder &order,
                                                       std::function<bool()> maySend) = 0;
};

} // namespace Gateway
