#pragma once

#include <span>
#include <string_view>

namespace Core {

enum class EventLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// The numbered log events. A number is never reused for another meaning. The hundreds group them:
/// 1 process, 2 request, 3 upstream, 4 configuration, 5 claims, 6 peers, 7 platform, 8 usage.
enum class EventId : unsigned {
    ProcessStarted = 100,
    SettingsInvalid = 101,
    ListeningOn = 102,
    DrainStarted = 103,
    ProcessStopped = 104,
    EmbeddedPlatformLimits = 105,
    ReadinessChanged = 106,
    SettingsReloaded = 107,
    PortUnavailable = 108,
    SettingsAwaited = 109,
    RequestRefused = 200,
    RequestFailed = 201,
    CallerWentAway = 202,
    StreamResumed = 203,
    InternalFault = 204,
    RequestServed = 205,
    AttemptFailed = 206,
    LinesLeftOut = 207,
    RetryDecided = 208,
    ServiceFull = 209,
    MemoryLimited = 210,
    TeamOverShare = 211,
    CapacityRefused = 212,
    UpstreamAdded = 300,
    UpstreamLeaving = 301,
    UpstreamSuspected = 302,
    UpstreamRestarted = 303,
    UpstreamAnswerInvalid = 304,
    PoisonSuspected = 305,
    OrderSent = 306,
    OrderRefused = 307,
    UpstreamEntryInvalid = 308,
    WeightsNamed = 309,
    OrderUnanswered = 310,
    WeightsInPlace = 311,
    PartStoreBack = 312,
    PartStoreLost = 313,
    PoisonPartFound = 314,
    PoisonAcquitted = 315,
    UpstreamRemovalDelayed = 316,
    UpstreamSpeedChanged = 317,
    ServiceUnevenChanged = 318,
    UpstreamLimitChanged = 319,
    PoisonRequestFound = 320,
    ConfigurationInForce = 400,
    ConfigurationRefused = 401,
    ConfigurationFromSibling = 402,
    ClaimVoided = 500,
    ClaimFateUnknown = 501,
    ClaimIndexRebuilt = 502,
    PeerConnected = 600,
    PeerRejected = 601,
    PeerFrameInvalid = 602,
    PeerSuspected = 603,
    PeerDropped = 604,
    PeerIncarnationChanged = 605,
    PeerIncompatible = 606,
    SnapshotTaken = 607,
    SnapshotRefused = 608,
    LeaseTaken = 609,
    LeaseLost = 610,
    SiblingHeard = 611,
    SiblingSilent = 612,
    SiblingPassedOver = 613,
    PlatformUnavailable = 700,
    PlatformBack = 701,
    LogRecordInvalid = 702,
    LogSourceChanged = 703,
    StoreCalled = 704,
    StoreReadLate = 705,
    StoreEraChanged = 706,
    StoreEraInvalid = 707,
    UsageAppended = 800,
    UsageLost = 801,
};

struct EventRow
{
    EventId id;
    EventLevel level;
    std::string_view name;
    std::string_view meaning;
};

/// Returns all events, ordered by number.
std::span<const EventRow> eventCatalogue();

/// Returns the row of one event.
const EventRow &eventRow(EventId id);

} // namespace Core
