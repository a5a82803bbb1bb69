#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace Core {

/// A fixed number of threads, each with its own I/O context. All work of a connection runs on one
/// context and needs no locking.
class IoThreads
{
public:
    explicit IoThreads(std::size_t count);
    /// Stops the contexts and joins the threads.
    ~IoThreads();
    IoThreads(const IoThreads &) = delete;
    IoThreads &operator=(const IoThreads &) = delete;

    std::size_t count() const { return m_contexts.size(); }
    /// Returns the contexts in round-robin order. Safe from any thread.
    boost::asio::io_context &next();
    /// Returns the context with the given index modulo count().
    boost::asio::io_context &at(std::size_t index);
    /// Stops every context and joins the threads. Must not be called from one of them.
    void stop();

private:
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<Guard> m_guards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_next {0};
};

} // namespace Core
