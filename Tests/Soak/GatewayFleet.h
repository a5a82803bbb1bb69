#pragma once

#include "World.h"

#include <Processes/Process.h>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Soak {

/// The gateway processes: starts them again whenever they end, and notes ends by themselves.
class GatewayFleet
{
public:
    /// Settings and logs are written to the folder. The program is one of this build or an absolute
    /// path.
    GatewayFleet(World &world, std::string folder, std::string program);
    ~GatewayFleet();

    /// Starts one more instance.
    void add();
    std::size_t count() const { return m_instances.size(); }
    const std::string &name(std::size_t n) const { return m_instances[n]->name; }
    std::uint16_t port(std::size_t n) const { return m_instances[n]->firstPort; }
    /// Returns the greatest memory that a process took, in bytes.
    std::size_t greatestMemory() const { return m_greatestMemory; }
    /// Whether the balancer sends new connections to the instance.
    bool isInRotation(std::size_t n) const { return m_instances[n]->missedChecks < 2; }

    void terminate(std::size_t n);
    void kill(std::size_t n);
    /// Rewrites the settings and sends SIGHUP.
    void reload(std::size_t n);
    void freeze(std::size_t n, Time time);
    /// Sends a signal as soon as the next process of the instance has begun to run, and a while
    /// later.
    void signalNextStart(std::size_t n, int signal, Time delay);
    /// Kills the process and holds one of its ports for a while.
    void holdPorts(std::size_t n, unsigned port, Time time);
    /// Kills the process; the reader of the next one's log ends after a while.
    void endLogReader(std::size_t n, Time delay);

private:
    struct Instance
    {
        std::string name;
        std::string zone;
        std::uint16_t firstPort = 0;
        std::string store;
        std::unique_ptr<Processes::Process> process;
        Time startedAt {0};
        Time restartAt {0};
        std::optional<Time> terminatedAt;
        std::optional<Time> killedAt;
        std::optional<Time> reloadedAt;
        /// A signal came before the process ran its own code, so that it may end by it.
        std::optional<int> earlySignal;
        unsigned missedChecks = 2;
        Time lastReady {0};
        std::optional<std::pair<int, Time>> startSignal;
        std::optional<std::pair<unsigned, Time>> heldPort;
        std::optional<Time> logReaderEnd;
        bool isOverMemory = false;
    };

    std::string path(const Instance &instance, const std::string &suffix) const;
    std::pair<std::string, std::string> settings(const Instance &instance) const;
    void writeSettings(const Instance &instance) const;
    void start(Instance &instance);
    void noteEnd(Instance &instance, int status);
    void noteFault(const Instance &instance, std::string what);
    void beginDisturbance(const Instance &instance, bool isPlanned);
    void endDisturbances(const Instance &instance);
    static void sendSignal(Instance &instance, int signal);
    void sendReload(Instance &instance);
    void sendTerminate(Instance &instance);
    /// Whether the instance had nothing to excuse it for not being ready.
    bool hadTimeToBeReady(const Instance &instance) const;
    boost::asio::awaitable<void> watch(Instance &instance);
    boost::asio::awaitable<void> checkReadiness(Instance &instance);
    boost::asio::awaitable<void> signalAtStart(Instance &instance, int signal, Time delay);
    boost::asio::awaitable<void> reloadInSteps(Instance &instance);
    boost::asio::awaitable<void> hold(std::uint16_t port, bool isDatagram, Time time);
    boost::asio::awaitable<void> closeLog(Instance &instance, Time delay);
    void checkMemory(Instance &instance);
    void checkStop(const Instance &instance);
    boost::asio::awaitable<void> thaw(Instance &instance, Time time, std::size_t disturbance);

    World &m_world;
    std::string m_folder;
    std::string m_program;
    std::size_t m_greatestMemory = 0;
    std::vector<std::unique_ptr<Instance>> m_instances;
};

} // namespace Soak
