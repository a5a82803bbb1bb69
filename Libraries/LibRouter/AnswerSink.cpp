#include <LibHttp/EventStreamParser.h>
#include <LibRouter/AnswerSink.h>

#include <boost/json.hpp>

#include <chrono>

namespace Router {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;

/// Forwards every chunk to the caller as it arrives.
class StreamSink final : public AnswerSink
{
public:
    StreamSink(Http::ServerExchange &exchange, std::string model, std::string publicId)
        : m_exchange(exchange)
        , m_model(std::move(model))
        , m_publicId(std::move(publicId))
    { }

    asio::awaitable<void> writeChunk(const CompletionChunk &chunk,
                                     std::uint64_t completionTokens) override
    {
        co_await begin();
        const auto data = chunk.forCaller(m_publicId, m_model, completionTokens);
        co_await m_exchange.write(Http::formatEvent(data));
    }

    asio::awaitable<void> finish() override
    {
        co_await begin();
        co_await m_exchange.write(Http::formatEvent("[DONE]"));
        co_await m_exchange.finishStream();
    }

    asio::awaitable<void> fail(const Core::Error &error) override
    {
        if (!m_exchange.hasStarted()) {
            co_await m_exchange.respond(Http::errorResponse(error));
            co_return;
        }
        co_await m_exchange.write(Http::formatEvent("error", Core::errorBody(error)));
        co_await m_exchange.finishStream();
    }

private:
    asio::awaitable<void> begin()
    {
        if (m_exchange.hasStarted())
            co_return;
        Http::Headers headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add("Cache-Control", "no-store");
        co_await m_exchange.startStream(StatusOk, std::move(headers));
    }

    Http::ServerExchange &m_exchange;
    std::string m_model;
    std::string m_publicId;
};

/// Buffers the text until the answer is complete.
class BufferingSink final : public AnswerSink
{
public:
    BufferingSink(Http::ServerExchange &exchange, const CompletionCall &call, std::string publicId)
        : m_exchange(exchange)
        , m_model(call.model())
        , m_isChat(call.kind() == CompletionCall::Kind::Chat)
        , m_publicId(std::move(publicId))
    { }

    asio::awaitable<void> writeChunk(const CompletionChunk &chunk,
                                     std::uint64_t completionTokens) override
    {
        m_text += chunk.text();
        m_completionTokens = completionTokens;
        if (chunk.promptTokens())
            m_promptTokens = *chunk.promptTokens();
        if (chunk.cachedTokens())
            m_cachedTokens = *chunk.cachedTokens();
        co_return;
    }

    asio::awaitable<void> finish() override
    {
        co_await m_exchange.respond(Http::jsonResponse(StatusOk, json::serialize(answer())));
    }

    asio::awaitable<void> fail(const Core::Error &error) override
    {
        co_await m_exchange.respond(Http::errorResponse(error));
    }

private:
    json::object answer() const
    {
        json::object choice;
        choice["index"] = 0;
        choice["finish_reason"] = "stop";
        if (m_isChat)
            choice["message"] = json::object {{"role", "assistant"}, {"content", m_text}};
        else
            choice["text"] = m_text;
        json::object details;
        details["cached_tokens"] = m_cachedTokens;
        json::object usage;
        usage["prompt_tokens"] = m_promptTokens;
        usage["completion_tokens"] = m_completionTokens;
        usage["total_tokens"] = m_promptTokens + m_completionTokens;
        usage["prompt_tokens_details"] = std::move(details);
        json::object body;
        body["id"] = m_publicId;
        body["object"] = m_isChat ? "chat.completion" : "text_completion";
        body["model"] = m_model;
        body["choices"] = json::array {std::move(choice)};
        body["usage"] = std::move(usage);
        return body;
    }

    Http::ServerExchange &m_exchange;
    std::string m_model;
    bool m_isChat;
    std::string m_publicId;
    std::string m_text;
    std::uint64_t m_promptTokens = 0;
    std::uint64_t m_cachedTokens = 0;
    std::uint64_t m_completionTokens = 0;
};

} // namespace

std::unique_ptr<AnswerSink> AnswerSink::create(Http::ServerExchange &exchange,
                                               const CompletionCall &call, std::string publicId)
{
    if (call.isStream())
        return std::make_unique<StreamSink>(exchange, call.model(), std::move(publicId));
    return std::make_unique<BufferingSink>(exchange, call, std::move(publicId));
}

} // namespace Router
