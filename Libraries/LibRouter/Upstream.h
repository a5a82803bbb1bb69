#pragma once

#include <LibAdmission/UpstreamCircuit.h>
#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibHttp/Endpoint.h>
#include <LibPlacement/Placement.h>

#include <atomic>
#include <cstdint>

namespace Router {

/// One upstream process as this instance knows it. Identity is fixed; the state is atomic and safe
/// from any thread.
class Upstream
{
public:
    Upstream(Core::UpstreamId id, Core::UpstreamGroupId group, Core::DataCentreId dataCentre,
             Http::Endpoint endpoint, std::uint64_t incarnation);

    const Core::UpstreamId &id() const { return m_id; }
    const Core::UpstreamGroupId &group() const { return m_group; }
    const Core::DataCentreId &dataCentre() const { return m_dataCentre; }
    const Http::Endpoint &endpoint() const { return m_endpoint; }

    /// The upstream's number in the placement's table.
    Placement::UpstreamSlot slot() const { return m_slot; }
    void setSlot(Placement::UpstreamSlot slot) { m_slot = slot; }

    std::uint64_t incarnation() const { return m_incarnation; }
    /// Takes over a newer incarnation; returns whether it was newer.
    bool noteIncarnation(std::uint64_t incarnation);

    /// Whether the upstream must not get new work because it leaves.
    bool isLeaving() const { return m_leaving; }
    /// Returns whether this is news.
    bool noteLeaving() { return !m_leaving.exchange(true); }
    void noteLive() { m_leaving = false; }

    /// Whether the upstream is passed over because it failed lately.
    bool isSuspected() const { return m_circuit.state() != Admission::CircuitState::Closed; }
    /// Passes the upstream over after failures in a row, and lets probes find out when it is back.
    Admission::UpstreamCircuit &circuit() { return m_circuit; }

    /// Requests under way here that are suspected of crashing upstreams. Two of them never share
    /// an upstream, so that the next crash tells which of them is to blame.
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
