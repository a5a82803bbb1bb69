#pragma once

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <ctime>

/// Returns the CPU time that this process has used.
inline std::chrono::duration<double> processorTime()
{
    return std::chrono::duration<double>(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
}

/// Returns the number of bytes currently allocated on the heap.
inline double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}
