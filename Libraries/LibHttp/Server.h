#pragma once

#include <LibCore/IoThreads.h>
#include <LibCore/Result.h>
#include <LibCore/Snapshot.h>
#include <LibHttp/BodyBudget.h>
#include <LibHttp/Endpoint.h>
#include <LibHttp/IdleConnections.h>
#include <LibHttp/ServerExchange.h>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace Http {

/// Time and size limits of requests and connections.
struct ServerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// The whole request must arrive within this time after its first byte.
    std::chrono::milliseconds requestTime {10'000};
    /// A connection without a request is closed after this time.
    std::chrono::milliseconds idleTime {60'000};
    /// A connection whose caller accepts no bytes for this long is closed.
    std::chrono::milliseconds writeTime {30'000};
    /// Holds the bodies of requests until their response has been sent. A request that finds no
    /// room is refused with Overloaded before its body is read. Null means no limit.
    std::shared_ptr<BodyBudget> bodyBudget;
};

/// Serves HTTP/1.1 on one port, with connections spread over the threads.
class Server
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(ServerExchange &)>;

    /// Opens the port; 0 selects a free one. Fails with SettingsInvalid. The hook is called when a
    /// connection finds no free descriptor, which is tried again shortly after; it may be empty.
    static Core::Result<std::unique_ptr<Server>>
    create(Core::IoThreads &threads, const Endpoint &endpoint, const ServerLimits &limits,
           Handler handler, std::function<void()> onDescriptorsExhausted = {});
    ~Server();

    Endpoint localEndpoint() const;
    /// Changes the limits for subsequent requests.
    void setLimits(const ServerLimits &limits);
    /// Keeps accepting connections, but closes each after its next response (Connection: close).
    void beginDrain();
    /// Closes idle connections, except those whose request has arrived and new ones on which the
    /// first request may be on its way. A request that crosses the close is not read.
    void closeIdle();
    /// Closes the port and makes connections end after their current exchange. Connections that
    /// callers have already established are still served.
    void stopAccepting();
    /// Whether the port and all connections are closed, so that no other request will be read.
    bool hasEnded() const;
    /// Running exchanges, from the first byte of the request to the last of the response.
    std::size_t activeExchanges() const;

    /// State shared with the connections, which may outlive the server.
    struct Shared;

private:
    class Acceptor;
    Server(std::shared_ptr<Shared> shared, std::shared_ptr<Acceptor> acceptor);

    std::shared_ptr<Shared> m_shared;
    std::shared_ptr<Acceptor> m_acceptor;
};

struct Server::Shared
{
    explicit Shared(const ServerLimits &limits)
        : limits(std::make_shared<ServerLimits>(limits))
    { }

    Core::Snapshot<ServerLimits> limits;
    Handler handler;
    std::function<void()> onDescriptorsExhausted;
    std::atomic<std::size_t> activeExchanges {0};
    std::atomic<bool> stopping {false};
    std::atomic<bool> draining {false};
    /// Whether the server was destroyed, so that no handler may be called any more.
    std::atomic<bool> abandoned {false};
    /// Owned by the open port and by each open connection.
    std::weak_ptr<void> open;
    IdleConnections idle;
};

} // namespace Http
