#include <LibGateway/PoisonPartTable.h>

namespace Gateway {

void PoisonPartTable::noteCasualty(const PromptCasualty &, Core::Clock::Monotonic) { }

void PoisonPartTable::noteAnswered(std::span<const std::uint64_t>, Core::Clock::Monotonic) { }

void PoisonPartTable::noteAnsweredBySibling(const AnsweredPart &, Core::Clock::Monotonic) { }

void PoisonPartTable::notePoison(const PoisonPart &, Core::Clock::Monotonic) { }

std::optional<std::uint64_t> PoisonPartTable::findPoison(std::span<const std::uint64_t>,
                                                         Core::Clock::Monotonic) const
{
    return std::nullopt;
}

bool PoisonPartTable::mayTry(std::uint64_t, Core::Clock::Monotonic)
{
    return false;
}

std::vector<AnsweredPart> PoisonPartTable::takeAnsweredSuspects(Core::Clock::Monotonic)
{
    return {};
}

std::vector<PoisonPart> PoisonPartTable::poisonParts(Core::Clock::Monotonic) const
{
    return {};
}

} // namespace Gateway
