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

/// One part of a prompt as the caller names it.
struct NamedPart
{
    std::string id;
    unsigned tokens = 0;
};

/// What a caller's request says, apart from its method, target and body.
struct CallerRequest
{
    std::string host;
    /// Identifies this attempt of the caller; upstreams repeat it in their answers.
    std::string attemptId;
    /// How long the caller waits.
    std::optional<std::chrono::milliseconds> callerTimeout;
    std::string key;
    std::string model;
    unsigned promptTokens = 0;
    /// The most tokens that are to be generated.
    unsigned outputTokens = 0;
    std::vector<NamedPart> parts;
    /// The id of the last event that the caller has; empty for a new stream.
    std::string resumeAfter;
};

/// What an upstream is told beside the caller's own words.
struct Dispatch
{
    Core::UpstreamId upstream;
    std::chrono::milliseconds remainingTime {0};
    std::string tenant;
    /// Requests share cached prompt parts only under the same name.
    std::string cacheScope;
    /// 0 is first.
    int urgency = 5;
    std::string resumeAfter;
    /// The weights that the upstream must have to run the request.
    std::optional<std::uint64_t> weights;
    /// Another engine or store to fetch cached parts from.
    std::optional<Http::Endpoint> fetchFrom;
    /// A store to save the prompt's parts to.
    std::optional<Http::Endpoint> saveTo;
};

/// What the head of an upstream's answer says.
struct AnswerHead
{
    /// The upstream states that it did not run the request.
    bool isNotRun = false;
    /// The address belongs to another upstream than the one expected.
    bool isOtherUpstream = false;
    /// Which upstream answers, where it says so.
    Core::UpstreamId upstream;
    /// The answer bears the mark of the upstream that made it.
    bool isSealed = false;
    std::string attemptId;
    /// The version of the weights that it ran on.
    std::optional<std::uint64_t> weights;
};

/// Reads callers' requests, and writes and reads what goes between this program and upstreams.
class RequestDialect
{
public:
    virtual ~RequestDialect() = default;

    /// Fails with MalformedRequest.
    virtual Core::Result<CallerRequest> decode(const Http::Request &request) const = 0;
    /// The headers of the request as an upstream receives it.
    virtual Http::Headers upstreamHeaders(const Http::Request &request,
                                          const Dispatch &dispatch) const = 0;
    virtual AnswerHead readHead(unsigned status, const Http::Headers &headers) const = 0;
};

} // namespace Gateway
