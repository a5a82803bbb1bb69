#include <LibCore/Base64.h>

#include <StandIns/PlatformStandIn.h>
#include <StandIns/StandInProgram.h>

namespace StandIns {

namespace json = boost::json;
using std::chrono::milliseconds;

PlatformStandIn::PlatformStandIn(milliseconds retention)
    : m_log(m_clock, retention)
{
    m_lists.push_back({m_clock.now(), {}});
}

boost::asio::awaitable<void> PlatformStandIn::handle(Http::ServerExchange &exchange)
{
    const auto &request = exchange.request();
    const auto path = pathOf(request.target);
    if (path == "/control/faults") {
        setFaults(json::parse(request.body).as_object());
        co_return co_await answerJson(exchange, json::object {});
    }
    if (path == "/control/instances") {
        changeList(json::parse(request.body).as_object());
        co_return co_await answerJson(exchange, json::object {});
    }
    if (path == "/control/counts") {
        json::object counts;
        counts["appends"] = m_appends.load();
        co_return co_await answerJson(exchange, std::move(counts));
    }
    if (m_outage)
        throw Core::Error(Core::ErrorKind::PlatformUnavailable, "outage");
    if (path == "/instances") {
        json::object answer;
        answer["instances"] = laggingList();
        co_return co_await answerJson(exchange, std::move(answer));
    }
    if (path.starts_with("/weights/"))
        co_return co_await serveWeights(exchange);
    co_await handleLog(exchange);
}

boost::asio::awaitable<void> PlatformStandIn::handleLog(Http::ServerExchange &exchange)
{
    if (m_logOutage)
        throw Core::Error(Core::ErrorKind::PlatformUnavailable, "outage");
    const auto path = pathOf(exchange.request().target);
    constexpr std::string_view Prefix = "/log/";
    const auto slash = path.rfind('/');
    if (!path.starts_with(Prefix) || slash < Prefix.size())
        throw Core::Error(Core::ErrorKind::UnknownRoute);
    const std::string stream(path.substr(Prefix.size(), slash - Prefix.size()));
    const auto verb = path.substr(slash + 1);
    if (verb == "append")
        co_return co_await append(exchange, stream);
    if (verb == "read")
        co_return co_await read(exchange, stream);
    throw Core::Error(Core::ErrorKind::UnknownRoute);
}

boost::asio::awaitable<void> PlatformStandIn::append(Http::ServerExchange &exchange,
                                                     std::string stream)
{
    co_await sleepFor(milliseconds(m_appendDelay));
    const auto offset = m_log.append(stream, exchange.request().body);
    ++m_appends;
    if (m_loseAppendAnswers.fetch_sub(1) > 0)
        throw boost::system::system_error(boost::asio::error::connection_reset);
    m_loseAppendAnswers = std::max(0LL, m_loseAppendAnswers.load());
    json::object answer;
    answer["offset"] = offset;
    co_await answerJson(exchange, std::move(answer));
}

boost::asio::awaitable<void> PlatformStandIn::read(Http::ServerExchange &exchange,
                                                   std::string stream)
{
    co_await sleepFor(milliseconds(m_readDelay));
    const auto &target = exchange.request().target;
    const auto from = static_cast<Platform::LogOffset>(queryNumber(target, "from", 0));
    const auto limit = static_cast<std::size_t>(queryNumber(target, "limit", 100));
    const milliseconds wait(queryNumber(target, "wait_ms", 0));
    const auto page = co_await m_service.read(std::move(stream), from, limit, wait);
    if (m_outage || m_logOutage)
        throw Core::Error(Core::ErrorKind::PlatformUnavailable, "outage");
    json::array records;
    for (const auto &record : page.records) {
        json::object entry;
        entry["offset"] = record.offset;
        entry["time_ms"] =
            std::chrono::duration_cast<milliseconds>(record.time.time_since_epoch()).count();
        entry["data"] = Core::encodeBase64(record.data);
        records.push_back(std::move(entry));
    }
    json::object answer;
    answer["first"] = page.first;
    answer["next"] = page.next;
    answer["records"] = std::move(records);
    co_await answerJson(exchange, std::move(answer));
}

boost::asio::awaitable<void> PlatformStandIn::serveWeights(Http::ServerExchange &exchange)
{
    milliseconds wait {0};
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_clock.now();
        m_weightStoreFreeAt = std::max(m_weightStoreFreeAt, now) + m_weightTime;
        wait = std::chrono::duration_cast<milliseconds>(m_weightStoreFreeAt - now);
    }
    co_await sleepFor(wait);
    json::object answer;
    answer["weights"] = pathOf(exchange.request().target);
    co_await answerJson(exchange, std::move(answer));
}

json::array PlatformStandIn::laggingList()
{
    const std::scoped_lock lock(m_mutex);
    const auto seen = m_clock.now() - m_listLag;
    while (!m_listFrozen && m_lists.size() > 1 && m_lists[1].since <= seen)
        m_lists.pop_front();
    return m_lists.front().instances;
}

void PlatformStandIn::changeList(const json::object &entry)
{
    const std::scoped_lock lock(m_mutex);
    auto next = m_lists.back().instances;
    const auto &id = entry.at("id");
    const auto same = [&id](const json::value &other) { return other.as_object().at("id") == id; };
    next.erase(std::remove_if(next.begin(), next.end(), same), next.end());
    if (!entry.contains("remove"))
        next.push_back(entry);
    m_lists.push_back({m_clock.now(), std::move(next)});
}

void PlatformStandIn::setFaults(const json::object &faults)
{
    if (const auto *outage = faults.if_contains("outage"))
        m_outage = outage->as_bool();
    if (const auto *outage = faults.if_contains("log_outage"))
        m_logOutage = outage->as_bool();
    m_appendDelay = numberOf(faults, "append_delay_ms", m_appendDelay);
    m_readDelay = numberOf(faults, "read_delay_ms", m_readDelay);
    m_loseAppendAnswers = numberOf(faults, "lose_append_answers", m_loseAppendAnswers);
    const std::scoped_lock lock(m_mutex);
    m_listLag = milliseconds(numberOf(faults, "list_lag_ms", m_listLag.count()));
    m_weightTime = milliseconds(numberOf(faults, "weight_time_ms", m_weightTime.count()));
    if (const auto *frozen = faults.if_contains("list_frozen"))
        m_listFrozen = frozen->as_bool();
}

} // namespace StandIns
