#include <LibHttp/IdleConnections.h>

#include <boost/asio/post.hpp>

#include <chrono>

namespace Http {

namespace {
// Callers that open a connection send their request at once, or as soon as they are scheduled.
constexpr std::chrono::seconds FirstRequestTime {1};
} // namespace

struct IdleConnections::Entry::State
{
    /// Whether a request has arrived, or the first one may be on its way.
    bool isAwaited() const
    {
        boost::system::error_code ec;
        if (stream.socket().available(ec) > 0)
            return true;
        return !hasServed && std::chrono::steady_clock::now() - begin < FirstRequestTime;
    }

    boost::beast::tcp_stream &stream;
    bool hasServed;
    bool isIdle = true;
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
};

IdleConnections::Entry::Entry(IdleConnections &list, boost::beast::tcp_stream &stream,
                              bool hasServed)
    : m_list(list)
    , m_state(std::make_shared<State>(State {stream, hasServed}))
{
    const std::scoped_lock lock(m_list.m_mutex);
    m_position = m_list.m_entries.insert(m_list.m_entries.end(), m_state);
}

IdleConnections::Entry::~Entry()
{
    m_state->isIdle = false;
    const std::scoped_lock lock(m_list.m_mutex);
    m_list.m_entries.erase(m_position);
}

void IdleConnections::closeAll()
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &entry : m_entries) {
        const auto state = entry.lock();
        if (!state)
            continue;
        // Check on the connection's own thread, since a request may have started in the meantime.
        boost::asio::post(state->stream.get_executor(), [state] {
            if (state->isIdle && !state->isAwaited())
                state->stream.cancel();
        });
    }
}

} // namespace Http
