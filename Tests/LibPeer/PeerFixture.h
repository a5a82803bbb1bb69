#pragma once

#include <LibPeer/PeerClient.h>
#include <LibPeer/PeerServer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <string>
#include <thread>
#include <vector>

/// Returns the settings of one instance in the test environment.
inline Peer::PeerSettings peerSettings(const std::string &instance)
{
    Peer::PeerSettings settings;
    settings.environment = "trial";
    settings.self = {Core::InstanceId(instance), Core::DataCentreId("harju-1"), instance.size(), 0};
    settings.key = "a shared key for tests only";
    return settings;
}

/// Runs an io_context on several threads during a test.
class PeerThreads
{
public:
    PeerThreads()
        : m_work(boost::asio::make_work_guard(m_context))
    {
        for (int n = 0; n < 3; ++n)
            m_threads.emplace_back([this] { m_context.run(); });
    }
    ~PeerThreads()
    {
        m_context.stop();
        for (auto &thread : m_threads)
            thread.join();
    }
    PeerThreads(const PeerThreads &) = delete;
    PeerThreads &operator=(const PeerThreads &) = delete;

    boost::asio::io_context &context() { return m_context; }

    /// Runs a coroutine to completion and returns its result or throws its error.
    template <typename T>
    T wait(boost::asio::awaitable<T> work)
    {
        return boost::asio::co_spawn(m_context, std::move(work), boost::asio::use_future).get();
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

/// Returns handlers that answer each claim query with the key of the query.
inline Peer::PeerHandlers echoHandlers()
{
    Peer::PeerHandlers handlers;
    handlers.onRequest = [](Peer::PeerIdentity,
                            Peer::Body request) -> boost::asio::awaitable<Peer::Body> {
        Peer::Wire::ClaimReplyT reply;
        const auto &key = request.AsClaimQuery()->key;
        reply.answer.assign(key.begin(), key.end());
        co_return Peer::makeBody(std::move(reply));
    };
    return handlers;
}

inline Peer::Body claimQuery(const std::string &key)
{
    Peer::Wire::ClaimQueryT query;
    query.key = key;
    return Peer::makeBody(std::move(query));
}
