#include <LibCore/Hash.h>
#include <LibGateway/RequestDigest.h>

namespace Gateway {

std::uint64_t requestDigest(const std::string &target, const std::string &tenant,
                            const std::string &body)
{
    return Core::hash64(body, Core::hash64(tenant, Core::hash64(target)));
}

} // namespace Gateway
