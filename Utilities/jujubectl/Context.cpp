#include <jujubectl/Context.h>

#include <utility>

namespace Jujubectl {

namespace asio = boost::asio;

Configuration::Publisher Context::publisher() const
{
    return Configuration::Publisher(*log, clock, random, {.timeout = settings.timeout});
}

asio::awaitable<std::vector<AdminTarget>> adminTargets(Context &context)
{
    std::vector<AdminTarget> targets;
    if (context.settings.admin) {
        targets.push_back({.id = Http::formatEndpoint(*context.settings.admin),
                           .admin = *context.settings.admin});
        co_return targets;
    }
    const auto list = co_await context.directory->list();
    for (const auto &it : list.instances) {
        if (it.role == Platform::InstanceRole::Entry && it.admin)
            targets.push_back({it.id, it.dataCentre.value(), *it.admin,
                               it.state == Platform::InstanceState::Leaving});
    }
    co_return targets;
}

asio::awaitable<AdminTarget> adminTarget(Context &context, std::string name)
{
    const auto targets = co_await adminTargets(context);
    const bool isGiven = context.settings.admin.has_value();
    for (const auto &it : targets) {
        if (isGiven || (name.empty() ? !it.isLeaving : it.id == name))
            co_return it;
    }
    throw Core::Error(Core::ErrorKind::NoUpstream,
                      name.empty() ? "no live instance is listed" : "no instance " + name);
}

} // namespace Jujubectl
