#pragma once

#include <cstddef>

/// Returns the number of heap allocations of this thread so far, counted by this program's operator
/// new.
std::size_t allocationCount();
