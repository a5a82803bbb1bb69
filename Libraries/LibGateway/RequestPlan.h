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

/// Which upstream one attempt of a request goes to, and what it is told.
struct RequestPlan
{
    std::string service;
    std::shared_ptr<Upstream> upstream;
    /// For prompts alone.
    std::optional<EngineChoice> engine;
    /// The weights that the engine is believed to have.
    std::uint64_t weights = 0;
    /// The store of the session's parts; 0 when there is none that answers.
    std::uint64_t storeHolder = 0;
    /// Whether the engine is to save the prompt's parts to the store.
    bool isSaving = false;

    /// Prompt tokens that the engine is expected to read.
    std::uint64_t uncachedTokens(const AcceptedRequest &request) const;
    /// Where the engine is told to fetch parts from, for the log.
    std::string fetchSource() const;
};

/// Chooses an upstream, or says why none is worth a try. Answers load beyond what engines read in
/// time: what cannot get its first token within its patience is refused at once, with a time to
/// come back.
std::variant<RequestPlan, Refusal> planRequest(Gateway &gateway, const AcceptedRequest &request,
                                               const std::set<Core::UpstreamId> &excluded);

/// The store that the plan names, while it answers; null otherwise.
KvCacheStore *kvCacheStoreOf(Gateway &gateway, const RequestPlan &plan);

} // namespace Gateway
