#pragma once

#include <LibConfiguration/Document.h>
#include <LibHttp/Message.h>
#include <LibMetrics/Labels.h>
#include <LibRouter/Instance.h>

#include <memory>
#include <string>

namespace Router {

/// Who calls, under which configuration. Pointers live as long as the document, which it keeps.
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

/// Finds the calling team. Throws Error(Draining, NotReady, Unauthenticated).
CallContext authenticate(Instance &instance, const Http::Request &request);

/// Finds the contract for a group and the class that the request asks for with the header
/// X-Priority-Class. Throws Error(Forbidden).
void authorise(CallContext &context, const Core::UpstreamGroupId &group,
               const Http::Request &request);

} // namespace Router
