#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/EngineQueueExchange.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/KeeperChoice.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto Identifier = "JSEQ";
// Several times the round trip within a region, so that a slow machine can answer.
constexpr auto AnswerTimeout = 25ms;
// A keeper that did not answer is passed over for this long.
constexpr auto SkipTime = 2'000ms;
// A lost datagram must not split the count of a plain upstream between two keepers, since many
// requests share few slots there.
constexpr unsigned MaxMissedByPlain = 2;
constexpr auto NoteInterval = 3ms;
constexpr auto ExpiryInterval = 250ms;
// A prompt of an instance that has ended is forgotten after this time.
constexpr milliseconds MaxExpiry = 5'000ms;
// The same for one that has begun to answer, if its instance asks for it.
constexpr milliseconds MaxRunningExpiry = 60'000ms;

std::uint64_t random64()
{
    std::random_device device;
    return (std::uint64_t {device()} << 32U) | device();
}

Wire::Load wireLoad(std::uint64_t upstream, const SiblingLoad &load)
{
    return {upstream,
            static_cast<std::uint32_t>(load.waitingTokens.all),
            static_cast<std::uint32_t>(load.waitingTokens.urgent),
            load.waitingTokens.ordinaryPrompts,
            load.inFlight,
            static_cast<std::uint32_t>(load.memoryTokens)};
}

template <typename Number>
Number difference(Number all, Number own)
{
    return all - std::min(all, own);
}

std::string finish(flatbuffers::FlatBufferBuilder &builder,
                   flatbuffers::Offset<Wire::QueueMessage> message)
{
    builder.Finish(message, Identifier);
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

} // namespace

QueuePlace::QueuePlace(EngineQueueExchange &exchange, FleetMember keeper, std::uint64_t number,
                       std::uint64_t upstream)
    : m_exchange(exchange)
    , m_keeper(std::move(keeper))
    , m_number(number)
    , m_upstream(upstream)
{ }

QueuePlace::~QueuePlace()
{
    m_exchange.note(m_keeper, m_number, m_upstream, Wire::QueueStep::End);
}

void QueuePlace::noteFirstToken()
{
    m_exchange.note(m_keeper, m_number, m_upstream, Wire::QueueStep::FirstToken);
}

EngineQueueExchange::EngineQueueExchange(asio::io_context &context, Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_context(context)
    , m_incarnation(random64())
    , m_noteTimer(context)
{ }

bool EngineQueueExchange::isSkipped(const Core::InstanceId &instance) const
{
    const auto it = m_skippedUntil.find(instance);
    return it != m_skippedUntil.end() && it->second > m_dependencies.clock.now();
}

FleetMember EngineQueueExchange::keeperOf(const Upstream &engine) const
{
    return chooseKeeper(m_dependencies.members, engine.report(),
                        [this](const Core::InstanceId &instance) { return isSkipped(instance); });
}

asio::awaitable<std::unique_ptr<QueuePlace>>
EngineQueueExchange::enter(std::shared_ptr<Upstream> engine, Demand demand)
{
    const auto keeper = keeperOf(*engine);
    const auto upstream = UpstreamFleet::hashOf(engine->report().id);
    const auto number = ++m_lastNumber;
    const auto expiry =
        std::min(demand.isKeptWhileRunning ? MaxRunningExpiry : MaxExpiry, demand.remaining);
    if (keeper.instance == m_dependencies.members.self().instance) {
        demand.remaining = expiry;
        const auto load = add(upstream, {m_incarnation, number}, demand);
        noteLoad(*engine, load);
        auto own = std::make_unique<QueuePlace>(*this, keeper, number, upstream);
        own->m_requestsAhead = load.inFlight;
        co_return own;
    }
    // A request of a plain service occupies no tokens, so the field carries its limit.
    const auto memoryTokens = demand.requestLimit > 0 ? demand.requestLimit : demand.memoryTokens;
    flatbuffers::FlatBufferBuilder builder;
    const Wire::QueueAsk ask(number, upstream, static_cast<std::uint32_t>(demand.tokens),
                             static_cast<std::uint32_t>(memoryTokens),
                             static_cast<std::uint32_t>(expiry.count()), demand.isUrgent);
    const auto asks = builder.CreateVectorOfStructs(&ask, 1);
    const auto message = Wire::CreateQueueMessage(builder, m_incarnation, asks);
    asio::steady_timer timer(m_context, AnswerTimeout);
    m_pending[number] = {engine, &timer, false};
    // Cancels the place at the keeper if there is no answer in time.
    auto place = std::make_unique<QueuePlace>(*this, keeper, number, upstream);
    m_dependencies.send(keeper.endpoint, finish(builder, message));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    const auto pending = m_pending.extract(number);
    if (pending.mapped().isAnswered) {
        m_skippedUntil.erase(keeper.instance);
        m_missed.erase(keeper.instance);
        place->m_requestsAhead = pending.mapped().requestsAhead;
        co_return place;
    }
    if (demand.requestLimit > 0 && ++m_missed[keeper.instance] < MaxMissedByPlain)
        co_return nullptr;
    m_missed.erase(keeper.instance);
    Core::logEvent(Core::EventId::SiblingPassedOver,
                   {{"sibling", keeper.instance.value()},
                    {"upstream", engine->report().id.value()},
                    {"reason", "no answer to a query of the engine's queue"}});
    m_skippedUntil[keeper.instance] = m_dependencies.clock.now() + SkipTime;
    co_return nullptr;
}

SiblingLoad EngineQueueExchange::add(std::uint64_t upstream, const EngineQueue::Key &key,
                                     const Demand &demand)
{
    const auto now = m_dependencies.clock.now();
    auto &queue = m_queues[upstream];
    if (demand.requestLimit > 0)
        queue.dropExpired(now);
    const auto load = loadOf(upstream);
    // Entered although it is not sent, it would count until its instance has learned the load.
    if (demand.requestLimit > 0 && queue.requests() >= demand.requestLimit)
        return load;
    const auto expiry = std::min(MaxRunningExpiry, demand.remaining);
    queue.add(key,
              {demand.tokens, demand.memoryTokens, demand.isUrgent,
               now + std::min(MaxExpiry, expiry), now + expiry},
              now);
    return load;
}

SiblingLoad EngineQueueExchange::loadOf(std::uint64_t upstream) const
{
    const auto queue = m_queues.find(upstream);
    const auto engine = m_dependencies.fleet.findByHash(upstream);
    if (queue == m_queues.end() || !engine)
        return {};
    return queue->second.load(engine->speed()
                                  * m_dependencies.prefillRate(engine->report().service),
                              m_dependencies.clock.now());
}

void EngineQueueExchange::noteLoad(Upstream &engine, const SiblingLoad &all) const
{
    const auto own = engine.waitingTokens();
    SiblingLoad others;
    others.waitingTokens.urgent = difference(all.waitingTokens.urgent, own.urgent);
    others.waitingTokens.all =
        others.waitingTokens.urgent + difference(all.waitingTokens.ordinary(), own.ordinary());
    others.waitingTokens.ordinaryPrompts =
        difference(all.waitingTokens.ordinaryPrompts, own.ordinaryPrompts);
    others.inFlight = difference(all.inFlight, engine.inFlight());
    others.memoryTokens = difference(all.memoryTokens, engine.memoryTokens());
    engine.setKeptLoad(others, m_dependencies.clock.now());
}

bool EngineQueueExchange::isQueueMessage(std::string_view datagram)
{
    constexpr std::size_t HeaderBytes = 8;
    return datagram.size() > HeaderBytes
           && flatbuffers::BufferHasIdentifier(datagram.data(), Identifier);
}

void EngineQueueExchange::apply(std::string_view datagram, const Http::Endpoint &from)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!verifier.VerifyBuffer<Wire::QueueMessage>(Identifier)) {
        Core::logEvent(Core::EventId::PeerFrameInvalid,
                       {{"bytes", std::to_string(datagram.size())}});
        return;
    }
    const auto &message = *flatbuffers::GetRoot<Wire::QueueMessage>(bytes);
    if (message.notes()) {
        for (const auto *entry : *message.notes())
            applyNote({message.life(), entry->number()}, entry->upstream(), entry->step());
    }
    applyAsks(message, from);
    applyAnswers(message);
}

void EngineQueueExchange::applyAsks(const Wire::QueueMessage &message, const Http::Endpoint &from)
{
    if (!message.asks() || message.asks()->size() == 0)
        return;
    std::vector<Wire::QueueAnswer> answers;
    for (const auto *ask : *message.asks()) {
        Demand demand {ask->tokens(), ask->memory_tokens(), ask->is_urgent(),
                       milliseconds(ask->expires_ms())};
        const auto upstream = m_dependencies.fleet.findByHash(ask->upstream());
        if (upstream && m_dependencies.isPlain
            && m_dependencies.isPlain(upstream->report().service))
            demand.requestLimit = static_cast<unsigned>(std::exchange(demand.memoryTokens, 0));
        const auto load = add(ask->upstream(), {message.life(), ask->number()}, demand);
        answers.emplace_back(ask->number(), wireLoad(ask->upstream(), load));
    }
    flatbuffers::FlatBufferBuilder builder;
    const auto list = builder.CreateVectorOfStructs(answers);
    m_dependencies.send(from,
                        finish(builder, Wire::CreateQueueMessage(builder, m_incarnation, 0, list)));
}

void EngineQueueExchange::applyAnswers(const Wire::QueueMessage &message)
{
    if (!message.answers())
        return;
    for (const auto *answer : *message.answers()) {
        const auto it = m_pending.find(answer->number());
        if (it == m_pending.end() || it->second.isAnswered
            || UpstreamFleet::hashOf(it->second.engine->report().id) != answer->load().upstream())
            continue;
        const auto &load = answer->load();
        noteLoad(*it->second.engine,
                 {{load.waiting_tokens(), std::min(load.urgent_tokens(), load.waiting_tokens()),
                   load.ordinary_prompts()},
                  load.in_flight(),
                  load.memory_tokens()});
        it->second.requestsAhead = load.in_flight();
        it->second.isAnswered = true;
        it->second.timer->cancel();
    }
}

void EngineQueueExchange::note(const FleetMember &keeper, std::uint64_t number,
                               std::uint64_t upstream, Wire::QueueStep step)
{
    const EngineQueue::Key key {m_incarnation, number};
    if (keeper.instance == m_dependencies.members.self().instance) {
        applyNote(key, upstream, step);
        return;
    }
    if (m_notes.empty()) {
        m_noteTimer.expires_after(NoteInterval);
        m_noteTimer.async_wait([this](const auto &ec) {
            if (!ec)
                flushNotes();
        });
    }
    auto &batch = m_notes[keeper.instance];
    batch.endpoint = keeper.endpoint;
    batch.notes.emplace_back(key, step);
    batch.upstreams.push_back(upstream);
}

void EngineQueueExchange::applyNote(const EngineQueue::Key &key, std::uint64_t upstream,
                                    Wire::QueueStep step)
{
    const auto queue = m_queues.find(upstream);
    if (queue == m_queues.end())
        return;
    if (step == Wire::QueueStep::End) {
        queue->second.remove(key, m_dependencies.clock.now());
        return;
    }
    const auto prefill = queue->second.noteFirstToken(key, m_dependencies.clock.now());
    if (prefill && m_dependencies.onPrefill)
        m_dependencies.onPrefill(upstream, *prefill);
}

void EngineQueueExchange::flushNotes()
{
    for (const auto &[instance, batch] : std::exchange(m_notes, {})) {
        std::vector<Wire::QueueNote> notes;
        for (std::size_t n = 0; n < batch.notes.size(); ++n)
            notes.emplace_back(batch.notes[n].first.number, batch.upstreams[n],
                               batch.notes[n].second);
        flatbuffers::FlatBufferBuilder builder;
        const auto list = builder.CreateVectorOfStructs(notes);
        m_dependencies.send(
            batch.endpoint,
            finish(builder, Wire::CreateQueueMessage(builder, m_incarnation, 0, 0, list)));
    }
}

void EngineQueueExchange::dropExpired()
{
    const auto now = m_dependencies.clock.now();
    for (auto it = m_queues.begin(); it != m_queues.end();) {
        it->second.dropExpired(now);
        it = it->second.isEmpty() ? m_queues.erase(it) : std::next(it);
    }
    std::erase_if(m_missed, [this](const auto &item) {
        return !m_dependencies.members.siblings().contains(item.first);
    });
    std::erase_if(m_skippedUntil, [now](const auto &item) { return item.second <= now; });
}

asio::awaitable<void> EngineQueueExchange::run()
{
    for (;;) {
        co_await sleepFor(ExpiryInterval);
        dropExpired();
    }
}

} // namespace Gateway
