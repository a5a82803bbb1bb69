#include <LibClaims/ClaimWriterSelection.h>
#include <LibCore/Hash.h>

#include <algorithm>

namespace Claims {

std::vector<Core::InstanceId>
selectClaimWriters(std::size_t partition, std::span<const Core::InstanceId> live, std::size_t count)
{
    struct Candidate
    {
        std::uint64_t rank = 0;
        const Core::InstanceId *id = nullptr;
    };
    std::vector<Candidate> ranked;
    ranked.reserve(live.size());
    for (const auto &it : live)
        ranked.push_back({Core::hash64(it.value(), partition), &it});
    const auto ranksHigher = [](const Candidate &left, const Candidate &right) {
        return left.rank > right.rank;
    };
    const auto selectedCount = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(selectedCount),
                      ranked.end(), ranksHigher);
    std::vector<Core::InstanceId> writers;
    writers.reserve(selectedCount);
    for (std::size_t n = 0; n < selectedCount; ++n)
        writers.push_back(*ranked[n].id);
    return writers;
}

} // namespace Claims
