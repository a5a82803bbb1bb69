#include <LibHttp/EventStreamParser.h>
#include <LibRouter/CompletionAttempt.h>

namespace Router {

namespace asio = boost::asio;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusServiceUnavailable = 503;

/// Throws the error that corresponds to an engine's refusal.
[[noreturn]] void throwRefusal(const Http::ClientExchange &answer)
{
    const auto status = answer.status();
    if (answer.headers().find("X-Draining"))
        throw UpstreamDraining {};
    const auto detail = "the upstream answered with status " + std::to_string(status);
    if (status == StatusTooManyRequests || status == StatusServiceUnavailable)
        throw Core::Error(Core::ErrorKind::Overloaded, detail);
    if (status >= 400 && status < 500)
        throw Core::Error(Core::ErrorKind::MalformedRequest, detail);
    throw Core::Error(Core::ErrorKind::UpstreamFailed, detail);
}

} // namespace

CompletionAttempt::CompletionAttempt(Instance &instance, const CallContext &context,
                                     const CompletionCall &call, const Configuration::Model &model,
                                     Options options)
    : m_instance(instance)
    , m_context(context)
    , m_call(call)
    , m_model(model)
    , m_options(std::move(options))
{ }

asio::awaitable<void> CompletionAttempt::run(UpstreamPtr upstream, std::string attemptId,
                                             AnswerSink &sink, AnswerProgress &progress)
{
    auto request = engineRequest(attemptId, progress);
    const auto answer =
        co_await m_instance.client().open(upstream->endpoint(), std::move(request), timeouts());
    if (answer->status() != StatusOk)
        throwRefusal(*answer);
    co_await relay(*answer, attemptId, sink, progress);
}

asio::awaitable<void> CompletionAttempt::relay(Http::ClientExchange &answer,
                                               const std::string &attemptId, AnswerSink &sink,
                                               AnswerProgress &progress)
{
    Http::EventStreamParser events;
    while (auto data = co_await answer.readSome()) {
        events.feed(*data);
        while (auto event = events.next()) {
            if (event->data == "[DONE]")
                continue;
            if (!event->kind.empty())
                throw Core::Error(Core::ErrorKind::UpstreamFailed,
                                  "the upstream sent an error event");
            const auto chunk = CompletionChunk::parse(event->data, attemptId).value();
            co_await handleChunk(chunk, sink, progress);
            if (m_instance.clock().now() - m_context.arrivedAt > m_model.answerTimeout)
                throw Core::Error(Core::ErrorKind::UpstreamTimedOut,
                                  "the answer exceeds the model's answer timeout");
            answer.setBodyTimeout(m_model.nextTokenTimeout);
        }
    }
    if (!progress.isComplete)
        throw Core::Error(Core::ErrorKind::UpstreamFailed,
                          "the stream ended before the answer was complete");
}

asio::awaitable<void> CompletionAttempt::handleChunk(const CompletionChunk &chunk, AnswerSink &sink,
                                                     AnswerProgress &progress)
{
    const bool hasToken = !chunk.text().empty();
    const auto index = chunk.tokenIndex().value_or(progress.tokens);
    if (progress.isComplete && hasToken)
        throw Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                          "the upstream sent a token after the end of the answer");
    // An engine that resumes from an earlier token than requested repeats tokens that the caller
    // already has.
    if (hasToken && index < progress.tokens)
        co_return;
    if (index > progress.tokens)
        throw Core::Error(Core::ErrorKind::UpstreamAnswerMalformed,
                          "the upstream skipped a token of the stream");
    if (hasToken && !std::exchange(m_hasToken, true) && m_options.firstToken)
        m_options.firstToken();
    if (hasToken) {
        ++progress.tokens;
        if (!progress.firstTokenAt)
            progress.firstTokenAt = m_instance.clock().now();
    }
    if (chunk.promptTokens())
        progress.promptTokens = chunk.promptTokens();
    if (chunk.cachedTokens())
        progress.cachedTokens = chunk.cachedTokens();
    co_await sink.writeChunk(chunk, progress.tokens);
    progress.isComplete = progress.isComplete || chunk.isLast();
}

Http::Request CompletionAttempt::engineRequest(const std::string &attemptId,
                                               const AnswerProgress &progress) const
{
    Http::Request request("POST", std::string(m_call.path()));
    request.headers.add("Content-Type", "application/json");
    request.headers.add("X-Request-Id", attemptId);
    request.headers.add("X-Team", m_context.team->id.value());
    request.body = m_call.engineBody(m_options.maxTokens, m_options.priority, progress.tokens);
    return request;
}

Http::ClientTimeouts CompletionAttempt::timeouts() const
{
    Http::ClientTimeouts timeouts;
    timeouts.connect = m_instance.settings().connectTimeout;
    timeouts.head = m_model.firstTokenTimeout;
    // Applies until the first token arrives; engines may send the head of the response before it.
    timeouts.body = m_model.firstTokenTimeout;
    return timeouts;
}

} // namespace Router
