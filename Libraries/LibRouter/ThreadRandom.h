#pragma once

#include <random>

namespace Router {

/// Returns the random generator of the current thread, for choices that need not be reproducible.
inline std::mt19937_64 &threadRandom()
{
    thread_local std::mt19937_64 rng(std::random_device {}());
    return rng;
}

} // namespace Router
