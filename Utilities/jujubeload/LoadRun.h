#pragma once

#include <LibCore/Clock.h>
#include <LibCore/IoThreads.h>
#include <LibHttp/Client.h>

#include <boost/asio/awaitable.hpp>
#include <jujubeload/AnswerBook.h>
#include <jujubeload/RunReport.h>
#include <jujubeload/Settings.h>
#include <jujubeload/Workload.h>

#include <atomic>

namespace Load {

/// Sends the configured workload, closed-loop or open-loop, and checks the answers.
class LoadRun
{
public:
    /// The clock must outlive the run.
    LoadRun(const Settings &settings, const Core::Clock &clock);

    /// Runs the workload to its end. May be called only once.
    RunReport run();

private:
    using StartTime = Core::Clock::Monotonic;

    boost::asio::awaitable<void> closedLoop();
    boost::asio::awaitable<void> openLoop();
    boost::asio::awaitable<void> sendOne(std::uint64_t index, StartTime due);
    boost::asio::awaitable<void> exchange(std::uint64_t index, StartTime due,
                                          RequestOutcome &outcome);
    boost::asio::awaitable<void> readStream(Http::ClientExchange &exchange,
                                            const std::string &prompt, StartTime due,
                                            RequestOutcome &outcome);
    boost::asio::awaitable<void> readWhole(Http::ClientExchange &exchange,
                                           const std::string &prompt, StartTime due,
                                           RequestOutcome &outcome);
    void checkAnswer(AnswerFault fault, const std::string &prompt, const std::string &text,
                     RequestOutcome &outcome);
    Http::Request requestFor(const std::string &prompt) const;
    /// Returns whether the request with the given zero-based index is still to be sent.
    bool shouldSend(std::uint64_t number) const;

    Settings m_settings;
    const Core::Clock &m_clock;
    Workload m_workload;
    /// Declared before the client, whose idle connections use the threads' I/O contexts.
    Core::IoThreads m_threads;
    Http::Client m_client;
    AnswerBook m_book;
    RunRecord m_record;
    StartTime m_startedAt;
    std::atomic<std::uint64_t> m_next {0};
    std::atomic<std::uint64_t> m_inFlight {0};
};

} // namespace Load
