#include <LibConfiguration/Document.h>
#include <LibConfiguration/DocumentParser.h>
#include <LibCore/Hash.h>

#include <algorithm>

namespace Configuration {

DocumentReport Document::check(std::string_view text)
{
    auto parsed = parseDocument(text);
    DocumentReport report;
    report.formatKnown = parsed.formatKnown;
    report.faults = std::move(parsed.faults);
    if (report.faults.empty())
        report.document.reset(new Document(std::move(parsed.contents)));
    return report;
}

Core::Result<std::shared_ptr<const Document>> Document::parse(std::string_view text)
{
    auto report = check(text);
    if (!report.document)
        return Core::Error(Core::ErrorKind::ConfigurationInvalid, describeFaults(report.faults));
    return std::move(report.document);
}

Document::Document(DocumentContents contents)
    : m_contents(std::move(contents))
{
    std::sort(m_contents.priorityClasses.begin(), m_contents.priorityClasses.end(),
              [](const auto &left, const auto &right) { return left.rank < right.rank; });
    for (const auto &it : m_contents.teams) {
        m_teams.emplace(it.id.value(), &it);
        for (const auto &hash : it.keyHashes)
            m_teamsByKeyHash.emplace(hash, &it);
    }
    for (const auto &it : m_contents.priorityClasses)
        m_classes.emplace(it.id.value(), &it);
    for (const auto &it : m_contents.upstreamGroups)
        m_groups.emplace(it.id.value(), &it);
    for (const auto &it : m_contents.models)
        m_models.emplace(it.id.value(), &it);
    for (const auto &it : m_contents.services)
        m_services.emplace(it.name, &it);
    for (const auto &it : m_contents.contracts)
        m_contracts.emplace(ContractKey {it.team.value(), it.upstreamGroup.value()}, &it);
}

const Team *Document::teamByKey(std::string_view bearerKey) const
{
    return teamByKeyHash(Core::sha256Hex(bearerKey));
}

const Team *Document::teamByKeyHash(std::string_view keyHash) const
{
    const auto *team = find(m_teamsByKeyHash, keyHash);
    if (!team)
        return nullptr;
    // The hash map lookup does not compare in constant time, so the hash is compared again in
    // constant time before access is granted.
    const bool matches = std::any_of(
        team->keyHashes.begin(), team->keyHashes.end(),
        [keyHash](const std::string &it) { return Core::equalInConstantTime(it, keyHash); });
    return matches ? team : nullptr;
}

const Contract *Document::contract(const Core::TeamId &team,
                                   const Core::UpstreamGroupId &group) const
{
    const auto found = m_contracts.find({team.value(), group.value()});
    return found == m_contracts.end() ? nullptr : found->second;
}

std::size_t Document::ContractKeyHash::operator()(const ContractKey &key) const noexcept
{
    return Core::hash64(key.group, Core::hash64(key.team));
}

} // namespace Configuration
