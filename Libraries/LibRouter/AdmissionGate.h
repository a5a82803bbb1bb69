#pragma once

#include <LibAccounting/UsageMeter.h>
#include <LibAdmission/Controller.h>
#include <LibHttp/ServerExchange.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <utility>

namespace Router {

/// A granted slot. It is released and charged to the team's account when it goes out of scope.
class AdmissionSlot
{
public:
    AdmissionSlot(Instance &instance, Core::UpstreamGroupId group, Core::TeamId team,
                  const Admission::Grant &grant);
    ~AdmissionSlot();
    AdmissionSlot(AdmissionSlot &&other) noexcept
        : m_instance(std::exchange(other.m_instance, nullptr))
        , m_group(std::move(other.m_group))
        , m_team(std::move(other.m_team))
        , m_grant(other.m_grant)
        , m_tokens(other.m_tokens)
    { }
    AdmissionSlot &operator=(AdmissionSlot &&) = delete;

    const Admission::Grant &grant() const { return m_grant; }
    /// Sets the tokens that the upstream computed and generated, which are charged to the team's
    /// account on release.
    void setTokens(const Accounting::TokenCounts &tokens) { m_tokens = tokens; }

private:
    Instance *m_instance;
    Core::UpstreamGroupId m_group;
    Core::TeamId m_team;
    Admission::Grant m_grant;
    Accounting::TokenCounts m_tokens;
};

/// Waits for a slot. Throws the error with which the admission refuses the request, in which case
/// nothing has run, or boost::system::system_error when the caller disconnects first.
boost::asio::awaitable<AdmissionSlot> awaitAdmission(Instance &instance, Admission::Ticket ticket,
                                                     Http::ServerExchange &exchange);

} // namespace Router
