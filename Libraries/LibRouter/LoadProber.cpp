#include <LibCore/EventLog.h>
#include <LibRouter/LoadProber.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace Router {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::uint64_t numberAt(const json::object &fields, std::string_view name)
{
    const auto *value = fields.if_contains(name);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

} // namespace

LoadProber::LoadProber(Instance &instance)
    : m_instance(instance)
{ }

asio::awaitable<void> LoadProber::run()
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    while (true) {
        for (const auto &upstream : m_instance.directory().all()) {
            if (isEngine(*upstream) && m_probed.insert(upstream.get()).second)
                asio::co_spawn(executor, probe(upstream), asio::detached);
        }
        timer.expires_after(m_instance.settings().directoryPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

bool LoadProber::isEngine(const Upstream &upstream) const
{
    const auto document = m_instance.configuration().document;
    const auto *group = document ? document->upstreamGroup(upstream.group().value()) : nullptr;
    return group && group->kind == Configuration::UpstreamKind::Engine;
}

asio::awaitable<void> LoadProber::probe(UpstreamPtr upstream)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!upstream->isLeaving()) {
        co_await probeOnce(upstream);
        timer.expires_after(m_instance.settings().loadPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
    m_probed.erase(upstream.get());
}

asio::awaitable<void> LoadProber::probeOnce(const UpstreamPtr &upstream)
{
    Http::ClientTimeouts timeouts;
    timeouts.connect = m_instance.settings().connectTimeout;
    timeouts.head = m_instance.settings().connectTimeout;
    try {
        const auto measuredAt = m_instance.clock().now();
        const auto response = co_await m_instance.client().fetch(
            upstream->endpoint(), Http::Request("GET", "/load"), timeouts);
        const auto parsed = json::parse(response.body);
        const auto &fields = parsed.as_object();
        if (upstream->isSuspected() && upstream->circuit().mayTry(measuredAt))
            upstream->circuit().noteSuccess();
        Placement::LoadReport report;
        report.incarnation = numberAt(fields, "incarnation");
        report.measuredAt = measuredAt;
        report.running = static_cast<std::uint32_t>(numberAt(fields, "running"));
        report.queued = static_cast<std::uint32_t>(numberAt(fields, "waiting"));
        const bool wasKnown = upstream->incarnation() > 0;
        if (upstream->noteIncarnation(report.incarnation) && wasKnown)
            Core::logEvent(Core::EventId::UpstreamRestarted,
                           {{"upstream", upstream->id().value()}});
        m_instance.placement().noteIncarnation(upstream->slot(), report.incarnation);
        m_instance.placement().noteLoadReport(upstream->slot(), report);
        const auto *draining = fields.if_contains("draining");
        if (draining && draining->is_bool() && draining->get_bool() && upstream->noteLeaving())
            Core::logEvent(Core::EventId::UpstreamLeaving, {{"upstream", upstream->id().value()}});
    } catch (const std::exception &) {
        // A missing report does not count as a failed request; the next probe may succeed.
    }
}

} // namespace Router
