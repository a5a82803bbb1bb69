#include <LibConfiguration/CrossReferences.h>

#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace Configuration {

namespace {

/// Reports each value with the same key as an earlier value.
template <typename Value, typename Key>
void checkUnique(const LocatedList<Value> &list, std::string_view field, Key key)
{
    std::unordered_set<std::decay_t<decltype(key(list.values.front()))>> seen;
    for (std::size_t n = 0; n < list.values.size(); ++n) {
        if (!seen.insert(key(list.values[n])).second)
            list.sources[n].addFault(field, "is a duplicate");
    }
}

class CrossReferenceCheck
{
public:
    explicit CrossReferenceCheck(const LocatedContents &contents)
        : m_contents(contents)
    {
        for (const auto &it : contents.upstreamGroups.values)
            m_groups.emplace(it.id, it.kind);
        for (const auto &it : contents.priorityClasses.values)
            m_classes.insert(it.id);
        for (const auto &it : contents.teams.values)
            m_teams.insert(it.id);
    }

    void run()
    {
        checkNames();
        checkKeyHashes();
        checkFloors();
        checkGroupReferences(m_contents.models, UpstreamKind::Engine, "must name an engine group");
        checkGroupReferences(m_contents.services, UpstreamKind::Service,
                             "must name a service group");
        checkContracts();
        checkOwnedShares();
    }

private:
    void checkNames() const
    {
        const auto id = [](const auto &it) { return it.id; };
        checkUnique(m_contents.priorityClasses, "id", id);
        checkUnique(m_contents.priorityClasses, "rank", [](const auto &it) { return it.rank; });
        checkUnique(m_contents.upstreamGroups, "id", id);
        checkUnique(m_contents.models, "id", id);
        checkUnique(m_contents.services, "name", [](const auto &it) { return it.name; });
        checkUnique(m_contents.teams, "id", id);
        checkUnique(m_contents.contracts, "upstream_group", [](const Contract &it) {
            return it.team.value() + ' ' + it.upstreamGroup.value();
        });
    }

    void checkKeyHashes() const
    {
        std::unordered_set<std::string> seen;
        for (std::size_t n = 0; n < m_contents.teams.values.size(); ++n) {
            for (const auto &hash : m_contents.teams.values[n].keyHashes) {
                if (!seen.insert(hash).second)
                    m_contents.teams.sources[n].addFault("key_hashes", "contains a duplicate hash");
            }
        }
    }

    void checkFloors() const
    {
        const auto &classes = m_contents.priorityClasses;
        std::uint64_t sum = 0;
        for (std::size_t n = 0; n < classes.values.size(); ++n) {
            sum += classes.values[n].floorShare.millionths();
            if (sum > Share::Whole) {
                classes.sources[n].addFault("floor_share",
                                            "raises the sum of floor shares above 1");
                return;
            }
        }
    }

    template <typename Value>
    void checkGroupReferences(const LocatedList<Value> &list, UpstreamKind kind,
                              const char *message)
    {
        for (std::size_t n = 0; n < list.values.size(); ++n) {
            const auto &group = list.values[n].upstreamGroup;
            const auto found = m_groups.find(group);
            if (found == m_groups.end() || found->second != kind)
                list.sources[n].addFault("upstream_group", message);
            else if (!m_referencedGroups.insert(group).second)
                list.sources[n].addFault("upstream_group",
                                         "is already used by another model or service");
        }
    }

    void checkContracts() const
    {
        const auto &contracts = m_contents.contracts;
        for (std::size_t n = 0; n < contracts.values.size(); ++n) {
            const auto &contract = contracts.values[n];
            const auto &source = contracts.sources[n];
            if (!m_teams.contains(contract.team))
                source.addFault("team", "must name a team");
            if (!m_groups.contains(contract.upstreamGroup))
                source.addFault("upstream_group", "must name an upstream group");
            for (const auto &it : contract.allowedClasses) {
                if (!m_classes.contains(it))
                    source.addFault("allowed_classes", it.value() + " is not a priority class");
            }
            if (!contract.allows(contract.defaultClass))
                source.addFault("default_class", "must be one of the allowed classes");
        }
    }

    void checkOwnedShares() const
    {
        const auto &contracts = m_contents.contracts;
        std::unordered_map<Core::UpstreamGroupId, std::uint64_t> sums;
        for (std::size_t n = 0; n < contracts.values.size(); ++n) {
            auto &sum = sums[contracts.values[n].upstreamGroup];
            const bool wasWithin = sum <= Share::Whole;
            sum += contracts.values[n].ownedShare.millionths();
            if (wasWithin && sum > Share::Whole)
                contracts.sources[n].addFault("owned_share",
                                              "raises the sum of the group's owned shares above 1");
        }
    }

    const LocatedContents &m_contents;
    std::unordered_map<Core::UpstreamGroupId, UpstreamKind> m_groups;
    std::unordered_set<Core::PriorityClassId> m_classes;
    std::unordered_set<Core::TeamId> m_teams;
    std::unordered_set<Core::UpstreamGroupId> m_referencedGroups;
};

} // namespace

void checkCrossReferences(const LocatedContents &contents)
{
    CrossReferenceCheck(contents).run();
}

} // namespace Configuration
