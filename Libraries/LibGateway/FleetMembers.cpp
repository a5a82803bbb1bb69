#include <LibCore/Hash.h>
#include <LibGateway/FleetMembers.h>

#include <algorithm>

namespace Gateway {

namespace {

std::uint64_t rank(std::string_view key, const Core::InstanceId &instance)
{
    return Core::hash64(instance.value(), Core::hash64(key));
}

/// Returns whether the left member is preferred as hub. All members compute the same order.
bool isPreferredHub(const FleetMember &left, const FleetMember &right)
{
    if (left.linkMegabits != right.linkMegabits)
        return left.linkMegabits > right.linkMegabits;
    return rank("hub", left.instance) < rank("hub", right.instance);
}

} // namespace

FleetMembers::FleetMembers(FleetMember self, const Core::Clock &clock)
    : m_self(std::move(self))
    , m_clock(clock)
{ }

FleetMembers::Sibling &FleetMembers::sibling(const FleetMember &member)
{
    auto &sibling = m_siblings[member.instance];
    sibling.member = member;
    sibling.lastSeen = m_clock.now();
    return sibling;
}

void FleetMembers::noteAnnounced(const FleetMember &member)
{
    if (member.instance != m_self.instance)
        sibling(member);
}

void FleetMembers::noteDatagram(const FleetMember &member)
{
    if (member.instance != m_self.instance)
        sibling(member).lastDatagram = m_clock.now();
}

void FleetMembers::dropExpired()
{
    const auto now = m_clock.now();
    std::erase_if(m_siblings,
                  [now](const auto &item) { return now - item.second.lastSeen > MemberTimeout; });
}

bool FleetMembers::isReachable(const Sibling &sibling) const
{
    return sibling.lastDatagram != Core::Clock::Monotonic::min()
           && m_clock.now() - sibling.lastDatagram <= ReachabilityTimeout;
}

std::vector<FleetMember> FleetMembers::reachable(std::string_view key,
                                                 const std::optional<std::string> &dataCentre) const
{
    std::vector<FleetMember> members;
    for (const auto &[instance, sibling] : m_siblings) {
        if (isReachable(sibling) && (!dataCentre || sibling.member.dataCentre == *dataCentre))
            members.push_back(sibling.member);
    }
    std::sort(members.begin(), members.end(), [key](const auto &left, const auto &right) {
        return rank(key, left.instance) < rank(key, right.instance);
    });
    return members;
}

std::vector<FleetMember> FleetMembers::ranked(std::string_view key,
                                              const std::string &dataCentre) const
{
    std::vector<FleetMember> members;
    for (const auto &[instance, sibling] : m_siblings) {
        if (sibling.member.dataCentre == dataCentre)
            members.push_back(sibling.member);
    }
    std::sort(members.begin(), members.end(), [key](const auto &left, const auto &right) {
        return rank(key, left.instance) < rank(key, right.instance);
    });
    return members;
}

std::size_t FleetMembers::reachableBefore(std::string_view key,
                                          const std::optional<std::string> &dataCentre) const
{
    const auto ownRank = rank(key, m_self.instance);
    return static_cast<std::size_t>(
        std::count_if(m_siblings.begin(), m_siblings.end(), [&](const auto &item) {
            const auto &sibling = item.second;
            return isReachable(sibling) && (!dataCentre || sibling.member.dataCentre == *dataCentre)
                   && rank(key, item.first) < ownRank;
        }));
}

bool FleetMembers::isFirst(std::string_view key) const
{
    if (!isLarge())
        return reachableBefore(key) == 0;
    const auto rankOf = [key](const std::string &dataCentre) {
        return Core::hash64(dataCentre, Core::hash64(key));
    };
    const auto own = rankOf(m_self.dataCentre);
    const auto others = remoteMembers();
    const bool isFirstDataCentre = std::all_of(
        others.begin(), others.end(), [&](const auto &item) { return own < rankOf(item.first); });
    return isFirstDataCentre && reachableBefore(key, m_self.dataCentre) == 0;
}

bool FleetMembers::isHub() const
{
    return std::none_of(m_siblings.begin(), m_siblings.end(), [this](const auto &item) {
        const auto &sibling = item.second;
        return sibling.member.dataCentre == m_self.dataCentre && isReachable(sibling)
               && isPreferredHub(sibling.member, m_self);
    });
}

std::map<std::string, std::vector<FleetMember>> FleetMembers::remoteMembers() const
{
    std::map<std::string, std::vector<FleetMember>> members;
    for (const auto &[instance, sibling] : m_siblings) {
        if (sibling.member.dataCentre != m_self.dataCentre)
            members[sibling.member.dataCentre].push_back(sibling.member);
    }
    for (auto &[dataCentre, list] : members)
        std::sort(list.begin(), list.end(), isPreferredHub);
    return members;
}

std::vector<FleetMember> FleetMembers::localMembers() const
{
    std::vector<FleetMember> members;
    for (const auto &[instance, sibling] : m_siblings) {
        if (sibling.member.dataCentre == m_self.dataCentre)
            members.push_back(sibling.member);
    }
    return members;
}

} // namespace Gateway
