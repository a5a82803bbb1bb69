#include <LibAdmission/LeasedShare.h>

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <random>

using namespace Admission;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Siblings = 7;
constexpr std::uint32_t Quantity = 96;

struct Message
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t sequence = 0;
    std::optional<Lease> lease;
    std::uint64_t acknowledged = 0;
};

/// Siblings that lend to each other at random over a link that loses, duplicates and reorders
/// messages.
struct LeaseExchange
{
    explicit LeaseExchange(std::uint64_t seed)
        : rng(seed)
    {
        for (std::uint32_t n = 0; n < Siblings; ++n)
            shares[n].setSafeShare(Quantity, n, Siblings);
    }

    static Core::InstanceId name(std::uint32_t n)
    {
        return Core::InstanceId("i" + std::to_string(n));
    }

    void send()
    {
        Message it;
        it.from = rng() % Siblings;
        it.to = (it.from + 1 + rng() % (Siblings - 1)) % Siblings;
        it.sequence = ++sequence[it.from][it.to];
        sentAt[it.from][it.to].push_back(now);
        const auto lastReceived = received[it.from][it.to];
        if (lastReceived > 0)
            it.lease = shares[it.from].lend(name(it.to), rng() % 20, lastReceived, now);
        it.acknowledged = shares[it.from].acknowledge(name(it.to), 0, now);
        link.push_back(it);
    }

    void receive()
    {
        if (link.empty())
            return;
        const auto position = link.begin() + static_cast<std::ptrdiff_t>(rng() % link.size());
        const auto it = *position;
        if (rng() % 5 != 0)
            link.erase(position); // Messages that stay are delivered again.
        if (rng() % 4 == 0)
            return;
        auto &share = shares[it.to];
        received[it.to][it.from] = std::max(received[it.to][it.from], it.sequence);
        if (it.lease)
            share.accept(name(it.from), *it.lease, sentAt[it.to][it.from][it.lease->answers - 1]);
        share.noteAcknowledged(name(it.from), it.acknowledged);
    }

    std::uint32_t total() const
    {
        std::uint32_t sum = 0;
        for (const auto &share : shares)
            sum += share.available(now);
        return sum;
    }

    std::mt19937_64 rng;
    Core::Clock::Monotonic now {10s};
    std::array<LeasedShare, Siblings> shares;
    std::uint64_t sequence[Siblings][Siblings] = {};
    std::uint64_t received[Siblings][Siblings] = {};
    std::vector<Core::Clock::Monotonic> sentAt[Siblings][Siblings];
    std::deque<Message> link;
};

} // namespace

TEST_CASE("shares never exceed the total under message loss, duplication and reordering")
{
    std::uint32_t maxBorrowed = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        LeaseExchange exchange(seed);
        REQUIRE(exchange.total() == Quantity);
        for (int step = 0; step < 2000; ++step) {
            exchange.rng() % 2 == 0 ? exchange.send() : exchange.receive();
            exchange.now += std::chrono::milliseconds(exchange.rng() % 20);
            REQUIRE(exchange.total() <= Quantity);
            for (const auto &share : exchange.shares) {
                const auto available = share.available(exchange.now);
                if (available > share.safeShare())
                    maxBorrowed = std::max(maxBorrowed, available - share.safeShare());
            }
        }
        // Without messages, each instance returns to its safe share.
        exchange.now += LeaseDuration + LeaseMargin;
        CHECK(exchange.total() == Quantity);
        for (const auto &share : exchange.shares)
            CHECK(share.available(exchange.now) == share.safeShare());
    }
    // The test is only meaningful if amounts were lent.
    CHECK(maxBorrowed > 0);
}

TEST_CASE("each sibling has a safe share of 1 if the quantity is smaller than their number")
{
    std::uint32_t sum = 0;
    for (std::uint32_t n = 0; n < 8; ++n) {
        LeasedShare share;
        share.setSafeShare(3, n, 8);
        sum += share.safeShare();
    }
    CHECK(sum == 8);
}
