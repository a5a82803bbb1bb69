#include <LibCore/BackgroundLoop.h>
#include <LibCore/IoThreads.h>

#include <algorithm>
#include <exception>

namespace Core {

namespace {

constexpr int OneThread = 1;

/// Runs the context until it is stopped. An exception of a handler only ends that handler.
void runContext(boost::asio::io_context &context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &fault) {
            logUnexpected("completion handler", fault.what());
        }
    }
}

} // namespace

IoThreads::IoThreads(std::size_t count)
{
    count = std::max<std::size_t>(count, 1);
    m_contexts.reserve(count);
    m_guards.reserve(count);
    m_threads.reserve(count);
    for (std::size_t n = 0; n < count; ++n) {
        m_contexts.push_back(std::make_unique<boost::asio::io_context>(OneThread));
        m_guards.push_back(boost::asio::make_work_guard(*m_contexts.back()));
    }
    for (const auto &context : m_contexts)
        m_threads.emplace_back([&context = *context] { runContext(context); });
}

IoThreads::~IoThreads()
{
    stop();
}

boost::asio::io_context &IoThreads::next()
{
    return at(m_next.fetch_add(1, std::memory_order_relaxed));
}

boost::asio::io_context &IoThreads::at(std::size_t index)
{
    return *m_contexts[index % m_contexts.size()];
}

void IoThreads::stop()
{
    for (const auto &context : m_contexts)
        context->stop();
    for (auto &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace Core
