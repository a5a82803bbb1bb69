#pragma once

#include <LibCore/IoThreads.h>
#include <LibHttp/Client.h>

#include <Processes/Process.h>
#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Processes {

/// A running program and the address that it listens on.
struct Node
{
    std::unique_ptr<Process> process;
    Http::Endpoint address;
    /// The additional ports of a daemon.
    Http::Endpoint admin;
    Http::Endpoint peer;
};

/// A platform stand-in, engines, services and daemons, as separate processes on loopback.
class Fleet
{
public:
    /// Starts the platform.
    explicit Fleet(const std::vector<std::string> &platformArguments = {});

    Node &platform() { return m_platform; }
    /// Starts a program under the given name and adds it to the platform's instance list.
    Node &startEngine(const std::string &name, const std::string &group,
                      const std::vector<std::string> &arguments = {});
    Node &startService(const std::string &name, const std::string &group);
    Node &startDaemon(const std::string &name, const std::string &dataCentre,
                      const std::vector<std::string> &arguments = {});
    Node &node(const std::string &name) { return *m_nodes.at(name); }

    /// Changes the platform's instance list.
    void list(const std::string &name, const std::string &group, const Http::Endpoint &address,
              const std::string &state);
    void unlist(const std::string &name);
    /// Publishes a document and waits until the named daemons have it in force.
    void publish(const std::string &document, const std::vector<std::string> &daemons);
    /// Waits until each named daemon reports the given number of upstreams.
    void awaitUpstreams(const std::vector<std::string> &daemons, std::size_t count);

    /// Waits until each named daemon reports the given number of siblings.
    void awaitSiblings(const std::vector<std::string> &daemons, std::size_t count);

    /// Sends a request and returns the whole answer. Throws Core::Error as Http::Client does.
    Http::Response send(const Http::Endpoint &endpoint, Http::Request request);
    /// Returns the JSON answer to a GET, or to a POST if there is a body.
    boost::json::value json(const Http::Endpoint &endpoint, const std::string &target,
                            const std::string &body = {});
    /// Waits until the condition holds. Throws after a generous timeout.
    static void await(const std::string &what, const std::function<bool()> &condition);

private:
    Node &add(const std::string &name, Node node);

    Core::IoThreads m_threads {2};
    Http::Client m_client;
    Node m_platform;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::uint64_t m_incarnations = 0;
};

/// Returns the contents of a file in Examples/.
std::string readExample(const std::string &name);

/// Returns a completion request with the API key of the example documents.
Http::Request completionRequest(const std::string &key, const std::string &model,
                                const std::string &prompt, std::size_t maxTokens, bool stream);

/// Returns the text of a streamed answer; empty if it does not end with the end marker.
std::string streamedText(const std::string &body);

} // namespace Processes
