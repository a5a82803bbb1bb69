#pragma once

#include <boost/beast/core/tcp_stream.hpp>

#include <list>
#include <memory>
#include <mutex>

namespace Http {

/// The server connections that wait for a request, so that the server can close them on shutdown.
/// Safe from any thread.
class IdleConnections
{
public:
    /// Registers a connection as idle during the lifetime of the entry.
    class Entry
    {
    public:
        Entry(IdleConnections &list, boost::beast::tcp_stream &stream, bool hasServed);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

    private:
        struct State;
        friend class IdleConnections;

        IdleConnections &m_list;
        std::shared_ptr<State> m_state;
        std::list<std::weak_ptr<State>>::iterator m_position;
    };

    /// Closes all idle connections, each on its own thread. Those whose next request has arrived
    /// stay open, and new ones as long as their first request may be on its way.
    void closeAll();

private:
    std::mutex m_mutex;
    std::list<std::weak_ptr<Entry::State>> m_entries;
};

} // namespace Http
