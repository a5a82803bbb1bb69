#pragma once

#include <LibConfiguration/Document.h>
#include <LibHttp/Message.h>
#include <LibMetrics/Labels.h>
#include <LibRouter/Instance.h>

#include <memory>
#include <string>

namespace Router {

/// The identity of a caller and the configuration that applies to its call. The pointers point into
/// the document, which the context keeps alive.
struct CallContext
{
    std::shared_ptr<const Configuration::Document> document;
    const Configuration::Team *team = nullptr;
    const Configuration::Contract *contract = nullptr;
    const Configuration::PriorityClass *priorityClass = nullptr;
    std::string requestId;
    Core::Clock::Monotonic arrivedAt;

    Metrics::Labels labels() const;
};

/// Finds the calling team. Throws Error(NotReady, Unauthenticated).
CallContext authenticate(Instance &instance, const Http::Request &request);

/// Finds the contract for a group, and the priority class that the request selects with the header
/// X-Priority-Class. Throws Error(Forbidden).
void authorise(CallContext &context, const Core::UpstreamGroupId &group,
               const Http::Request &request);

} // namespace Router
