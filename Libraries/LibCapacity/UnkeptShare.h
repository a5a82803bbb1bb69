#pragma once

#include <LibCapacity/Time.h>

#include <optional>

namespace Capacity {

/// An instance's own part of an upstream's limit, which it uses while the instance that keeps the
/// limit does not answer. One object per upstream.
///
/// Nothing is saved up: many instances that lose their keeper at the same time do not send their
/// first requests together. Requests are allowed at random instead, with the part of the limit that
/// the time since the last decision stands for.
class UnkeptShare
{
public:
    /// Returns whether one request may be sent; `sample` is a random number from 0 to 1. The keeper
    /// may go on assigning the whole limit meanwhile, so the instances together use a part of it.
    bool allows(double limit, unsigned instances, double sample, Monotonic now);

private:
    std::optional<Monotonic> m_last;
};

} // namespace Capacity
