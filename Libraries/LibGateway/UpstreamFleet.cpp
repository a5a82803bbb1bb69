#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/UpstreamFleet.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr std::size_t MaxRemoved = 4'096;

} // namespace

bool UpstreamFleet::apply(UpstreamReport report)
{
    const auto it = m_all.find(report.id);
    auto &history = m_histories[report.id];
    const auto verdict = history.reports.note(report);
    const bool isNew = verdict == ReportHistory::Verdict::New;
    if (verdict == ReportHistory::Verdict::Old || (it == m_all.end() && !isNew))
        return false;
    auto notices = history.notices.of(report);
    if (it == m_all.end()) {
        auto upstream = std::make_shared<Upstream>(std::move(report), std::move(notices));
        m_byService[upstream->report().service].push_back(upstream);
        m_all[upstream->report().id] = upstream;
        m_byHash[hashOf(upstream->report().id)] = upstream;
        Core::logEvent(Core::EventId::UpstreamAdded,
                       {{"upstream", upstream->report().id.value()},
                        {"service", upstream->report().service},
                        {"address", Http::formatEndpoint(upstream->report().endpoint)}});
        return true;
    }
    const auto upstream = it->second;
    const auto &known = upstream->report();
    if (report.isDraining && !known.isDraining)
        Core::logEvent(Core::EventId::UpstreamLeaving,
                       {{"upstream", known.id.value()}, {"reason", "draining"}});
    if (report.service != known.service) {
        removeFromService(upstream);
        m_byService[report.service].push_back(upstream);
    }
    if (upstream->update(std::move(report), std::move(notices)))
        Core::logEvent(Core::EventId::UpstreamRestarted, {{"upstream", known.id.value()}});
    return isNew;
}

void UpstreamFleet::remove(const Core::UpstreamId &id)
{
    const auto it = m_all.find(id);
    if (it == m_all.end())
        return;
    const auto upstream = it->second;
    upstream->setRemoved();
    removeFromService(upstream);
    m_byHash.erase(hashOf(id));
    m_all.erase(it);
    Core::logEvent(Core::EventId::UpstreamLeaving,
                   {{"upstream", id.value()}, {"reason", "not listed"}});
    m_removed.push_back(upstream->report().id);
    forgetRemoved();
}

void UpstreamFleet::forgetRemoved()
{
    while (m_removed.size() > MaxRemoved) {
        if (!m_all.contains(m_removed.front()))
            m_histories.erase(m_removed.front());
        m_removed.pop_front();
    }
}

std::chrono::nanoseconds UpstreamFleet::age(Core::Clock::Monotonic now) const
{
    return m_asOf == Core::Clock::Monotonic::min() ? std::chrono::nanoseconds::max() : now - m_asOf;
}

const UpstreamFleet::Members &UpstreamFleet::members(const std::string &service) const
{
    static const Members none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

std::shared_ptr<Upstream> UpstreamFleet::find(const Core::UpstreamId &id) const
{
    const auto it = m_all.find(id);
    return it == m_all.end() ? nullptr : it->second;
}

std::shared_ptr<Upstream> UpstreamFleet::findByHash(std::uint64_t hash) const
{
    const auto it = m_byHash.find(hash);
    return it == m_byHash.end() ? nullptr : it->second;
}

std::uint64_t UpstreamFleet::hashOf(const Core::UpstreamId &id)
{
    return Core::hash64(id.value());
}

void UpstreamFleet::removeFromService(const std::shared_ptr<Upstream> &upstream)
{
    auto &members = m_byService[upstream->report().service];
    members.erase(std::remove(members.begin(), members.end(), upstream), members.end());
}

} // namespace Gateway
