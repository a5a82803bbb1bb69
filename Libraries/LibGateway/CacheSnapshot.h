#pragma once

#include <LibGateway/KvCacheStores.h>
#include <LibGateway/UpstreamFleet.h>

#include <string>
#include <string_view>

namespace Gateway {

/// Writes down what engines and stores of parts are believed to keep, the most recently used parts
/// of each. Empty when nothing is believed.
std::string encodeCacheSnapshot(const UpstreamFleet &fleet, const KvCacheStores &stores);

/// Takes over the entries of engines that are still in the same life with the same weights, and
/// of stores in the same life. Returns the number of parts taken over; none from bytes that are
/// no snapshot, which is logged.
std::size_t applyCacheSnapshot(std::string_view bytes, const UpstreamFleet &fleet,
                               KvCacheStores &stores);

} // namespace Gateway
