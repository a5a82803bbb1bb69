#pragma once

#include <LibConfiguration/DocumentContents.h>
#include <LibConfiguration/Fault.h>
#include <LibCore/Result.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Configuration {

class Document;

/// The result of validating a document: the document, or all faults.
struct DocumentReport
{
    /// Null when there are faults.
    std::shared_ptr<const Document> document;
    /// Sorted by line and column.
    std::vector<Fault> faults;
    /// False when the document uses a format that is newer than this program.
    bool formatKnown = true;
};

/// The immutable configuration of one environment. It contains no upstream addresses. Thread-safe.
/// Lookups take constant time and do not allocate. Returned pointers are valid as long as the
/// document.
class Document
{
public:
    /// Parses and validates a document and reports all faults. The result depends only on the
    /// bytes.
    static DocumentReport check(std::string_view text);
    /// Like check(), but returns the faults in the detail of a ConfigurationInvalid error, one per
    /// line.
    static Core::Result<std::shared_ptr<const Document>> parse(std::string_view text);

    Document(const Document &) = delete;
    Document &operator=(const Document &) = delete;

    std::uint32_t format() const { return m_contents.format; }
    const Limits &limits() const { return m_contents.limits; }
    /// Sorted by rank, the most urgent class first.
    std::span<const PriorityClass> priorityClasses() const { return m_contents.priorityClasses; }
    std::span<const UpstreamGroup> upstreamGroups() const { return m_contents.upstreamGroups; }
    std::span<const Model> models() const { return m_contents.models; }
    std::span<const PlainService> services() const { return m_contents.services; }
    std::span<const Team> teams() const { return m_contents.teams; }
    std::span<const Contract> contracts() const { return m_contents.contracts; }

    /// Returns the team with this bearer key, or null. Hashes the key.
    const Team *teamByKey(std::string_view bearerKey) const;
    /// Returns the team with this lower-case hexadecimal SHA-256 digest of a bearer key, or null.
    const Team *teamByKeyHash(std::string_view keyHash) const;
    const Team *team(std::string_view id) const { return find(m_teams, id); }
    const PriorityClass *priorityClass(std::string_view id) const { return find(m_classes, id); }
    const UpstreamGroup *upstreamGroup(std::string_view id) const { return find(m_groups, id); }
    const Model *model(std::string_view id) const { return find(m_models, id); }
    const PlainService *service(std::string_view name) const { return find(m_services, name); }
    /// Returns the contract of a team for an upstream group, or null when the team may not use the
    /// group.
    const Contract *contract(const Core::TeamId &team, const Core::UpstreamGroupId &group) const;

private:
    struct ContractKey
    {
        std::string_view team;
        std::string_view group;
        friend bool operator==(const ContractKey &, const ContractKey &) = default;
    };
    struct ContractKeyHash
    {
        std::size_t operator()(const ContractKey &key) const noexcept;
    };
    template <typename Value>
    using Index = std::unordered_map<std::string_view, const Value *>;

    explicit Document(DocumentContents contents);

    template <typename Value>
    static const Value *find(const Index<Value> &index, std::string_view key)
    {
        const auto found = index.find(key);
        return found == index.end() ? nullptr : found->second;
    }

    DocumentContents m_contents;
    Index<Team> m_teamsByKeyHash;
    Index<Team> m_teams;
    Index<PriorityClass> m_classes;
    Index<UpstreamGroup> m_groups;
    Index<Model> m_models;
    Index<PlainService> m_services;
    std::unordered_map<ContractKey, const Contract *, ContractKeyHash> m_contracts;
};

} // namespace Configuration
