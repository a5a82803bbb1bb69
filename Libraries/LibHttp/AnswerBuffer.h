#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/BodyBudget.h>
#include <LibHttp/ServerExchange.h>
#include <LibHttp/UnreadAnswers.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Http {

/// Holds the bytes of a streamed response that the caller has not accepted yet, so that they can be
/// read from an upstream at the upstream's pace. A coroutine of its own sends them in order, while
/// more are added. To be used on the exchange's thread, after startStream().
///
/// Addresses callers that read slowly: without it, an upstream cannot send before the caller has
/// read, and aborts an answer that stays unread for some seconds. What is held is taken from the
/// budget of the exchange; when that has no room, write() waits for the caller as
/// ServerExchange::write() does.
class AnswerBuffer
{
public:
    /// The memory that one answer may take, however much the budget has left.
    static constexpr std::size_t MaxHeldBytes = 16 * 1024 * 1024;

    /// References to what the answers of a server share.
    struct Dependencies
    {
        const Core::Clock &clock;
        std::shared_ptr<UnreadAnswers> unread;
    };

    /// The hook is called when the caller's connection fails, or is closed because the answer is
    /// dropped; a pending or later write() throws then.
    AnswerBuffer(const boost::asio::any_io_executor &executor, ServerExchange &exchange,
                 Dependencies dependencies, bool isRepeatable, std::function<void()> onFailure);
    /// stop() must have returned, unless the thread has ended.
    ~AnswerBuffer();
    AnswerBuffer(const AnswerBuffer &) = delete;
    AnswerBuffer &operator=(const AnswerBuffer &) = delete;

    /// Adds a chunk, and waits until there is room for it or all before it was sent. Throws what
    /// ServerExchange::write() threw for an earlier chunk.
    boost::asio::awaitable<void> write(std::string chunk);
    /// Adds bytes for which the share was already taken from the budget.
    void adopt(std::string bytes, BodyBudget::Share share);
    /// Returns when all was sent; throws like write().
    boost::asio::awaitable<void> drain();
    /// Makes write() and drain() throw timed_out if they still wait after that time. The first
    /// call counts.
    void limitTime(std::chrono::milliseconds limit);
    /// Discards what is not being sent yet, and returns when the exchange is no longer used.
    boost::asio::awaitable<void> stop();

    std::size_t heldBytes() const;

private:
    struct State;
    static boost::asio::awaitable<void> send(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace Http
