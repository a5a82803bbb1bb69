#include <LibCore/ProcessSignals.h>

#include <csignal>

namespace Core {

ProcessSignals::Hold::Hold()
{
    sigset_t held;
    sigemptyset(&held);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&held, signal);
    pthread_sigmask(SIG_BLOCK, &held, &m_before);
}

void ProcessSignals::Hold::release()
{
    pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
}

ProcessSignals::ProcessSignals()
    : m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    receive();
    m_hold.release();
}

void ProcessSignals::receive()
{
    m_signals.async_wait([this](const auto &ec, int signal) {
        if (ec)
            return;
        m_received.push_back(signal);
        receive();
    });
}

int ProcessSignals::next()
{
    while (m_received.empty())
        m_context.run_one();
    const int signal = m_received.front();
    m_received.pop_front();
    return signal;
}

std::optional<int> ProcessSignals::nextWithin(std::chrono::milliseconds time)
{
    if (m_received.empty())
        m_context.run_one_for(time);
    if (m_received.empty())
        return std::nullopt;
    return next();
}

bool ProcessSignals::endsProgram(int signal)
{
    return signal == SIGTERM || signal == SIGINT;
}

} // namespace Core
