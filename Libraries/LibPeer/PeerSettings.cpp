#include <LibCore/Error.h>
#include <LibPeer/PeerSettings.h>

namespace Peer {

namespace {

constexpr std::size_t MinKeyBytes = 16;
constexpr std::size_t MinFrameBytes = 1'024;

[[noreturn]] void refuse(const std::string &detail)
{
    throw Core::Error(Core::ErrorKind::SettingsInvalid, detail);
}

} // namespace

void PeerSettings::check() const
{
    if (key.size() < MinKeyBytes)
        refuse("the peer key has fewer than 16 bytes");
    if (environment.empty())
        refuse("the peer link needs an environment");
    if (self.instance.isEmpty() || self.dataCentre.isEmpty())
        refuse("the peer link needs an instance id and a data centre");
    if (versions.lowest > versions.newest)
        refuse("the lowest protocol version exceeds the newest one");
    if (maxFrameBytes < MinFrameBytes || maxQueuedBytes < maxFrameBytes)
        refuse("the peer link's frame or queue limit is too small");
}

} // namespace Peer
