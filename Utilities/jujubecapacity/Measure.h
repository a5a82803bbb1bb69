#pragma once

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <ctime>

/// Processor time that this process has used.
inline std::chrono::duration<double> processorTime()
{
    return std::chrono::duration<double>(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
}

/// Bytes that are allocated on the heap now.
inline double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}
