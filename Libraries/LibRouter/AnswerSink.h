#pragma once

#include <LibHttp/ServerExchange.h>
#include <LibRouter/CompletionCall.h>
#include <LibRouter/CompletionChunk.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace Router {

/// Sends the tokens of one answer to the caller, either as they arrive or as a whole at the end.
class AnswerSink
{
public:
    /// Creates the kind of sink that the call requires. The exchange must outlive it.
    static std::unique_ptr<AnswerSink> create(Http::ServerExchange &exchange,
                                              const CompletionCall &call, std::string publicId);
    virtual ~AnswerSink() = default;

    /// Accepts the next chunk of the answer, in order.
    virtual boost::asio::awaitable<void> writeChunk(const CompletionChunk &chunk,
                                                    std::uint64_t completionTokens) = 0;
    /// Ends a complete answer.
    virtual boost::asio::awaitable<void> finish() = 0;
    /// Ends the answer with an explicit error.
    virtual boost::asio::awaitable<void> fail(const Core::Error &error) = 0;
};

} // namespace Router
