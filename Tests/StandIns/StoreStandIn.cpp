#include "StoreStandIn.h"

#include <LibCore/Base64.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>
#include <boost/system/system_error.hpp>

#include <cstring>
#include <thread>

namespace StandIns {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto PollPause = 5ms;
// Longer than any caller waits for an answer.
constexpr auto NoAnswerTime = 20'000ms;
constexpr auto LateAnswerTime = 1'500ms;

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    auto rest = target.substr(std::min(target.size(), target.find('?') + 1));
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
        query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
    }
    return query;
}

template <typename Number>
std::string bigEndian(Number number)
{
    const auto big = boost::endian::native_to_big(number);
    std::string bytes(sizeof(big), '\0');
    std::memcpy(bytes.data(), &big, sizeof(big));
    return bytes;
}

bool isKeyed(const std::string &topic)
{
    return topic.starts_with("keyed.");
}

} // namespace

StoreStandIn::StoreStandIn(Core::IoThreads &threads)
    : m_threads(threads)
    , m_server(Http::Server::create(threads, Http::parseEndpoint("127.0.0.1:0").value(), {},
                                    [this](auto &exchange) { return handle(exchange); })
                   .value())
{ }

StoreStandIn::~StoreStandIn()
{
    // Handlers use this object until their exchanges end.
    setRefusal(503);
    m_callerServers.push_back(std::move(m_server));
    {
        const std::scoped_lock lock(m_mutex);
        m_troubles.clear();
    }
    for (const auto &server : m_callerServers) {
        server->stopAccepting();
        while (!server->hasEnded()) {
            server->closeIdle();
            std::this_thread::sleep_for(PollPause);
        }
    }
}

Http::Endpoint StoreStandIn::addCaller(const std::string &caller)
{
    auto server =
        Http::Server::create(m_threads, Http::parseEndpoint("127.0.0.1:0").value(), {},
                             [this, caller](auto &exchange) { return handleOf(caller, exchange); })
            .value();
    m_callerServers.push_back(std::move(server));
    return m_callerServers.back()->localEndpoint();
}

void StoreStandIn::setTrouble(const std::string &caller, const StoreTrouble &trouble)
{
    const std::scoped_lock lock(m_mutex);
    m_troubles[caller] = trouble;
}

std::string StoreStandIn::lastReader(const std::string &topic) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_lastReaders.find(topic);
    return it == m_lastReaders.end() ? std::string() : it->second;
}

StoreTrouble StoreStandIn::troubleOf(const std::string &caller) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_troubles.find(caller);
    return it == m_troubles.end() ? StoreTrouble {} : it->second;
}

void StoreStandIn::put(const std::string &topic, const std::string &key,
                       const std::optional<std::string> &value)
{
    const std::scoped_lock lock(m_mutex);
    m_topics[topic].records.push_back({key, value.value_or(""), value.has_value()});
}

void StoreStandIn::putBytes(const std::string &topic, const std::string &bytes)
{
    const std::scoped_lock lock(m_mutex);
    m_topics[topic].records.push_back({"", bytes, true, true});
}

std::size_t StoreStandIn::count(const std::string &topic) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_topics.find(topic);
    return it == m_topics.end() ? 0 : it->second.records.size();
}

void StoreStandIn::setRefusal(unsigned status)
{
    const std::scoped_lock lock(m_mutex);
    m_refusal = status;
}

void StoreStandIn::dropHistory(const std::string &topic)
{
    const std::scoped_lock lock(m_mutex);
    auto &log = m_topics[topic];
    // The latest record of each key is kept separately, like records below the first offset.
    std::map<std::string, Record> kept;
    for (const auto &record : log.records)
        kept[record.key] = record;
    log.first = log.end() + 1;
    log.records.clear();
    for (const auto &[key, record] : kept) {
        if (record.hasValue && !record.isBare)
            log.records.push_back(record);
    }
}

void StoreStandIn::copyLogs()
{
    const std::scoped_lock lock(m_mutex);
    m_copy = m_topics;
}

void StoreStandIn::restoreLogs()
{
    const std::scoped_lock lock(m_mutex);
    m_topics = m_copy;
    ++m_era;
}

asio::awaitable<void> StoreStandIn::respond(Http::ServerExchange &exchange, Http::Response response)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_era > 0)
            response.headers.add("Store-Era", std::to_string(m_era));
    }
    co_await exchange.respond(std::move(response));
}

std::size_t StoreStandIn::calls() const
{
    const std::scoped_lock lock(m_mutex);
    return m_calls;
}

asio::awaitable<void> StoreStandIn::handle(Http::ServerExchange &exchange)
{
    return serve(exchange, {});
}

asio::awaitable<void> StoreStandIn::handleOf(std::string caller, Http::ServerExchange &exchange)
{
    const bool goesOn = co_await passTrouble(caller, exchange);
    if (goesOn)
        co_await serve(exchange, caller);
}

asio::awaitable<bool> StoreStandIn::passTrouble(std::string caller, Http::ServerExchange &exchange)
{
    auto trouble = troubleOf(caller);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    boost::system::error_code ec;
    if (trouble.delay > 0ms) {
        timer.expires_after(trouble.delay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    const bool isSilent = trouble.isSilent;
    while (trouble.isSilent) {
        timer.expires_after(PollPause);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        trouble = troubleOf(caller);
    }
    if (isSilent || trouble.isReset)
        throw boost::system::system_error(asio::error::connection_reset);
    bool failsOnce = false;
    {
        const std::scoped_lock lock(m_mutex);
        auto &current = m_troubles[caller];
        const auto &target = exchange.request().target;
        failsOnce = current.failures > 0 && target.find(current.failingTopic) != std::string::npos;
        if (failsOnce)
            --current.failures;
    }
    if (trouble.refusal == 0 && !failsOnce)
        co_return true;
    if (trouble.refusal == 0) {
        const bool goesOn = co_await failOnce(trouble.failure, exchange);
        co_return goesOn;
    }
    Http::Response response(trouble.refusal, {}, "");
    co_await respond(exchange, std::move(response));
    co_return false;
}

asio::awaitable<bool> StoreStandIn::failOnce(CallFailure failure, Http::ServerExchange &exchange)
{
    if (failure == CallFailure::Unavailable || failure == CallFailure::BeyondRate) {
        Http::Response response(failure == CallFailure::Unavailable ? 503 : 429, {}, "");
        co_await respond(exchange, std::move(response));
        co_return false;
    }
    if (failure == CallFailure::Reset)
        throw boost::system::system_error(asio::error::connection_reset);
    const auto end = std::chrono::steady_clock::now()
                     + (failure == CallFailure::NoAnswer ? NoAnswerTime : LateAnswerTime);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (std::chrono::steady_clock::now() < end && !isRefusing()) {
        timer.expires_after(PollPause);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (failure == CallFailure::NoAnswer)
        throw boost::system::system_error(asio::error::connection_reset);
    co_return true;
}

bool StoreStandIn::isRefusing() const
{
    const std::scoped_lock lock(m_mutex);
    return m_refusal != 0;
}

asio::awaitable<void> StoreStandIn::answer(Http::ServerExchange &exchange, std::string caller,
                                           Http::Response response)
{
    const auto trouble = troubleOf(caller);
    if (trouble.losesAnswers || trouble.isReset || trouble.isSilent)
        throw boost::system::system_error(asio::error::connection_reset);
    co_await respond(exchange, std::move(response));
}

asio::awaitable<void> StoreStandIn::serve(Http::ServerExchange &exchange, std::string caller)
{
    const auto &request = exchange.request();
    unsigned refusal = 0;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_calls;
        refusal = m_refusal;
    }
    if (refusal != 0) {
        Http::Response response(refusal, {}, "");
        co_await respond(exchange, std::move(response));
        co_return;
    }
    auto query = parseQuery(request.target);
    if (request.target.starts_with("/log-read")) {
        {
            const std::scoped_lock lock(m_mutex);
            m_lastReaders[query["Topic"]] = caller;
        }
        co_await read(exchange, std::move(caller), std::move(query));
        co_return;
    }
    auto response = request.target.starts_with("/log-newest") ? newest(query["Topic"])
                                                              : append(query, request.body);
    co_await answer(exchange, std::move(caller), std::move(response));
}

asio::awaitable<void> StoreStandIn::read(Http::ServerExchange &exchange, std::string caller,
                                         std::map<std::string, std::string> query)
{
    const auto from = std::stoull(query["From"]);
    const auto name = query["Topic"];
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoul(query["WaitMs"]));
    std::optional<std::uint64_t> era;
    for (;;) {
        Http::Response response;
        bool isReady = std::chrono::steady_clock::now() >= end;
        {
            const std::scoped_lock lock(m_mutex);
            if (era.value_or(m_era) != m_era)
                throw boost::system::system_error(asio::error::connection_reset);
            era = m_era;
            const auto &topic = m_topics[name];
            if (from < topic.first || (m_era > 0 && from > topic.end())) {
                response.status = 410;
                response.body =
                    boost::json::serialize(boost::json::object {{"First", topic.first}});
                isReady = true;
            } else {
                response.body = bigEndian(topic.end()) + bigEndian(topic.first);
                for (auto at = from; at < topic.end(); ++at) {
                    const auto &record = topic.records[at - topic.first];
                    auto bytes = record.value;
                    if (isKeyed(name) && !record.isBare)
                        bytes = std::string(1, static_cast<char>(record.key.size())) + record.key
                                + record.value;
                    response.body += bigEndian(static_cast<std::uint32_t>(bytes.size())) + bytes;
                    isReady = true;
                }
            }
            const auto trouble = m_troubles.find(caller);
            const auto refusal = trouble == m_troubles.end()
                                     ? m_refusal
                                     : std::max(m_refusal, trouble->second.refusal);
            if (refusal != 0) {
                response = Http::Response(refusal, {}, "");
                isReady = true;
            }
        }
        if (isReady) {
            co_await answer(exchange, std::move(caller), std::move(response));
            co_return;
        }
        timer.expires_after(PollPause);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

Http::Response StoreStandIn::newest(const std::string &topic) const
{
    const std::scoped_lock lock(m_mutex);
    boost::json::array items;
    std::uint64_t end = 0;
    if (const auto it = m_topics.find(topic); it != m_topics.end()) {
        end = it->second.end();
        std::map<std::string, std::uint64_t> byKey;
        for (std::size_t n = 0; n < it->second.records.size(); ++n)
            byKey[it->second.records[n].key] = n;
        for (const auto &[key, n] : byKey) {
            const auto &record = it->second.records[n];
            if (record.hasValue && !record.isBare)
                items.push_back(boost::json::object {{"Key", key},
                                                     {"Value", Core::encodeBase64(record.value)},
                                                     {"Offset", it->second.first + n}});
        }
    }
    return Http::jsonResponse(200, boost::json::serialize(boost::json::object {
                                       {"items", items}, {"HasMore", false}, {"End", end}}));
}

StoreStandIn::Record StoreStandIn::recordOf(const std::string &topic, std::string_view bytes)
{
    if (!isKeyed(topic) || bytes.empty())
        return {"", std::string(bytes), true};
    const auto keyLength = static_cast<std::uint8_t>(bytes.front());
    const auto value = bytes.substr(1 + keyLength);
    return {std::string(bytes.substr(1, keyLength)), std::string(value), !value.empty()};
}

Http::Response StoreStandIn::append(const std::map<std::string, std::string> &query,
                                    std::string_view body)
{
    const std::scoped_lock lock(m_mutex);
    auto &topic = m_topics[query.at("Topic")];
    const auto it = query.find("At");
    if (it != query.end() && std::stoull(it->second) != topic.end())
        return Http::jsonResponse(
            412, boost::json::serialize(boost::json::object {{"End", topic.end()}}));
    const auto offset = topic.end();
    while (body.size() >= sizeof(std::uint32_t)) {
        std::uint32_t length = 0;
        std::memcpy(&length, body.data(), sizeof(length));
        length = boost::endian::big_to_native(length);
        body.remove_prefix(sizeof(length));
        topic.records.push_back(recordOf(query.at("Topic"), body.substr(0, length)));
        body.remove_prefix(length);
    }
    return Http::jsonResponse(200, boost::json::serialize(boost::json::object {
                                       {"Offset", offset}, {"End", topic.end()}}));
}

} // namespace StandIns
