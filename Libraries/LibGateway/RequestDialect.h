#pragma once

#include <LibCore/Result.h>
#include <LibGateway/UpstreamReport.h>
#include <LibHttp/Message.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// A part of a prompt, identified by the caller.
struct NamedPart
{
    std::string id;
    unsigned tokens = 0;
};

/// The content of a caller's request that is decoded from its headers and body.
struct CallerRequest
{
    std::string host;
    /// Identifies this attempt of the caller; upstreams repeat it in their answers.
    std::string attemptId;
    /// The time for which the caller waits for an answer.
    std::optional<std::chrono::milliseconds> callerTimeout;
    std::string key;
    std::string model;
    unsigned promptTokens = 0;
    /// The maximum number of tokens to generate.
    unsigned outputTokens = 0;
    std::vector<NamedPart> parts;
    /// The id of the last event that the caller received; empty for a new stream.
    std::string resumeAfter;
};

/// The information that is added to a caller's request when it is sent to an upstream.
struct Dispatch
{
    Core::UpstreamId upstream;
    std::chrono::milliseconds remainingTime {0};
    std::string tenant;
    /// Only requests of the same scope share cached prompt parts.
    std::string cacheScope;
    /// From 0 (most urgent) to 9.
    int urgency = 5;
    std::string resumeAfter;
    /// The version of the weights that the upstream must have to execute the request.
    std::optional<std::uint64_t> weights;
    /// Another engine or a KV cache store to fetch cached parts from.
    std::optional<Http::Endpoint> fetchFrom;
    /// The KV cache store to save the prompt's parts to.
    std::optional<Http::Endpoint> saveTo;
};

/// The status and headers of an upstream's answer, decoded.
struct AnswerHead
{
    /// Whether the upstream states that it did not execute the request.
    bool isNotRun = false;
    /// Whether the answer comes from another upstream than the expected one.
    bool isOtherUpstream = false;
    /// The upstream that answers; empty if the answer does not name it.
    Core::UpstreamId upstream;
    /// Whether the upstream states that it is about to shut down.
    bool isLeaving = false;
    /// The time for which an upstream that refused the request wants no further ones.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// The requests a second that the upstream states to take from all instances together.
    std::optional<double> requestsPerSecond;
    /// Whether it states a limit that cannot be read.
    bool hasUnreadableLimit = false;
    /// Whether the answer has the seal header that only upstreams set.
    bool isSealed = false;
    std::string attemptId;
    /// The version of the weights that the request was executed with.
    std::optional<std::uint64_t> weights;
};

/// Decodes callers' requests, and encodes and decodes the headers exchanged with upstreams.
class RequestDialect
{
public:
    virtual ~RequestDialect() = default;

    /// Returns an error of kind MalformedRequest if the request cannot be decoded.
    virtual Core::Result<CallerRequest> decode(const Http::Request &request) const = 0;
    /// Returns the headers of the request that is sent to the upstream.
    virtual Http::Headers upstreamHeaders(const Http::Request &request,
                                          const Dispatch &dispatch) const = 0;
    virtual AnswerHead readHead(unsigned status, const Http::Headers &headers) const = 0;
};

} // namespace Gateway
