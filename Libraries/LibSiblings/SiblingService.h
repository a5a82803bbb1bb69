#pragma once

#include <LibClaims/ClaimCoordinator.h>
#include <LibConfiguration/ConfigurationReader.h>
#include <LibMembership/ProbeService.h>
#include <LibMembership/SharedStatePublisher.h>
#include <LibPeer/PeerClient.h>
#include <LibPeer/PeerServer.h>
#include <LibPlatform/InstanceList.h>
#include <LibRouter/Instance.h>
#include <LibSiblings/SharedStateBridge.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Siblings {

/// The address at which siblings reach an instance, and the key that they share.
struct SiblingSettings
{
    boost::asio::ip::tcp::endpoint listen;
    std::string key;
};

/// Connects one instance with its siblings: membership, shared soft state, shares of limits, claims
/// and configuration documents. Everything runs on the single thread of its context, except where
/// stated otherwise.
class SiblingService
{
public:
    /// The reader may be null. Throws Error(SettingsInvalid) when the port cannot be opened. All
    /// arguments must outlive the service.
    SiblingService(boost::asio::io_context &context, const SiblingSettings &settings,
                   Router::Instance &instance, Configuration::ConfigurationReader *reader);
    ~SiblingService();

    /// Starts accepting links and probing.
    void start();
    /// Announces to siblings that this instance is leaving. Safe from any thread.
    void leave();
    boost::asio::ip::tcp::endpoint endpoint() const { return m_server->endpoint(); }

    /// Updates the known siblings from the entry instances of the platform's list.
    void noteList(const Platform::InstanceList &list);

    /// Queries the holder of a key for the state of its attempt. Safe from any thread.
    boost::asio::awaitable<Claims::HolderReply> askHolder(Claims::HolderQuery query);

    const Peer::PeerCounters &counters() const { return m_counters; }
    std::vector<Membership::Member> live() const { return m_probes->live(); }

private:
    Peer::PeerHandlers handlers();
    Peer::PeerSettings peerSettings(const SiblingSettings &settings) const;
    void createProbes();
    boost::asio::awaitable<void> runTimers();
    boost::asio::awaitable<void> warmUp();
    void sendAdmissionReports();
    /// Sends the most valuable shared state to every sibling immediately.
    void broadcastUrgentState();
    void receive(const Peer::PeerIdentity &peer, Peer::Body message);
    boost::asio::awaitable<Peer::Body> answer(Peer::Body request);
    Peer::Body answerDocument() const;
    Peer::Body answerClaim(const Peer::Wire::ClaimQueryT &query) const;
    Peer::Body answerSnapshot(const Peer::Wire::SnapshotRequestT &request) const;
    boost::asio::awaitable<void> fetchDocument(std::string address);
    void fetchDocumentFromRandomSibling();
    std::vector<Membership::Member> otherMembers() const;
    std::string addressOf(const Claims::Holder &holder) const;

    boost::asio::io_context &m_context;
    Router::Instance &m_instance;
    Configuration::ConfigurationReader *m_reader;
    const Core::Clock::Monotonic m_startedAt;
    std::mt19937_64 m_rng {std::random_device {}()};
    Peer::PeerSettings m_settings;
    Peer::PeerCounters m_counters;
    std::shared_ptr<Peer::PeerServer> m_server;
    std::shared_ptr<Peer::PeerClient> m_client;
    std::unique_ptr<Membership::ProbeService> m_probes;
    SharedStateBridge m_bridge;
    std::unique_ptr<Membership::SharedStatePublisher> m_publisher;
    bool m_isFetching = false;
};

} // namespace Siblings
