#include <LibConfiguration/ConfigurationReader.h>
#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

namespace Configuration {

namespace asio = boost::asio;

namespace {

bool isRefusal(Verdict verdict)
{
    return verdict == Verdict::LostRace || verdict == Verdict::Invalid
           || verdict == Verdict::Unreadable || verdict == Verdict::Undecidable;
}

} // namespace

ConfigurationReader::ConfigurationReader(ReaderOptions options, Platform::LogService &log,
                                         const Core::Clock &clock, std::mt19937_64 &random,
                                         ReaderHooks hooks)
    : m_options(std::move(options))
    , m_log(log)
    , m_clock(clock)
    , m_random(random)
    , m_hooks(std::move(hooks))
    , m_history(m_options.environment)
    , m_retry(m_options.firstRetry, m_options.maxRetryDelay)
    , m_current(std::make_shared<const ConfigurationVersion>())
{ }

asio::awaitable<void> ConfigurationReader::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    // An unexpected exception leaves this function too.
    const auto forget = [this](asio::steady_timer *) { m_timer = nullptr; };
    const std::unique_ptr<asio::steady_timer, decltype(forget)> user(&timer, forget);
    m_timer = &timer;
    while (!m_stopping) {
        std::string failure;
        try {
            co_await readOnce();
            co_await renewIfDue();
            noteSuccess();
        } catch (const Core::Error &error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            noteFailure(failure);
            co_await pause(m_retry.next(m_random));
        } else if (m_history.isHalted()) {
            co_await pause(m_options.readWait);
        }
    }
}

void ConfigurationReader::stop()
{
    m_stopping = true;
    if (m_timer)
        m_timer->cancel();
}

Core::Result<bool> ConfigurationReader::adoptFromSibling(Generation generation, std::string bytes)
{
    if (generation <= this->generation())
        return false;
    auto parsed = Document::parse(bytes);
    if (!parsed)
        return parsed.assume_error();
    ConfigurationVersion version {.generation = generation,
                                  .digest = Core::sha256Hex(bytes),
                                  .document = std::move(parsed.assume_value()),
                                  .recordedAt = m_clock.wallNow()};
    version.bytes = std::move(bytes);
    return activate(std::make_shared<const ConfigurationVersion>(std::move(version)), false);
}

asio::awaitable<void> ConfigurationReader::readOnce()
{
    // A read that starts at the end of the log waits for the next record.
    const auto page = co_await m_log.read(m_history.stream(), m_history.nextOffset(),
                                          m_options.pageRecords, m_options.readWait);
    ++m_counters.reads;
    m_counters.records += page.records.size();
    for (const auto &it : m_history.processPage(page))
        apply(it);
    m_caughtUp = m_history.nextOffset() >= page.next;
}

asio::awaitable<void> ConfigurationReader::renewIfDue()
{
    const auto due = m_history.renewalTime(m_options.instance.value(), m_options.renewalInterval);
    if (!m_caughtUp || !due || m_clock.wallNow() < *due)
        co_return;
    // An instance whose wall clock is ahead of the log's clock considers every copy too old, so
    // renewals are also limited by the monotonic clock.
    const auto now = m_clock.now();
    if (m_lastRenewal && now - *m_lastRenewal < m_options.renewalInterval / 2)
        co_return;
    m_lastRenewal = now;
    // GCC 12 destroys aggregate temporaries of a co_await expression twice.
    const ConfigurationRecord record = m_history.renewal(m_options.instance.value());
    co_await m_log.append(m_history.stream(), encodeRecord(m_options.environment, record));
    ++m_counters.renewals;
}

asio::awaitable<void> ConfigurationReader::pause(std::chrono::milliseconds time)
{
    if (m_stopping)
        co_return;
    boost::system::error_code ec;
    m_timer->expires_after(time);
    co_await m_timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void ConfigurationReader::apply(const HistoryEntry &entry)
{
    if (entry.version)
        activate(entry.version, true);
    if (!isRefusal(entry.verdict))
        return;
    Core::logEvent(Core::EventId::ConfigurationRefused,
                   {{"offset", std::to_string(entry.offset)},
                    {"verdict", std::string(verdictName(entry.verdict))},
                    {"publisher", entry.publisher},
                    {"detail", entry.detail}});
    m_hooks.onRefused(entry);
}

bool ConfigurationReader::activate(ConfigurationVersionPointer version, bool fromLog)
{
    // The hook runs under the lock; otherwise a slower thread could announce an older version after
    // a newer one.
    std::scoped_lock lock(m_activationMutex);
    const auto active = m_current.share();
    const bool corrects =
        fromLog && version->generation == active->generation && version->digest != active->digest;
    if (version->generation <= active->generation && !corrects)
        return false;
    m_current.replace(version);
    m_generation.store(version->generation, std::memory_order_release);
    Core::logEvent(fromLog ? Core::EventId::ConfigurationInForce
                           : Core::EventId::ConfigurationFromSibling,
                   {{"generation", std::to_string(version->generation)},
                    {"digest", version->digest},
                    {"publisher", version->publisher}});
    m_hooks.onAccepted(*version);
    return true;
}

void ConfigurationReader::noteFailure(const std::string &detail)
{
    ++m_counters.failures;
    if (!std::exchange(m_isLogUnavailable, true))
        Core::logEvent(Core::EventId::PlatformUnavailable,
                       {{"stream", m_history.stream()}, {"detail", detail}});
}

void ConfigurationReader::noteSuccess()
{
    m_retry.reset();
    if (std::exchange(m_isLogUnavailable, false))
        Core::logEvent(Core::EventId::PlatformBack, {{"stream", m_history.stream()}});
}

} // namespace Configuration
