#include "UpstreamFleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>

namespace Soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto StorePollInterval = 20ms;
constexpr auto ReleaseInterval = 700ms;

} // namespace

void UpstreamFleet::add(const std::string &service)
{
    const auto id = service + "-" + std::to_string(++m_count);
    m_upstreams.push_back(std::make_shared<Upstream>(m_world, id, service));
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

void UpstreamFleet::drain(unsigned target, Time time)
{
    if (auto upstream = serving(target))
        asio::co_spawn(m_world.context, leave(std::move(upstream), time, false), asio::detached);
}

void UpstreamFleet::remove(unsigned target, Time time)
{
    if (auto upstream = serving(target))
        asio::co_spawn(m_world.context, leave(std::move(upstream), time, true), asio::detached);
}

void UpstreamFleet::crash(unsigned target, Time time)
{
    if (auto upstream = serving(target))
        asio::co_spawn(m_world.context, restart(std::move(upstream), time), asio::detached);
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

asio::awaitable<void> UpstreamFleet::leave(Handle upstream, Time time, bool isRemoval)
{
    co_await awaitStore();
    if (!upstream->isServing())
        co_return;
    add(upstream->service());
    if (isRemoval)
        upstream->withdraw();
    else
        upstream->announceDraining();
    co_await pause(time);
    upstream->close();
    if (isRemoval)
        co_return;
    co_await awaitStore();
    upstream->withdraw();
}

asio::awaitable<void> UpstreamFleet::restart(Handle upstream, Time time)
{
    upstream->crash();
    co_await pause(time);
    co_await awaitStore();
    upstream->open();
}

asio::awaitable<void> UpstreamFleet::releaseAll(std::string service)
{
    std::vector<Handle> old;
    for (const auto &upstream : m_upstreams) {
        if (upstream->service() == service && upstream->isServing())
            old.push_back(upstream);
    }
    for (const auto &upstream : old) {
        asio::co_spawn(m_world.context, leave(upstream, m_world.dice.time(2'200, 6'000), false),
                       asio::detached);
        co_await pause(ReleaseInterval);
    }
}

asio::awaitable<void> UpstreamFleet::clearFaults(std::vector<Handle> upstreams, Time time)
{
    co_await pause(time);
    for (const auto &upstream : upstreams)
        upstream->faults = {};
}

} // namespace Soak
