#include <LibCore/BackgroundLoop.h>
#include <LibCore/EventLog.h>
#include <LibHttp/Endpoint.h>
#include <LibSiblings/AdmissionReportCodec.h>
#include <LibSiblings/ClaimQueryCodec.h>
#include <LibSiblings/SiblingService.h>
#include <LibSiblings/WarmStart.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Siblings {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds TickPeriod {50};
/// Admission reports and observations are sent once in this many ticks.
constexpr unsigned TicksPerReport = 4;
constexpr std::chrono::milliseconds ClaimTimeout {500};
constexpr std::chrono::milliseconds DocumentTimeout {2'000};
constexpr std::size_t UrgentBroadcastBytes = 512;
constexpr std::size_t SnapshotLimitBytes = 256 * 1024;

Peer::PeerAddress peerAddress(const std::string &address)
{
    Peer::PeerAddress target;
    target.endpoint = Http::parseEndpoint(address).value();
    return target;
}

/// Sends a message. It is lost if the address, which another instance may have named, is none.
void sendTo(Peer::PeerClient &client, const std::string &address, Peer::Body message)
{
    if (const auto endpoint = Http::parseEndpoint(address))
        client.send({endpoint.value(), {}}, std::move(message));
}

} // namespace

SiblingService::SiblingService(asio::io_context &context, const SiblingSettings &settings,
                               Router::Instance &instance,
                               Configuration::ConfigurationReader *reader)
    : m_context(context)
    , m_instance(instance)
    , m_reader(reader)
    , m_startedAt(instance.clock().now())
    , m_settings(peerSettings(settings))
    , m_bridge(instance, [this](std::uint64_t) { fetchDocumentFromRandomSibling(); })
{
    m_settings.check();
    m_server =
        Peer::PeerServer::create(context, settings.listen, handlers(), m_settings, m_counters)
            .value();
    m_client = Peer::PeerClient::create(context, handlers(), m_settings, m_counters);
    createProbes();
    Membership::SharedStatePublisher::Hooks hooks;
    hooks.siblings = [this] { return otherMembers(); };
    hooks.send = [this](const std::string &address, Peer::Body message) {
        sendTo(*m_client, address, std::move(message));
    };
    m_publisher = std::make_unique<Membership::SharedStatePublisher>(
        instance.clock(), m_rng, m_bridge.state(), instance.settings().dataCentre,
        Membership::PublisherSettings {}, std::move(hooks));
}

SiblingService::~SiblingService() = default;

Peer::PeerSettings SiblingService::peerSettings(const SiblingSettings &settings) const
{
    Peer::PeerSettings result;
    result.environment = m_instance.settings().environment;
    result.self.instance = m_instance.settings().instance;
    result.self.dataCentre = m_instance.settings().dataCentre;
    result.self.incarnation = m_instance.settings().incarnation;
    result.key = settings.key;
    return result;
}

Peer::PeerHandlers SiblingService::handlers()
{
    Peer::PeerHandlers handlers;
    handlers.onRequest = [this](Peer::PeerIdentity, Peer::Body request) {
        return answer(std::move(request));
    };
    handlers.onMessage = [this](const Peer::PeerIdentity &peer, Peer::Body message) {
        receive(peer, std::move(message));
    };
    return handlers;
}

void SiblingService::createProbes()
{
    Membership::Member self;
    self.id = {m_settings.self.instance, m_settings.self.incarnation};
    self.dataCentre = m_settings.self.dataCentre;
    self.address = Http::formatEndpoint(m_server->endpoint());
    Membership::MembershipHooks hooks;
    hooks.send = [this](const std::string &address, const Membership::Message &message) {
        sendTo(*m_client, address, Membership::toBody(message));
    };
    m_probes = Membership::ProbeService::create({}, std::move(self), m_instance.clock(), m_rng,
                                                std::move(hooks))
                   .value();
}

void SiblingService::start()
{
    m_server->start();
    m_instance.setCrashHook([this] { asio::post(m_context, [this] { broadcastUrgentState(); }); });
    Core::spawnLoop(m_context.get_executor(), "siblings", [this] { return runTimers(); });
    Core::spawnLoop(m_context.get_executor(), "warm start", [this] { return warmUp(); });
}

void SiblingService::leave()
{
    asio::post(m_context, [this] { m_probes->leave(); });
}

void SiblingService::noteList(const Platform::InstanceList &list)
{
    const auto self = Http::formatEndpoint(m_server->endpoint());
    std::vector<std::string> addresses;
    std::vector<Core::InstanceId> instances {m_instance.settings().instance};
    for (const auto &listed : list.instances) {
        if (listed.role != Platform::InstanceRole::Entry)
            continue;
        const Core::InstanceId id(listed.id);
        if (std::find(instances.begin(), instances.end(), id) == instances.end())
            instances.push_back(id);
        auto address = Http::formatEndpoint(listed.address);
        if (address != self)
            addresses.push_back(std::move(address));
    }
    m_probes->noteListed(std::move(addresses));
    m_instance.admission().setSiblings(instances);
}

asio::awaitable<void> SiblingService::runTimers()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (unsigned n = 0;; ++n) {
        m_probes->tick();
        if (n % TicksPerReport == 0) {
            m_bridge.publish();
            sendAdmissionReports();
        }
        m_publisher->tick();
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> SiblingService::warmUp()
{
    // Siblings become known when the platform's instance list is read or when one of them sends a
    // probe.
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (unsigned n = 0; n < 100 && otherMembers().empty(); ++n) {
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
    std::vector<std::string> addresses;
    for (const auto &member : otherMembers())
        addresses.push_back(member.address);
    WarmStart warmStart(*m_client, *m_probes, m_bridge);
    co_await warmStart.run(std::move(addresses));
    if (m_instance.configuration().generation == 0)
        fetchDocumentFromRandomSibling();
}

void SiblingService::sendAdmissionReports()
{
    // FIXME: With hundreds of instances, a report to each of them exceeds the control budget;
    // shares would then have to be planned within a data centre and between a few delegates.
    for (const auto &member : otherMembers()) {
        const auto report = m_instance.admission().report(member.id.instance);
        sendTo(*m_client, member.address, encodeAdmissionReport(report));
    }
}

void SiblingService::broadcastUrgentState()
{
    m_bridge.publish();
    const auto records = m_bridge.state().pack(UrgentBroadcastBytes);
    if (records.empty())
        return;
    for (const auto &member : otherMembers()) {
        Peer::Wire::SharedDeltaT delta;
        delta.records = records;
        sendTo(*m_client, member.address, Peer::makeBody(std::move(delta)));
    }
}

std::vector<Membership::Member> SiblingService::otherMembers() const
{
    auto members = m_probes->live();
    std::erase_if(members, [this](const Membership::Member &member) {
        return member.id.instance == m_instance.settings().instance;
    });
    return members;
}

void SiblingService::receive(const Peer::PeerIdentity &peer, Peer::Body message)
{
    // Links run on their own strands; the state of siblings belongs to the single thread of the
    // context.
    if (const auto *delta = message.AsSharedDelta())
        return m_bridge.state().receive(delta->records);
    if (const auto *report = message.AsAdmissionReport())
        return m_instance.admission().applySiblingReport(decodeAdmissionReport(peer, *report));
    if (const auto probe = Membership::fromBody(message))
        m_probes->receive(*probe);
}

asio::awaitable<Peer::Body> SiblingService::answer(Peer::Body request)
{
    if (const auto *query = request.AsClaimQuery())
        co_return answerClaim(*query);
    if (const auto *snapshot = request.AsSnapshotRequest())
        co_return answerSnapshot(*snapshot);
    if (request.AsDocumentRequest())
        co_return answerDocument();
    throw Core::Error(Core::ErrorKind::FrameInvalid, "unknown kind of peer request");
}

Peer::Body SiblingService::answerClaim(const Peer::Wire::ClaimQueryT &query) const
{
    return Peer::makeBody(encodeClaimReply(m_instance.claims()->replyTo(decodeClaimQuery(query))));
}

Peer::Body SiblingService::answerSnapshot(const Peer::Wire::SnapshotRequestT &request) const
{
    const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_instance.clock().now() - m_startedAt);
    return Peer::makeBody(Membership::makeSnapshot(m_bridge.snapshotContext(), m_probes->live(),
                                                   m_bridge.state(), uptime, request,
                                                   SnapshotLimitBytes));
}

Peer::Body SiblingService::answerDocument() const
{
    Peer::Wire::DocumentReplyT reply;
    const auto current = m_reader ? m_reader->current() : nullptr;
    if (current && current->document) {
        reply.generation = current->generation;
        reply.document.assign(current->bytes.begin(), current->bytes.end());
    }
    return Peer::makeBody(std::move(reply));
}

void SiblingService::fetchDocumentFromRandomSibling()
{
    const auto members = otherMembers();
    if (members.empty() || m_isFetching || !m_reader)
        return;
    m_isFetching = true;
    std::uniform_int_distribution<std::size_t> pick(0, members.size() - 1);
    asio::co_spawn(m_context, fetchDocument(members[pick(m_rng)].address), asio::detached);
}

asio::awaitable<void> SiblingService::fetchDocument(std::string address)
{
    try {
        Peer::Wire::DocumentRequestT request;
        request.generation = m_instance.configuration().generation;
        auto body = Peer::makeBody(request);
        auto reply =
            co_await m_client->request(peerAddress(address), std::move(body), DocumentTimeout);
        const auto document = Peer::takeReply<Peer::Wire::DocumentReplyT>(reply);
        std::string bytes(document.document.begin(), document.document.end());
        if (document.generation > 0
            && m_reader->adoptFromSibling(document.generation, std::move(bytes)).value())
            Core::logEvent(Core::EventId::ConfigurationFromSibling, {{"sibling", address}});
    } catch (const Core::Error &) {
        // The log or another sibling will provide the document.
    } catch (const std::exception &fault) {
        Core::logUnexpected("document of a sibling", fault.what());
    }
    m_isFetching = false;
}

std::string SiblingService::addressOf(const Claims::Holder &holder) const
{
    for (const auto &member : m_probes->live()) {
        if (member.id.instance == holder.instance && member.id.incarnation == holder.incarnation)
            return member.address;
    }
    return {};
}

asio::awaitable<Claims::HolderReply> SiblingService::askHolder(Claims::HolderQuery query)
{
    Claims::HolderReply reply;
    const auto address = addressOf(query.holder);
    if (address.empty())
        co_return reply;
    try {
        auto target = peerAddress(address);
        target.incarnation = query.holder.incarnation;
        auto body = Peer::makeBody(encodeClaimQuery(query));
        auto answer = co_await m_client->request(target, std::move(body), ClaimTimeout);
        reply = decodeClaimReply(Peer::takeReply<Peer::Wire::ClaimReplyT>(answer));
    } catch (const Core::Error &error) {
        // Another process at the holder's address means that the holder's incarnation has ended.
        if (error.kind() == Core::ErrorKind::PeerRejected)
            reply.state = Claims::HolderState::Gone;
    }
    co_return reply;
}

} // namespace Siblings
