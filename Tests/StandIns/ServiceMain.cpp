#include <CLI/CLI.hpp>
#include <StandIns/StandInProgram.h>

#include <map>
#include <mutex>

namespace {

namespace json = boost::json;

/// A service that counts how often each idempotency key was executed.
class PlainService
{
public:
    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange)
    {
        const auto &request = exchange.request();
        const auto path = StandIns::pathOf(request.target);
        if (path == "/control/counts")
            co_return co_await StandIns::answerJson(exchange, counts());
        if (path == "/control/faults") {
            setFaults(json::parse(request.body).as_object());
            co_return co_await StandIns::answerJson(exchange, json::object {});
        }
        co_await run(exchange);
    }

private:
    boost::asio::awaitable<void> run(Http::ServerExchange &exchange)
    {
        const auto key = exchange.request().headers.find("Idempotency-Key");
        json::object answer;
        {
            const std::scoped_lock lock(m_mutex);
            const std::string name(key.value_or(""));
            answer["key"] = name;
            answer["run"] = ++m_runs[name];
        }
        answer["path"] = StandIns::pathOf(exchange.request().target);
        answer["echo"] = exchange.request().body;
        co_await StandIns::sleepFor(std::chrono::milliseconds(m_delay));
        if (m_loseAnswers.fetch_sub(1) > 0)
            throw boost::system::system_error(boost::asio::error::connection_reset);
        m_loseAnswers = std::max(0LL, m_loseAnswers.load());
        co_await StandIns::answerJson(exchange, std::move(answer));
    }

    json::value counts()
    {
        const std::scoped_lock lock(m_mutex);
        json::object runs;
        for (const auto &[key, n] : m_runs)
            runs[key] = n;
        json::object answer;
        answer["runs"] = std::move(runs);
        return answer;
    }

    void setFaults(const json::object &faults)
    {
        m_delay = StandIns::numberOf(faults, "delay_ms", m_delay);
        m_loseAnswers = StandIns::numberOf(faults, "lose_answers", m_loseAnswers);
    }

    std::mutex m_mutex;
    std::map<std::string, long long> m_runs;
    std::atomic<long long> m_delay {0};
    std::atomic<long long> m_loseAnswers {0};
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("A stand-in for a plain service");
    unsigned short port = 0;
    app.add_option("--port", port, "Port on the loopback address; 0 takes a free one");
    CLI11_PARSE(app, argc, argv);
    PlainService service;
    return StandIns::runStandIn(
        port, 2, [&service](Http::ServerExchange &exchange) { return service.handle(exchange); });
}
