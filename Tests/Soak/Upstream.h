#pragma once

#include "World.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Soak {

/// How often an upstream fails in which way, from 0 to 1.
struct UpstreamFaults
{
    /// Rejected as full, without a run.
    double rejects = 0;
    /// The connection is reset before the request runs.
    double resets = 0;
    /// It runs, and the answer is lost.
    double losesAnswers = 0;
    double internalErrors = 0;
    /// The answer ends before its end.
    double truncates = 0;
    /// The answer is written once more.
    double repeatsAnswers = 0;
    /// A rejection without an id is written where the answer to the next request is due.
    double repeatsRejections = 0;
    /// A rejection names a time to send nothing.
    double namesTimes = 0;
    /// Events come one at a time with long pauses.
    double isSlow = 0;
    /// The answer stops without an end, and the connection stays open.
    double stalls = 0;
    /// The head or the body goes on until the connection is closed.
    double isEndless = 0;
    /// The stream ends in the middle of an event.
    double breaksStreams = 0;
    /// A resumed stream is answered with an error.
    double resumeErrors = 0;
};

/// An upstream with its own port that registers itself in the store.
class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
    Upstream(World &world, std::string id, std::string service, std::string zone);

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    bool isServing() const { return m_state == "ready"; }

    /// Starts a new incarnation on a new port and registers it, with a clock that is off.
    void open(Time clockError = Time(0));
    /// Writes an entry of the time before it left.
    void writeStaleEntry();
    /// The store deletes an entry that nobody repeats.
    void expire() { m_world.store.put("keyed.servers", m_id, std::nullopt); }
    /// All its answers say that it leaves from now on.
    void sayLeaving() { m_saysLeaving = true; }
    /// Its answers name a limit of so many requests a second from now on, or none.
    void nameLimit(std::optional<double> requestsPerSecond);
    /// Ends the process: closes the port and all connections.
    void close();
    /// Writes its entry, and from time to time again.
    void announceDraining();
    /// Deletes its entry without draining.
    void withdraw();
    /// Its process ended, but its entry remains.
    void crash();

    UpstreamFaults faults;

private:
    using Stream = boost::beast::tcp_stream;
    using Message = boost::beast::http::request<boost::beast::http::string_body>;
    enum class Next { Keep, Close };

    std::string entry(const std::string &state, unsigned sequence) const;
    void announce();
    void noteDeparture(bool isRemoval);
    boost::asio::awaitable<void> beat(unsigned incarnation);
    boost::asio::awaitable<void> accept(unsigned incarnation);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<Next> answer(Stream &stream, const Message &request);
    boost::asio::awaitable<Next> answerWhole(Stream &stream, Arrival &arrival, std::string id);
    boost::asio::awaitable<Next> answerStream(Stream &stream, Arrival &arrival,
                                              const Message &request);
    boost::asio::awaitable<Next> reject(Stream &stream, Arrival &arrival, std::string id);
    boost::asio::awaitable<Next> stall(Stream &stream);
    boost::asio::awaitable<Next> writeEndlessly(Stream &stream, std::string bytes) const;
    /// Returns the fields of an answer to a request that begins now.
    std::string notices(Arrival &arrival);
    /// Writes a late copy of an earlier rejection, if one is due on the connection.
    boost::asio::awaitable<bool> writeStale(Stream &stream);
    static boost::asio::awaitable<bool> write(Stream &stream, std::string bytes);
    static void reset(Stream &stream);

    World &m_world;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_state = "down";
    std::int64_t m_startTime = 0;
    unsigned m_incarnation = 0;
    unsigned m_sequence = 0;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::string m_address;
    bool m_saysLeaving = false;
    /// The index of the limit that is named, in the history.
    std::optional<std::size_t> m_limit;
    std::set<Stream *> m_streams;
    std::set<Stream *> m_staleStreams;
};

} // namespace Soak
