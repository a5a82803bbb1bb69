#include <LibClaims/ClaimCoordinator.h>
#include <LibCore/Hash.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstring>

namespace Claims {

namespace {

namespace Asio = boost::asio;

constexpr std::size_t MaxPageRecords = 256;
constexpr std::chrono::milliseconds MaxReadWait {1000};
constexpr std::chrono::milliseconds ReadRetryDelay {200};
constexpr std::chrono::milliseconds MaxTimerWait {1000};

Asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor, time);
    boost::system::error_code ec;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
}

std::uint64_t randomOrigin()
{
    std::uint64_t origin = 0;
    const auto bytes = Core::secureRandomBytes(sizeof(origin));
    std::memcpy(&origin, bytes.data(), sizeof(origin));
    return origin;
}

} // namespace

Core::Result<std::shared_ptr<ClaimCoordinator>>
ClaimCoordinator::create(Asio::any_io_executor executor, const ClaimSettings &settings, Holder self,
                         Platform::LogService &log, const Core::Clock &clock, AskHolder askHolder)
{
    if (settings.partitions == 0 || settings.batch.maxRecords == 0
        || settings.batch.maxInFlight == 0 || settings.batch.appendsPerSecond <= 0
        || settings.batch.appendBurst < 1)
        return Core::Error(Core::ErrorKind::SettingsInvalid,
                           "claim partitions, batch size, concurrent appends and append rate must "
                           "be positive, and the append burst must be at least 1");
    return std::shared_ptr<ClaimCoordinator>(new ClaimCoordinator(
        std::move(executor), settings, std::move(self), log, clock, std::move(askHolder)));
}

ClaimCoordinator::ClaimCoordinator(Asio::any_io_executor executor, const ClaimSettings &settings,
                                   Holder self, Platform::LogService &log, const Core::Clock &clock,
                                   AskHolder askHolder)
    : m_executor(executor)
    , m_timerStrand(executor)
    , m_timer(m_timerStrand)
    , m_log(log)
    , m_clock(clock)
    , m_askHolder(std::move(askHolder))
    , m_engine(settings, std::move(self), randomOrigin(), clock)
{ }

void ClaimCoordinator::start()
{
    for (std::size_t n = 0; n < m_engine.partitionCount(); ++n)
        spawn(m_executor, readPartition(n));
    spawn(m_timerStrand, runTimers());
}

void ClaimCoordinator::stop()
{
    m_stopping = true;
    wakeTimer();
}

Asio::awaitable<Outcome> ClaimCoordinator::run(Call call, SendOnce sendOnce)
{
    const auto id = m_nextCall++;
    auto mailbox = registerCall(id, std::move(sendOnce));
    processEvent([&](ClaimEngine &engine) { return engine.begin(id, call); });
    co_return co_await mailbox->async_receive(Asio::use_awaitable);
}

Asio::awaitable<Outcome> ClaimCoordinator::closeAndRefuse(Call call, Core::ErrorKind refusal)
{
    const auto id = m_nextCall++;
    auto mailbox = registerCall(id, {});
    processEvent([&](ClaimEngine &engine) { return engine.beginClose(id, call, refusal); });
    co_return co_await mailbox->async_receive(Asio::use_awaitable);
}

Core::Error ClaimCoordinator::earlyRejection(Core::ErrorKind kind, const ClaimKey &key) const
{
    std::scoped_lock lock(m_engineMutex);
    return m_engine.earlyRejection(kind, key);
}

HolderReply ClaimCoordinator::replyTo(const HolderQuery &query) const
{
    std::scoped_lock lock(m_engineMutex);
    return m_engine.replyTo(query);
}

void ClaimCoordinator::lateAnswer(const ClaimKey &key, const AnswerPointer &answer)
{
    processEvent([&](ClaimEngine &engine) { return engine.onLateAnswer(key, answer); });
}

bool ClaimCoordinator::isCaughtUp() const
{
    std::scoped_lock lock(m_engineMutex);
    return m_engine.isCaughtUp();
}

std::size_t ClaimCoordinator::pendingRecords() const
{
    std::scoped_lock lock(m_engineMutex);
    return m_engine.pendingRecords();
}

std::size_t ClaimCoordinator::indexBytes() const
{
    std::scoped_lock lock(m_engineMutex);
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < m_engine.partitionCount(); ++n)
        bytes += m_engine.partition(n).index().memoryBytes();
    return bytes;
}

// The mailbox buffers one outcome, so that an answer sent before the caller receives is not lost.
std::shared_ptr<ClaimCoordinator::Mailbox> ClaimCoordinator::registerCall(CallId id,
                                                                          SendOnce sendOnce)
{
    auto mailbox = std::make_shared<Mailbox>(m_executor, 1);
    std::scoped_lock lock(m_callsMutex);
    m_calls[id] = {mailbox, std::move(sendOnce)};
    return mailbox;
}

Asio::awaitable<void> ClaimCoordinator::readPartition(std::size_t partition)
{
    while (!m_stopping) {
        const bool succeeded = co_await readOnce(partition);
        if (!succeeded)
            co_await sleepFor(ReadRetryDelay);
    }
}

Asio::awaitable<bool> ClaimCoordinator::readOnce(std::size_t partition)
{
    Platform::LogOffset from = 0;
    {
        std::scoped_lock lock(m_engineMutex);
        from = m_engine.partition(partition).nextOffset();
    }
    auto stream = m_engine.streamName(partition);
    Platform::LogPage page;
    try {
        page = co_await m_log.read(std::move(stream), from, MaxPageRecords, MaxReadWait);
    } catch (const std::exception &) {
        co_return false;
    }
    processEvent([&](ClaimEngine &engine) { return engine.onPage(partition, page); });
    co_return true;
}

Asio::awaitable<void> ClaimCoordinator::runTimers()
{
    while (!m_stopping) {
        m_timer.expires_after(armTimer());
        boost::system::error_code ec;
        co_await m_timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        processEvent([](ClaimEngine &engine) { return engine.onTimer(); });
    }
}

Asio::awaitable<void> ClaimCoordinator::append(AppendBatch batch)
{
    bool succeeded = true;
    try {
        co_await m_log.append(m_engine.streamName(batch.partition), std::move(batch.data));
    } catch (const std::exception &) {
        succeeded = false;
    }
    processEvent([&](ClaimEngine &engine) { return engine.onAppendResult(batch.id, succeeded); });
}

Asio::awaitable<void> ClaimCoordinator::ask(AskAction action)
{
    HolderReply reply;
    try {
        reply = co_await m_askHolder(std::move(action.query));
    } catch (const std::exception &) {
        reply = {HolderState::Unreachable, nullptr};
    }
    processEvent([&](ClaimEngine &engine) { return engine.onHolderReply(action.call, reply); });
}

Asio::awaitable<void> ClaimCoordinator::send(CallId id, SendOnce sendOnce)
{
    SendResult result;
    try {
        result = co_await sendOnce();
    } catch (const std::exception &) {
        result = {SendState::OutcomeLost, nullptr, Core::ErrorKind::Internal};
    }
    processEvent([&](ClaimEngine &engine) { return engine.onSendResult(id, result); });
}

void ClaimCoordinator::processEvent(const std::function<ClaimActions(ClaimEngine &)> &event)
{
    ClaimActions actions;
    bool isEarlier = false;
    {
        std::scoped_lock lock(m_engineMutex);
        actions = event(m_engine);
        const auto due = m_engine.nextDeadline();
        isEarlier = due && *due < m_wakeAt;
    }
    execute(std::move(actions));
    if (isEarlier)
        wakeTimer();
}

// Returns how long the timer may sleep. Events that set an earlier deadline wake it.
std::chrono::nanoseconds ClaimCoordinator::armTimer()
{
    std::scoped_lock lock(m_engineMutex);
    const auto now = m_clock.now();
    m_wakeAt = now + MaxTimerWait;
    if (const auto due = m_engine.nextDeadline())
        m_wakeAt = std::clamp(*due, now, m_wakeAt);
    return m_wakeAt - now;
}

void ClaimCoordinator::execute(ClaimActions actions)
{
    for (auto &action : actions) {
        if (auto *it = std::get_if<AppendBatch>(&action)) {
            spawn(m_executor, append(std::move(*it)));
        } else if (auto *it = std::get_if<AskAction>(&action)) {
            spawn(m_executor, ask(std::move(*it)));
        } else if (const auto *it = std::get_if<SendAction>(&action)) {
            startSending(it->call);
        } else if (auto *it = std::get_if<AnswerAction>(&action)) {
            deliver(std::move(*it));
        }
    }
}

// The completion handler keeps this object alive while the coroutine runs.
void ClaimCoordinator::spawn(const Asio::any_io_executor &executor, Asio::awaitable<void> coroutine)
{
    Asio::co_spawn(executor, std::move(coroutine),
                   [self = shared_from_this()](const std::exception_ptr &) {});
}

void ClaimCoordinator::startSending(CallId id)
{
    SendOnce sendOnce;
    {
        std::scoped_lock lock(m_callsMutex);
        sendOnce = std::move(m_calls.at(id).sendOnce);
    }
    spawn(m_executor, send(id, std::move(sendOnce)));
}

void ClaimCoordinator::deliver(AnswerAction action)
{
    std::shared_ptr<Mailbox> mailbox;
    {
        std::scoped_lock lock(m_callsMutex);
        auto node = m_calls.extract(action.call);
        if (node.empty())
            return;
        mailbox = std::move(node.mapped().mailbox);
    }
    mailbox->try_send(boost::system::error_code {}, std::move(action.outcome));
}

// Cancels the timer on its strand; runTimers() then computes a new deadline.
void ClaimCoordinator::wakeTimer()
{
    Asio::post(m_timerStrand, [self = shared_from_this()] { self->m_timer.cancel(); });
}

} // namespace Claims
