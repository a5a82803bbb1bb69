#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <deque>
#include <optional>

namespace Core {

/// Receives the signals that operators send: SIGTERM, SIGINT and SIGHUP. None of them takes its
/// default action while the object exists, so a program creates it before anything else and keeps
/// it until its exit. Failed writes return an error instead of raising a signal.
class ProcessSignals
{
public:
    ProcessSignals();

    /// Returns the next signal in the order of their arrival. Signals wait until they are taken.
    int next();
    /// Returns the next signal, or nothing when none arrives within the time.
    std::optional<int> nextWithin(std::chrono::milliseconds time);

    /// Whether the signal asks the program to end.
    static bool endsProgram(int signal);

private:
    /// Holds the signals back until their handlers are registered.
    class Hold
    {
    public:
        Hold();
        void release();

    private:
        sigset_t m_before {};
    };

    void receive();

    Hold m_hold;
    boost::asio::io_context m_context {1};
    boost::asio::signal_set m_signals;
    std::deque<int> m_received;
};

} // namespace Core
