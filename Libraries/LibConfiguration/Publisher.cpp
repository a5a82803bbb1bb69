#include <LibConfiguration/Publisher.h>
#include <LibCore/Hash.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Configuration {

namespace asio = boost::asio;

namespace {

constexpr std::size_t PageRecords = 256;
constexpr std::size_t PublicationIdBytes = 16;

Publication makePublication(PublishRequest request, const ConfigurationVersion &base)
{
    return {
        .replaces = base.generation,
        // The hash only converts the random bytes to text.
        .publicationId = Core::sha256Hex(Core::secureRandomBytes(PublicationIdBytes)).substr(0, 32),
        .publisher = std::move(request.publisher),
        .digest = Core::sha256Hex(request.bytes),
        .promotedFrom = std::move(request.promotedFrom),
        .change = Splice::between(base.bytes, request.bytes),
    };
}

void requireReplaceable(const PublishRequest &request, const ConfigurationHistory &history)
{
    if (!history.isAnchored())
        throw Core::Error(Core::ErrorKind::ConfigurationConflict,
                          "the log contains no usable copy of the configuration");
    if (history.isHalted())
        throw Core::Error(Core::ErrorKind::ConfigurationConflict,
                          "the log contains a document of a newer format; use a newer program");
    const auto inForce = history.current()->generation;
    if (request.replaces && *request.replaces != inForce)
        throw Core::Error(Core::ErrorKind::ConfigurationConflict,
                          "generation " + std::to_string(inForce) + " is active, not "
                              + std::to_string(*request.replaces));
}

/// Returns the result of a publication from the first record that decides it.
PublishResult resultOf(const HistoryEntry &entry, const Publication &publication)
{
    const bool isOurs = entry.publicationId == publication.publicationId;
    if (isOurs && entry.verdict == Verdict::Accepted)
        return PublishResult::Accepted;
    // After a gap in the log, the publication may have been accepted and replaced without being
    // read.
    return entry.verdict == Verdict::Anchored ? PublishResult::Unknown : PublishResult::LostRace;
}

} // namespace

Publisher::Publisher(Platform::LogService &log, const Core::Clock &clock, std::mt19937_64 &random,
                     Options options)
    : m_log(log)
    , m_clock(clock)
    , m_random(random)
    , m_options(options)
{ }

asio::awaitable<void> Publisher::readHistory(ConfigurationHistory &history, Visitor visitor)
{
    const auto deadline = m_clock.now() + m_options.timeout;
    RetryDelay delay(m_options.firstRetry, m_options.maxRetryDelay);
    for (;;) {
        try {
            co_await readToEnd(history, visitor);
            co_return;
        } catch (const Core::Error &error) {
            if (error.kind() != Core::ErrorKind::PlatformUnavailable)
                throw;
        }
        co_await waitForRetry(delay, deadline);
    }
}

asio::awaitable<PublishOutcome> Publisher::publish(PublishRequest request)
{
    if (auto parsed = Document::parse(request.bytes); !parsed)
        throw parsed.assume_error();
    ConfigurationHistory history(request.environment);
    co_await readHistory(history, [](const auto &) {});
    requireReplaceable(request, history);

    const auto base = history.current();
    const auto publication = makePublication(std::move(request), *base);
    const auto record = encodeRecord(history.environment(), publication);
    PublishOutcome outcome;
    bool decided = false;
    const auto observe = [&](const HistoryEntry &entry) {
        const bool isOurs = entry.publicationId == publication.publicationId;
        const bool isSuperseded = entry.version && entry.generation > publication.replaces;
        if (decided || (!isOurs && !isSuperseded))
            return;
        decided = true;
        outcome.result = resultOf(entry, publication);
        outcome.publisher = entry.publisher;
    };
    co_await appendUntil(decided, history, record, observe);
    outcome.generation = history.current()->generation;
    outcome.digest = history.current()->digest;
    co_return outcome;
}

asio::awaitable<PublishOutcome> Publisher::restart(PublishRequest request, Generation generation)
{
    if (auto parsed = Document::parse(request.bytes); !parsed)
        throw parsed.assume_error();
    ConfigurationHistory history(request.environment);
    co_await readHistory(history, [](const auto &) {});
    if (history.isAnchored() || history.isHalted())
        throw Core::Error(Core::ErrorKind::ConfigurationConflict,
                          "the log still determines a document; publish a replacement instead");
    const ConfigurationRecord renewal = Renewal {
        .generation = generation,
        .digest = Core::sha256Hex(request.bytes),
        .foldedTo = history.nextOffset(),
        .renewer = request.publisher,
        .document = request.bytes,
    };
    bool decided = false;
    const auto observe = [&](const HistoryEntry &entry) {
        decided |= entry.verdict == Verdict::Anchored;
    };
    co_await appendUntil(decided, history, encodeRecord(history.environment(), renewal), observe);
    PublishOutcome outcome;
    outcome.generation = history.current()->generation;
    outcome.digest = history.current()->digest;
    const bool isOurs = outcome.digest == std::get<Renewal>(renewal).digest;
    if (decided)
        outcome.result = isOurs ? PublishResult::Accepted : PublishResult::LostRace;
    co_return outcome;
}

asio::awaitable<void> Publisher::appendUntil(const bool &decided, ConfigurationHistory &history,
                                             std::string record, const Visitor &observe)
{
    const auto deadline = m_clock.now() + m_options.timeout;
    RetryDelay delay(m_options.firstRetry, m_options.maxRetryDelay);
    while (!decided) {
        bool failed = false;
        try {
            co_await m_log.append(history.stream(), record);
        } catch (const Core::Error &) {
            // The append may have taken effect anyway; reading the log shows whether it did.
            failed = true;
        }
        try {
            co_await readToEnd(history, observe);
        } catch (const Core::Error &) {
            failed = true;
        }
        if (decided || !failed)
            co_return;
        try {
            co_await waitForRetry(delay, deadline);
        } catch (const Core::Error &) {
            co_return;
        }
    }
}

asio::awaitable<void> Publisher::readToEnd(ConfigurationHistory &history, const Visitor &visitor)
{
    for (;;) {
        const auto page = co_await m_log.read(history.stream(), history.nextOffset(), PageRecords,
                                              std::chrono::milliseconds(0));
        for (const auto &it : history.processPage(page))
            visitor(it);
        if (history.nextOffset() >= page.next || history.isHalted())
            co_return;
    }
}

asio::awaitable<void> Publisher::waitForRetry(RetryDelay &delay, Core::Clock::Monotonic deadline)
{
    const auto time = delay.next(m_random);
    if (m_clock.now() + time >= deadline)
        throw Core::Error(Core::ErrorKind::PlatformUnavailable, "the log does not answer");
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace Configuration
