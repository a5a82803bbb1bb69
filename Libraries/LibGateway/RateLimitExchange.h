#pragma once

#include <LibCapacity/RateSchedule.h>
#include <LibCapacity/UnkeptShare.h>
#include <LibCore/Identifier.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/Upstream.h>
#include <LibGateway/UpstreamFleet.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Gateway {

namespace Wire {
struct RateLimitMove;
enum class RateLimitStep : std::uint8_t;
} // namespace Wire

/// The permission to send one request to an upstream that limits their rate.
struct RatePermit
{
    /// Those of the incarnation that named the limit.
    std::shared_ptr<UpstreamNotices> notices;
    Core::Clock::Monotonic sendAt;
    /// The permit is void after this time, for example because the process was frozen.
    Core::Clock::Monotonic validUntil;
};

/// Keeps the requests of all instances at an upstream within the rate that it names in its answers.
///
/// Each upstream's limit is kept at one instance, the keeper, which all instances that know of the
/// limit ask before they send a request there; Capacity::RateSchedule assigns the sending times.
/// The keeper is found by hashing, without agreement. While it does not answer, an instance sends
/// at a small part of the limit of its own, and a keeper that does not reach all members assigns
/// only a part, so that the sum stays near the limit whatever each instance knows. An instance
/// that has not received an answer with the limit yet does not ask.
///
/// The limit ends with an answer without it; the instance that receives it tells the keeper, and
/// the others learn it when they ask.
class RateLimitExchange
{
public:
    struct Dependencies
    {
        const Core::Clock &clock;
        const FleetMembers &members;
        const UpstreamFleet &fleet;
        /// Sends a datagram to a sibling.
        std::function<void(const Http::Endpoint &, std::string_view)> send;
    };

    RateLimitExchange(boost::asio::io_context &context, Dependencies dependencies);

    /// Records what an answer to a request states: the requests a second that the incarnation takes
    /// from all instances, or that it takes any number.
    void noteAnswer(const Upstream &upstream, const std::shared_ptr<UpstreamNotices> &notices,
                    std::optional<double> limit);

    /// Reserves the sending of one request to an upstream that has a limit, at most maxWait from
    /// now. Returns nothing if that is not possible; the upstream is then full for a while.
    boost::asio::awaitable<std::optional<RatePermit>> reserve(std::shared_ptr<Upstream> upstream,
                                                              std::chrono::milliseconds maxWait);

    /// Returns the upstreams that are full at present.
    std::set<Core::UpstreamId> full() const;
    /// Returns the time until one of these upstreams may have room again.
    std::chrono::milliseconds untilRoom(const std::set<Core::UpstreamId> &upstreams) const;

    /// Returns whether the datagram is for this class.
    static bool isRateLimitMessage(std::string_view datagram);
    /// Applies a datagram of a sibling, and answers it.
    void apply(std::string_view datagram, const Http::Endpoint &from);
    /// Drops the state of limits that are not used any more until the process ends.
    boost::asio::awaitable<void> run();

private:
    /// What is known of a limit, by an answer of the upstream at this time.
    struct Evidence
    {
        std::optional<double> limit;
        Core::Clock::Monotonic at = Core::Clock::Monotonic::min();
    };
    /// A limit that this instance keeps.
    struct Kept
    {
        Evidence evidence;
        Capacity::RateSchedule schedule;
        Core::Clock::Monotonic lastUse;
    };
    /// A limit that this instance is subject to.
    struct Subject
    {
        std::weak_ptr<UpstreamNotices> notices;
        Capacity::UnkeptShare unkept;
        /// Until when no sending time is expected.
        Core::Clock::Monotonic fullUntil = Core::Clock::Monotonic::min();
    };
    struct PendingAsk
    {
        std::uint64_t upstream = 0;
        boost::asio::steady_timer *timer = nullptr;
        bool isAnswered = false;
        bool isGranted = false;
        Capacity::Milliseconds wait {0};
        Evidence evidence;
    };
    /// An instance that has not answered.
    struct Silence
    {
        unsigned misses = 0;
        Core::Clock::Monotonic askAgainAt;
    };

    void dropUnused();
    /// Returns what identifies the upstream's incarnation in datagrams.
    static std::uint64_t keyOf(const Upstream &upstream);
    /// Returns the instance that keeps the upstream's limit.
    FleetMember keeperOf(const Upstream &upstream) const;
    /// Returns whether an instance has not answered and is not asked for a while.
    bool isSilent(const Core::InstanceId &instance) const;
    /// Returns the number of instances that this one reaches, and itself.
    unsigned reachableInstances() const;
    /// Returns a random number from 0 to 1.
    double spread();

    /// Adopts newer evidence. Returns whether it changed the limit.
    bool adopt(const Upstream &upstream, UpstreamNotices &notices, const Evidence &evidence,
               std::string_view source) const;
    /// Answers an ask for a limit that this instance keeps.
    PendingAsk answer(std::uint64_t upstream, const Evidence &evidence,
                      Capacity::Milliseconds maxWait);
    /// Asks the keeper. Returns an unanswered ask if it does not answer in time.
    boost::asio::awaitable<PendingAsk> ask(FleetMember keeper, std::uint64_t upstream,
                                           Evidence evidence, std::chrono::milliseconds maxWait);
    /// Records that a keeper did not answer in time.
    void noteMissed(const Core::InstanceId &keeper);
    void sendMove(const Http::Endpoint &to, const Wire::RateLimitMove &move) const;
    Wire::RateLimitMove moveOf(std::uint64_t number, std::uint64_t upstream,
                               const Evidence &evidence, Capacity::Milliseconds wait,
                               Wire::RateLimitStep step) const;

    Dependencies m_dependencies;
    boost::asio::io_context &m_context;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastNumber = 0;
    std::minstd_rand m_random;
    std::unordered_map<std::uint64_t, Kept> m_kept;
    std::map<Core::UpstreamId, Subject> m_subjects;
    std::map<std::uint64_t, PendingAsk> m_pending;
    std::map<Core::InstanceId, Silence> m_silent;
};

} // namespace Gateway
