#include <LibCore/IoThreads.h>
#include <LibHttp/Endpoint.h>
#include <LibMembership/MembershipMessage.h>
#include <LibSiblings/SiblingService.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr auto Key = "a shared key for tests only";
constexpr auto Environment = "trial";
constexpr auto WaitTimeout = 20s;

/// An instance, and a sibling that counts the instance's reports.
struct SiblingPair
{
    SiblingPair()
    {
        other.environment = Environment;
        other.self = {Core::InstanceId("edge-2"), Core::DataCentreId("a"), 2, 0};
        other.key = Key;
        Peer::PeerHandlers handlers;
        handlers.onMessage = [this](const Peer::PeerIdentity &, Peer::Body body) {
            reports += body.AsAdmissionReport() ? 1 : 0;
        };
        server =
            Peer::PeerServer::create(threads.at(0), anyPort(), handlers, other, counters).value();
        client = Peer::PeerClient::create(threads.at(0), handlers, other, counters);
        server->start();
        service.start();
    }
    ~SiblingPair() { threads.stop(); }

    static tcp::endpoint anyPort() { return {boost::asio::ip::address_v4::loopback(), 0}; }

    static Router::RouterSettings settings()
    {
        Router::RouterSettings result;
        result.instance = Core::InstanceId("edge-1");
        result.dataCentre = Core::DataCentreId("a");
        result.environment = Environment;
        result.incarnation = 1;
        return result;
    }

    /// Lets the sibling send a probe that names other members.
    void probe(std::vector<Membership::Member> updates) const
    {
        const auto address = Http::formatEndpoint(server->endpoint());
        const Membership::Member self = member("edge-2", address);
        const Membership::Message message = Membership::Probe {1, self, std::move(updates)};
        client->send({service.endpoint(), {}}, Membership::toBody(message));
    }

    static Membership::Member member(const std::string &instance, const std::string &address)
    {
        return {{Core::InstanceId(instance), 2},
                0,
                Membership::MemberState::Alive,
                Core::DataCentreId("a"),
                address};
    }

    /// Waits until that many more reports have arrived. Returns false after a timeout.
    bool receivesReports(int count) const
    {
        const auto target = reports + count;
        const auto end = std::chrono::steady_clock::now() + WaitTimeout;
        while (reports < target && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(5ms);
        return reports >= target;
    }

    Core::IoThreads threads {1};
    Core::SystemClock clock;
    Router::Instance instance {clock, settings()};
    Siblings::SiblingService service {threads.at(0), {anyPort(), Key}, instance, nullptr};
    Peer::PeerSettings other;
    Peer::PeerCounters counters;
    std::atomic<int> reports {0};
    std::shared_ptr<Peer::PeerServer> server;
    std::shared_ptr<Peer::PeerClient> client;
};

} // namespace

TEST_CASE("a member whose address is no endpoint does not end an instance's reports to siblings")
{
    SiblingPair siblings;
    siblings.probe({});
    REQUIRE(siblings.receivesReports(1));
    siblings.probe({SiblingPair::member("edge-3", "edge-3:7000"),
                    SiblingPair::member("edge-0", "127.0.0.1:70000")});
    CHECK(siblings.receivesReports(10));
}
