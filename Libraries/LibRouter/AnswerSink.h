#pragma once

#include <LibHttp/ServerExchange.h>
#include <LibRouter/CompletionCall.h>
#include <LibRouter/CompletionChunk.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace Router {

/// Where the tokens of one answer go: to the caller at once, or together at the end.
class AnswerSink
{
public:
    /// The sink that the call asks for. The exchange must outlive it.
    static std::unique_ptr<AnswerSink> create(Http::ServerExchange &exchange,
                                              const CompletionCall &call, std::string publicId);
    virtual ~AnswerSink() = default;

    /// Takes the next chunk of the answer, in order.
    virtual boost::asio::awaitable<void> writeChunk(const CompletionChunk &chunk,
                                                    std::uint64_t completionTokens) = 0;
    /// Ends a complete answer.
    virtual boost::asio::awaitable<void> finish() = 0;
    /// Ends the answer with an explicit error.
    virtual boost::asio::awaitable<void> fail(const Core::Error &error) = 0;
};

} // namespace Router
