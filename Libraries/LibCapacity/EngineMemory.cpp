#include <LibCapacity/EngineMemory.h>

#include <algorithm>

namespace Capacity {

namespace {

// The weight of earlier answers decreases by this factor with each answer, so that the mean covers
// about the last thirty.
constexpr double AnswerDecay = 0.97;
constexpr Milliseconds MaxTurnover {60'000};

std::uint64_t usableTokens(std::uint64_t capacity)
{
    return static_cast<std::uint64_t>(EngineMemory::UsableShare * static_cast<double>(capacity));
}

} // namespace

bool EngineMemory::isTooLarge(std::uint64_t capacity, std::uint64_t promptTokens)
{
    return capacity > 0 && promptTokens > capacity;
}

bool EngineMemory::hasRoom(const EngineContents &engine, const MemoryDemand &demand)
{
    if (engine.capacity == 0)
        return true;
    if (engine.held == 0)
        return !isTooLarge(engine.capacity, demand.prompt);
    const auto usable = usableTokens(engine.capacity);
    return engine.held <= usable && demand.total <= usable - engine.held;
}

MemoryDecision EngineMemory::decide(const EngineContents &engine, const MemoryDemand &demand,
                                    bool isOtherPossible) const
{
    if (hasRoom(engine, demand))
        return {MemoryVerdict::Send, Milliseconds(0)};
    if (isTooLarge(engine.capacity, demand.prompt))
        return {isOtherPossible ? MemoryVerdict::ChooseAnother : MemoryVerdict::Never,
                Milliseconds(0)};
    return {isOtherPossible ? MemoryVerdict::ChooseAnother : MemoryVerdict::Wait,
            expectedWait(engine, demand)};
}

Milliseconds EngineMemory::expectedWait(const EngineContents &engine,
                                        const MemoryDemand &demand) const
{
    if (hasRoom(engine, demand) || engine.held == 0)
        return Milliseconds(0);
    const auto usable = usableTokens(engine.capacity);
    const auto excess =
        engine.held - std::min(engine.held, usable - std::min(usable, demand.total));
    return turnover() * (static_cast<double>(excess) / static_cast<double>(engine.held));
}

void EngineMemory::noteAnswer(std::uint64_t tokens, Milliseconds occupied)
{
    if (tokens == 0)
        return;
    const auto time = std::clamp(occupied, Milliseconds(0), MaxTurnover);
    const auto weight = static_cast<double>(tokens);
    m_weight = AnswerDecay * m_weight + weight;
    m_weightedTime = AnswerDecay * m_weightedTime + weight * time.count();
}

} // namespace Capacity
