#include <LibAdmission/UpstreamCircuit.h>

#include <algorithm>

namespace Admission {

UpstreamCircuit::UpstreamCircuit(const CircuitSettings &settings)
    : m_settings(settings)
    , m_pause(settings.initialPause)
{ }

bool UpstreamCircuit::mayTry(Core::Clock::Monotonic now)
{
    std::scoped_lock lock(m_mutex);
    if (m_state == CircuitState::Closed)
        return true;
    if (m_state == CircuitState::HalfOpen || now < m_probeAt)
        return false;
    m_state = CircuitState::HalfOpen;
    return true;
}

void UpstreamCircuit::abandonProbe()
{
    std::scoped_lock lock(m_mutex);
    if (m_state == CircuitState::HalfOpen)
        m_state = CircuitState::Open;
}

void UpstreamCircuit::noteSuccess()
{
    std::scoped_lock lock(m_mutex);
    m_state = CircuitState::Closed;
    m_failures = 0;
    m_pause = m_settings.initialPause;
}

void UpstreamCircuit::noteFailure(Core::Clock::Monotonic now, std::mt19937_64 &rng)
{
    std::scoped_lock lock(m_mutex);
    // Requests sent before the circuit opened may still fail; they do not lengthen the pause.
    if (m_state == CircuitState::Open)
        return;
    if (m_state == CircuitState::Closed && ++m_failures < m_settings.failures)
        return;
    m_state = CircuitState::Open;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_probeAt = now + std::chrono::duration_cast<std::chrono::nanoseconds>(m_pause * jitter(rng));
    m_pause = std::min(m_pause * 2, m_settings.maxPause);
}

CircuitState UpstreamCircuit::state() const
{
    std::scoped_lock lock(m_mutex);
    return m_state;
}

} // namespace Admission
