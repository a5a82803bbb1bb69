#include "RawWorkersFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>

namespace PlatformTests {

namespace asio = boost::asio;
using StandIns::RawServer;
using StandIns::ReceivedAnswer;

std::string head(const Http::Request &request, const std::string &status, const std::string &extra)
{
    const auto id = request.headers.find("X-Jujubesaddle-Attempt-Id").value_or("");
    return "HTTP/1.1 " + status + "\r\nX-Jujubesaddle-Attempt-Id: " + std::string(id)
           + "\r\nX-Jujubesaddle-Server-Seal: seal\r\n" + extra + "\r\n";
}

bool isResumed(const Http::Request &request)
{
    return request.headers.find("Last-Event-Id") == "2";
}

std::string rawWorkerEntry(const std::string &service, const RawServer &worker)
{
    return R"({"Service":")" + service + R"(","Address":")"
           + Http::formatEndpoint(worker.endpoint())
           + R"(","Zone":"a","Version":"v1","Slots":8,"State":"ready",)"
             R"("ColdLeftMs":0,"Models":[{"Name":"model","Version":1}],"Seq":1})";
}

RawWorkersFixture::RawWorkersFixture(const std::string &service, RawServer::Script script,
                                     const GatewayOptions &options, const std::string &routes,
                                     RawServer::Reading reading)
{
    for (const std::string id : {"w-1", "w-2"}) {
        m_workers.push_back(std::make_unique<RawServer>(script, reading));
        store.put("keyed.servers", id, rawWorkerEntry(service, *m_workers.back()));
    }
    configure(1, routes);
    m_gateway = &startGateway(options);
}

ReceivedAnswer RawWorkersFixture::receive(Http::Request request)
{
    return asio::co_spawn(threads().next(),
                          StandIns::receiveAnswer(m_client, callers(), std::move(request)),
                          asio::use_future)
        .get();
}

std::size_t RawWorkersFixture::received() const
{
    return m_workers[0]->requests().size() + m_workers[1]->requests().size();
}

bool RawWorkersFixture::hasReceived(const std::string &id) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&id](const auto &worker) {
        const auto requests = worker->requests();
        return std::any_of(requests.begin(), requests.end(), [&id](const auto &request) {
            return request.headers.find("X-Jujubesaddle-Attempt-Id") == id;
        });
    });
}

bool RawWorkersFixture::wasResumedElsewhere() const
{
    const auto first = m_workers[0]->requests();
    const auto second = m_workers[1]->requests();
    return first.size() == 1 && second.size() == 1
           && isResumed(first.front()) != isResumed(second.front());
}

std::size_t RawWorkersFixture::bytesAfterEnd() const
{
    return m_workers[0]->bytesAfterEnd() + m_workers[1]->bytesAfterEnd();
}

std::size_t RawWorkersFixture::openConnections() const
{
    return m_workers[0]->openConnections() + m_workers[1]->openConnections();
}

} // namespace PlatformTests
