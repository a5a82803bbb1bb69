#include "UpstreamFleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>

namespace Soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto StorePollInterval = 20ms;
// Three report intervals.
constexpr auto ExpiryTime = 3'600ms;
constexpr auto ReleaseInterval = 700ms;

} // namespace

void UpstreamFleet::add(const std::string &service)
{
    const auto id = service + "-" + std::to_string(++m_count);
    m_upstreams.push_back(
        std::make_shared<Upstream>(m_world, id, service, m_world.zone(m_count / 2)));
    m_upstreams.back()->open();
}

UpstreamFleet::Handle UpstreamFleet::serving(unsigned target) const
{
    std::vector<Handle> serving;
    for (const auto &upstream : m_upstreams) {
        if (upstream->isServing())
            serving.push_back(upstream);
    }
    return serving.empty() ? nullptr : serving[target % serving.size()];
}

void UpstreamFleet::leave(unsigned target, Time time, const Departure &departure)
{
    if (auto upstream = serving(target))
        asio::co_spawn(m_world.context, leaveFor(std::move(upstream), time, departure),
                       asio::detached);
}

void UpstreamFleet::crash(unsigned target, Time time, Time clockError)
{
    if (auto upstream = serving(target))
        asio::co_spawn(m_world.context, restart(std::move(upstream), time, clockError),
                       asio::detached);
}

void UpstreamFleet::release(const std::string &service)
{
    asio::co_spawn(m_world.context, releaseAll(service), asio::detached);
}

void UpstreamFleet::fail(const std::string &service, const UpstreamFaults &faults, double share,
                         Time time)
{
    std::vector<Handle> concerned;
    for (const auto &upstream : m_upstreams) {
        if (upstream->service() != service || !m_world.dice.chance(share))
            continue;
        upstream->faults = faults;
        concerned.push_back(upstream);
    }
    asio::co_spawn(m_world.context, clearFaults(std::move(concerned), time), asio::detached);
}

void UpstreamFleet::limit(const std::string &service, double requestsPerSecond, double share,
                          Time time)
{
    std::vector<Handle> concerned;
    for (const auto &upstream : m_upstreams) {
        if (upstream->service() != service || !m_world.dice.chance(share))
            continue;
        upstream->nameLimit(requestsPerSecond);
        concerned.push_back(upstream);
    }
    asio::co_spawn(m_world.context, endLimits(std::move(concerned), time), asio::detached);
}

void UpstreamFleet::writeOddEntry(unsigned target)
{
    static const std::array<std::string, 6> entries {
        R"({"Service":7,"State":"ready"})",
        "\x01\x02\xff",
        R"({"Service":"app","Address":"127.0.0.1:1","Zone":"a","Slots":8,"State":"resting","Seq":1})",
        R"({"Service":"app","Address":"127.0.0.1:99999","Zone":"a","Slots":8,"State":"ready","Seq":1})",
        R"({"Service":"llm","Address":"127.0.0.1:1","Zone":"a","Slots":-8,"State":"ready","Seq":1,"born":1.5})",
        R"([[[[[]]]]])"};
    m_world.store.put("keyed.servers", "odd", entries[target % entries.size()]);
}

void UpstreamFleet::close()
{
    for (const auto &upstream : m_upstreams)
        upstream->close();
}

asio::awaitable<void> UpstreamFleet::awaitStore() const
{
    while (m_world.isStoreDown)
        co_await pause(StorePollInterval);
}

asio::awaitable<void> UpstreamFleet::leaveFor(Handle upstream, Time time, Departure departure)
{
    co_await awaitStore();
    if (!upstream->isServing())
        co_return;
    if (!departure.returns)
        add(upstream->service());
    if (departure.saysLeaving)
        upstream->sayLeaving();
    if (departure.isRemoval)
        upstream->withdraw();
    else
        upstream->announceDraining();
    auto left = time;
    if (departure.hasStaleEntry) {
        const auto delay = m_world.dice.time(50, 1'000);
        co_await pause(delay);
        co_await awaitStore();
        upstream->writeStaleEntry();
        left -= delay;
        if (departure.isRemoval) {
            // The store expires it.
            co_await pause(ExpiryTime);
            upstream->expire();
            left -= ExpiryTime;
        }
    }
    co_await pause(std::max(left, Time(0)));
    upstream->close();
    if (!departure.isRemoval) {
        co_await awaitStore();
        upstream->withdraw();
    }
    if (departure.returns) {
        co_await pause(m_world.dice.time(0, 3'000));
        co_await awaitStore();
        // Its clock has been set back meanwhile.
        upstream->open(-std::chrono::minutes(1));
    }
}

asio::awaitable<void> UpstreamFleet::restart(Handle upstream, Time time, Time clockError)
{
    upstream->crash();
    co_await pause(time);
    co_await awaitStore();
    upstream->open(clockError);
}

asio::awaitable<void> UpstreamFleet::releaseAll(std::string service)
{
    std::vector<Handle> old;
    for (const auto &upstream : m_upstreams) {
        if (upstream->service() == service && upstream->isServing())
            old.push_back(upstream);
    }
    for (const auto &upstream : old) {
        asio::co_spawn(m_world.context, leaveFor(upstream, m_world.dice.time(2'200, 6'000), {}),
                       asio::detached);
        co_await pause(ReleaseInterval);
    }
}

asio::awaitable<void> UpstreamFleet::endLimits(std::vector<Handle> upstreams, Time time)
{
    co_await pause(time);
    for (const auto &upstream : upstreams)
        upstream->nameLimit(std::nullopt);
}

asio::awaitable<void> UpstreamFleet::clearFaults(std::vector<Handle> upstreams, Time time)
{
    co_await pause(time);
    for (const auto &upstream : upstreams)
        upstream->faults = {};
}

} // namespace Soak
