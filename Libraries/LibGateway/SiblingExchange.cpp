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
// What fits a datagram beside the loads of a large fleet.
constexpr std::size_t MostPartsPerDatagram = 256;
// Stands for the store of parts where an engine's hash would stand.
constexpr std::uint64_t StoreHolder = 0;

std::uint64_t random64()
{
    std::random_device device;
    return (std::uint64_t {device()} << 32U) | device();
}

std::uint64_t upstreamHash(const Upstream &upstream)
{
    return Core::hash64(upstream.report().id.value());
}

} // namespace

SiblingExchange::SiblingExchange(asio::io_context &context, const GatewaySettings &settings,
                                 const Core::Clock &clock, const FleetJournal &journal,
                                 UpstreamFleet &fleet)
    : m_settings(settings)
    , m_clock(clock)
    , m_journal(journal)
    , m_fleet(fleet)
    , m_socket(context)
    , m_life(random64())
{ }

void SiblingExchange::open()
{
    const asio::ip::udp::endpoint local(m_settings.siblings.address(), m_settings.siblings.port());
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
                                               m_journal.members().size() * IntervalPerSibling);
}

asio::awaitable<void> SiblingExchange::send()
{
    for (;;) {
        co_await sleepFor(interval());
        dropSilent();
        const auto datagram = encode();
        for (const auto &[instance, member] : m_journal.members()) {
            if (instance == m_settings.instance)
                continue;
            const asio::ip::udp::endpoint to(member.endpoint.address(), member.endpoint.port());
            // A datagram that finds no room is lost like any other.
            boost::system::error_code ec;
            m_socket.send_to(asio::buffer(datagram), to, 0, ec);
        }
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

void SiblingExchange::tellStored(std::span<const PromptPart> parts)
{
    queueParts(StoreHolder, parts);
}

void SiblingExchange::queueParts(std::uint64_t holder, std::span<const PromptPart> parts)
{
    // The last first, so that a part never seems older than one that builds on it.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        if (m_parts.size() < MostPartsPerDatagram)
            m_parts.push_back({holder, *it});
    }
}

void SiblingExchange::tellHold(const Upstream &engine, std::chrono::milliseconds time)
{
    m_holds.push_back({upstreamHash(engine), time});
}

void SiblingExchange::tellWeights(const Upstream &engine, const std::string &model,
                                  std::uint64_t version)
{
    m_weights.push_back({upstreamHash(engine), Core::hash64(model), version});
}

std::string SiblingExchange::encode()
{
    std::vector<Wire::Load> loads;
    for (const auto &[id, upstream] : m_fleet.all()) {
        if (upstream->inFlight() > 0)
            loads.emplace_back(
                upstreamHash(*upstream), static_cast<std::uint32_t>(upstream->waitingTokens().all),
                static_cast<std::uint32_t>(upstream->waitingTokens().urgent), upstream->inFlight(),
                static_cast<std::uint32_t>(upstream->memoryTokens()));
    }
    std::vector<Wire::KeptPart> parts;
    for (const auto &entry : std::exchange(m_parts, {}))
        parts.emplace_back(entry.upstream, entry.part.chain, entry.part.tokens);
    std::vector<Wire::Hold> holds;
    for (const auto &entry : std::exchange(m_holds, {}))
        holds.emplace_back(entry.upstream, static_cast<std::uint32_t>(entry.time.count()));
    std::vector<Wire::Weights> weights;
    for (const auto &entry : std::exchange(m_weights, {}))
        weights.emplace_back(entry.upstream, entry.model, entry.version);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::CreateSiblingReportDirect(builder, m_settings.instance.value().c_str(),
                                                   ++m_number, m_life, &loads, &parts, &weights,
                                                   &holds));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
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
    if (!report->instance() || report->instance()->str() == m_settings.instance.value())
        return;
    auto [it, isNew] = m_siblings.try_emplace(report->instance()->str());
    auto &sibling = it->second;
    if (isNew || sibling.isSilent)
        Core::logEvent(Core::EventId::SiblingHeard, {{"sibling", it->first}});
    const bool isOld = sibling.life == report->life() && report->number() <= sibling.number;
    sibling.heard = m_clock.now();
    sibling.isSilent = false;
    if (isOld)
        return;
    sibling.life = report->life();
    sibling.number = report->number();
    std::map<std::uint64_t, std::shared_ptr<Upstream>> byHash;
    for (const auto &[id, upstream] : m_fleet.all())
        byHash[upstreamHash(*upstream)] = upstream;
    const auto known = [&byHash](std::uint64_t hash) -> Upstream * {
        const auto found = byHash.find(hash);
        return found == byHash.end() ? nullptr : found->second.get();
    };
    sibling.loads.clear();
    if (report->loads()) {
        for (const auto *load : *report->loads())
            sibling.loads[load->upstream()] = {{load->waiting_tokens(), load->urgent_tokens()},
                                               load->in_flight(),
                                               load->memory_tokens()};
    }
    // Weights come before parts: new weights empty an engine's memory.
    if (report->weights()) {
        for (const auto *entry : *report->weights()) {
            auto *upstream = known(entry->upstream());
            if (!upstream)
                continue;
            for (const auto &[model, version] : std::map(upstream->report().weights)) {
                if (Core::hash64(model) == entry->model())
                    upstream->noteWeights(model, entry->version());
            }
        }
    }
    if (report->holds()) {
        for (const auto *hold : *report->holds()) {
            if (auto *upstream = known(hold->upstream()))
                upstream->holdUntil(m_clock.now()
                                    + std::chrono::milliseconds(hold->milliseconds()));
        }
    }
    if (report->parts()) {
        for (const auto *part : *report->parts()) {
            const PromptPart kept {part->chain(), part->tokens()};
            if (part->upstream() == StoreHolder && onStored)
                onStored(std::span(&kept, 1));
            if (auto *upstream = known(part->upstream())) {
                upstream->noteKept(std::span(&kept, 1));
            }
        }
    }
    sumLoads();
}

void SiblingExchange::sumLoads()
{
    std::map<std::uint64_t, UpstreamLoad> sums;
    for (const auto &[name, sibling] : m_siblings) {
        for (const auto &[upstream, load] : sibling.loads) {
            sums[upstream].waitingTokens.all += load.waitingTokens.all;
            sums[upstream].waitingTokens.urgent += load.waitingTokens.urgent;
            sums[upstream].inFlight += load.inFlight;
            sums[upstream].memoryTokens += load.memoryTokens;
        }
    }
    for (const auto &[id, upstream] : m_fleet.all()) {
        const auto load = sums[upstreamHash(*upstream)];
        upstream->setOthersLoad(load.waitingTokens, load.inFlight);
        upstream->setOthersMemory(load.memoryTokens);
    }
}

void SiblingExchange::dropSilent()
{
    const auto now = m_clock.now();
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
