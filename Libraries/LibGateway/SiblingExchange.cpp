#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/SiblingExchange.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// Each instance sends to all others; the pause grows with their number, so that a sibling receives
// at most some hundred datagrams a second in a large fleet.
constexpr auto LeastInterval = 100ms;
constexpr auto IntervalPerSibling = 10ms;
// Without news for this many intervals a sibling's load counts no more.
constexpr int SilentIntervals = 15;
// Orders go out in bursts; this gathers their holds, and bounds the datagrams of a burst.
constexpr auto UrgentPause = 15ms;
// What fits a datagram beside the loads of a large fleet.
constexpr std::size_t MostPartsPerDatagram = 256;
std::uint64_t random64()
{
    std::random_device device;
    return (std::uint64_t {device()} << 32U) | device();
}

std::uint64_t upstreamHash(const Upstream &upstream)
{
    return UpstreamFleet::hashOf(upstream.report().id);
}

} // namespace

SiblingExchange::SiblingExchange(asio::io_context &context, Parts parts)
    : m_parts(parts)
    , m_socket(context)
    , m_urgentTimer(context)
    , m_life(random64())
{ }

void SiblingExchange::open()
{
    const auto &self = m_parts.members.self().endpoint;
    const asio::ip::udp::endpoint local(self.address(), self.port());
    try {
        m_socket.open(local.protocol());
        m_socket.bind(local);
        m_socket.non_blocking(true);
    } catch (const boost::system::system_error &fault) {
        throw Core::Error(Core::ErrorKind::SettingsInvalid,
                          "cannot open the siblings' port: " + std::string(fault.what()));
    }
}

std::chrono::milliseconds SiblingExchange::interval() const
{
    return std::max<std::chrono::milliseconds>(LeastInterval,
                                               m_parts.members.count() * IntervalPerSibling);
}

asio::awaitable<void> SiblingExchange::send()
{
    for (;;) {
        co_await sleepFor(interval());
        m_parts.members.dropLapsed();
        dropSilent();
        sendToAll(encode());
    }
}

asio::awaitable<void> SiblingExchange::sendUrgent()
{
    for (;;) {
        if (m_urgentNews.isEmpty()) {
            m_urgentTimer.expires_at(asio::steady_timer::time_point::max());
            boost::system::error_code ec;
            co_await m_urgentTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        sendToAll(encodeUrgent());
        co_await sleepFor(UrgentPause);
    }
}

void SiblingExchange::sendToAll(const std::string &datagram)
{
    for (const auto &[instance, sibling] : m_parts.members.siblings()) {
        const auto &endpoint = sibling.member.endpoint;
        const asio::ip::udp::endpoint to(endpoint.address(), endpoint.port());
        // A datagram that finds no room is lost like any other.
        boost::system::error_code ec;
        m_socket.send_to(asio::buffer(datagram), to, 0, ec);
    }
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
        if (!ec)
            apply(std::string_view(m_buffer.data(), n));
    }
}

void SiblingExchange::tellParts(const Upstream &engine, std::span<const PromptPart> parts)
{
    queueParts(upstreamHash(engine), parts);
}

void SiblingExchange::tellStored(const PartStore &store, std::span<const PromptPart> parts)
{
    queueParts(store.holder(), parts);
}

void SiblingExchange::tellStoreLife(std::uint64_t holder, std::uint64_t epoch)
{
    m_storeLives[holder] = epoch;
}

void SiblingExchange::queueParts(std::uint64_t holder, std::span<const PromptPart> parts)
{
    // The last first, so that a part never seems older than one that builds on it.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        if (m_keptParts.size() < MostPartsPerDatagram)
            m_keptParts.push_back({holder, *it});
    }
}

void SiblingExchange::tellHold(const Upstream &engine, std::chrono::milliseconds time)
{
    queueNews({{{upstreamHash(engine), time}}, {}});
}

void SiblingExchange::tellWeights(const Upstream &engine, const std::string &model,
                                  std::uint64_t version)
{
    queueNews({{}, {{upstreamHash(engine), Core::hash64(model), version}}});
}

void SiblingExchange::queueNews(const News &news)
{
    for (auto *queue : {&m_news, &m_urgentNews}) {
        queue->holds.insert(queue->holds.end(), news.holds.begin(), news.holds.end());
        queue->weights.insert(queue->weights.end(), news.weights.begin(), news.weights.end());
    }
    m_urgentTimer.cancel();
}

std::string SiblingExchange::encode()
{
    std::vector<Wire::Load> loads;
    for (const auto &[id, upstream] : m_parts.fleet.all()) {
        if (upstream->inFlight() > 0)
            loads.emplace_back(
                upstreamHash(*upstream), static_cast<std::uint32_t>(upstream->waitingTokens().all),
                static_cast<std::uint32_t>(upstream->waitingTokens().urgent), upstream->inFlight(),
                static_cast<std::uint32_t>(upstream->memoryTokens()));
    }
    std::vector<Wire::KeptPart> parts;
    for (const auto &entry : std::exchange(m_keptParts, {}))
        parts.emplace_back(entry.holder, entry.part.chain, entry.part.tokens);
    std::vector<Wire::StoreLife> stores;
    for (const auto &[holder, epoch] : std::exchange(m_storeLives, {}))
        stores.emplace_back(holder, epoch);
    const auto [holds, weights] = wireNews(std::exchange(m_news, {}));
    const auto &self = m_parts.members.self();
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::CreateSiblingReportDirect(
        builder, self.instance.value().c_str(), ++m_number, m_life, &loads, &parts, &weights,
        &holds, &stores, self.dataCentre.c_str(), Http::formatEndpoint(self.endpoint).c_str()));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::string SiblingExchange::encodeUrgent()
{
    const auto [holds, weights] = wireNews(std::exchange(m_urgentNews, {}));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::CreateSiblingReportDirect(
        builder, m_parts.members.self().instance.value().c_str(), ++m_number, m_life, nullptr,
        nullptr, &weights, &holds, nullptr, nullptr, nullptr, true));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::pair<std::vector<Wire::Hold>, std::vector<Wire::Weights>>
SiblingExchange::wireNews(const News &news)
{
    std::vector<Wire::Hold> holds;
    for (const auto &entry : news.holds)
        holds.emplace_back(entry.upstream, static_cast<std::uint32_t>(entry.time.count()));
    std::vector<Wire::Weights> weights;
    for (const auto &entry : news.weights)
        weights.emplace_back(entry.upstream, entry.model, entry.version);
    return {std::move(holds), std::move(weights)};
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
    if (!report->instance() || report->instance()->str() == m_parts.members.self().instance.value())
        return;
    noteMember(*report);
    auto &sibling = m_siblings[report->instance()->str()];
    if (sibling.isSilent)
        Core::logEvent(Core::EventId::SiblingHeard, {{"sibling", report->instance()->str()}});
    sibling.heard = m_parts.clock.now();
    sibling.isSilent = false;
    if (!noteReport(*report, sibling))
        return;
    // Weights come before parts: new weights empty an engine's memory.
    applyWeights(*report);
    applyHolds(*report);
    applyParts(*report);
    if (!report->is_urgent())
        sumLoads();
}

void SiblingExchange::noteMember(const Wire::SiblingReport &report)
{
    if (!report.endpoint() || !report.data_centre())
        return;
    const auto endpoint = Http::parseEndpoint(report.endpoint()->string_view());
    if (endpoint)
        m_parts.members.noteHeard({Core::InstanceId(report.instance()->str()),
                                   report.data_centre()->str(), endpoint.value()});
    else
        Core::logEvent(Core::EventId::PeerFrameInvalid, {{"sibling", report.instance()->str()},
                                                         {"reason", endpoint.error().detail()}});
}

bool SiblingExchange::noteReport(const Wire::SiblingReport &report, Sibling &sibling)
{
    const bool isOld = sibling.life == report.life() && report.number() <= sibling.number;
    if (isOld)
        return false;
    sibling.life = report.life();
    sibling.number = report.number();
    if (report.is_urgent())
        return true;
    sibling.loads.clear();
    if (report.loads()) {
        for (const auto *load : *report.loads())
            sibling.loads[load->upstream()] = {{load->waiting_tokens(), load->urgent_tokens()},
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
        const auto upstream = m_parts.fleet.findByHash(entry->upstream());
        if (!upstream)
            continue;
        for (const auto &[model, version] : std::map(upstream->report().weights)) {
            if (Core::hash64(model) == entry->model())
                upstream->noteWeights(model, entry->version());
        }
    }
}

void SiblingExchange::applyHolds(const Wire::SiblingReport &report) const
{
    if (!report.holds())
        return;
    for (const auto *hold : *report.holds()) {
        if (const auto upstream = m_parts.fleet.findByHash(hold->upstream()))
            upstream->holdUntil(m_parts.clock.now()
                                + std::chrono::milliseconds(hold->milliseconds()));
    }
}

void SiblingExchange::applyParts(const Wire::SiblingReport &report)
{
    if (report.stores()) {
        for (const auto *store : *report.stores())
            m_parts.stores.noteAnswer(store->holder(), store->epoch(), m_parts.clock.now());
    }
    if (!report.parts())
        return;
    for (const auto *entry : *report.parts()) {
        const PromptPart part {entry->chain(), entry->tokens()};
        if (const auto upstream = m_parts.fleet.findByHash(entry->holder()))
            upstream->noteKept(std::span(&part, 1));
        else if (auto *store = m_parts.stores.find(entry->holder()))
            store->noteStored(std::span(&part, 1));
    }
}

void SiblingExchange::sumLoads()
{
    std::unordered_map<std::uint64_t, OthersLoad> sums;
    for (const auto &[name, sibling] : m_siblings) {
        for (const auto &[upstream, load] : sibling.loads) {
            auto &sum = sums[upstream];
            sum.waitingTokens.all += load.waitingTokens.all;
            sum.waitingTokens.urgent += load.waitingTokens.urgent;
            sum.inFlight += load.inFlight;
            sum.memoryTokens += load.memoryTokens;
        }
    }
    for (const auto &[id, upstream] : m_parts.fleet.all())
        upstream->setOthersLoad(sums[upstreamHash(*upstream)]);
}

void SiblingExchange::dropSilent()
{
    const auto now = m_parts.clock.now();
    for (auto &[name, sibling] : m_siblings) {
        if (sibling.isSilent || now - sibling.heard < SilentIntervals * interval())
            continue;
        Core::logEvent(Core::EventId::SiblingSilent, {{"sibling", name}});
        sibling.isSilent = true;
        sibling.loads.clear();
        sumLoads();
    }
}

} // namespace Gateway
