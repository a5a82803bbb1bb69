#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <jujubeload/LoadRun.h>

#include <future>
#include <random>
#include <thread>
#include <vector>

namespace Load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr std::chrono::milliseconds EndPollInterval {5};
constexpr std::size_t RefusalLimitBytes = 64 * 1024;

/// Returns the name of a refusal: its HTTP status and, if the body contains one, its error kind.
std::string refusalName(unsigned status, const std::string &body)
{
    auto name = "http-" + std::to_string(status);
    boost::system::error_code ec;
    const auto parsed = json::parse(body, ec);
    const auto *object = ec ? nullptr : parsed.if_object();
    const auto *error = object == nullptr ? nullptr : object->if_contains("error");
    const auto *fields = error == nullptr ? nullptr : error->if_object();
    const auto *kind = fields == nullptr ? nullptr : fields->if_contains("kind");
    if (kind != nullptr && kind->is_string())
        name += ' ' + std::string(kind->get_string());
    return name;
}

asio::awaitable<std::string> readRefusal(Http::ClientExchange &exchange)
{
    std::string body;
    while (const auto chunk = co_await exchange.readSome()) {
        body += *chunk;
        if (body.size() > RefusalLimitBytes)
            break;
    }
    co_return body;
}

} // namespace

LoadRun::LoadRun(const Settings &settings, const Core::Clock &clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_workload(settings.workload)
    , m_threads(settings.threads)
    , m_startedAt(clock.now())
{ }

RunReport LoadRun::run()
{
    m_startedAt = m_clock.now();
    std::vector<std::future<void>> loops;
    if (m_settings.arrivalRate) {
        loops.push_back(asio::co_spawn(m_threads.next(), openLoop(), asio::use_future));
    } else {
        for (std::size_t n = 0; n < m_settings.connections; ++n)
            loops.push_back(asio::co_spawn(m_threads.next(), closedLoop(), asio::use_future));
    }
    for (auto &loop : loops)
        loop.get();
    while (m_inFlight > 0)
        std::this_thread::sleep_for(EndPollInterval);
    RunReport report;
    report.elapsed = m_clock.now() - m_startedAt;
    report.totals = m_record.totals();
    report.prompts = m_book.prompts();
    report.answersDigest = m_book.digest();
    return report;
}

bool LoadRun::shouldSend(std::uint64_t number) const
{
    if (m_settings.requests && number >= *m_settings.requests)
        return false;
    return !m_settings.time || m_clock.now() - m_startedAt < *m_settings.time;
}

asio::awaitable<void> LoadRun::closedLoop()
{
    for (auto number = m_next++; shouldSend(number); number = m_next++)
        co_await sendOne(number, m_clock.now());
}

asio::awaitable<void> LoadRun::openLoop()
{
    std::mt19937_64 random(m_settings.workload.seed);
    std::exponential_distribution<double> interval(*m_settings.arrivalRate);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    auto due = m_startedAt;
    for (std::uint64_t number = 0; shouldSend(number); ++number) {
        due += std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(interval(random)));
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
        ++m_inFlight;
        asio::co_spawn(m_threads.next(), sendOne(number, due),
                       [this](const std::exception_ptr &) { --m_inFlight; });
    }
}

asio::awaitable<void> LoadRun::sendOne(std::uint64_t index, StartTime due)
{
    RequestOutcome outcome;
    try {
        co_await exchange(index, due, outcome);
    } catch (const Core::Error &error) {
        outcome.error = Core::errorKindRow(error.kind()).name;
    } catch (const std::exception &error) {
        outcome.error = error.what();
    }
    m_record.note(outcome);
}

asio::awaitable<void> LoadRun::exchange(std::uint64_t index, StartTime due, RequestOutcome &outcome)
{
    const auto prompt = m_workload.promptAt(index + m_settings.skip);
    const auto target = m_settings.targets[index % m_settings.targets.size()];
    auto request = requestFor(prompt);
    Http::ClientTimeouts timeouts;
    const auto answer = co_await m_client.open(target, std::move(request), timeouts);
    if (answer->status() != StatusOk) {
        const auto body = co_await readRefusal(*answer);
        outcome.error = refusalName(answer->status(), body);
        co_return;
    }
    if (m_settings.stream)
        co_await readStream(*answer, prompt, due, outcome);
    else
        co_await readWhole(*answer, prompt, due, outcome);
}

asio::awaitable<void> LoadRun::readStream(Http::ClientExchange &exchange, const std::string &prompt,
                                          StartTime due, RequestOutcome &outcome)
{
    StreamedAnswer answer;
    std::optional<StartTime> lastText;
    while (const auto chunk = co_await exchange.readSome()) {
        const auto withText = answer.feed(*chunk);
        const auto now = m_clock.now();
        for (std::size_t n = 0; n < withText; ++n) {
            if (lastText)
                outcome.gaps.push_back(now - *lastText);
            else
                outcome.firstToken = now - due;
            lastText = now;
        }
    }
    outcome.whole = m_clock.now() - due;
    outcome.usage = answer.usage();
    checkAnswer(answer.finish(), prompt, answer.text(), outcome);
}

asio::awaitable<void> LoadRun::readWhole(Http::ClientExchange &exchange, const std::string &prompt,
                                         StartTime due, RequestOutcome &outcome)
{
    std::string body;
    while (const auto chunk = co_await exchange.readSome())
        body += *chunk;
    outcome.whole = m_clock.now() - due;
    outcome.firstToken = outcome.whole;
    const auto answer = parseWholeAnswer(body);
    outcome.usage = answer.usage;
    checkAnswer(answer.fault, prompt, answer.text, outcome);
}

void LoadRun::checkAnswer(AnswerFault fault, const std::string &prompt, const std::string &text,
                          RequestOutcome &outcome)
{
    if (fault == AnswerFault::None && !m_book.note(prompt, text))
        fault = AnswerFault::DifferentText;
    if (fault != AnswerFault::None)
        outcome.error = faultName(fault);
}

Http::Request LoadRun::requestFor(const std::string &prompt) const
{
    json::object body;
    body["model"] = m_settings.model;
    body["prompt"] = prompt;
    body["max_tokens"] = m_settings.tokens;
    body["stream"] = m_settings.stream;
    Http::Request request("POST", "/v1/completions", {}, json::serialize(body));
    request.headers.add("Content-Type", "application/json");
    if (!m_settings.key.empty())
        request.headers.add("Authorization", "Bearer " + m_settings.key);
    return request;
}

} // namespace Load
