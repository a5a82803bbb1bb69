#include "../standins-2/Prompts.h"

using namespace Review;

namespace {

constexpr int Gateways = 3;
constexpr int Workers = 4;
constexpr int Clients = 12;
constexpr double BaselineBegin = 3;
constexpr double TroubleBegin = 11;
constexpr double End = 45;
constexpr double StableWindow = 3;
constexpr std::size_t CountedCrashes = 5;

/// Sends sound requests until the end. Two of three ask a question that was asked before.
void runClient(int number, const std::vector<std::unique_ptr<Gateway>> &gateways, Seen &seen,
               Record &record)
{
    for (int n = 0; record.now() < End; ++n) {
        const auto id = "s" + std::to_string(number) + "-" + std::to_string(n);
        const bool isUnique = n % 3 == 2;
        const auto question = isUnique ? "name " + id : std::string("names of spread one");
        const auto parts = "5a0001:600,5a0002:200," + (isUnique ? id : std::string("5a0003"));
        {
            const std::scoped_lock lock(seen.mutex);
            seen.sound.emplace_back(record.now(), id);
        }
        record.line("sent", id, isUnique ? "own" : "repeated");
        const auto status =
            ask(gateways[static_cast<std::size_t>(number + n) % gateways.size()]->callers(), id,
                parts + ":200", "check the spelling: " + question);
        record.line("answered", id, status);
        sleepFor(150ms);
    }
}

/// Sends requests with the deadly part, no two alike.
void runDeadlyClient(const std::vector<std::unique_ptr<Gateway>> &gateways, Record &record)
{
    while (record.now() < TroubleBegin)
        sleepFor(10ms);
    for (std::size_t n = 0; record.now() < End; ++n) {
        const auto id = "d" + std::to_string(n);
        record.line("sent", id, "deadly");
        const auto status = ask(gateways[n % gateways.size()]->callers(), id,
                                "5a0001:600," + std::string(DeadlyPart) + ":200," + id + ":200",
                                "check the spelling: draft " + id);
        record.line("answered", id, status);
        sleepFor(600ms);
    }
}

/// The share of the sound first attempts sent in a time that a worker began to answer.
struct Share
{
    std::size_t sent = 0;
    std::size_t begun = 0;
    double share() const { return static_cast<double>(begun) / static_cast<double>(sent); }
};

Share shareOf(const Seen &seen, double from, double to)
{
    Share result;
    for (const auto &[time, id] : seen.sound) {
        if (time < from || time >= to)
            continue;
        ++result.sent;
        result.begun += seen.begun.count(id);
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return 2;
    const std::string folder = argv[1];
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";
    Seen seen;
    Store store;
    configure(store);
    std::vector<std::unique_ptr<Worker>> workers;
    for (int n = 1; n <= Workers; ++n)
        workers.push_back(std::make_unique<Worker>(n, Sent::Head, store, seen, record));
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int n = 1; n <= Gateways; ++n) {
        gateways.push_back(std::make_unique<Gateway>(folder, n, store.port()));
        gateways.back()->start();
    }
    for (const auto &gateway : gateways)
        awaitReady(*gateway);
    record.restart();
    record.line("all gateways are ready");
    std::vector<std::thread> clients;
    clients.reserve(Clients + 1);
    for (int n = 0; n < Clients; ++n)
        clients.emplace_back([&, n] { runClient(n, gateways, seen, record); });
    if (hasTrouble)
        clients.emplace_back([&] { runDeadlyClient(gateways, record); });
    for (auto &client : clients)
        client.join();
    gateways.clear();
    workers.clear();
    const auto counted = std::min(seen.crashes.size(), CountedCrashes);
    const double last = counted > 0 ? seen.crashes[counted - 1] : TroubleBegin;
    const auto before = shareOf(seen, BaselineBegin, TroubleBegin);
    const auto after = shareOf(seen, last + 2 * StableWindow, End - 1);
    record.line("crashes", seen.crashes.size(), "the last counted one at", last);
    record.line("before: sent", before.sent, "begun", before.begun);
    record.line("after: sent", after.sent, "begun", after.begun);
    if (before.sent < 20 || after.sent < 20)
        return 2;
    const bool isBroken = after.share() < before.share() / 2;
    record.line(isBroken ? "LOST is broken" : "LOST holds");
    return isBroken ? 1 : 0;
}
