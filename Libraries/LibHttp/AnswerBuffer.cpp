#include <LibHttp/AnswerBuffer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <deque>
#include <exception>
#include <optional>
#include <utility>

namespace Http {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// Long chunks are sent in pieces, so that a caller that reads slowly is told from one that reads
// nothing.
constexpr std::size_t PieceBytes = 64 * 1024;
// How often a chunk that found no room tries again, since other exchanges return memory at any
// time.
constexpr auto RoomCheckInterval = 50ms;

} // namespace

struct AnswerBuffer::State
{
    struct Item
    {
        std::string bytes;
        /// Memory that was reserved for these bytes alone, if they do not count as held.
        BodyBudget::Share share;
        bool isHeld = true;
    };

    State(const asio::any_io_executor &executor, ServerExchange &exchange,
          Dependencies dependencies, bool isRepeatable, std::function<void()> onFailure)
        : exchange(exchange)
        , dependencies(std::move(dependencies))
        , onFailure(std::move(onFailure))
        , budget(exchange.bodyBudget())
        , share(budget, BodyPurpose::Streams)
        , changed(executor)
        // The write that the caller has left pending fails then.
        , entry(std::in_place, this->dependencies.unread, isRepeatable,
                [this] { this->exchange.drop(); })
    { }

    void fail(std::exception_ptr reason)
    {
        if (failure)
            return;
        failure = std::move(reason);
        clear();
        changed.cancel();
        if (onFailure)
            onFailure();
    }

    void clear()
    {
        items.clear();
        held = 0;
        share.shrinkTo(0);
    }

    bool takeRoom(std::size_t bytes)
    {
        const bool hasRoom = held + bytes <= MaxHeldBytes && share.growTo(held + bytes);
        if (budget && budget->isNearlyFull())
            dependencies.unread->dropLongestUnread(dependencies.clock.now());
        return hasRoom;
    }

    void throwIfEnded() const
    {
        if (failure)
            std::rethrow_exception(failure);
        if (giveUpAt && *giveUpAt <= dependencies.clock.now())
            throw boost::system::system_error(asio::error::timed_out);
    }

    asio::awaitable<void> awaitChange()
    {
        changed.expires_after(RoomCheckInterval);
        boost::system::error_code ec;
        co_await changed.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    ServerExchange &exchange;
    Dependencies dependencies;
    std::function<void()> onFailure;
    std::shared_ptr<BodyBudget> budget;
    std::deque<Item> items;
    /// The bytes that the share counts.
    std::size_t held = 0;
    BodyBudget::Share share;
    asio::steady_timer changed;
    std::optional<UnreadAnswers::Entry> entry;
    bool isSending = false;
    bool isStopped = false;
    std::exception_ptr failure;
    std::optional<Core::Clock::Monotonic> giveUpAt;
};

AnswerBuffer::AnswerBuffer(const asio::any_io_executor &executor, ServerExchange &exchange,
                           Dependencies dependencies, bool isRepeatable,
                           std::function<void()> onFailure)
    : m_state(std::make_shared<State>(executor, exchange, std::move(dependencies), isRepeatable,
                                      std::move(onFailure)))
{ }

AnswerBuffer::~AnswerBuffer()
{
    m_state->onFailure = nullptr;
    m_state->clear();
    // The list of unread answers may end before the coroutine does.
    m_state->entry.reset();
}

std::size_t AnswerBuffer::heldBytes() const
{
    return m_state->held;
}

asio::awaitable<void> AnswerBuffer::send(std::shared_ptr<State> state)
{
    std::exception_ptr failure;
    try {
        while (!state->items.empty()) {
            auto item = std::move(state->items.front());
            state->items.pop_front();
            const auto size = item.bytes.size();
            for (std::size_t at = 0; at < size && !state->isStopped; at += PieceBytes) {
                if (state->entry)
                    state->entry->noteUnread(state->dependencies.clock.now());
                auto piece =
                    size <= PieceBytes ? std::move(item.bytes) : item.bytes.substr(at, PieceBytes);
                co_await state->exchange.write(std::move(piece));
            }
            if (item.isHeld) {
                state->held -= std::min(state->held, size);
                state->share.shrinkTo(state->held);
            }
            state->changed.cancel();
        }
    } catch (...) {
        failure = std::current_exception();
    }
    state->isSending = false;
    if (state->entry)
        state->entry->noteRead();
    if (failure)
        state->fail(failure);
    state->changed.cancel();
}

asio::awaitable<void> AnswerBuffer::write(std::string chunk)
{
    // Keeps the state for the case that the buffer ends while this waits.
    const auto state = m_state;
    state->throwIfEnded();
    while (!state->takeRoom(chunk.size()) && state->isSending) {
        co_await state->awaitChange();
        state->throwIfEnded();
    }
    state->held += chunk.size();
    state->items.push_back({std::move(chunk), {}, true});
    if (std::exchange(state->isSending, true))
        co_return;
    asio::co_spawn(state->changed.get_executor(), send(state), asio::detached);
}

void AnswerBuffer::adopt(std::string bytes, BodyBudget::Share share)
{
    m_state->items.push_back({std::move(bytes), std::move(share), false});
    if (!std::exchange(m_state->isSending, true))
        asio::co_spawn(m_state->changed.get_executor(), send(m_state), asio::detached);
}

asio::awaitable<void> AnswerBuffer::drain()
{
    const auto state = m_state;
    state->throwIfEnded();
    while (state->isSending) {
        co_await state->awaitChange();
        state->throwIfEnded();
    }
}

void AnswerBuffer::limitTime(std::chrono::milliseconds limit)
{
    if (m_state->giveUpAt)
        return;
    m_state->giveUpAt = m_state->dependencies.clock.now() + limit;
    m_state->changed.cancel();
}

asio::awaitable<void> AnswerBuffer::stop()
{
    const auto state = m_state;
    state->isStopped = true;
    state->onFailure = nullptr;
    state->clear();
    while (state->isSending)
        co_await state->awaitChange();
}

} // namespace Http
