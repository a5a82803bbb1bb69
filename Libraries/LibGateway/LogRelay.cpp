#include <LibCore/EventLog.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/LogRelay.h>

#include <algorithm>
#include <limits>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto ConnectTimeout = 250ms;
// Added to the time for which the sibling may hold the call.
constexpr auto AnswerTimeout = 300ms;
constexpr milliseconds MaxWait {5'000};
// Older data is useless. The limit also bounds the effect of a wrong answer.
constexpr milliseconds MaxAge = 1h;
constexpr auto LogPath = "/log";
// The newest records of all upstreams of a large fleet, or LogTail::MaxBytes of records.
constexpr std::size_t AnswerLimitBytes = std::size_t {8} * 1024 * 1024;
// Queries from this position are for the newest record of each key.
constexpr auto NewestPosition = LogPosition::fromNumber(std::numeric_limits<std::uint64_t>::max());
// Cache snapshots are not followed.
constexpr auto LastTopic = FleetTopic::Journal;

std::string toBytes(const flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

milliseconds bounded(std::uint64_t time, milliseconds limit)
{
    return milliseconds(std::min<std::uint64_t>(time, static_cast<std::uint64_t>(limit.count())));
}

/// Returns the root table of the bytes; null when they fail verification.
template <typename Table>
const Table *readTable(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

} // namespace

LogRelay::LogRelay(const Core::Clock &clock)
    : m_clock(clock)
{ }

asio::awaitable<void> LogRelay::answer(Http::ServerExchange &exchange)
{
    const auto begin = m_clock.now();
    const auto *logQuery = readTable<Wire::LogQuery>(exchange.request().body);
    if (!logQuery || logQuery->topic() > static_cast<std::uint8_t>(LastTopic)) {
        Core::logEvent(Core::EventId::PeerFrameInvalid,
                       {{"bytes", std::to_string(exchange.request().body.size())},
                        {"reason", "malformed log query"}});
        Http::Response response(400, {}, {});
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto from = LogPosition::fromNumber(logQuery->from());
    const milliseconds wait(logQuery->wait_ms());
    auto &log = tail(static_cast<FleetTopic>(logQuery->topic()));
    const bool isForNewest = from == NewestPosition;
    if (!isForNewest && log.covers(from))
        co_await log.awaitRecord(from, std::min(wait, MaxWait));
    if (isForNewest ? !log.hasNewest() : !log.covers(from)) {
        Http::Response response(404, {}, {});
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto now = m_clock.now();
    const auto page = isForNewest ? log.newest() : log.page(from);
    Http::Response response(200, {}, encode(page, now, duration_cast<milliseconds>(now - begin)));
    co_await exchange.respond(std::move(response));
}

asio::awaitable<FleetPage> LogRelay::query(Http::Endpoint sibling, FleetTopic topic,
                                           LogPosition from, milliseconds wait)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::CreateLogQuery(builder, static_cast<std::uint8_t>(topic), from.number(),
                                        static_cast<std::uint32_t>(wait.count())));
    Http::ClientTimeouts timeouts;
    timeouts.connect = ConnectTimeout;
    timeouts.head = wait + AnswerTimeout;
    timeouts.body = AnswerTimeout;
    Http::Request request("POST", LogPath, {}, toBytes(builder));
    const auto requestTime = m_clock.now();
    const auto response =
        co_await m_client.fetch(std::move(sibling), std::move(request), timeouts, AnswerLimitBytes);
    if (response.status != 200)
        throw Core::Error(Core::ErrorKind::PlatformUnavailable,
                          "the sibling answered with status " + std::to_string(response.status));
    co_return decode(response.body, from, requestTime).value();
}

asio::awaitable<FleetPage> LogRelay::queryNewest(Http::Endpoint sibling, FleetTopic topic)
{
    auto page = co_await query(std::move(sibling), topic, NewestPosition, 0ms);
    // The offsets of the records themselves are not transferred.
    for (auto &record : page.records)
        record.position = 0;
    co_return page;
}

std::string LogRelay::encode(const FleetPage &page, Core::Clock::Monotonic now,
                             milliseconds heldFor)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Wire::LogRecord>> records;
    for (const auto &record : page.records) {
        const auto key = builder.CreateString(record.key);
        flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> value;
        if (record.value)
            value = builder.CreateVector(
                reinterpret_cast<const std::uint8_t *>(record.value->data()), record.value->size());
        records.push_back(Wire::CreateLogRecord(builder, key, value));
    }
    // The age is rounded up, so that data never appears newer than it is.
    const auto age = std::chrono::ceil<milliseconds>(now - page.asOf);
    const auto failureAge = page.lastStoreFailure == Core::Clock::Monotonic::min()
                                ? -1
                                : duration_cast<milliseconds>(now - page.lastStoreFailure).count();
    const auto list = builder.CreateVector(records);
    builder.Finish(
        Wire::CreateLogPage(builder, page.next.number(), static_cast<std::uint64_t>(age.count()),
                            static_cast<std::uint64_t>(heldFor.count()), failureAge, list));
    return toBytes(builder);
}

Core::Result<FleetPage> LogRelay::decode(std::string_view bytes, LogPosition from,
                                         Core::Clock::Monotonic requestTime)
{
    const auto *answer = readTable<Wire::LogPage>(bytes);
    if (!answer)
        return Core::Error(Core::ErrorKind::PlatformUnavailable,
                           "the sibling's answer is not a valid log page");
    FleetPage page;
    const auto next = LogPosition::fromNumber(answer->next());
    page.next = from == NewestPosition ? next : std::max(from, next);
    // The sibling wrote its answer after it had held the call for this time, so the computed time
    // is never later than the query of the store.
    const auto answerTime = requestTime + bounded(answer->waited_ms(), MaxWait);
    page.asOf = answerTime - bounded(answer->age_ms(), MaxAge);
    if (answer->trouble_age_ms() >= 0)
        page.lastStoreFailure =
            answerTime - bounded(static_cast<std::uint64_t>(answer->trouble_age_ms()), MaxAge);
    if (!answer->records())
        return page;
    for (const auto *entry : *answer->records()) {
        FleetRecord record;
        record.position = from + page.records.size();
        record.key = entry->key() ? entry->key()->str() : "";
        if (entry->value())
            record.value.emplace(reinterpret_cast<const char *>(entry->value()->data()),
                                 entry->value()->size());
        page.records.push_back(std::move(record));
    }
    return page;
}

} // namespace Gateway
