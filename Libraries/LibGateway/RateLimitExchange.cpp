#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/KeeperChoice.h>
#include <LibGateway/RateLimitExchange.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Capacity::Milliseconds;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto Identifier = "JSRL";
// A machine whose share of a core is a cap may pause for this long.
constexpr auto AnswerTimeout = 100ms;
// A keeper that did not answer twice in a row is not asked for this long, since only the first
// datagram may have been lost. After more misses, another instance is asked for a while.
constexpr unsigned MinMisses = 2;
constexpr auto AskPause = 500ms;
constexpr unsigned MaxMisses = 5;
constexpr auto SkipTime = 3'000ms;
// Without an answer of the keeper, an upstream that may not be used is tried again after this time.
constexpr Milliseconds UnkeptPause {100};
// A permit covers the time for a connection to be made.
constexpr auto PermitTime = 700ms;
constexpr auto MaxWait = 5'000ms;
// Limits that are not asked for are forgotten after this time.
constexpr auto MaxUnusedTime = 60s;
constexpr milliseconds MaxAge = 1h;
constexpr auto DropInterval = 5'000ms;

std::uint64_t random64()
{
    std::random_device device;
    return (std::uint64_t {device()} << 32U) | device();
}

std::string text(const std::optional<double> &limit)
{
    return limit ? std::to_string(*limit) : "none";
}

Core::Clock::Monotonic after(Core::Clock::Monotonic time, Milliseconds wait)
{
    return time + duration_cast<Core::Clock::Monotonic::duration>(wait);
}

} // namespace

RateLimitExchange::RateLimitExchange(asio::io_context &context, Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_context(context)
    , m_incarnation(random64())
    , m_random(static_cast<std::minstd_rand::result_type>(m_incarnation))
{ }

std::uint64_t RateLimitExchange::keyOf(const Upstream &upstream)
{
    const auto &report = upstream.report();
    return Core::hash64(Http::formatEndpoint(report.endpoint),
                        UpstreamFleet::hashOf(report.id)
                            ^ static_cast<std::uint64_t>(report.startTime.count()));
}

double RateLimitExchange::spread()
{
    return std::generate_canonical<double, std::numeric_limits<double>::digits>(m_random);
}

bool RateLimitExchange::isSilent(const Core::InstanceId &instance) const
{
    const auto it = m_silent.find(instance);
    return it != m_silent.end() && it->second.askAgainAt > m_dependencies.clock.now();
}

FleetMember RateLimitExchange::keeperOf(const Upstream &upstream) const
{
    return chooseKeeper(
        m_dependencies.members, upstream.report(), [this](const Core::InstanceId &instance) {
            const auto it = m_silent.find(instance);
            return it != m_silent.end() && it->second.misses >= MaxMisses && isSilent(instance);
        });
}

unsigned RateLimitExchange::reachableInstances() const
{
    const auto &members = m_dependencies.members;
    unsigned count = 1;
    for (const auto &[instance, sibling] : members.siblings()) {
        const bool isUnseen =
            members.isLarge() && sibling.member.dataCentre != members.self().dataCentre;
        count += isUnseen || members.isReachable(sibling) ? 1 : 0;
    }
    return count;
}

bool RateLimitExchange::adopt(const Upstream &upstream, UpstreamNotices &notices,
                              const Evidence &evidence, std::string_view source) const
{
    if (evidence.at < notices.limitKnownAt)
        return false;
    notices.limitKnownAt = evidence.at;
    if (std::exchange(notices.requestsPerSecond, evidence.limit) == evidence.limit)
        return false;
    Core::logEvent(Core::EventId::UpstreamLimitChanged,
                   {{"upstream", upstream.report().id.value()},
                    {"requests_per_second", text(evidence.limit)},
                    {"source", std::string(source)}});
    return true;
}

void RateLimitExchange::noteAnswer(const Upstream &upstream,
                                   const std::shared_ptr<UpstreamNotices> &notices,
                                   std::optional<double> limit)
{
    const bool hadLimit = notices->requestsPerSecond.has_value();
    const Evidence evidence {limit, m_dependencies.clock.now()};
    adopt(upstream, *notices, evidence, "answer");
    // The keeper is asked while there is a limit, and then learns the newest one.
    if (limit || !hadLimit || notices != upstream.notices())
        return;
    m_subjects.erase(upstream.report().id);
    const auto keeper = keeperOf(upstream);
    const auto key = keyOf(upstream);
    if (keeper.instance == m_dependencies.members.self().instance)
        answer(key, evidence, Milliseconds(0));
    else
        sendMove(keeper.endpoint,
                 moveOf(0, key, evidence, Milliseconds(0), Wire::RateLimitStep::End));
}

asio::awaitable<std::optional<RatePermit>>
RateLimitExchange::reserve(std::shared_ptr<Upstream> upstream, milliseconds maxWait)
{
    const auto notices = upstream->notices();
    const auto id = upstream->report().id;
    const Evidence known {notices->requestsPerSecond, notices->limitKnownAt};
    const auto keeper = keeperOf(*upstream);
    const auto key = keyOf(*upstream);
    PendingAsk result;
    if (keeper.instance == m_dependencies.members.self().instance)
        result = answer(key, known, maxWait);
    else if (!isSilent(keeper.instance))
        result = co_await ask(keeper, key, known, std::min<milliseconds>(maxWait, MaxWait));
    auto &subject = m_subjects[id];
    if (subject.notices.lock() != notices)
        subject = {notices, {}, Core::Clock::Monotonic::min()};
    const auto now = m_dependencies.clock.now();
    if (result.isAnswered) {
        adopt(*upstream, *notices, result.evidence, "sibling");
    } else {
        const auto instances = static_cast<unsigned>(m_dependencies.members.count());
        result.isGranted = subject.unkept.allows(known.limit.value_or(0), instances, spread(), now);
        result.wait = result.isGranted ? Milliseconds(0) : UnkeptPause;
    }
    if (!result.isGranted) {
        subject.fullUntil = after(now, result.wait);
        co_return std::nullopt;
    }
    const auto sendAt = after(now, result.wait);
    co_return RatePermit {notices, sendAt, sendAt + PermitTime};
}

RateLimitExchange::PendingAsk
RateLimitExchange::answer(std::uint64_t upstream, const Evidence &evidence, Milliseconds maxWait)
{
    const auto now = m_dependencies.clock.now();
    auto &kept = m_kept[upstream];
    kept.lastUse = now;
    if (evidence.at >= kept.evidence.at)
        kept.evidence = evidence;
    PendingAsk result;
    result.upstream = upstream;
    result.isAnswered = true;
    result.evidence = kept.evidence;
    result.isGranted = !kept.evidence.limit;
    if (result.isGranted)
        return result;
    const auto instances = static_cast<unsigned>(m_dependencies.members.count());
    const auto rate = Capacity::keptRate(*kept.evidence.limit, reachableInstances(), instances);
    const auto reservation = kept.schedule.reserve(rate, maxWait, spread(), now);
    result.isGranted = reservation.isGranted;
    result.wait = reservation.wait;
    return result;
}

asio::awaitable<RateLimitExchange::PendingAsk> RateLimitExchange::ask(FleetMember keeper,
                                                                      std::uint64_t upstream,
                                                                      Evidence evidence,
                                                                      milliseconds maxWait)
{
    const auto number = ++m_lastNumber;
    asio::steady_timer timer(m_context, AnswerTimeout);
    PendingAsk pending;
    pending.upstream = upstream;
    pending.timer = &timer;
    m_pending[number] = pending;
    sendMove(keeper.endpoint,
             moveOf(number, upstream, evidence, maxWait, Wire::RateLimitStep::Ask));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    auto answered = m_pending.extract(number).mapped();
    answered.timer = nullptr;
    if (answered.isAnswered)
        m_silent.erase(keeper.instance);
    else
        noteMissed(keeper.instance);
    co_return answered;
}

void RateLimitExchange::noteMissed(const Core::InstanceId &keeper)
{
    auto &silence = m_silent[keeper];
    const auto now = m_dependencies.clock.now();
    // Asks that were sent together are missed together and count once.
    if (silence.askAgainAt > now)
        return;
    if (++silence.misses < MinMisses)
        return;
    silence.askAgainAt = now + (silence.misses < MaxMisses ? AskPause : SkipTime);
    Core::logEvent(
        Core::EventId::SiblingPassedOver,
        {{"sibling", keeper.value()}, {"reason", "no answer to a query of an upstream's limit"}});
}

std::set<Core::UpstreamId> RateLimitExchange::full() const
{
    std::set<Core::UpstreamId> full;
    const auto now = m_dependencies.clock.now();
    for (const auto &[id, subject] : m_subjects) {
        const auto notices = subject.notices.lock();
        const auto upstream = m_dependencies.fleet.find(id);
        if (subject.fullUntil > now && notices && notices->requestsPerSecond && upstream
            && upstream->notices() == notices)
            full.insert(id);
    }
    return full;
}

milliseconds RateLimitExchange::untilRoom(const std::set<Core::UpstreamId> &upstreams) const
{
    auto until = Core::Clock::Monotonic::max();
    for (const auto &id : upstreams) {
        if (const auto it = m_subjects.find(id); it != m_subjects.end())
            until = std::min(until, it->second.fullUntil);
    }
    const auto now = m_dependencies.clock.now();
    return until == Core::Clock::Monotonic::max() || until <= now
               ? 0ms
               : std::chrono::ceil<milliseconds>(until - now);
}

bool RateLimitExchange::isRateLimitMessage(std::string_view datagram)
{
    constexpr std::size_t HeaderBytes = 8;
    return datagram.size() > HeaderBytes
           && flatbuffers::BufferHasIdentifier(datagram.data(), Identifier);
}

Wire::RateLimitMove RateLimitExchange::moveOf(std::uint64_t number, std::uint64_t upstream,
                                              const Evidence &evidence, Milliseconds wait,
                                              Wire::RateLimitStep step) const
{
    // The age is rounded up, so that evidence never appears newer than it is.
    const auto age = std::min<milliseconds>(
        MaxAge, std::chrono::ceil<milliseconds>(
                    m_dependencies.clock.now()
                    - std::max(evidence.at, m_dependencies.clock.now() - MaxAge)));
    return {number,
            upstream,
            evidence.limit.value_or(0),
            wait.count(),
            static_cast<std::uint32_t>(age.count()),
            evidence.limit.has_value(),
            step};
}

void RateLimitExchange::sendMove(const Http::Endpoint &to, const Wire::RateLimitMove &move) const
{
    flatbuffers::FlatBufferBuilder builder;
    const auto moves = builder.CreateVectorOfStructs(&move, 1);
    builder.Finish(Wire::CreateRateLimitMessage(builder, m_incarnation, moves), Identifier);
    m_dependencies.send(
        to, {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()});
}

void RateLimitExchange::apply(std::string_view datagram, const Http::Endpoint &from)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!verifier.VerifyBuffer<Wire::RateLimitMessage>(Identifier)) {
        Core::logEvent(Core::EventId::PeerFrameInvalid,
                       {{"bytes", std::to_string(datagram.size())}});
        return;
    }
    const auto &message = *flatbuffers::GetRoot<Wire::RateLimitMessage>(bytes);
    if (!message.moves())
        return;
    for (const auto *move : *message.moves()) {
        // Also false for values that are no number.
        const bool isValid = move->limit() >= 0 && move->wait_ms() >= 0
                             && move->limit() <= UpstreamNotices::MaxRequestsPerSecond
                             && move->wait_ms() <= static_cast<double>(MaxAge.count());
        if (!isValid)
            continue;
        Evidence evidence;
        if (move->has_limit())
            evidence.limit = move->limit();
        evidence.at = m_dependencies.clock.now()
                      - std::min<milliseconds>(MaxAge, milliseconds(move->age_ms()));
        const Milliseconds wait(move->wait_ms());
        if (move->step() == Wire::RateLimitStep::Ask) {
            const auto result =
                answer(move->upstream(), evidence, std::min<Milliseconds>(wait, MaxWait));
            sendMove(from, moveOf(move->number(), move->upstream(), result.evidence, result.wait,
                                  result.isGranted ? Wire::RateLimitStep::Grant
                                                   : Wire::RateLimitStep::Refuse));
            continue;
        }
        if (move->step() == Wire::RateLimitStep::End) {
            answer(move->upstream(), evidence, Milliseconds(0));
            continue;
        }
        const auto it = m_pending.find(move->number());
        if (message.life() == m_incarnation || it == m_pending.end() || it->second.isAnswered
            || it->second.upstream != move->upstream())
            continue;
        it->second.isAnswered = true;
        it->second.isGranted = move->step() == Wire::RateLimitStep::Grant;
        it->second.wait = wait;
        it->second.evidence = evidence;
        it->second.timer->cancel();
    }
}

asio::awaitable<void> RateLimitExchange::run()
{
    for (;;) {
        co_await sleepFor(DropInterval);
        dropUnused();
    }
}

void RateLimitExchange::dropUnused()
{
    const auto now = m_dependencies.clock.now();
    std::erase_if(m_kept,
                  [now](const auto &item) { return item.second.lastUse + MaxUnusedTime < now; });
    std::erase_if(m_subjects, [](const auto &item) {
        const auto notices = item.second.notices.lock();
        return !notices || !notices->requestsPerSecond;
    });
    std::erase_if(m_silent, [this, now](const auto &item) {
        return item.second.askAgainAt + SkipTime < now
               || !m_dependencies.members.siblings().contains(item.first);
    });
}

} // namespace Gateway
