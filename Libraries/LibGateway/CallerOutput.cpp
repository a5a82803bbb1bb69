#include <LibGateway/CallerOutput.h>

#include <boost/asio/this_coro.hpp>

#include <utility>

namespace Gateway {

namespace asio = boost::asio;

CallerOutput::CallerOutput(Gateway &gateway, Http::ServerExchange &exchange)
    : m_gateway(gateway)
    , m_exchange(exchange)
{ }

bool CallerOutput::isHolding() const
{
    return m_gateway.dependencies().settings.isMemoryScarce;
}

asio::awaitable<void> CallerOutput::respond(Http::Response response, bool isRepeatable)
{
    if (!isHolding()) {
        co_await m_exchange.respond(std::move(response));
        co_return;
    }
    m_isRepeatable = isRepeatable;
    m_response = std::move(response);
}

asio::awaitable<void> CallerOutput::startStream(unsigned status, Http::Headers headers,
                                                bool isRepeatable, std::function<void()> onFailure)
{
    m_isStream = true;
    co_await m_exchange.startStream(status, std::move(headers));
    if (!isHolding())
        co_return;
    const auto executor = co_await asio::this_coro::executor;
    Http::AnswerBuffer::Dependencies dependencies {m_gateway.dependencies().clock,
                                                   m_gateway.unreadAnswers()};
    m_buffer = std::make_unique<Http::AnswerBuffer>(executor, m_exchange, std::move(dependencies),
                                                    isRepeatable, std::move(onFailure));
}

asio::awaitable<void> CallerOutput::write(std::string chunk)
{
    if (m_buffer)
        co_await m_buffer->write(std::move(chunk));
    else
        co_await m_exchange.write(std::move(chunk));
}

asio::awaitable<void> CallerOutput::writeReserved(std::string bytes)
{
    if (m_buffer)
        m_buffer->adopt(std::move(bytes), m_exchange.takeReserved());
    else
        co_await m_exchange.write(std::move(bytes));
}

asio::awaitable<void> CallerOutput::finishStream()
{
    m_isFinished = true;
    if (!m_buffer)
        co_await m_exchange.finishStream();
}

void CallerOutput::cutUnfinished()
{
    if (m_isStream && !m_isFinished)
        m_exchange.drop();
}

asio::awaitable<void> CallerOutput::settle()
{
    if (m_response) {
        Http::UnreadAnswers::Entry entry(m_gateway.unreadAnswers(), m_isRepeatable,
                                         [this] { m_exchange.drop(); });
        entry.noteUnread(m_gateway.dependencies().clock.now());
        auto response = std::move(*m_response);
        m_response.reset();
        co_await m_exchange.respond(std::move(response));
        co_return;
    }
    if (!m_buffer)
        co_return;
    m_buffer->limitTime(SettleTime);
    co_await m_buffer->drain();
    if (m_isFinished)
        co_await m_exchange.finishStream();
}

void CallerOutput::limitTime(std::chrono::milliseconds limit)
{
    if (m_buffer)
        m_buffer->limitTime(limit);
}

asio::awaitable<void> CallerOutput::stop()
{
    if (m_buffer)
        co_await m_buffer->stop();
}

} // namespace Gateway
