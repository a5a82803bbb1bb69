#include <LibClaims/ClaimCoordinator.h>
#include <LibCore/EventLog.h>
#include <LibCore/IoThreads.h>
#include <LibPlatform/EmbeddedLogService.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace Claims;
using namespace std::chrono_literals;
namespace Asio = boost::asio;

namespace {

/// The embedded log with simulated outages and lost acknowledgements.
class FaultyLog final : public Platform::LogService
{
public:
    explicit FaultyLog(const Core::Clock &clock)
        : m_log(clock, 1h)
    { }

    Asio::awaitable<Platform::LogOffset> append(std::string stream, std::string data) override
    {
        if (isUnavailable)
            throw Core::Error(Core::ErrorKind::PlatformUnavailable);
        const auto offset = co_await m_service.append(std::move(stream), std::move(data));
        if (losesAnswers)
            throw Core::Error(Core::ErrorKind::PlatformUnavailable);
        co_return offset;
    }

    Asio::awaitable<Platform::LogPage> read(std::string stream, Platform::LogOffset from,
                                            std::size_t limit, std::chrono::milliseconds) override
    {
        if (isUnavailable)
            throw Core::Error(Core::ErrorKind::PlatformUnavailable);
        co_return co_await m_service.read(std::move(stream), from, limit, 10ms);
    }

    std::atomic<bool> isUnavailable {false};
    std::atomic<bool> losesAnswers {false};

private:
    Platform::InMemoryLog m_log;
    Platform::EmbeddedLogService m_service {m_log};
};

/// Two coordinators that share one log and one service, which counts its runs.
struct CoordinatorFixture
{
    explicit CoordinatorFixture(std::chrono::milliseconds claimTimeout = 60s)
    {
        Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
        ClaimSettings settings {KeyWindow::create(10min, 1min, 1h, 1min).value()};
        settings.claimTimeout = claimTimeout;
        settings.holderTimeout = 60s;
        settings.askInterval = 5ms;
        for (std::size_t n = 0; n < 2; ++n) {
            const Holder self {Core::InstanceId(std::to_string(n)), 1};
            const auto askOther = [this,
                                   n](const HolderQuery &query) -> Asio::awaitable<HolderReply> {
                co_return coordinators[1 - n]->replyTo(query);
            };
            coordinators.push_back(ClaimCoordinator::create(threads.next().get_executor(), settings,
                                                            self, log, clock, askOther)
                                       .value());
            coordinators.back()->start();
        }
    }
    ~CoordinatorFixture() { threads.stop(); }

    std::future<Outcome> call(std::size_t n, const std::string &key,
                              SendState state = SendState::Answered)
    {
        const auto issuedAt = std::chrono::floor<std::chrono::milliseconds>(clock.wallNow());
        const Call request {
            {Core::TeamId("t"), key, issuedAtOf.try_emplace(key, issuedAt).first->second}, 1};
        const auto send = [this, state]() -> Asio::awaitable<SendResult> {
            if (state == SendState::NotSent)
                co_return SendResult {state, nullptr, Core::ErrorKind::UpstreamUnreachable};
            ++runs;
            co_return SendResult {state,
                                  std::make_shared<StoredAnswer>(StoredAnswer {200, "", "done"})};
        };
        return Asio::co_spawn(threads.next(), coordinators[n]->run(request, send),
                              Asio::use_future);
    }

    Core::SystemClock clock;
    FaultyLog log {clock};
    std::atomic<int> runs {0};
    std::map<std::string, IssueTime> issuedAtOf;
    Core::IoThreads threads {4};
    std::vector<std::shared_ptr<ClaimCoordinator>> coordinators;
};

} // namespace

TEST_CASE("concurrent calls of one key on two instances run it once and all receive the answer")
{
    CoordinatorFixture fixture;
    fixture.log.losesAnswers = true;
    for (int key = 0; key < 20; ++key) {
        std::vector<std::future<Outcome>> calls;
        for (std::size_t n = 0; n < 8; ++n)
            calls.push_back(fixture.call(n % 2, "k" + std::to_string(key)));
        std::size_t firstAnswers = 0;
        for (auto &it : calls) {
            const auto outcome = it.get();
            REQUIRE(outcome.answer);
            CHECK(outcome.answer->body == "done");
            CHECK(outcome.key == Core::ExecutionStatus::Run);
            firstAnswers += outcome.replayed ? 0 : 1;
        }
        CHECK(firstAnswers == 1);
        CHECK(fixture.runs == key + 1);
    }
}

TEST_CASE("nothing runs while the log is unavailable, and the key runs once after it recovers")
{
    CoordinatorFixture fixture(300ms);
    fixture.log.isUnavailable = true;
    const auto refused = fixture.call(0, "k").get();
    CHECK(refused.error == Core::ErrorKind::LogUnavailable);
    CHECK(refused.attempt == Core::ExecutionStatus::NotRun);
    CHECK(refused.key == Core::ExecutionStatus::Unknown);
    CHECK(fixture.runs == 0);
    fixture.log.isUnavailable = false;
    Outcome outcome;
    for (int n = 0; n < 50 && !outcome.answer; ++n)
        outcome = fixture.call(1, "k").get();
    CHECK(outcome.answer);
    CHECK(fixture.runs == 1);
}

TEST_CASE(
    "a call that no upstream accepted closes its key, and a lost outcome is reported as unknown")
{
    CoordinatorFixture fixture;
    const auto refused = fixture.call(0, "k", SendState::NotSent).get();
    CHECK(refused.error == Core::ErrorKind::UpstreamUnreachable);
    CHECK(refused.key == Core::ExecutionStatus::NotRun);
    const auto resent = fixture.call(1, "k").get();
    CHECK(resent.error == Core::ErrorKind::KeyClosed);
    CHECK(resent.key == Core::ExecutionStatus::NotRun);
    CHECK(fixture.runs == 0);
    CHECK(fixture.call(0, "lost", SendState::OutcomeLost).get().key
          == Core::ExecutionStatus::Unknown);
    CHECK(fixture.call(1, "lost").get().error == Core::ErrorKind::KeyOutcomeUnknown);
    CHECK(fixture.runs == 1);
}
