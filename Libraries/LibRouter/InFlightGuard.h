#pragma once

#include <LibRouter/Upstream.h>

namespace Router {

/// Counts a request as in flight at its upstream during the lifetime of the guard.
class InFlightGuard
{
public:
    InFlightGuard(Upstream &upstream, bool isSuspect)
        : m_upstream(upstream)
        , m_isSuspect(isSuspect)
    {
        m_upstream.addInFlight();
        if (m_isSuspect)
            m_upstream.addSuspectRequest();
    }
    ~InFlightGuard()
    {
        m_upstream.removeInFlight();
        if (m_isSuspect)
            m_upstream.removeSuspectRequest();
    }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
    Upstream &m_upstream;
    bool m_isSuspect;
};

} // namespace Router
