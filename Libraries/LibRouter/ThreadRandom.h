#pragma once

#include <random>

namespace Router {

/// The present thread's generator, for choices that need no repeatable sequence.
inline std::mt19937_64 &threadRandom()
{
    thread_local std::mt19937_64 rng(std::random_device {}());
    return rng;
}

} // namespace Router
