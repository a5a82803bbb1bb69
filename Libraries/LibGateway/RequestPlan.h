#pragma once

#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/UpstreamChooser.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace Gateway {

/// The upstream that was chosen for one attempt of a request, and the options to send it with.
struct RequestPlan
{
    std::string service;
    std::shared_ptr<Upstream> upstream;
    /// Set only for prompts that are sent to engines.
    std::optional<EngineChoice> engine;
    /// The version of the weights that the engine is expected to have.
    std::uint64_t weights = 0;
    /// Identifies the KV cache store of the session's parts; 0 if no store answers.
    std::uint64_t storeHolder = 0;
    /// Whether the engine should save the prompt's parts to the store.
    bool isSaving = false;
    /// The number of requests of all instances that were at the upstream when this one was
    /// admitted; set only for requests whose room is looked for with RoomSearch.
    std::optional<unsigned> requestsAhead;

    /// Returns the number of prompt tokens that the engine is expected to prefill.
    std::uint64_t uncachedTokens(const AcceptedRequest &request) const;
    /// Returns the number of tokens that are transferred between the engine and the KV cache store.
    unsigned storeTransferTokens(const AcceptedRequest &request) const;
    /// Returns the source that the engine fetches cached parts from, for the log.
    std::string fetchSource() const;
};

/// Chooses an upstream, or returns a refusal if none is suitable. Sheds load that exceeds the
/// prefill capacity of the engines: a request whose expected time to the first token exceeds its
/// wait limit is refused immediately with a time for a retry. Upstreams that are `full` are not
/// chosen, but may be healthier than the others. They have no slot, or have reached the limit on
/// their requests.
std::variant<RequestPlan, Refusal> planRequest(Gateway &gateway, const AcceptedRequest &request,
                                               const std::set<Core::UpstreamId> &excluded,
                                               const std::set<Core::UpstreamId> &full = {});

/// Returns the time after which the engine must not begin to answer the prompt, because its weights
/// are too old by then; empty if they are the newest.
std::optional<Core::Clock::Monotonic> latestBegin(const Gateway &gateway, const RequestPlan &plan,
                                                  const std::string &model);

/// Returns the KV cache store of the plan; null if it has none or the store does not answer.
KvCacheStore *kvCacheStoreOf(Gateway &gateway, const RequestPlan &plan);

} // namespace Gateway
