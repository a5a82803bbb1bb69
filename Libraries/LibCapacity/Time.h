#pragma once

#include <LibCore/Clock.h>

#include <chrono>

namespace Capacity {

/// Times that are estimated, so fractions of a millisecond matter.
using Milliseconds = std::chrono::duration<double, std::milli>;

using Monotonic = Core::Clock::Monotonic;

} // namespace Capacity
