#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/QuotaExchange.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto Identifier = "JSQT";
// The time for the gifts of all members to arrive, and for the answer to an ask.
constexpr auto CollectTime = 30ms;
constexpr auto GrantTimeout = 40ms;
constexpr auto MinCollectInterval = 25ms;
// More is collected than asked for, for the next asks.
constexpr double CollectFactor = 5;
// The sums of many gifts are not exact.
constexpr double MinGrantShare = 0.9999;
constexpr auto MinRetryAfter = 200ms;
constexpr auto MaxRetryAfter = 5'000ms;
constexpr std::size_t MaxTrackedIncarnations = 4'096;
constexpr auto IncarnationMemory = 60s;
constexpr double MillisecondsPerSecond = 1'000;

std::uint64_t random64()
{
    std::random_device device;
    return (std::uint64_t {device()} << 32U) | device();
}

std::uint64_t hashOf(const std::string &team)
{
    return Core::hash64(team);
}

} // namespace

QuotaExchange::QuotaExchange(asio::io_context &context, Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_context(context)
    , m_incarnation(random64())
    , m_answerTimer(context)
{ }

void QuotaExchange::configure(const std::map<std::string, QuotaLimit> &limits, unsigned instances)
{
    m_limits = limits;
    std::unordered_map<std::uint64_t, QuotaLimit> byHash;
    for (const auto &[team, limit] : limits)
        byHash[hashOf(team)] = limit;
    m_ledger.configure(byHash, instances, m_dependencies.clock.now());
}

FleetMember QuotaExchange::poolOf(std::uint64_t team, const Core::InstanceId &passedOver) const
{
    const auto rank = [team](const FleetMember &it) {
        return Core::hash64(it.instance.value(), team);
    };
    const auto *best = &m_dependencies.members.self();
    for (const auto &[instance, sibling] : m_dependencies.members.siblings()) {
        if (instance != passedOver && rank(sibling.member) > rank(*best))
            best = &sibling.member;
    }
    return *best;
}

asio::awaitable<std::optional<milliseconds>> QuotaExchange::take(std::string team, double units)
{
    const auto hash = hashOf(team);
    if (m_ledger.take(hash, units, m_dependencies.clock.now()))
        co_return std::nullopt;
    Core::InstanceId passedOver;
    for (int tries = 0; tries < 2; ++tries) {
        const auto number = ++m_lastNumber;
        const auto pool = poolOf(hash, passedOver);
        const auto missing = m_ledger.missing(hash, units, m_dependencies.clock.now());
        asio::steady_timer timer(m_context, GrantTimeout);
        m_pending[number] = {hash, &timer, false};
        if (pool.instance == m_dependencies.members.self().instance)
            receiveAsk(
                {number, hash, missing, pool.endpoint, m_dependencies.clock.now() + CollectTime});
        else
            sendMove(pool.endpoint, {number, hash, missing, Wire::QuotaStep::Ask});
        boost::system::error_code ec;
        if (!m_pending.at(number).isAnswered)
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const bool isAnswered = m_pending.extract(number).mapped().isAnswered;
        if (m_ledger.take(hash, units, m_dependencies.clock.now()))
            co_return std::nullopt;
        if (isAnswered)
            break;
        passedOver = pool.instance;
    }
    const auto limit = m_limits.find(team);
    const double rate = limit == m_limits.end() ? 0 : limit->second.perSecond;
    const milliseconds wait(
        rate > 0 ? static_cast<std::int64_t>(units / rate * MillisecondsPerSecond) : 0);
    co_return std::clamp<milliseconds>(wait, MinRetryAfter, MaxRetryAfter);
}

void QuotaExchange::giveBack(const std::string &team, double units)
{
    m_ledger.giveBack(hashOf(team), units, m_dependencies.clock.now());
}

void QuotaExchange::sendMove(const Http::Endpoint &to, const Wire::QuotaMove &move) const
{
    flatbuffers::FlatBufferBuilder builder;
    const auto moves = builder.CreateVectorOfStructs(&move, 1);
    builder.Finish(Wire::CreateQuotaMessage(builder, m_incarnation, moves), Identifier);
    m_dependencies.send(
        to, {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()});
}

bool QuotaExchange::isQuotaMessage(std::string_view datagram)
{
    constexpr std::size_t HeaderBytes = 8;
    return datagram.size() > HeaderBytes
           && flatbuffers::BufferHasIdentifier(datagram.data(), Identifier);
}

void QuotaExchange::apply(std::string_view datagram, const Http::Endpoint &from)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!verifier.VerifyBuffer<Wire::QuotaMessage>(Identifier)) {
        Core::logEvent(Core::EventId::PeerFrameInvalid,
                       {{"bytes", std::to_string(datagram.size())}});
        return;
    }
    const auto *message = flatbuffers::GetRoot<Wire::QuotaMessage>(bytes);
    if (!message->moves())
        return;
    const auto now = m_dependencies.clock.now();
    for (const auto *move : *message->moves()) {
        if (!std::isfinite(move->units()) || move->units() < 0)
            continue;
        switch (move->step()) {
        case Wire::QuotaStep::Ask:
            receiveAsk({move->number(), move->team(), move->units(), from, now + CollectTime});
            break;
        case Wire::QuotaStep::Grant:
            receiveGrant(move->number(), move->team(), move->units());
            break;
        case Wire::QuotaStep::Collect:
            if (const double given = donate(move->team(), move->units()); given > 0)
                sendMove(from, {++m_lastNumber, move->team(), given, Wire::QuotaStep::Gift});
            break;
        case Wire::QuotaStep::Gift:
            if (isNewGift(message->life(), move->number()))
                m_ledger.addToPool(move->team(), move->units(), now);
            answerAsks();
            break;
        }
    }
}

double QuotaExchange::donate(std::uint64_t team, double wanted)
{
    // What this instance asks for itself was reckoned with what it has.
    const bool isAsking = std::any_of(m_pending.begin(), m_pending.end(), [team](const auto &item) {
        return item.second.team == team;
    });
    return isAsking ? 0 : m_ledger.donate(team, wanted, m_dependencies.clock.now());
}

bool QuotaExchange::isNewGift(std::uint64_t incarnation, std::uint64_t number)
{
    const auto now = m_dependencies.clock.now();
    // Datagrams are not repeated after so long.
    if (m_lastGifts.size() >= MaxTrackedIncarnations)
        std::erase_if(m_lastGifts,
                      [now](const auto &item) { return now - item.second.at > IncarnationMemory; });
    auto &last = m_lastGifts[incarnation];
    if (number <= last.number)
        return false;
    last = {number, now};
    return true;
}

void QuotaExchange::receiveAsk(const WaitingAsk &ask)
{
    if (!m_ledger.isCapped(ask.team)) {
        answer(ask, 0);
        return;
    }
    m_waiting.push_back(ask);
    m_ledger.expectInPool(ask.team, ask.units, m_dependencies.clock.now());
    collect(ask.team, ask.units);
    answerAsks();
}

void QuotaExchange::collect(std::uint64_t team, double units)
{
    const auto now = m_dependencies.clock.now();
    m_ledger.addToPool(team, donate(team, units), now);
    auto &last = m_lastCollected.try_emplace(team, Core::Clock::Monotonic::min()).first->second;
    if (last != Core::Clock::Monotonic::min() && now - last < MinCollectInterval)
        return;
    last = now;
    const auto &siblings = m_dependencies.members.siblings();
    if (siblings.empty())
        return;
    const double each = CollectFactor * units / static_cast<double>(siblings.size());
    for (const auto &[instance, sibling] : siblings)
        sendMove(sibling.member.endpoint, {++m_lastNumber, team, each, Wire::QuotaStep::Collect});
}

void QuotaExchange::answerAsks()
{
    const auto now = m_dependencies.clock.now();
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const double available = m_ledger.takeFromPool(it->team, it->units, now);
        const bool isEnough = available >= MinGrantShare * it->units;
        if (!isEnough && now < it->answerBy) {
            m_ledger.addToPool(it->team, available, now);
            ++it;
            continue;
        }
        const auto ask = *it;
        it = m_waiting.erase(it);
        // Too few units would not help the caller, so they stay in the pool for the next one.
        if (!isEnough)
            m_ledger.addToPool(ask.team, available, now);
        answer(ask, isEnough ? available : 0);
    }
    if (m_waiting.empty() || m_isTimerSet)
        return;
    m_isTimerSet = true;
    m_answerTimer.expires_after(CollectTime);
    m_answerTimer.async_wait([this](const auto &ec) {
        m_isTimerSet = false;
        if (!ec)
            answerAsks();
    });
}

void QuotaExchange::answer(const WaitingAsk &ask, double units)
{
    if (ask.from == m_dependencies.members.self().endpoint)
        receiveGrant(ask.number, ask.team, units);
    else
        sendMove(ask.from, {ask.number, ask.team, units, Wire::QuotaStep::Grant});
}

void QuotaExchange::receiveGrant(std::uint64_t number, std::uint64_t team, double units)
{
    const auto it = m_pending.find(number);
    // A grant that is too late, or repeated, is not spent.
    if (it == m_pending.end() || it->second.isAnswered)
        return;
    m_ledger.put(team, units, m_dependencies.clock.now());
    it->second.isAnswered = true;
    it->second.timer->cancel();
}

} // namespace Gateway
