#include <LibRouter/AdmissionGate.h>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>

namespace Router {

namespace asio = boost::asio;

namespace {

/// State shared by the waiting coroutine and the controller's hook. Only the coroutine's thread
/// accesses it; the hook posts to that thread.
struct PendingAdmission
{
    explicit PendingAdmission(const asio::any_io_executor &executor)
        : timer(executor, asio::steady_timer::time_point::max())
    { }

    asio::steady_timer timer;
    std::optional<Core::Result<Admission::Grant>> decision;
    bool withdrawn = false;
};

/// Sets the exchange's hook for a disconnected caller, and clears it when the wait is over.
class CallerGoneHookScope
{
public:
    CallerGoneHookScope(Http::ServerExchange &exchange, std::function<void()> hook)
        : m_exchange(exchange)
    {
        m_exchange.setCallerGoneHook(std::move(hook));
    }
    ~CallerGoneHookScope() { m_exchange.setCallerGoneHook({}); }
    CallerGoneHookScope(const CallerGoneHookScope &) = delete;
    CallerGoneHookScope &operator=(const CallerGoneHookScope &) = delete;

private:
    Http::ServerExchange &m_exchange;
};

} // namespace

AdmissionSlot::AdmissionSlot(Instance &instance, Core::UpstreamGroupId group, Core::TeamId team,
                             const Admission::Grant &grant)
    : m_instance(&instance)
    , m_group(std::move(group))
    , m_team(std::move(team))
    , m_grant(grant)
{
    m_instance->usage().noteStarted(m_group, m_team);
}

AdmissionSlot::~AdmissionSlot()
{
    if (!m_instance)
        return;
    m_instance->usage().noteFinished(m_group, m_team, m_tokens);
    m_instance->admission().release(m_grant.id, m_tokens.computed + m_tokens.generated);
}

asio::awaitable<AdmissionSlot> awaitAdmission(Instance &instance, Admission::Ticket ticket,
                                              Http::ServerExchange &exchange)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto wait = std::make_shared<PendingAdmission>(executor);
    auto &controller = instance.admission();
    const auto group = ticket.group;
    const auto team = ticket.team;
    const auto id = controller.submit(
        std::move(ticket), [wait, executor](Core::Result<Admission::Grant> decision) {
            asio::post(executor, [wait, decision = std::move(decision)]() mutable {
                wait->decision = std::move(decision);
                wait->timer.cancel();
            });
        });
    const CallerGoneHookScope scope(exchange, [wait, id, &controller] {
        wait->withdrawn = controller.withdraw(id);
        wait->timer.cancel();
    });
    // A hook may cancel the timer before the wait begins, so its result is checked first.
    while (!wait->decision && !wait->withdrawn) {
        boost::system::error_code ec;
        co_await wait->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (wait->withdrawn)
        throw boost::system::system_error(asio::error::connection_reset);
    AdmissionSlot slot(instance, group, team, wait->decision->value());
    if (exchange.isCallerGone())
        throw boost::system::system_error(asio::error::connection_reset);
    co_return slot;
}

} // namespace Router
