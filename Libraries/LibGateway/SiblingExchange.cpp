#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/EngineModel.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/SiblingExchange.h>
#include <LibGateway/TeamReports.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// The interval grows with the number of instances that exchange reports, so that each receives at
// most about a hundred datagrams a second.
constexpr auto MinInterval = 100ms;
constexpr auto IntervalPerSibling = 10ms;
// The load of a sibling without reports for this many intervals is dropped.
constexpr int SilentIntervals = 15;
// Orders are sent in bursts. The interval collects their pauses and limits the number of datagrams.
constexpr auto UrgentInterval = 15ms;
// Fits a datagram together with the loads of a large fleet. A hub forwards the parts of many
// instances.
constexpr std::size_t MaxPartsPerDatagram = 256;
constexpr std::size_t MaxPartsPerSum = 768;
// When no hub of a data centre is known, the sum goes to its most likely hubs.
constexpr std::size_t HubCandidates = 3;
// Longer than any pause that an instance needs; bounds the effect of a wrong report.
constexpr std::chrono::milliseconds MaxPause = 60s;
constexpr double Permille = 1'000;
// Names of sums in m_sources. No instance has such a name.
constexpr auto DataCentreSource = "data centre ";
constexpr auto RemoteSource = "elsewhere";

std::uint64_t random64()
{
    std::random_device device;
    return (std::uint64_t {device()} << 32U) | device();
}

std::uint64_t upstreamHash(const Upstream &upstream)
{
    return UpstreamFleet::hashOf(upstream.report().id);
}

void add(SiblingLoad &sum, const SiblingLoad &load)
{
    sum.waitingTokens += load.waitingTokens;
    sum.inFlight += load.inFlight;
    sum.memoryTokens += load.memoryTokens;
}

template <typename LoadMap>
std::vector<Wire::Load> wireLoads(const LoadMap &loads)
{
    std::vector<Wire::Load> entries;
    entries.reserve(loads.size());
    for (const auto &[upstream, load] : loads)
        entries.emplace_back(upstream, static_cast<std::uint32_t>(load.waitingTokens.all),
                             static_cast<std::uint32_t>(load.waitingTokens.urgent),
                             load.waitingTokens.ordinaryPrompts, load.inFlight,
                             static_cast<std::uint32_t>(load.memoryTokens));
    return entries;
}

template <typename PartRange>
std::vector<Wire::KeptPart> wireParts(const PartRange &parts)
{
    std::vector<Wire::KeptPart> entries;
    entries.reserve(parts.size());
    for (const auto &entry : parts)
        entries.emplace_back(entry.holder, entry.part.prefixHash, entry.part.tokens);
    return entries;
}

} // namespace

SiblingExchange::SiblingExchange(asio::io_context &context, Dependencies dependencies)
    : m_dependencies(dependencies)
    , m_socket(context)
    , m_urgentTimer(context)
    , m_incarnation(random64())
{ }

void SiblingExchange::open()
{
    const auto &self = m_dependencies.members.self().endpoint;
    const asio::ip::udp::endpoint local(self.address(), self.port());
    try {
        m_socket.open(local.protocol());
        m_socket.bind(local);
        m_socket.non_blocking(true);
    } catch (const boost::system::system_error &fault) {
        boost::system::error_code ec;
        m_socket.close(ec);
        throw Core::Error(Core::ErrorKind::SettingsInvalid,
                          "cannot open the siblings' port: " + std::string(fault.what()));
    }
}

std::chrono::milliseconds SiblingExchange::interval() const
{
    const auto &members = m_dependencies.members;
    const auto participants =
        members.isLarge() ? members.localMembers().size() + 1 : members.count();
    return std::max<std::chrono::milliseconds>(MinInterval, participants * IntervalPerSibling);
}

asio::awaitable<void> SiblingExchange::send()
{
    for (;;) {
        co_await sleepFor(interval());
        m_dependencies.members.dropExpired();
        dropSilent();
        if (!m_dependencies.members.isLarge()) {
            sendTo(allMembers(), encode());
            continue;
        }
        const auto localMembers = m_dependencies.members.localMembers();
        sendTo(localMembers, encode());
        if (!m_dependencies.members.isHub())
            continue;
        sendTo(otherHubs(), encodeDataCentre());
        sendTo(localMembers, encodeRemoteSum());
    }
}

std::vector<FleetMember> SiblingExchange::allMembers() const
{
    std::vector<FleetMember> members;
    for (const auto &[instance, sibling] : m_dependencies.members.siblings())
        members.push_back(sibling.member);
    return members;
}

std::vector<FleetMember> SiblingExchange::otherHubs() const
{
    std::vector<FleetMember> hubs;
    for (auto &[dataCentre, members] : m_dependencies.members.remoteMembers()) {
        const auto it = m_sources.find(DataCentreSource + dataCentre);
        if (it != m_sources.end() && !it->second.isSilent) {
            hubs.push_back(it->second.sender);
            continue;
        }
        const auto candidates = std::min(members.size(), HubCandidates);
        hubs.insert(hubs.end(), members.begin(), members.begin() + static_cast<int>(candidates));
    }
    return hubs;
}

asio::awaitable<void> SiblingExchange::sendUrgent()
{
    for (;;) {
        if (m_urgentUpdates.isEmpty()) {
            m_urgentTimer.expires_at(asio::steady_timer::time_point::max());
            boost::system::error_code ec;
            co_await m_urgentTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        sendTo(allMembers(), encodeUrgent());
        co_await sleepFor(UrgentInterval);
    }
}

void SiblingExchange::sendTo(const std::vector<FleetMember> &members, const std::string &datagram)
{
    for (const auto &member : members)
        sendTo(member.endpoint, datagram);
}

void SiblingExchange::sendTo(const Http::Endpoint &member, std::string_view datagram)
{
    // When the send buffer is full, the datagram is lost like any other.
    boost::system::error_code ec;
    m_socket.send_to(asio::buffer(datagram),
                     asio::ip::udp::endpoint(member.address(), member.port()), 0, ec);
}

asio::awaitable<void> SiblingExchange::receive()
{
    for (;;) {
        asio::ip::udp::endpoint from;
        boost::system::error_code ec;
        const auto n = co_await m_socket.async_receive_from(
            asio::buffer(m_buffer), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        const std::string_view datagram(m_buffer.data(), n);
        if (!onDatagram || !onDatagram(datagram, {from.address(), from.port()}))
            apply(datagram);
    }
}

void SiblingExchange::publishParts(const Upstream &engine, std::span<const PromptPart> parts)
{
    queueParts(upstreamHash(engine), parts);
}

void SiblingExchange::publishStoredParts(const KvCacheStore &store,
                                         std::span<const PromptPart> parts)
{
    queueParts(store.holder(), parts);
}

void SiblingExchange::publishStoreEpoch(std::uint64_t holder, std::uint64_t epoch)
{
    m_storeEpochs[holder] = epoch;
}

void SiblingExchange::queueParts(std::uint64_t holder, std::span<const PromptPart> parts)
{
    // Queued in reverse order, so that a part never appears less recently used than one that
    // depends on it.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        push(m_cachedParts, {holder, *it}, MaxPartsPerDatagram);
        push(m_dataCentreParts, {holder, *it}, MaxPartsPerSum);
    }
}

void SiblingExchange::push(PartQueue &queue, const Part &part, std::size_t maxSize)
{
    if (queue.size() < maxSize)
        queue.push_back(part);
}

void SiblingExchange::publishPause(const Upstream &engine, std::chrono::milliseconds time)
{
    queueUpdates({{{upstreamHash(engine), time}}, {}, {}});
}

void SiblingExchange::publishUnreachable(const Upstream &upstream)
{
    m_urgentUpdates.unreachable.push_back(upstreamHash(upstream));
    m_urgentTimer.cancel();
}

void SiblingExchange::publishWeights(const Upstream &engine, const std::string &model,
                                     std::uint64_t version)
{
    queueUpdates({{}, {{upstreamHash(engine), Core::hash64(model), version}}, {}});
}

void SiblingExchange::queueUpdates(const UrgentUpdates &updates)
{
    for (auto *queue : {&m_reportUpdates, &m_urgentUpdates}) {
        queue->pauses.insert(queue->pauses.end(), updates.pauses.begin(), updates.pauses.end());
        queue->weights.insert(queue->weights.end(), updates.weights.begin(), updates.weights.end());
    }
    m_urgentTimer.cancel();
}

std::string SiblingExchange::encode()
{
    const auto loads = wireLoads(ownLoads());
    const auto parts = wireParts(std::exchange(m_cachedParts, {}));
    std::vector<Wire::StoreLife> stores;
    for (const auto &[holder, epoch] : std::exchange(m_storeEpochs, {}))
        stores.emplace_back(holder, epoch);
    const auto [pauses, weights] = wireUpdates(std::exchange(m_reportUpdates, {}));
    const auto namedWeights = wireNamedWeights();
    const auto speeds = wireSpeeds(Wire::Scope::Instance);
    const auto teamDemands = wireTeamRates(ownTeamRates());
    const auto &self = m_dependencies.members.self();
    flatbuffers::FlatBufferBuilder builder;
    const auto news = m_dependencies.poisonNews.encode(builder, Wire::Scope::Instance);
    builder.Finish(Wire::CreateSiblingReportDirect(
        builder, self.instance.value().c_str(), ++m_reportNumber, m_incarnation, &loads, &parts,
        &weights, &pauses, &stores, self.dataCentre.c_str(),
        Http::formatEndpoint(self.endpoint).c_str(), false, Wire::Scope::Instance,
        self.linkMegabits, nullptr, &namedWeights, news, &speeds,
        teamDemands.empty() ? nullptr : &teamDemands));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::string SiblingExchange::encodeDataCentre()
{
    const auto isLocal = [](const Source &it) { return !it.isDataCentre && !it.isRemote; };
    auto loads = sumOf(isLocal);
    for (const auto &[upstream, load] : ownLoads())
        add(loads[upstream], load);
    auto teamRates = teamRatesOf(isLocal);
    const auto own = ownTeamRates();
    teamRates.insert(teamRates.end(), own.begin(), own.end());
    return encodeSum(loads, std::exchange(m_dataCentreParts, {}), teamRates,
                     Wire::Scope::DataCentre);
}

std::string SiblingExchange::encodeRemoteSum()
{
    const auto isDataCentre = [](const Source &it) { return it.isDataCentre; };
    return encodeSum(sumOf(isDataCentre), std::exchange(m_remoteParts, {}),
                     teamRatesOf(isDataCentre), Wire::Scope::Elsewhere);
}

std::string SiblingExchange::encodeSum(const Loads &loads, const PartQueue &parts,
                                       const std::vector<Admission::TeamRate> &teamRates,
                                       Wire::Scope scope)
{
    const auto &self = m_dependencies.members.self();
    const auto sums = wireLoads(loads);
    const auto cachedParts = wireParts(parts);
    const auto teamDemands = wireTeamRates(teamRates);
    const auto namedWeights = wireNamedWeights();
    const auto speeds = wireSpeeds(scope);
    flatbuffers::FlatBufferBuilder builder;
    const auto news = m_dependencies.poisonNews.encode(builder, scope);
    builder.Finish(Wire::CreateSiblingReportDirect(
        builder, self.instance.value().c_str(), ++m_reportNumber, m_incarnation, &sums,
        &cachedParts, nullptr, nullptr, nullptr, self.dataCentre.c_str(),
        Http::formatEndpoint(self.endpoint).c_str(), false, scope, self.linkMegabits, nullptr,
        &namedWeights, news, &speeds, teamDemands.empty() ? nullptr : &teamDemands));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::vector<Admission::TeamRate> SiblingExchange::ownTeamRates() const
{
    const auto *room = m_dependencies.teamRoom;
    return room ? room->ownRates(MaxTeamsPerReport, m_dependencies.clock.now())
                : std::vector<Admission::TeamRate> {};
}

SiblingExchange::Loads SiblingExchange::ownLoads() const
{
    Loads loads;
    for (const auto &[id, upstream] : m_dependencies.fleet.all()) {
        if (upstream->inFlight() > 0)
            loads[upstreamHash(*upstream)] = {upstream->waitingTokens(), upstream->inFlight(),
                                              upstream->memoryTokens()};
    }
    return loads;
}

std::string SiblingExchange::encodeUrgent()
{
    const auto updates = std::exchange(m_urgentUpdates, {});
    const auto [pauses, weights] = wireUpdates(updates);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::CreateSiblingReportDirect(
        builder, m_dependencies.members.self().instance.value().c_str(), ++m_reportNumber,
        m_incarnation, nullptr, nullptr, &weights, &pauses, nullptr, nullptr, nullptr, true,
        Wire::Scope::Instance, 0, &updates.unreachable));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::pair<std::vector<Wire::Hold>, std::vector<Wire::Weights>>
SiblingExchange::wireUpdates(const UrgentUpdates &updates)
{
    std::vector<Wire::Hold> pauses;
    for (const auto &entry : updates.pauses)
        pauses.emplace_back(entry.upstream, static_cast<std::uint32_t>(entry.time.count()));
    std::vector<Wire::Weights> weights;
    for (const auto &entry : updates.weights)
        weights.emplace_back(entry.upstream, entry.model, entry.version);
    return {std::move(pauses), std::move(weights)};
}

void SiblingExchange::apply(std::string_view datagram)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!Wire::VerifySiblingReportBuffer(verifier)) {
        Core::logEvent(Core::EventId::PeerFrameInvalid,
                       {{"bytes", std::to_string(datagram.size())}});
        return;
    }
    const auto *report = Wire::GetSiblingReport(bytes);
    if (!report->instance() || report->instance()->size() == 0
        || report->instance()->str() == m_dependencies.members.self().instance.value())
        return;
    auto &sender = source(*report);
    noteMember(*report, sender);
    // Urgent updates come from the whole fleet, loads only from siblings that report periodically.
    if (!report->is_urgent()) {
        if (sender.isSilent)
            Core::logEvent(Core::EventId::SiblingHeard, {{"sibling", report->instance()->str()}});
        sender.lastReport = m_dependencies.clock.now();
        sender.isSilent = false;
    }
    if (!noteReport(*report, sender))
        return;
    // Weights are applied before parts, because new weights clear the prefix-cache estimate of an
    // engine.
    applyWeights(*report);
    applyNamedWeights(*report);
    applySpeeds(*report);
    applyPauses(*report);
    applyUnreachable(*report);
    applyParts(*report);
    m_dependencies.poisonNews.apply(report->poison_news(), report->scope());
    if (!report->is_urgent())
        applySums();
}

SiblingExchange::Source &SiblingExchange::source(const Wire::SiblingReport &report)
{
    auto name = report.instance()->str();
    if (report.scope() == Wire::Scope::DataCentre && report.data_centre())
        name = DataCentreSource + report.data_centre()->str();
    if (report.scope() == Wire::Scope::Elsewhere)
        name = RemoteSource;
    auto &source = m_sources[name];
    source.isDataCentre = report.scope() == Wire::Scope::DataCentre;
    source.isRemote = report.scope() == Wire::Scope::Elsewhere;
    return source;
}

void SiblingExchange::noteMember(const Wire::SiblingReport &report, Source &source)
{
    if (!report.endpoint() || !report.data_centre())
        return;
    const auto endpoint = Http::parseEndpoint(report.endpoint()->string_view());
    if (!endpoint) {
        Core::logEvent(Core::EventId::PeerFrameInvalid, {{"sibling", report.instance()->str()},
                                                         {"reason", endpoint.error().detail()}});
        return;
    }
    source.sender = {Core::InstanceId(report.instance()->str()), report.data_centre()->str(),
                     endpoint.value(), report.link_megabits()};
    m_dependencies.members.noteDatagram(source.sender);
}

bool SiblingExchange::noteReport(const Wire::SiblingReport &report, Source &source)
{
    const bool isStale = source.incarnation == report.life() && report.number() <= source.number;
    if (isStale)
        return false;
    source.incarnation = report.life();
    source.number = report.number();
    if (report.is_urgent())
        return true;
    source.teamRates = readTeamRates(report);
    source.loads.clear();
    if (report.loads()) {
        for (const auto *load : *report.loads())
            source.loads[load->upstream()] = {
                {load->waiting_tokens(), std::min(load->urgent_tokens(), load->waiting_tokens()),
                 load->ordinary_prompts()},
                load->in_flight(),
                load->memory_tokens()};
    }
    return true;
}

void SiblingExchange::applyWeights(const Wire::SiblingReport &report) const
{
    if (!report.weights())
        return;
    for (const auto *entry : *report.weights()) {
        const auto upstream = m_dependencies.fleet.findByHash(entry->upstream());
        if (!upstream)
            continue;
        for (const auto &[model, version] : std::map(upstream->report().weights)) {
            if (Core::hash64(model) == entry->model())
                upstream->noteWeights(model, entry->version());
        }
    }
}

std::vector<Wire::NamedWeights> SiblingExchange::wireNamedWeights() const
{
    std::vector<Wire::NamedWeights> entries;
    for (const auto &entry : m_dependencies.weights.reports(m_dependencies.clock.now()))
        entries.emplace_back(entry.model, entry.version,
                             static_cast<std::uint32_t>(entry.age.count()));
    return entries;
}

void SiblingExchange::applyNamedWeights(const Wire::SiblingReport &report) const
{
    if (!report.named_weights())
        return;
    for (const auto *entry : *report.named_weights())
        m_dependencies.weights.noteReport(
            {entry->model(), entry->version(), std::chrono::milliseconds(entry->age_ms())},
            m_dependencies.clock.now());
}

std::vector<Wire::UpstreamSpeed> SiblingExchange::wireSpeeds(Wire::Scope scope) const
{
    if (!m_dependencies.speeds)
        return {};
    std::vector<Wire::UpstreamSpeed> entries;
    const auto append = [&](EngineSpeeds::Origin origin) {
        for (const auto &report : m_dependencies.speeds->reports(origin))
            entries.emplace_back(report.upstream,
                                 static_cast<std::uint32_t>(std::lround(Permille * report.speed)),
                                 static_cast<std::uint32_t>(std::ceil(report.samples)),
                                 static_cast<std::uint32_t>(report.age.count()));
    };
    // An entry is passed on only in the direction away from its keeper, so that none returns.
    if (scope == Wire::Scope::Elsewhere) {
        append(EngineSpeeds::Origin::DataCentre);
        return entries;
    }
    append(EngineSpeeds::Origin::Own);
    if (scope == Wire::Scope::DataCentre)
        append(EngineSpeeds::Origin::Instance);
    return entries;
}

void SiblingExchange::applySpeeds(const Wire::SiblingReport &report) const
{
    if (!m_dependencies.speeds || !report.speeds())
        return;
    auto origin = EngineSpeeds::Origin::Instance;
    if (report.scope() == Wire::Scope::DataCentre)
        origin = EngineSpeeds::Origin::DataCentre;
    else if (report.scope() == Wire::Scope::Elsewhere)
        origin = EngineSpeeds::Origin::Elsewhere;
    for (const auto *entry : *report.speeds())
        m_dependencies.speeds->apply({entry->upstream(), entry->speed_permille() / Permille,
                                      static_cast<double>(entry->samples()),
                                      EngineModel::Milliseconds(entry->age_ms())},
                                     origin);
}

void SiblingExchange::applyUnreachable(const Wire::SiblingReport &report) const
{
    if (!report.unreachable())
        return;
    for (const auto hash : *report.unreachable()) {
        if (const auto upstream = m_dependencies.fleet.findByHash(hash))
            upstream->noteUnreachable(report.instance()->str(), Upstream::UnreachablePause,
                                      m_dependencies.clock.now());
    }
}

void SiblingExchange::applyPauses(const Wire::SiblingReport &report) const
{
    if (!report.holds())
        return;
    for (const auto *pause : *report.holds()) {
        if (const auto upstream = m_dependencies.fleet.findByHash(pause->upstream()))
            upstream->pauseUntil(
                m_dependencies.clock.now()
                + std::min(MaxPause, std::chrono::milliseconds(pause->milliseconds())));
    }
}

void SiblingExchange::applyParts(const Wire::SiblingReport &report)
{
    if (report.stores()) {
        for (const auto *store : *report.stores())
            m_dependencies.stores.noteAnswer(store->holder(), store->epoch(),
                                             m_dependencies.clock.now());
    }
    if (!report.parts())
        return;
    for (const auto *entry : *report.parts()) {
        const PromptPart part {entry->chain(), entry->tokens()};
        if (const auto upstream = m_dependencies.fleet.findByHash(entry->holder()))
            upstream->noteCached(std::span(&part, 1));
        else if (auto *store = m_dependencies.stores.find(entry->holder()))
            store->noteStored(std::span(&part, 1));
        if (report.scope() == Wire::Scope::Instance)
            push(m_dataCentreParts, {entry->holder(), part}, MaxPartsPerSum);
        if (report.scope() == Wire::Scope::DataCentre)
            push(m_remoteParts, {entry->holder(), part}, MaxPartsPerSum);
    }
}

template <typename Predicate>
SiblingExchange::Loads SiblingExchange::sumOf(Predicate isIncluded) const
{
    Loads sums;
    for (const auto &[name, source] : m_sources) {
        if (!isIncluded(source))
            continue;
        for (const auto &[upstream, load] : source.loads)
            add(sums[upstream], load);
    }
    return sums;
}

template <typename Predicate>
std::vector<Admission::TeamRate> SiblingExchange::teamRatesOf(Predicate isIncluded) const
{
    std::vector<Admission::TeamRate> rates;
    const auto now = m_dependencies.clock.now();
    for (const auto &[name, source] : m_sources) {
        if (isIncluded(source) && now - source.lastReport < MaxTeamReportAge)
            rates.insert(rates.end(), source.teamRates.begin(), source.teamRates.end());
    }
    return rates;
}

void SiblingExchange::applySums()
{
    // A hub receives the sums of the other data centres directly. The sum forwarded by a former hub
    // contains the same loads.
    const bool receivesDataCentreSums =
        std::any_of(m_sources.begin(), m_sources.end(), [](const auto &item) {
            return item.second.isDataCentre && !item.second.isSilent;
        });
    const auto isIncluded = [receivesDataCentreSums](const Source &source) {
        return !source.isRemote || !receivesDataCentreSums;
    };
    auto sums = sumOf(isIncluded);
    if (m_dependencies.teamRoom) {
        const auto now = m_dependencies.clock.now();
        auto measured = now;
        for (const auto &[name, source] : m_sources) {
            if (isIncluded(source) && !source.teamRates.empty()
                && now - source.lastReport < MaxTeamReportAge)
                measured = std::min(measured, source.lastReport);
        }
        m_dependencies.teamRoom->setReported(teamRatesOf(isIncluded), measured);
    }
    for (const auto &[id, upstream] : m_dependencies.fleet.all())
        upstream->setReportedLoad(sums[upstreamHash(*upstream)], m_dependencies.clock.now());
}

void SiblingExchange::dropSilent()
{
    const auto now = m_dependencies.clock.now();
    for (auto &[name, source] : m_sources) {
        if (source.isSilent || now - source.lastReport < SilentIntervals * interval())
            continue;
        Core::logEvent(Core::EventId::SiblingSilent, {{"sibling", name}});
        source.isSilent = true;
        source.loads.clear();
        source.teamRates.clear();
        applySums();
    }
    // Only hubs send, and thereby clear, these queues.
    if (!m_dependencies.members.isLarge() || !m_dependencies.members.isHub()) {
        m_dataCentreParts.clear();
        m_remoteParts.clear();
        m_dependencies.poisonNews.dropForwarded();
    }
}

} // namespace Gateway
