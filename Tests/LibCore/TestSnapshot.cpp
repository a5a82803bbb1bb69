#include <LibCore/Snapshot.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

TEST_CASE("readers of a snapshot see consistent values and never an older one again")
{
    constexpr int Replacements = 200;
    Core::Snapshot<std::pair<int, int>> snapshot(std::make_shared<std::pair<int, int>>(0, 0));
    std::atomic<bool> stop {false};
    std::atomic<int> faults {0};
    std::vector<std::thread> readers;
    readers.reserve(4);
    for (int n = 0; n < 4; ++n) {
        readers.emplace_back([&] {
            int last = 0;
            while (!stop) {
                const auto seen = snapshot.read([](const auto &value) { return value; });
                if (seen.first != seen.second || seen.first < last)
                    ++faults;
                last = seen.first;
            }
        });
    }
    for (int n = 1; n <= Replacements; ++n)
        snapshot.replace(std::make_shared<std::pair<int, int>>(n, n));
    stop = true;
    for (auto &reader : readers)
        reader.join();
    CHECK(faults == 0);
    CHECK(snapshot.share()->first == Replacements);
}

TEST_CASE("one thread reads snapshots of several types")
{
    const Core::Snapshot<int> number(std::make_shared<int>(1));
    const Core::Snapshot<std::string> text(std::make_shared<std::string>("a"));
    CHECK(number.read([&](int n) { return text.read([n](const auto &s) { return s.size() + n; }); })
          == 2);
}
