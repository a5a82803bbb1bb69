#pragma once

#include <LibAdmission/UpstreamCircuit.h>
#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibHttp/Endpoint.h>
#include <LibPlacement/Placement.h>

#include <atomic>
#include <cstdint>

namespace Router {

/// One upstream process as this instance knows it. The identity is immutable; the state is atomic
/// and safe from any thread.
class Upstream
{
public:
    Upstream(Core::UpstreamId id, Core::UpstreamGroupId group, Core::DataCentreId dataCentre,
             Http::Endpoint endpoint, std::uint64_t incarnation);

    const Core::UpstreamId &id() const { return m_id; }
    const Core::UpstreamGroupId &group() const { return m_group; }
    const Core::DataCentreId &dataCentre() const { return m_dataCentre; }
    const Http::Endpoint &endpoint() const { return m_endpoint; }

    /// Returns the index of the upstream in the placement's table.
    Placement::UpstreamSlot slot() const { return m_slot; }
    void setSlot(Placement::UpstreamSlot slot) { m_slot = slot; }

    std::uint64_t incarnation() const { return m_incarnation; }
    /// Records an incarnation if it is newer than the known one. Returns whether it was newer.
    bool noteIncarnation(std::uint64_t incarnation);

    /// Returns whether the upstream is leaving and must not get new work.
    bool isLeaving() const { return m_leaving; }
    /// Marks the upstream as leaving. Returns whether it was not marked before.
    bool noteLeaving() { return !m_leaving.exchange(true); }
    void noteLive() { m_leaving = false; }

    /// Returns whether the upstream is skipped because of recent failures.
    bool isSuspected() const { return m_circuit.state() != Admission::CircuitState::Closed; }
    /// The circuit breaker that skips the upstream after consecutive failures and lets probes
    /// detect its recovery.
    Admission::UpstreamCircuit &circuit() { return m_circuit; }

    /// The number of in-flight requests that are suspected of crashing upstreams. They are kept on
    /// separate upstreams where possible, so that the next crash shows which of them is the cause.
    std::uint32_t suspectRequests() const { return m_suspectRequests; }
    void addSuspectRequest() { ++m_suspectRequests; }
    void removeSuspectRequest() { --m_suspectRequests; }

    std::uint32_t inFlight() const { return m_inFlight; }
    void addInFlight() { ++m_inFlight; }
    void removeInFlight() { --m_inFlight; }

private:
    Core::UpstreamId m_id;
    Core::UpstreamGroupId m_group;
    Core::DataCentreId m_dataCentre;
    Http::Endpoint m_endpoint;
    Placement::UpstreamSlot m_slot = 0;
    std::atomic<std::uint64_t> m_incarnation;
    std::atomic<bool> m_leaving {false};
    Admission::UpstreamCircuit m_circuit {Admission::CircuitSettings {}};
    std::atomic<std::uint32_t> m_suspectRequests {0};
    std::atomic<std::uint32_t> m_inFlight {0};
};

} // namespace Router
