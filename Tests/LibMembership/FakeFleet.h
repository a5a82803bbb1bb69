#pragma once

#include <LibCore/ManualClock.h>
#include <LibMembership/ProbeService.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Several membership services in one process over a fake transport that drops, delays and reorders
/// encoded messages, with a manually advanced clock.
class FakeFleet
{
public:
    struct Event
    {
        std::chrono::milliseconds time;
        std::size_t observer;
        Membership::MemberId member;
        Membership::MemberChange change;
    };
    struct Node
    {
        std::unique_ptr<std::mt19937_64> rng;
        std::unique_ptr<Membership::ProbeService> service;
        bool running = true;
        bool frozen = false;
        std::uint64_t bytesSent = 0;
        std::uint64_t bytesReceived = 0;
        std::uint64_t messagesSent = 0;
    };

    explicit FakeFleet(std::uint64_t seed, Membership::MembershipSettings settings = {});

    /// Starts a process and returns its index. Addresses look like "10.0.0.7:7000".
    std::size_t add(const std::string &instance, std::uint64_t incarnation,
                    const std::string &dataCentre, const std::string &address);
    /// Starts count instances, spread evenly over the data centres.
    void addMany(std::size_t count, std::size_t dataCentres);
    void kill(std::size_t node) { nodes[node].running = false; }
    void list(const std::vector<std::string> &addresses);
    /// Passes the addresses of all running processes to every process as the platform's list.
    void listAll();
    void run(std::chrono::milliseconds time);

    /// Returns how many running processes see the member as live.
    std::size_t seenLiveBy(const Membership::MemberId &member) const;
    /// Returns whether every running process sees exactly the other running processes as live.
    bool isComplete() const;
    std::size_t count(Membership::MemberChange change) const;
    Membership::MemberId id(std::size_t node) const { return nodes[node].service->self().id; }
    std::chrono::milliseconds now() const;

    std::vector<Node> nodes;
    std::vector<Event> events;
    /// The share of messages that are lost.
    double loss = 0;
    std::chrono::milliseconds maxDelay {20};
    /// Returns whether messages from one process to another are lost.
    std::function<bool(std::size_t from, std::size_t to)> isCut;

private:
    struct Delivery
    {
        std::chrono::milliseconds time;
        std::uint64_t order;
        std::size_t receiver;
        std::string payload;
        bool operator<(const Delivery &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void send(std::size_t from, const std::string &address, const Membership::Message &message);
    void deliverDue();

    Core::ManualClock m_clock;
    std::mt19937_64 m_rng;
    Membership::MembershipSettings m_settings;
    std::priority_queue<Delivery> m_deliveries;
    std::uint64_t m_order = 0;
};
