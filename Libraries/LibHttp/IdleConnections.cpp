#include <LibHttp/IdleConnections.h>

#include <boost/asio/post.hpp>

namespace Http {

struct IdleConnections::Entry::State
{
    boost::beast::tcp_stream &stream;
    bool isIdle = true;
};

IdleConnections::Entry::Entry(IdleConnections &list, boost::beast::tcp_stream &stream)
    : m_list(list)
    , m_state(std::make_shared<State>(State {stream}))
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
            if (state->isIdle)
                state->stream.cancel();
        });
    }
}

} // namespace Http
