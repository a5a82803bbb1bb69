#include "FakeFleet.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace {

constexpr auto Step = 50ms;
// The length field and the authentication tag of a frame.
constexpr std::size_t FrameBytes = 20;

} // namespace

FakeFleet::FakeFleet(std::uint64_t seed, Membership::MembershipSettings settings)
    : m_rng(seed)
    , m_settings(settings)
{ }

std::size_t FakeFleet::add(const std::string &instance, std::uint64_t incarnation,
                           const std::string &dataCentre, const std::string &address)
{
    const auto number = nodes.size();
    Membership::Member self;
    self.id = {Core::InstanceId(instance), incarnation};
    self.dataCentre = Core::DataCentreId(dataCentre);
    self.address = address;
    Membership::MembershipHooks hooks;
    hooks.send = [this, number](const std::string &to, const Membership::Message &message) {
        send(number, to, message);
    };
    hooks.changed = [this, number](const Membership::Member &member,
                                   Membership::MemberChange change) {
        events.push_back({now(), number, member.id, change});
    };
    Node node;
    node.rng = std::make_unique<std::mt19937_64>(m_rng());
    node.service =
        Membership::ProbeService::create(m_settings, self, m_clock, *node.rng, hooks).value();
    nodes.push_back(std::move(node));
    return number;
}

void FakeFleet::addMany(std::size_t count, std::size_t dataCentres)
{
    for (std::size_t n = 0; n < count; ++n) {
        const auto number = std::to_string(n);
        const auto centre = std::to_string(n % dataCentres + 1);
        add("entry-" + number, 1, "harju-" + centre, "10.0." + centre + "." + number + ":7000");
    }
}

void FakeFleet::list(const std::vector<std::string> &addresses)
{
    for (auto &node : nodes)
        node.service->noteListed(addresses);
}

void FakeFleet::listAll()
{
    std::vector<std::string> addresses;
    for (const auto &node : nodes) {
        if (node.running)
            addresses.push_back(node.service->self().address);
    }
    list(addresses);
}

std::chrono::milliseconds FakeFleet::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now().time_since_epoch());
}

void FakeFleet::send(std::size_t from, const std::string &address,
                     const Membership::Message &message)
{
    const auto body = Membership::toBody(message);
    auto payload = Peer::encodeMessage(Peer::Wire::Purpose::OneWay, 0, body);
    auto &sender = nodes[from];
    sender.bytesSent += payload.size() + FrameBytes;
    ++sender.messagesSent;
    // The process that was started last at an address receives its messages.
    const auto it = std::find_if(nodes.rbegin(), nodes.rend(), [&](const Node &node) {
        return node.running && node.service->self().address == address;
    });
    if (it == nodes.rend())
        return;
    const auto to = static_cast<std::size_t>(std::distance(it, nodes.rend())) - 1;
    const bool lost = std::uniform_real_distribution<>(0, 1)(m_rng) < loss;
    if (lost || (isCut && isCut(from, to)))
        return;
    const std::chrono::milliseconds delay(1
                                          + m_rng() % static_cast<std::uint64_t>(maxDelay.count()));
    m_deliveries.push({now() + delay, ++m_order, to, std::move(payload)});
}

void FakeFleet::deliverDue()
{
    std::vector<Delivery> deferred;
    while (!m_deliveries.empty() && m_deliveries.top().time <= now()) {
        auto delivery = m_deliveries.top();
        m_deliveries.pop();
        auto &node = nodes[delivery.receiver];
        if (!node.running)
            continue;
        if (node.frozen) {
            // Messages to a frozen process stay queued until it resumes.
            deferred.push_back(std::move(delivery));
            continue;
        }
        node.bytesReceived += delivery.payload.size() + FrameBytes;
        const auto message = Peer::decodeMessage(delivery.payload).value();
        node.service->receive(*Membership::fromBody(message.body));
    }
    for (auto &delivery : deferred)
        m_deliveries.push(std::move(delivery));
}

void FakeFleet::run(std::chrono::milliseconds time)
{
    for (const auto end = now() + time; now() < end;) {
        m_clock.advance(Step);
        for (auto &node : nodes) {
            if (node.running && !node.frozen)
                node.service->tick();
        }
        deliverDue();
    }
}

std::size_t FakeFleet::seenLiveBy(const Membership::MemberId &member) const
{
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const Node &node) {
            if (!node.running)
                return false;
            const auto *seen = node.service->table().find(member);
            return seen != nullptr && seen->isLive();
        }));
}

bool FakeFleet::isComplete() const
{
    const auto running = static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [](const Node &node) { return node.running; }));
    return std::all_of(nodes.begin(), nodes.end(), [&](const Node &node) {
        if (!node.running)
            return true;
        return node.service->table().liveCount() == running - 1
               && seenLiveBy(node.service->self().id) == running - 1;
    });
}

std::size_t FakeFleet::count(Membership::MemberChange change) const
{
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(),
                      [change](const Event &event) { return event.change == change; }));
}
