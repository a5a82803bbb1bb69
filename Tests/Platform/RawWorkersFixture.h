#pragma once

#include "../StandIns/RawServer.h"
#include "../StandIns/ReceivedAnswer.h"
#include "GatewayFixture.h"

#include <memory>
#include <string>
#include <vector>

namespace PlatformTests {

/// Returns the head of a sealed answer with neither a length nor chunks.
std::string head(const Http::Request &request, const std::string &status = "200 OK",
                 const std::string &extra = {});

/// Returns whether the request resumes a stream after its second event.
bool isResumed(const Http::Request &request);

/// Returns the entry of a worker in the list of upstreams.
std::string rawWorkerEntry(const std::string &service, const StandIns::RawServer &worker);

/// A gateway and two workers of the same script, which write the bytes of their answers themselves.
class RawWorkersFixture : public GatewayFixture
{
public:
    RawWorkersFixture(const std::string &service, StandIns::RawServer::Script script,
                      const GatewayOptions &options = {},
                      const std::string &routes = defaultRoutes(),
                      StandIns::RawServer::Reading reading = StandIns::RawServer::Reading::Whole);

    Processes::Process &gateway() { return *m_gateway; }

    /// Sends a request to the gateway, and reads its answer until it ends or fails.
    StandIns::ReceivedAnswer receive(Http::Request request);

    /// Returns the number of requests that the workers received.
    std::size_t received() const;
    /// Returns whether a worker received the request.
    bool hasReceived(const std::string &id) const;
    /// Whether each worker received one request, and the second one that to resume the stream.
    bool wasResumedElsewhere() const;
    std::size_t bytesAfterEnd() const;
    std::size_t openConnections() const;

private:
    Http::Client m_client;
    Processes::Process *m_gateway = nullptr;
    std::vector<std::unique_ptr<StandIns::RawServer>> m_workers;
};

} // namespace PlatformTests
