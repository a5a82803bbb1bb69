#pragma once

#include <LibAdmission/SiblingReport.h>
#include <LibPeer/PeerMessage.h>
#include <LibPeer/PeerSettings.h>

namespace Siblings {

/// The report as a one-way message of the peer link.
Peer::Body encodeAdmissionReport(const Admission::SiblingReport &report);

/// The report that a message holds. The sender is the one that the link's handshake named.
Admission::SiblingReport decodeAdmissionReport(const Peer::PeerIdentity &sender,
                                               const Peer::Wire::AdmissionReportT &message);

} // namespace Siblings
