#pragma once

#include <LibCapacity/ReturnTimes.h>
#include <LibCapacity/WaitingRoom.h>
#include <LibGateway/ConfigurationState.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace Gateway {

class RequestWait;

/// The requests that wait for capacity at this instance, and the times that were promised to those
/// that were refused. Wakes waiting requests as Capacity::WaitingRoom decides.
class RequestQueue : public std::enable_shared_from_this<RequestQueue>
{
public:
    RequestQueue(const Core::Clock &clock, const ConfigurationState &configuration);

    const Capacity::WaitingRoom &room() const { return m_room; }
    Capacity::ReturnTimes &returns() { return m_returns; }

    /// Records that a request of this instance has ended or that an engine has begun to answer.
    void noteCapacity();
    /// Wakes all waiting requests, so that they check whether they may still be sent.
    void wakeAll();

private:
    friend class RequestWait;

    /// Wakes the requests that are planned or refused now, and sets the timer for the next ones.
    void look();
    void startTimer();
    void remove(Capacity::WaitingRoom::Number number);

    const Core::Clock &m_clock;
    const ConfigurationState &m_configuration;
    ConfigurationState::Version m_knownConfiguration;
    Capacity::WaitingRoom m_room;
    Capacity::ReturnTimes m_returns;
    std::map<Capacity::WaitingRoom::Number, RequestWait *> m_waits;
    /// Runs while requests wait; null otherwise.
    std::unique_ptr<boost::asio::steady_timer> m_timer;
};

} // namespace Gateway
