#pragma once

#include <LibGateway/KvCacheStores.h>
#include <LibGateway/UpstreamFleet.h>

#include <string>
#include <string_view>

namespace Gateway {

/// Encodes the prefix-cache estimates of all engines and KV cache stores, limited to the most
/// recently used parts of each. Returns an empty string when there are no entries.
std::string encodeCacheSnapshot(const UpstreamFleet &fleet, const KvCacheStores &stores);

/// Applies the entries of engines whose incarnation and weights are unchanged and of stores whose
/// epoch is unchanged. Returns the number of parts applied; logs malformed bytes and returns 0.
std::size_t applyCacheSnapshot(std::string_view bytes, const UpstreamFleet &fleet,
                               KvCacheStores &stores);

} // namespace Gateway
