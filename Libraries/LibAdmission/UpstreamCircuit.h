#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>

namespace Admission {

/// The states of a circuit breaker.
enum class CircuitState {
    Closed,
    Open,
    /// One probe request is testing whether the upstream has recovered.
    HalfOpen,
};

/// When the circuit to an upstream opens and for how long.
struct CircuitSettings
{
    /// The number of consecutive failures that opens the circuit.
    std::uint32_t failures = 3;
    std::chrono::milliseconds initialPause {250};
    std::chrono::milliseconds maxPause {8000};
};

/// A circuit breaker for one upstream. It opens after consecutive failures. After a pause it lets
/// one request at a time probe the upstream. The pause doubles with each failed probe and has
/// jitter so that instances do not probe simultaneously. Thread-safe.
class UpstreamCircuit
{
public:
    explicit UpstreamCircuit(const CircuitSettings &settings);

    /// Returns whether a request may be sent now. After a pause it returns true to one caller only,
    /// whose request is the probe and who must then call noteSuccess(), noteFailure() or
    /// abandonProbe().
    bool mayTry(Core::Clock::Monotonic now);
    /// Ends a probe that gave no information about the upstream, so that the next request probes
    /// it.
    void abandonProbe();
    /// Records an answer from the upstream and closes the circuit.
    void noteSuccess();
    /// Records that the upstream could not be connected to, aborted the request or timed out.
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
