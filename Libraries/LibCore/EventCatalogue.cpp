#include <LibCore/EventCatalogue.h>

#include <algorithm>
#include <array>

namespace Core {

namespace {

// clang-format off
constexpr std::array Rows {
    EventRow {EventId::ProcessStarted, EventLevel::Info, "process_started", "The process has started, with its version and identity."},
    EventRow {EventId::SettingsInvalid, EventLevel::Error, "settings_invalid", "A setting is invalid; one event is logged for each invalid setting."},
    EventRow {EventId::ListeningOn, EventLevel::Info, "listening_on", "A port is open."},
    EventRow {EventId::DrainStarted, EventLevel::Info, "drain_started", "No new work is accepted; running work continues."},
    EventRow {EventId::ProcessStopped, EventLevel::Info, "process_stopped", "The process ends."},
    EventRow {EventId::EmbeddedPlatformLimits, EventLevel::Warning, "embedded_platform_limits", "The embedded platform loses all its data when the process ends."},
    EventRow {EventId::ReadinessChanged, EventLevel::Info, "readiness_changed", "The instance became ready or stopped being ready."},
    EventRow {EventId::SettingsReloaded, EventLevel::Info, "settings_reloaded", "The settings were reloaded while the process runs."},
    EventRow {EventId::PortUnavailable, EventLevel::Warning, "port_unavailable", "A port cannot be opened at the start; the process tries again until it can."},
    EventRow {EventId::SettingsAwaited, EventLevel::Warning, "settings_awaited", "The settings file is missing or has a fault at the start; it is read again until it stops changing."},
    EventRow {EventId::RequestRefused, EventLevel::Info, "request_refused", "A request was refused before it was sent to an upstream."},
    EventRow {EventId::RequestFailed, EventLevel::Warning, "request_failed", "A request failed after it was sent to an upstream."},
    EventRow {EventId::CallerWentAway, EventLevel::Info, "caller_went_away", "The caller closed its connection; upstream work is cancelled."},
    EventRow {EventId::StreamResumed, EventLevel::Warning, "stream_resumed", "A stream was interrupted and continues on another upstream."},
    EventRow {EventId::InternalFault, EventLevel::Error, "internal_fault", "An unexpected exception was caught."},
    EventRow {EventId::RequestServed, EventLevel::Info, "request_served", "A request was answered with an upstream's response."},
    EventRow {EventId::AttemptFailed, EventLevel::Info, "attempt_failed", "One attempt of a request failed at an upstream; another may follow."},
    EventRow {EventId::LinesLeftOut, EventLevel::Warning, "lines_left_out", "Log lines were dropped because of the rate limit or a slow reader."},
    EventRow {EventId::RetryDecided, EventLevel::Info, "retry_decided", "The retry budget of a service allowed or refused another attempt of a request."},
    EventRow {EventId::ServiceFull, EventLevel::Info, "service_full", "The upstreams of a plain service that were asked had no room for a request."},
    EventRow {EventId::MemoryLimited, EventLevel::Info, "memory_limited", "A prompt was refused, or an answer that its caller left unread was dropped, for lack of memory."},
    EventRow {EventId::TeamOverShare, EventLevel::Info, "team_over_share", "A prompt exceeds its team's share of a service that is short of capacity."},
    EventRow {EventId::CapacityRefused, EventLevel::Info, "capacity_refused", "A request was refused for want of capacity; the event has the inputs of that decision."},
    EventRow {EventId::UpstreamAdded, EventLevel::Info, "upstream_added", "A new upstream accepts work."},
    EventRow {EventId::UpstreamLeaving, EventLevel::Info, "upstream_leaving", "An upstream no longer accepts new work."},
    EventRow {EventId::UpstreamSuspected, EventLevel::Warning, "upstream_suspected", "An upstream failed and is skipped for a while."},
    EventRow {EventId::UpstreamRestarted, EventLevel::Warning, "upstream_restarted", "An upstream restarted with a new incarnation; its entries in the prefix-cache index are dropped."},
    EventRow {EventId::UpstreamAnswerInvalid, EventLevel::Warning, "upstream_answer_invalid", "An upstream's answer violates the protocol or belongs to another request."},
    EventRow {EventId::PoisonSuspected, EventLevel::Warning, "poison_suspected", "A request was lost when its upstream crashed; it, or a part of its prompt, is suspected of crashing upstreams."},
    EventRow {EventId::OrderSent, EventLevel::Info, "order_sent", "An order was sent to an upstream."},
    EventRow {EventId::OrderRefused, EventLevel::Warning, "order_refused", "An upstream refused an order with an outdated fencing token."},
    EventRow {EventId::UpstreamEntryInvalid, EventLevel::Warning, "upstream_entry_invalid", "An entry of the list of upstreams is malformed; the previous entry stays in use."},
    EventRow {EventId::WeightsNamed, EventLevel::Info, "weights_named", "Operators named new weights for a model."},
    EventRow {EventId::OrderUnanswered, EventLevel::Warning, "order_unanswered", "An order got no answer; it may be carried out later."},
    EventRow {EventId::WeightsInPlace, EventLevel::Info, "weights_in_place", "An upstream has the weights that it was ordered to take."},
    EventRow {EventId::PartStoreBack, EventLevel::Info, "part_store_back", "The KV cache store is reachable again, or restarted with a new incarnation and is empty."},
    EventRow {EventId::PartStoreLost, EventLevel::Warning, "part_store_lost", "The KV cache store does not respond; nothing is fetched from it or saved to it."},
    EventRow {EventId::PoisonPartFound, EventLevel::Warning, "poison_part_found", "A part of a prompt was found to crash engines; prompts with it are refused."},
    EventRow {EventId::PoisonAcquitted, EventLevel::Info, "poison_part_acquitted", "A part of a prompt, or a request, is no longer considered to crash upstreams and is served again."},
    EventRow {EventId::UpstreamRemovalDelayed, EventLevel::Info, "upstream_removal_delayed", "An upstream is no longer listed and stays in use for a while, because its entry may have expired in an outage of the store."},
    EventRow {EventId::UpstreamSpeedChanged, EventLevel::Info, "upstream_speed_changed", "The measured speed of an engine changed by a third or more."},
    EventRow {EventId::ServiceUnevenChanged, EventLevel::Info, "service_uneven_changed", "The engines of a service became uneven in speed, or even again; while they are uneven, prompts are placed by the engines' own speeds."},
    EventRow {EventId::UpstreamLimitChanged, EventLevel::Info, "upstream_limit_changed", "An upstream named, changed or withdrew a limit on the requests a second that it takes from all instances."},
    EventRow {EventId::PoisonRequestFound, EventLevel::Warning, "poison_request_found", "A request was found to crash upstreams; it is refused."},
    EventRow {EventId::ConfigurationInForce, EventLevel::Info, "configuration_in_force", "A configuration generation is in force on this instance."},
    EventRow {EventId::ConfigurationRefused, EventLevel::Warning, "configuration_refused", "A published document is invalid, or another publication came first."},
    EventRow {EventId::ConfigurationFromSibling, EventLevel::Info, "configuration_from_sibling", "A starting instance took its configuration from a sibling."},
    EventRow {EventId::ClaimVoided, EventLevel::Info, "claim_voided", "A claim was abandoned before anything was sent."},
    EventRow {EventId::ClaimFateUnknown, EventLevel::Warning, "claim_fate_unknown", "The outcome of a non-repeatable call was lost."},
    EventRow {EventId::ClaimIndexRebuilt, EventLevel::Info, "claim_index_rebuilt", "The claim index was rebuilt from the log."},
    EventRow {EventId::PeerConnected, EventLevel::Info, "peer_connected", "A sibling passed the handshake."},
    EventRow {EventId::PeerRejected, EventLevel::Warning, "peer_rejected", "A connection failed the handshake."},
    EventRow {EventId::PeerFrameInvalid, EventLevel::Warning, "peer_frame_invalid", "A peer's frame was too large or did not verify; the link is closed."},
    EventRow {EventId::PeerSuspected, EventLevel::Info, "peer_suspected", "A sibling does not respond to probes."},
    EventRow {EventId::PeerDropped, EventLevel::Info, "peer_dropped", "A sibling was declared failed or has left."},
    EventRow {EventId::PeerIncarnationChanged, EventLevel::Info, "peer_incarnation_changed", "A sibling restarted, or its address or name was reused."},
    EventRow {EventId::PeerIncompatible, EventLevel::Warning, "peer_incompatible", "A peer supports no protocol version that this instance supports."},
    EventRow {EventId::SnapshotTaken, EventLevel::Info, "snapshot_taken", "A starting instance took a sibling's snapshot."},
    EventRow {EventId::SnapshotRefused, EventLevel::Warning, "snapshot_refused", "A snapshot was of another environment, version or weights."},
    EventRow {EventId::LeaseTaken, EventLevel::Info, "lease_taken", "This instance acquired the lease and now sends orders to upstreams."},
    EventRow {EventId::LeaseLost, EventLevel::Warning, "lease_lost", "This instance no longer sends orders; its lease expired or another instance holds it."},
    EventRow {EventId::SiblingHeard, EventLevel::Info, "sibling_heard", "A sibling reports its load, for the first time or again."},
    EventRow {EventId::SiblingSilent, EventLevel::Warning, "sibling_silent", "A sibling has not reported its load for a while; its load is no longer counted."},
    EventRow {EventId::SiblingPassedOver, EventLevel::Warning, "sibling_passed_over", "A sibling that reads the store for this instance did not answer, or its answer was outdated; the store or another sibling is queried."},
    EventRow {EventId::PlatformUnavailable, EventLevel::Warning, "platform_unavailable", "The platform does not respond."},
    EventRow {EventId::PlatformBack, EventLevel::Info, "platform_back", "The platform responds again."},
    EventRow {EventId::LogRecordInvalid, EventLevel::Warning, "log_record_invalid", "A record in the platform's log cannot be decoded and is skipped."},
    EventRow {EventId::LogSourceChanged, EventLevel::Info, "log_source_changed", "The source of a log changed from the store to siblings, or back to the store."},
    EventRow {EventId::StoreCalled, EventLevel::Debug, "store_called", "The store was called, for the given log and purpose."},
    EventRow {EventId::StoreReadLate, EventLevel::Info, "store_read_late", "The answer to a read of the store is late."},
    EventRow {EventId::StoreEraChanged, EventLevel::Warning, "store_era_changed", "The store is in a new era: it was restored from an older copy."},
    EventRow {EventId::StoreEraInvalid, EventLevel::Warning, "store_era_invalid", "An answer of the store names an earlier era than a previous one, or none that can be read."},
    EventRow {EventId::UsageAppended, EventLevel::Debug, "usage_appended", "Usage records were appended."},
    EventRow {EventId::UsageLost, EventLevel::Warning, "usage_lost", "Usage records could not be appended before the process ended."},
};
// clang-format on

} // namespace

std::span<const EventRow> eventCatalogue()
{
    return Rows;
}

const EventRow &eventRow(EventId id)
{
    return *std::find_if(Rows.begin(), Rows.end(),
                         [id](const EventRow &row) { return row.id == id; });
}

} // namespace Core
