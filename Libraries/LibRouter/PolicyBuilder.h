#pragma once

#include <LibAdmission/Policy.h>
#include <LibConfiguration/Document.h>
#include <LibRouter/UpstreamDirectory.h>

namespace Router {

/// Builds the admission policy from a document and the slots of the currently known upstreams.
Admission::Policy buildAdmissionPolicy(const Configuration::Document &document,
                                       const UpstreamDirectory &directory);

/// Returns the number of requests that the group's live upstreams run concurrently.
std::uint32_t countSlots(const Configuration::UpstreamGroup &group,
                         const UpstreamDirectory &directory);

} // namespace Router
