#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Configuration {

/// A model as callers name it.
struct Model
{
    Core::ModelId id;
    /// Part of every cache key: blocks computed with other weights are never counted on.
    std::string weightsVersion;
    Core::UpstreamGroupId upstreamGroup;
    /// The longest answer, in tokens.
    std::uint32_t maxTokens = 0;
    /// The longest wait for the first token.
    std::chrono::milliseconds firstTokenTimeout {0};
    /// The longest silence between two tokens.
    std::chrono::milliseconds nextTokenTimeout {0};
    /// The longest time for a whole answer.
    std::chrono::milliseconds answerTimeout {0};
};

} // namespace Configuration
