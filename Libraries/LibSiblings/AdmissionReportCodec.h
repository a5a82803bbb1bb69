#pragma once

#include <LibAdmission/SiblingReport.h>
#include <LibPeer/PeerMessage.h>
#include <LibPeer/PeerSettings.h>

namespace Siblings {

/// Encodes the report as a one-way message of the peer link.
Peer::Body encodeAdmissionReport(const Admission::SiblingReport &report);

/// Decodes a report. The sender is the peer that the link's handshake identified.
Admission::SiblingReport decodeAdmissionReport(const Peer::PeerIdentity &sender,
                                               const Peer::Wire::AdmissionReportT &message);

} // namespace Siblings
