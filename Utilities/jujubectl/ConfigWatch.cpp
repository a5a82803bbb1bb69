#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <jujubectl/ConfigWatch.h>
#include <jujubectl/InstanceStatus.h>

#include <algorithm>

namespace Jujubectl {

namespace asio = boost::asio;
using Configuration::Generation;

namespace {

constexpr std::chrono::milliseconds PollInterval {500};

/// The rollout progress of a generation.
struct Progress
{
    std::size_t inForce = 0;
    /// The live instances that run an older generation or do not answer.
    std::vector<std::string> missing;

    bool isComplete() const { return inForce > 0 && missing.empty(); }
};

Progress progressOf(const std::vector<TargetStatus> &statuses, Generation generation)
{
    Progress progress;
    for (const auto &it : statuses) {
        if (it.isReachable && it.status.generation >= generation)
            ++progress.inForce;
        else if (!it.target.isLeaving)
            progress.missing.push_back(it.target.id);
    }
    return progress;
}

void printProgress(Context &context, const Progress &progress, Generation generation)
{
    const auto total = progress.inForce + progress.missing.size();
    context.err << "generation " << generation << ": in force on " << progress.inForce << " of "
                << total;
    if (!progress.missing.empty())
        context.err << ", missing:";
    for (const auto &it : progress.missing)
        context.err << ' ' << it;
    context.err << std::endl;
}

asio::awaitable<Generation> requestedGeneration(Context &context)
{
    if (context.settings.generation)
        co_return *context.settings.generation;
    Configuration::ConfigurationHistory history(context.settings.environment);
    auto publisher = context.publisher();
    co_await publisher.readHistory(history, [](const auto &) {});
    co_return history.current()->generation;
}

/// Returns the current progress; empty if the instance list is unavailable.
asio::awaitable<Progress> poll(Context &context, Generation generation)
{
    std::vector<TargetStatus> statuses;
    try {
        statuses = co_await fetchStatuses(context);
    } catch (const Core::Error &error) {
        context.err << error.what() << std::endl;
    }
    co_return progressOf(statuses, generation);
}

} // namespace

asio::awaitable<ExitCode> configWatch(Context &context)
{
    const auto generation = co_await requestedGeneration(context);
    const auto deadline = context.clock.now() + context.settings.timeout;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        const auto progress = co_await poll(context, generation);
        printProgress(context, progress, generation);
        const bool isComplete = progress.isComplete();
        const bool isTimedOut = context.clock.now() + PollInterval > deadline;
        if ((isComplete || isTimedOut) && context.settings.json)
            context.out << boost::json::object {
                {"generation", generation},
                {"in_force", progress.inForce},
                {"missing", boost::json::value_from(progress.missing)},
            } << '\n';
        if (isComplete)
            co_return ExitCode::Success;
        if (isTimedOut)
            co_return ExitCode::TimedOut;
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace Jujubectl
