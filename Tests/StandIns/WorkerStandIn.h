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

/// A small stand-in of a worker of the users' platform. It answers requests whole or as a stream of
/// events, takes orders for weights, and fails as it is told.
class WorkerStandIn
{
public:
    /// Answers a request instead of the worker. Returns whether it did.
    using Behaviour = std::function<boost::asio::awaitable<bool>(Http::ServerExchange &)>;

    WorkerStandIn(Core::IoThreads &threads, std::string id, std::string service);

    /// Waits for the exchanges that its behaviour still serves.
    ~WorkerStandIn();
    WorkerStandIn(const WorkerStandIn &) = delete;
    WorkerStandIn &operator=(const WorkerStandIn &) = delete;

    const std::string &id() const { return m_id; }
    /// Its entry in the store's list.
    std::string entry(const std::string &state = "ready") const;

    /// Puts another behaviour in front of the usual one.
    void setBehaviour(Behaviour behaviour);
    /// How many events a stream has.
    void setEvents(int count) { m_events = count; }

    /// The requests that reached it, orders and questions apart.
    std::vector<Http::Request> requests() const;
    /// The requests that it ran.
    std::size_t runs() const { return m_runs; }
    /// The bodies of the orders that it accepted.
    std::vector<std::string> orders() const;
    std::uint64_t weights() const { return m_weights; }
    /// How long an order takes.
    void setOrderTime(std::chrono::milliseconds time) { m_orderTime = time; }

    /// The headers of an answer to the request, with its seal.
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
    std::chrono::milliseconds m_orderTime {10};
    std::unique_ptr<Http::Server> m_server;
};

} // namespace StandIns
