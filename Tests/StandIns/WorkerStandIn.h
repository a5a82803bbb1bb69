#pragma once

#include <LibCore/IoThreads.h>
#include <LibHttp/Server.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace StandIns {

/// A minimal stand-in for a worker of the users' platform. It answers requests as a whole or as an
/// event stream, accepts orders to load weights, and fails on command.
class WorkerStandIn
{
public:
    /// Answers a request instead of the worker. Returns whether it answered.
    using Behaviour = std::function<boost::asio::awaitable<bool>(Http::ServerExchange &)>;

    WorkerStandIn(Core::IoThreads &threads, std::string id, std::string service);

    /// Waits for the exchanges that its handlers still serve.
    ~WorkerStandIn();
    WorkerStandIn(const WorkerStandIn &) = delete;
    WorkerStandIn &operator=(const WorkerStandIn &) = delete;

    const std::string &id() const { return m_id; }
    /// Returns the worker's entry in the store's list.
    std::string entry(const std::string &state = "ready", unsigned sequence = 1) const;

    /// Lets the worker's next entries name a new incarnation, as after a restart.
    void restart() { ++m_incarnation; }

    /// Installs a handler that is tried before the default behaviour.
    void setBehaviour(Behaviour behaviour);
    /// Sets the number of events in a stream.
    void setEvents(int count) { m_events = count; }

    /// Returns the requests that were received, without orders and queries.
    std::vector<Http::Request> requests() const;
    /// Returns the number of requests that were executed.
    std::size_t runs() const { return m_runs; }
    /// Returns the bodies of the accepted orders.
    std::vector<std::string> orders() const;
    std::uint64_t weights() const { return m_weights; }
    /// Sets the duration of an order.
    void setOrderTime(std::chrono::milliseconds time) { m_orderTime = time; }

    /// Returns the headers of an answer to the request, including its seal.
    static Http::Headers answerHeaders(const Http::Request &request);

private:
    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);
    boost::asio::awaitable<void> serve(Http::ServerExchange &exchange);
    boost::asio::awaitable<void> takeOrder(Http::ServerExchange &exchange);
    Http::Response report() const;

    std::string m_id;
    std::string m_service;
    mutable std::mutex m_mutex;
    std::vector<Http::Request> m_requests;
    std::vector<std::string> m_orders;
    Behaviour m_behaviour;
    std::atomic<int> m_events {3};
    std::atomic<std::size_t> m_runs {0};
    std::atomic<std::uint64_t> m_weights {1};
    std::atomic<bool> m_isBusy {false};
    std::atomic<std::uint64_t> m_incarnation {1};
    std::chrono::milliseconds m_orderTime {10};
    std::unique_ptr<Http::Server> m_server;
};

} // namespace StandIns
