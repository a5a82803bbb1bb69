#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>

namespace Admission {

/// Whether an upstream takes work.
enum class CircuitState {
    Closed,
    Open,
    /// One request tries whether the upstream is back.
    HalfOpen,
};

/// When an upstream is passed over and for how long.
struct CircuitSettings
{
    /// Failures in a row that open the circuit.
    std::uint32_t failures = 3;
    std::chrono::milliseconds initialPause {250};
    std::chrono::milliseconds maxPause {8000};
};

/// Passes an upstream over after failures in a row, and lets one request at a time probe it after
/// a pause that doubles, with jitter so that instances do not probe in step. Safe from any thread.
class UpstreamCircuit
{
public:
    explicit UpstreamCircuit(const CircuitSettings &settings);

    /// Whether a request may be sent now. After a pause this is true for one caller only, whose
    /// request is the probe; it must report success, failure or abandon().
    bool mayTry(Core::Clock::Monotonic now);
    /// The probe ended without telling anything about the upstream.
    void abandonProbe();
    /// The upstream answered.
    void noteSuccess();
    /// The upstream could not be connected, broke off or timed out.
    void noteFailure(Core::Clock::Monotonic now, std::mt19937_64 &rng);

    CircuitState state() const;

private:
    const CircuitSettings m_settings;
    mutable std::mutex m_mutex;
    CircuitState m_state = CircuitState::Closed;
    std::uint32_t m_failures = 0;
    std::chrono::milliseconds m_pause;
    Core::Clock::Monotonic m_probeAt;
};

} // namespace Admission
