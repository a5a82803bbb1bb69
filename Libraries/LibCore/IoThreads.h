#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace Core {

/// A fixed number of threads, each with an I/O context of its own. Whatever belongs to one
/// connection stays on one context and needs no lock.
class IoThreads
{
public:
    explicit IoThreads(std::size_t count);
    /// Stops and joins.
    ~IoThreads();
    IoThreads(const IoThreads &) = delete;
    IoThreads &operator=(const IoThreads &) = delete;

    std::size_t count() const { return m_contexts.size(); }
    /// The contexts in turn. Safe from any thread.
    boost::asio::io_context &next();
    /// A certain context; the index counts modulo count().
    boost::asio::io_context &at(std::size_t index);
    /// Ends every context's loop and waits for the threads. Not to be called from one of them.
    void stop();

private:
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<Guard> m_guards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_next {0};
};

} // namespace Core
