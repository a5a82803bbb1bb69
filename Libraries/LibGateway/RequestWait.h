#pragma once

#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/RequestQueue.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace Gateway {

/// The place of one request in the queue of its instance, from construction to destruction.
class RequestWait
{
public:
    enum class Call {
        /// The request is to be planned now.
        Plan,
        /// It has to be refused: it cannot be served in time, or lost its place.
        Leave,
        /// It has to check whether it may still be sent.
        Check,
    };

    /// Queues the request. Returns null if it may not wait. The executor is that of the request.
    static std::unique_ptr<RequestWait> enter(Gateway &gateway, const AcceptedRequest &request,
                                              std::size_t bytes,
                                              const Capacity::WaitingOutlook &outlook,
                                              const boost::asio::any_io_executor &executor);
    ~RequestWait();
    RequestWait(const RequestWait &) = delete;
    RequestWait &operator=(const RequestWait &) = delete;

    /// Waits until the request has to do something.
    boost::asio::awaitable<Call> next();
    /// Records that the request was planned and found no capacity. Returns whether it may go on
    /// waiting.
    bool stay(const Capacity::WaitingOutlook &outlook);
    void wake(Call call = Call::Check);

private:
    RequestWait(Gateway &gateway, Capacity::WaitingRoom::Number number,
                const boost::asio::any_io_executor &executor);

    std::weak_ptr<RequestQueue> m_queue;
    const Core::Clock &m_clock;
    Capacity::WaitingRoom::Number m_number;
    std::optional<Call> m_call;
    boost::asio::steady_timer m_timer;
};

/// Returns the team's use of its share of the route's engines; 1 or less is within the share.
double teamUseOf(Gateway &gateway, const AcceptedRequest &request);

/// Returns when the caller of a request that is refused for want of capacity should return; empty
/// if it has no time for that.
std::optional<std::chrono::milliseconds> promiseReturn(Gateway &gateway,
                                                       const AcceptedRequest &request,
                                                       const Capacity::WaitingOutlook &outlook);

} // namespace Gateway
