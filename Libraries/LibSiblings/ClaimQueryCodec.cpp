#include <LibSiblings/ClaimQueryCodec.h>

namespace Siblings {

namespace {

using Peer::Wire::ClaimStatus;

ClaimStatus encodeState(Claims::HolderState state)
{
    switch (state) {
    case Claims::HolderState::Deciding:
        return ClaimStatus::Deciding;
    case Claims::HolderState::Running:
        return ClaimStatus::Running;
    case Claims::HolderState::Finished:
        return ClaimStatus::Finished;
    case Claims::HolderState::OutcomeLost:
        return ClaimStatus::OutcomeLost;
    case Claims::HolderState::GivenUp:
        return ClaimStatus::GivenUp;
    case Claims::HolderState::Gone:
    case Claims::HolderState::Unreachable:
        return ClaimStatus::Gone;
    }
    return ClaimStatus::Gone;
}

Claims::HolderState decodeStatus(ClaimStatus status)
{
    switch (status) {
    case ClaimStatus::Gone:
        return Claims::HolderState::Gone;
    case ClaimStatus::Running:
        return Claims::HolderState::Running;
    case ClaimStatus::Finished:
        return Claims::HolderState::Finished;
    case ClaimStatus::GivenUp:
        return Claims::HolderState::GivenUp;
    case ClaimStatus::Deciding:
        return Claims::HolderState::Deciding;
    case ClaimStatus::OutcomeLost:
        return Claims::HolderState::OutcomeLost;
    }
    return Claims::HolderState::Unreachable;
}

} // namespace

Peer::Wire::ClaimQueryT encodeClaimQuery(const Claims::HolderQuery &query)
{
    Peer::Wire::ClaimQueryT message;
    message.team = query.key.team.value();
    message.key = query.key.text;
    message.issued_at_ms = query.key.issuedAt.time_since_epoch().count();
    message.origin = query.attempt.origin;
    message.sequence = query.attempt.sequence;
    message.holder = query.holder.instance.value();
    message.holder_incarnation = query.holder.incarnation;
    return message;
}

Claims::HolderQuery decodeClaimQuery(const Peer::Wire::ClaimQueryT &message)
{
    Claims::HolderQuery query;
    query.key.team = Core::TeamId(message.team);
    query.key.text = message.key;
    query.key.issuedAt = Claims::IssueTime(std::chrono::milliseconds(message.issued_at_ms));
    query.attempt = {message.origin, message.sequence};
    query.holder = {Core::InstanceId(message.holder), message.holder_incarnation};
    return query;
}

Peer::Wire::ClaimReplyT encodeClaimReply(const Claims::HolderReply &reply)
{
    Peer::Wire::ClaimReplyT message;
    message.status = encodeState(reply.state);
    message.has_answer = reply.answer != nullptr;
    if (!reply.answer)
        return message;
    message.http_status = static_cast<std::uint16_t>(reply.answer->httpStatus);
    message.content_type = reply.answer->contentType;
    message.answer.assign(reply.answer->body.begin(), reply.answer->body.end());
    return message;
}

Claims::HolderReply decodeClaimReply(const Peer::Wire::ClaimReplyT &message)
{
    Claims::HolderReply reply;
    reply.state = decodeStatus(message.status);
    if (!message.has_answer)
        return reply;
    auto answer = std::make_shared<Claims::StoredAnswer>();
    answer->httpStatus = message.http_status;
    answer->contentType = message.content_type;
    answer->body.assign(message.answer.begin(), message.answer.end());
    reply.answer = std::move(answer);
    return reply;
}

} // namespace Siblings
