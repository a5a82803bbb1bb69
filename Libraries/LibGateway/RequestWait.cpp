#include <LibGateway/Gateway.h>
#include <LibGateway/RequestWait.h>
#include <LibGateway/Urgency.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Capacity::Milliseconds;
using Capacity::WaitingOutlook;
using Capacity::WaitingRequest;

namespace {

// Callers of streams disconnect if the first event has not arrived after the longest of these.
constexpr auto MinFirstEventTime = 2'000ms;
constexpr int FirstEventTargets = 4;
constexpr int FirstEventPauses = 8;
// The part of the memory for bodies that waiting requests may occupy.
constexpr std::size_t BodyMemoryPart = 4;

WaitingRequest waitingRequest(Gateway &gateway, const AcceptedRequest &request, std::size_t bytes)
{
    const auto &route = *request.route;
    WaitingRequest waiting {.lane = route.name,
                            .bytes = bytes,
                            .teamUse = teamUseOf(gateway, request),
                            .isUrgent = isUrgent(route, request.tenant),
                            .isReturning = request.isReturning,
                            .arrival = request.arrival,
                            .deadline = request.deadline};
    if (route.kind == RequestKind::Stream)
        waiting.answerBegins =
            request.arrival
            + std::max({std::chrono::milliseconds(MinFirstEventTime),
                        FirstEventTargets * route.target, FirstEventPauses * route.gapTarget});
    return waiting;
}

} // namespace

std::unique_ptr<RequestWait> RequestWait::enter(Gateway &gateway, const AcceptedRequest &request,
                                                std::size_t bytes, const WaitingOutlook &outlook,
                                                const asio::any_io_executor &executor)
{
    auto &queue = gateway.queue();
    queue.m_room.setLimits(
        {.bytes = gateway.dependencies().settings.bodyMemoryBytes / BodyMemoryPart});
    const auto number = queue.m_room.enter(waitingRequest(gateway, request, bytes), outlook,
                                           gateway.dependencies().clock.now());
    if (!number)
        return nullptr;
    std::unique_ptr<RequestWait> wait(new RequestWait(gateway, *number, executor));
    queue.m_waits[*number] = wait.get();
    if (!queue.m_timer) {
        queue.m_timer = std::make_unique<asio::steady_timer>(executor);
        queue.m_knownConfiguration = request.configuration;
    }
    queue.look();
    return wait;
}

RequestWait::RequestWait(Gateway &gateway, Capacity::WaitingRoom::Number number,
                         const asio::any_io_executor &executor)
    : m_queue(gateway.queue().weak_from_this())
    , m_clock(gateway.dependencies().clock)
    , m_number(number)
    , m_timer(executor)
{ }

RequestWait::~RequestWait()
{
    // A request may be destroyed after the gateway.
    if (const auto queue = m_queue.lock())
        queue->remove(m_number);
}

asio::awaitable<RequestWait::Call> RequestWait::next()
{
    if (!m_call) {
        // Only guards against a call that the queue misses.
        const auto queue = m_queue.lock();
        const auto leavesAt = queue ? queue->m_room.leavesAt(m_number) : std::nullopt;
        const auto now = m_clock.now();
        m_timer.expires_after(std::max(leavesAt.value_or(now), now) - now
                              + Capacity::WaitingRoom::LookInterval);
        boost::system::error_code ec;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    const auto call = m_call.value_or(Call::Leave);
    m_call.reset();
    co_return call;
}

bool RequestWait::stay(const WaitingOutlook &outlook)
{
    const auto queue = m_queue.lock();
    if (!queue || !queue->m_room.noteRefused(m_number, outlook, m_clock.now()))
        return false;
    queue->look();
    return true;
}

void RequestWait::wake(Call call)
{
    // The checks are made at every call.
    if (!m_call || call != Call::Check)
        m_call = call;
    m_timer.cancel();
}

double teamUseOf(Gateway &gateway, const AcceptedRequest &request)
{
    const auto now = gateway.dependencies().clock.now();
    double use = 0;
    for (const auto &service : request.route->services)
        use = std::max(use, gateway.teamRoom().use(service.service, request.tenantName(), now));
    return use;
}

std::optional<std::chrono::milliseconds>
promiseReturn(Gateway &gateway, const AcceptedRequest &request, const WaitingOutlook &outlook)
{
    const auto &dependencies = gateway.dependencies();
    const auto now = dependencies.clock.now();
    std::size_t upstreams = 0;
    for (const auto &service : request.route->services)
        upstreams += dependencies.fleet.members(service.service).size();
    const Milliseconds work = outlook.ownTime * gateway.instanceCount().value_or(1)
                              / static_cast<double>(std::max<std::size_t>(1, upstreams));
    const auto random = std::uniform_real_distribution<double>(0, 1)(gateway.random());
    const auto time = gateway.queue().returns().promise(
        {outlook.excess, work, request.remainingTime(now)}, random, now);
    return time > 0ms ? std::optional(time) : std::nullopt;
}

} // namespace Gateway
