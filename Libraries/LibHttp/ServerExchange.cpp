#include <LibHttp/ServerExchange.h>

#include <utility>

namespace Http {

void ServerExchange::noteCallerGone()
{
    if (std::exchange(m_callerGone, true))
        return;
    if (m_callerGoneHook)
        m_callerGoneHook();
}

bool ServerExchange::reserve(std::size_t bytes)
{
    const auto body = m_request.body.capacity();
    m_bodyShare.shrinkTo(body);
    if (!m_reserved.budget())
        m_reserved = BodyBudget::Share(bodyBudget(), BodyPurpose::Answers);
    m_reserved.shrinkTo(bytes);
    return m_bodyShare.growTo(body) && m_reserved.growTo(bytes, body);
}

BodyBudget::Share ServerExchange::takeReserved()
{
    return std::exchange(m_reserved, {});
}

Response jsonResponse(unsigned status, std::string body)
{
    Response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

Response errorResponse(const Core::Error &error)
{
    const auto &row = Core::errorKindRow(error.kind());
    auto response = jsonResponse(row.httpStatus, Core::errorBody(error));
    if (row.retryAfter)
        response.headers.add("Retry-After", std::to_string(row.retryAfter->count()));
    return response;
}

} // namespace Http
