#include "Measure.h"
#include "Roles.h"

#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimIndex.h>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t RecordsPerBatch = 100;

Claims::ClaimRecord claim(std::size_t number, Claims::IssueTime time)
{
    Claims::ClaimRecord record;
    record.key = {Core::TeamId("team-" + std::to_string(number % 10'000)),
                  "order-" + std::to_string(number), time};
    record.digest = number;
    record.attempt = {number % 340, number};
    record.holder = {Core::InstanceId("entry-" + std::to_string(number % 340)), 1};
    return record;
}

std::vector<std::string> measureIndex(std::size_t keys)
{
    const auto window = Claims::KeyWindow::create(1h, 5s, 24h, 1h).value();
    const Claims::IssueTime time(1'700'000'000s);
    Claims::ClaimIndex index(window);
    std::size_t bytes = 0;
    double seconds = 0;
    for (std::size_t n = 0; n < keys; n += RecordsPerBatch) {
        std::vector<Claims::ClaimRecord> batch;
        for (std::size_t k = n; k < n + RecordsPerBatch; ++k)
            batch.push_back(claim(k, time));
        const auto encoded = Claims::encodeBatch(batch);
        bytes += encoded.size();
        const auto before = processorTime();
        const auto decoded = Claims::decodeBatch(encoded);
        for (const auto &record : *decoded)
            index.apply(record, time);
        seconds += (processorTime() - before).count();
    }
    const auto count = static_cast<double>(keys);
    return {std::to_string(keys), formatNumber(static_cast<double>(index.memoryBytes()) / count),
            formatNumber(static_cast<double>(bytes) / count), formatNumber(seconds / count * 1e6)};
}

} // namespace

std::vector<Table> measureClaims(Extent extent)
{
    Table table {"Claim index and writer",
                 {"keys", "index bytes a key", "log bytes a record, 100 an append",
                  "processor us to read and fold a record"},
                 {}};
    table.rows.push_back(measureIndex(10'000));
    table.rows.push_back(measureIndex(100'000));
    if (extent == Extent::Full)
        table.rows.push_back(measureIndex(1'000'000));
    return {table};
}
