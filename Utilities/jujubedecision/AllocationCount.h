#pragma once

#include <cstddef>

/// Heap allocations of this thread so far, counted by this program's operator new.
std::size_t allocationCount();
