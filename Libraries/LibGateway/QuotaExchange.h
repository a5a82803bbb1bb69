#pragma once

#include <LibCore/Identifier.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/QuotaLedger.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Gateway {

namespace Wire {
struct QuotaMove;
} // namespace Wire

/// Enforces the teams' usage caps over all instances without a leader and without the store.
///
/// An instance spends from its own part first (QuotaLedger). If that is too little, it asks the
/// instance that pools the team's unused units, found by hashing, which collects them from all
/// members. Units are only moved, so that two such instances, or none, break nothing: a team that
/// is cut in two gets the parts of the instances on each side.
class QuotaExchange
{
public:
    struct Dependencies
    {
        const Core::Clock &clock;
        const FleetMembers &members;
        /// Sends a datagram to a sibling.
        std::function<void(const Http::Endpoint &, std::string_view)> send;
    };

    QuotaExchange(boost::asio::io_context &context, Dependencies dependencies);

    /// Sets the caps by team, and the number of instances that may be running; 0 if unknown.
    void configure(const std::map<std::string, QuotaLimit> &limits, unsigned instances);
    /// Spends units of a team. Returns nothing if that was possible, or else the time after which
    /// the cap has freed as many.
    boost::asio::awaitable<std::optional<std::chrono::milliseconds>> take(std::string team,
                                                                          double units);
    /// Gives units back that were spent on a request which did not run.
    void giveBack(const std::string &team, double units);

    /// Returns whether the datagram is for this class.
    static bool isQuotaMessage(std::string_view datagram);
    void apply(std::string_view datagram, const Http::Endpoint &from);

private:
    struct PendingAsk
    {
        std::uint64_t team = 0;
        boost::asio::steady_timer *timer = nullptr;
        bool isAnswered = false;
    };
    /// An ask that this instance answers when the collected units have arrived.
    struct WaitingAsk
    {
        std::uint64_t number = 0;
        std::uint64_t team = 0;
        double units = 0;
        Http::Endpoint from;
        Core::Clock::Monotonic answerBy;
    };

    FleetMember poolOf(std::uint64_t team, const Core::InstanceId &passedOver) const;
    void sendMove(const Http::Endpoint &to, const Wire::QuotaMove &move) const;
    void receiveAsk(const WaitingAsk &ask);
    /// Removes units that this instance does not need, and returns their number.
    double donate(std::uint64_t team, double wanted);
    /// Asks all members for units, at most once in a short time.
    void collect(std::uint64_t team, double units);
    /// Answers waiting asks that the pool suffices for, and those whose time is over.
    void answerAsks();
    void answer(const WaitingAsk &ask, double units);
    void receiveGrant(std::uint64_t number, std::uint64_t team, double units);
    bool isNewGift(std::uint64_t incarnation, std::uint64_t number);

    Dependencies m_dependencies;
    boost::asio::io_context &m_context;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastNumber = 0;
    QuotaLedger m_ledger;
    std::map<std::string, QuotaLimit> m_limits;
    std::map<std::uint64_t, PendingAsk> m_pending;
    std::deque<WaitingAsk> m_waiting;
    boost::asio::steady_timer m_answerTimer;
    bool m_isTimerSet = false;
    std::unordered_map<std::uint64_t, Core::Clock::Monotonic> m_lastCollected;
    /// The last gift of an incarnation. A repeated datagram adds nothing.
    struct LastGift
    {
        std::uint64_t number = 0;
        Core::Clock::Monotonic at;
    };
    std::unordered_map<std::uint64_t, LastGift> m_lastGifts;
};

} // namespace Gateway
