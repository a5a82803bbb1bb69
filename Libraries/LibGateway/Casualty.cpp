#include <LibCore/Hash.h>
#include <LibGateway/Casualty.h>

#include <string>

namespace Gateway {

std::uint64_t crashIdentity(const Core::UpstreamId &upstream, std::chrono::milliseconds startTime)
{
    // The hash of a short text is nearly an exclusive or with its seed, so the time as a seed would
    // make the incarnations of different upstreams equal.
    return Core::hash64(std::to_string(startTime.count()), Core::hash64(upstream.value()));
}

} // namespace Gateway
