#pragma once

#include <LibClaims/ClaimKey.h>
#include <LibClaims/Outcome.h>
#include <LibHttp/ServerExchange.h>
#include <LibRouter/AdmissionGate.h>
#include <LibRouter/CallContext.h>
#include <LibRouter/ServiceCall.h>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace Router {

/// The service name and the path in a request target "/services/NAME/rest?query".
struct ServiceTarget
{
    std::string name;
    /// Path and query for the upstream, starting with the slash after the name.
    std::string rest;

    /// Throws Error(UnknownRoute).
    static ServiceTarget parse(std::string_view target);
    std::string_view path() const;
};

/// Forwards a call to a plain service.
class ServiceRelay
{
public:
    /// The instance and the exchange must outlive the relay.
    ServiceRelay(Instance &instance, Http::ServerExchange &exchange, CallContext context,
                 const Configuration::PlainService &service, const ServiceTarget &target);

    /// Sends an idempotent call, and tries another upstream after a failure.
    boost::asio::awaitable<void> runIdempotent();
    /// Runs a call that must not be repeated, under its idempotency key.
    boost::asio::awaitable<void> runAtMostOnce();

private:
    ServiceCall makeCall(const ServiceTarget &target) const;
    Admission::Ticket ticket() const;
    std::uint64_t digest() const;
    /// Throws an early rejection with the execution status of the key when the instance is draining
    /// or the key has expired.
    void rejectEarly(const Claims::ClaimKey &key) const;
    boost::asio::awaitable<AdmissionSlot> admitKeyed(Claims::ClaimKey key);
    boost::asio::awaitable<void> answer(Claims::Outcome outcome);

    Instance &m_instance;
    Http::ServerExchange &m_exchange;
    CallContext m_context;
    const Configuration::PlainService &m_service;
    ServiceCall m_call;
};

} // namespace Router
