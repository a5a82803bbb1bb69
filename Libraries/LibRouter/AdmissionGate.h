#pragma once

#include <LibAdmission/Controller.h>
#include <LibHttp/ServerExchange.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace Router {

/// A granted slot. Released when it goes out of scope.
class AdmissionSlot
{
public:
    AdmissionSlot(Admission::Controller &controller, const Admission::Grant &grant)
        : m_controller(&controller)
        , m_grant(grant)
    { }
    ~AdmissionSlot();
    AdmissionSlot(AdmissionSlot &&other) noexcept
        : m_controller(std::exchange(other.m_controller, nullptr))
        , m_grant(other.m_grant)
        , m_usedTokens(other.m_usedTokens)
    { }
    AdmissionSlot &operator=(AdmissionSlot &&) = delete;

    const Admission::Grant &grant() const { return m_grant; }
    /// What the upstream computed and generated, for the team's account at the release.
    void setUsedTokens(std::uint64_t tokens) { m_usedTokens = tokens; }

private:
    Admission::Controller *m_controller;
    Admission::Grant m_grant;
    std::uint64_t m_usedTokens = 0;
};

/// Waits for a slot. Throws the controller's refusal, which says that nothing ran, or
/// boost::system::system_error when the caller goes away first.
boost::asio::awaitable<AdmissionSlot> awaitAdmission(Admission::Controller &controller,
                                                     Admission::Ticket ticket,
                                                     Http::ServerExchange &exchange);

} // namespace Router
