#include <LibCore/Hash.h>
#include <LibHttp/EventStreamParser.h>

#include <StandIns/EngineStandIn.h>
#include <StandIns/StandInProgram.h>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace StandIns {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t BytesPerToken = 4;
constexpr std::chrono::milliseconds FrozenPollInterval {5};
constexpr unsigned StatusConflict = 409;

/// The error that callers of a crashed process see.
[[noreturn]] void cutConnection()
{
    throw boost::system::system_error(asio::error::connection_reset);
}

std::string promptOf(const json::object &body, bool chat)
{
    if (!chat)
        return std::string(body.at("prompt").as_string());
    std::string text;
    for (const auto &message : body.at("messages").as_array()) {
        text += message.at("role").as_string();
        text += '\n';
        text += message.at("content").as_string();
        text += '\n';
    }
    return text;
}

} // namespace

EngineStandIn::EngineStandIn(EngineSettings settings)
    : m_settings(std::move(settings))
    , m_cache(m_settings.cacheBlocks)
    , m_incarnation(
          static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{ }

asio::awaitable<void> EngineStandIn::handle(Http::ServerExchange &exchange)
{
    const auto &request = exchange.request();
    const auto path = pathOf(request.target);
    if (path == "/control") {
        control(json::parse(request.body).as_object());
        co_return co_await answerJson(exchange, json::object {});
    }
    while (m_frozen)
        co_await sleepFor(FrozenPollInterval);
    if (path == "/load")
        co_return co_await answerJson(exchange, loadReport());
    if (path == "/events") {
        const auto from = static_cast<std::uint64_t>(queryNumber(request.target, "from", 0));
        co_return co_await answerJson(exchange, eventsReport(from));
    }
    if (path == "/orders")
        co_return co_await order(exchange);
    if (path != "/v1/completions" && path != "/v1/chat/completions")
        throw Core::Error(Core::ErrorKind::UnknownRoute);
    if (m_draining) {
        auto refusal = Http::errorResponse(Core::Error(Core::ErrorKind::Draining));
        refusal.headers.add("X-Draining", "1");
        co_return co_await exchange.respond(std::move(refusal));
    }
    co_await complete(exchange, path == "/v1/chat/completions");
}

asio::awaitable<void> EngineStandIn::complete(Http::ServerExchange &exchange, bool chat)
{
    const auto &request = exchange.request();
    const auto parsed = json::parse(request.body);
    const auto &body = parsed.as_object();
    Job job;
    job.text = promptOf(body, chat);
    job.chat = chat;
    job.epoch = m_incarnation;
    job.id = std::string(request.headers.find("X-Request-Id").value_or("none"));
    job.maxTokens = static_cast<std::size_t>(numberOf(body, "max_tokens", 16));
    job.resumeFrom = static_cast<std::size_t>(numberOf(body, "resume_from", 0));
    if (const auto *stream = body.if_contains("stream"))
        job.stream = stream->as_bool();
    const auto team = std::string(request.headers.find("X-Team").value_or(""));
    if (!m_settings.poisonMarker.empty()
        && job.text.find(m_settings.poisonMarker) != std::string::npos) {
        crash();
        cutConnection();
    }
    co_await takeSlot(numberOf(body, "priority", 0));
    const auto salt = team + '/' + m_settings.weightsVersion;
    const auto blocks = chainBlocks(job.text, m_settings.blockBytes, salt);
    const auto cachedBytes = m_cache.use(blocks) * m_settings.blockBytes;
    job.promptTokens = job.text.size() / BytesPerToken;
    job.cachedTokens = cachedBytes / BytesPerToken;
    std::exception_ptr failure;
    try {
        co_await pause((job.text.size() - cachedBytes) * m_settings.prefillPerKilobyte / 1024, job);
        co_await runJob(exchange, std::move(job));
    } catch (...) {
        ++m_cancelled;
        failure = std::current_exception();
    }
    releaseSlot();
    if (failure)
        std::rethrow_exception(failure);
}

asio::awaitable<void> EngineStandIn::runJob(Http::ServerExchange &exchange, Job job)
{
    std::string whole;
    Http::Headers headers;
    headers.add("Content-Type", "text/event-stream");
    if (job.stream)
        co_await exchange.startStream(200, std::move(headers));
    // Simulates an engine that mixes up answers: it sends the answer to another request.
    if (m_crossAnswers) {
        job.id = "another";
        job.text = "another prompt";
    }
    for (auto index = job.resumeFrom; index < job.maxTokens; ++index) {
        co_await pause(m_settings.decodePerToken, job);
        if (m_cutAfterTokens > 0 && index + 1 > m_cutAfterTokens)
            cutConnection();
        const auto text = token(job, index);
        whole += text;
        ++m_tokens;
        if (job.stream)
            co_await exchange.write(Http::formatEvent(json::serialize(chunk(job, index, text))));
    }
    json::object details;
    details["cached_tokens"] = job.cachedTokens;
    json::object usage;
    usage["prompt_tokens"] = job.promptTokens;
    usage["completion_tokens"] = job.maxTokens - job.resumeFrom;
    usage["prompt_tokens_details"] = std::move(details);
    auto last = chunk(job, job.maxTokens, job.stream ? "" : whole);
    last["usage"] = std::move(usage);
    last["choices"].as_array()[0].as_object()["finish_reason"] = "length";
    ++m_served;
    if (!job.stream)
        co_return co_await answerJson(exchange, std::move(last));
    co_await exchange.write(Http::formatEvent(json::serialize(last)));
    co_await exchange.write(Http::formatEvent("[DONE]"));
    co_await exchange.finishStream();
}

asio::awaitable<void> EngineStandIn::takeSlot(long long priority)
{
    if (m_running < m_settings.slots) {
        ++m_running;
        co_return;
    }
    auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                                      std::chrono::hours(24));
    m_waiting.emplace(priority, timer);
    boost::system::error_code ec;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void EngineStandIn::releaseSlot()
{
    if (m_waiting.empty()) {
        --m_running;
        return;
    }
    m_waiting.begin()->second->cancel();
    m_waiting.erase(m_waiting.begin());
}

asio::awaitable<void> EngineStandIn::pause(std::chrono::microseconds time, const Job &job) const
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
    while (m_frozen)
        co_await sleepFor(FrozenPollInterval);
    if (job.epoch != m_incarnation)
        cutConnection();
}

asio::awaitable<void> EngineStandIn::order(Http::ServerExchange &exchange)
{
    const auto parsed = json::parse(exchange.request().body);
    const auto &body = parsed.as_object();
    const auto fencing = static_cast<std::uint64_t>(numberOf(body, "fencing", 0));
    if (m_settings.checksFencing && fencing < m_fencing)
        co_return co_await exchange.respond(Http::jsonResponse(StatusConflict, "{}"));
    m_fencing = std::max(m_fencing, fencing);
    const auto version = std::string(body.at("weights_version").as_string());
    ++m_loading;
    m_maxLoading = std::max(m_maxLoading, m_loading);
    co_await sleepFor(m_settings.loadTime);
    --m_loading;
    m_settings.weightsVersion = version;
    m_cache.clear();
    co_await answerJson(exchange, loadReport());
}

void EngineStandIn::control(const json::object &faults)
{
    if (faults.contains("crash"))
        crash();
    if (faults.contains("exit"))
        std::_Exit(1);
    if (const auto *frozen = faults.if_contains("frozen"))
        m_frozen = frozen->as_bool();
    if (const auto *draining = faults.if_contains("draining"))
        m_draining = draining->as_bool();
    if (const auto *crossed = faults.if_contains("cross_answers"))
        m_crossAnswers = crossed->as_bool();
    m_cutAfterTokens = static_cast<std::size_t>(
        numberOf(faults, "cut_after_tokens", static_cast<long long>(m_cutAfterTokens)));
    m_settings.decodePerToken =
        std::chrono::microseconds(numberOf(faults, "decode_us", m_settings.decodePerToken.count()));
}

void EngineStandIn::crash()
{
    ++m_crashes;
    ++m_incarnation;
    m_cache.clear();
}

json::object EngineStandIn::loadReport()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastReportAt >= m_settings.reportLag || m_lastReport.empty()) {
        m_lastReportAt = now;
        m_lastReport["running"] = m_running;
        m_lastReport["waiting"] = m_waiting.size();
    }
    auto report = m_lastReport;
    report["incarnation"] = m_incarnation;
    report["slots"] = m_settings.slots;
    report["weights_version"] = m_settings.weightsVersion;
    report["loading"] = m_loading;
    report["most_loading"] = m_maxLoading;
    report["fencing"] = m_fencing;
    report["draining"] = m_draining;
    report["cached_pieces"] = m_cache.size();
    report["crashes"] = m_crashes;
    report["cancelled"] = m_cancelled;
    report["served"] = m_served;
    report["tokens"] = m_tokens;
    return report;
}

json::object EngineStandIn::eventsReport(std::uint64_t from) const
{
    json::array events;
    for (const auto &event : m_cache.eventsFrom(from)) {
        json::object entry;
        entry["sequence"] = event.sequence;
        entry["kind"] = event.stored ? "stored" : "removed";
        entry["hash"] = event.hash;
        events.push_back(std::move(entry));
    }
    json::object report;
    report["incarnation"] = m_incarnation;
    report["events"] = std::move(events);
    return report;
}

std::string EngineStandIn::token(const Job &job, std::size_t index)
{
    const auto hash = Core::hash64(job.text, index);
    return "t" + std::to_string(hash % 10'000) + " ";
}

json::object EngineStandIn::chunk(const Job &job, std::size_t index, const std::string &text)
{
    json::object choice;
    choice["index"] = 0;
    if (job.chat && job.stream)
        choice["delta"] = json::object {{"content", text}};
    else if (job.chat)
        choice["message"] = json::object {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    choice["finish_reason"] = nullptr;
    json::object event;
    event["id"] = job.id;
    event["object"] = job.chat ? "chat.completion.chunk" : "text_completion";
    event["token_index"] = index;
    event["choices"] = json::array {std::move(choice)};
    return event;
}

} // namespace StandIns
