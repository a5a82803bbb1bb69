#pragma once

#include <LibAdmission/Policy.h>
#include <LibConfiguration/Document.h>
#include <LibRouter/UpstreamDirectory.h>

namespace Router {

/// The admission rules that a document sets, with the slots of the upstreams known now.
Admission::Policy buildAdmissionPolicy(const Configuration::Document &document,
                                       const UpstreamDirectory &directory);

/// Requests that the group's live upstreams run at once.
std::uint32_t countSlots(const Configuration::UpstreamGroup &group,
                         const UpstreamDirectory &directory);

} // namespace Router
