#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Configuration {

/// A model that callers can request by name.
struct Model
{
    Core::ModelId id;
    /// Part of every cache key, because cached blocks are only valid for the weights that computed
    /// them.
    std::string weightsVersion;
    Core::UpstreamGroupId upstreamGroup;
    /// The maximum length of an answer, in tokens.
    std::uint32_t maxTokens = 0;
    /// The maximum time until the first token.
    std::chrono::milliseconds firstTokenTimeout {0};
    /// The maximum time between two tokens.
    std::chrono::milliseconds nextTokenTimeout {0};
    /// The maximum time for a complete answer.
    std::chrono::milliseconds answerTimeout {0};
};

} // namespace Configuration
