#include <LibCore/EventLog.h>
#include <LibRouter/UpstreamDirectory.h>

namespace Router {

UpstreamPtr UpstreamGroupView::bySlot(Placement::UpstreamSlot slot) const
{
    for (const auto &upstream : upstreams) {
        if (upstream->slot() == slot)
            return upstream;
    }
    return nullptr;
}

UpstreamDirectory::UpstreamDirectory(Placement::Placement &placement, Hooks hooks)
    : m_placement(placement)
    , m_hooks(std::move(hooks))
    , m_groups(std::make_shared<Groups>())
{ }

void UpstreamDirectory::apply(const Platform::InstanceList &list)
{
    const std::scoped_lock lock(m_writer);
    auto groups = std::make_shared<Groups>();
    std::unordered_map<Core::UpstreamId, UpstreamPtr> listedNow;
    for (const auto &listed : list.instances) {
        if (listed.role != Platform::InstanceRole::Upstream)
            continue;
        auto upstream = reconcile(listed);
        (*groups)[listed.group].upstreams.push_back(upstream);
        listedNow.emplace(upstream->id(), std::move(upstream));
    }
    for (const auto &[id, upstream] : m_known) {
        const auto next = listedNow.find(id);
        if (next != listedNow.end() && next->second == upstream)
            continue;
        if (upstream->noteLeaving() && m_hooks.leaving)
            m_hooks.leaving(upstream);
        if (next == listedNow.end())
            m_placement.noteRemoved(upstream->slot());
    }
    addCandidates(*groups);
    m_known = std::move(listedNow);
    m_groups.replace(std::move(groups));
}

UpstreamPtr UpstreamDirectory::reconcile(const Platform::ListedInstance &listed)
{
    const Core::UpstreamId id(listed.id);
    const auto found = m_known.find(id);
    UpstreamPtr upstream;
    if (found != m_known.end() && found->second->endpoint() == listed.address)
        upstream = found->second;
    if (!upstream) {
        upstream = std::make_shared<Upstream>(id, listed.group, listed.dataCentre, listed.address,
                                              listed.incarnation);
        Placement::UpstreamView view;
        view.id = id;
        view.incarnation = listed.incarnation;
        upstream->setSlot(m_placement.noteUpstream(view));
        Core::logEvent(Core::EventId::UpstreamAdded, {{"upstream", id.value()}});
        if (m_hooks.added)
            m_hooks.added(upstream);
    }
    const bool restarted = upstream->noteIncarnation(listed.incarnation);
    if (restarted)
        m_placement.noteIncarnation(upstream->slot(), listed.incarnation);
    if (listed.state == Platform::InstanceState::Leaving) {
        if (upstream->noteLeaving() && m_hooks.leaving)
            m_hooks.leaving(upstream);
    } else if (restarted) {
        // A leaving upstream accepts work again only after a restart, because the list lags behind
        // the state that the upstream itself reports.
        upstream->noteLive();
    }
    return upstream;
}

void UpstreamDirectory::addCandidates(Groups &groups) const
{
    for (auto &[id, view] : groups) {
        std::vector<Placement::UpstreamSlot> slots;
        slots.reserve(view.upstreams.size());
        for (const auto &upstream : view.upstreams)
            slots.push_back(upstream->slot());
        view.candidates =
            std::make_shared<const Placement::CandidateSet>(m_placement.makeCandidateSet(slots));
    }
}

UpstreamGroupView UpstreamDirectory::group(const Core::UpstreamGroupId &id) const
{
    return m_groups.read([&id](const Groups &groups) {
        const auto found = groups.find(id);
        return found == groups.end() ? UpstreamGroupView() : found->second;
    });
}

std::vector<UpstreamPtr> UpstreamDirectory::all() const
{
    const auto groups = m_groups.share();
    std::vector<UpstreamPtr> upstreams;
    for (const auto &[id, view] : *groups)
        upstreams.insert(upstreams.end(), view.upstreams.begin(), view.upstreams.end());
    return upstreams;
}

} // namespace Router
