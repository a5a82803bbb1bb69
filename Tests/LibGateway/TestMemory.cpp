#include <LibGateway/PartStore.h>
#include <LibGateway/PrefixMemory.h>

#include <catch2/catch.hpp>

using Gateway::PromptPart;

TEST_CASE("parts count as kept only together with all parts before them")
{
    Gateway::PrefixMemory memory;
    memory.setCapacity(1'000);
    const std::vector<PromptPart> parts {{1, 100}, {2, 200}, {3, 300}};
    memory.noteUse(std::span(parts).subspan(1));
    CHECK(memory.keptTokens(parts) == 0);
    memory.noteUse(std::span(parts).first(1));
    CHECK(memory.keptTokens(parts) == 600);
    memory.clear();
    CHECK(memory.keptTokens(parts) == 0);
    CHECK(memory.tokens() == 0);
}

TEST_CASE("the least recently used parts go first, and never before those that build on them")
{
    Gateway::PrefixMemory memory;
    memory.setCapacity(500);
    const std::vector<PromptPart> old {{1, 200}, {2, 200}};
    const std::vector<PromptPart> fresh {{3, 200}};
    memory.noteUse(old);
    memory.noteUse(fresh);
    CHECK(memory.keptTokens(old) == 200);
    CHECK(memory.keptTokens(fresh) == 200);
    memory.noteUse(std::span(old).first(1));
    memory.noteUse(std::vector<PromptPart> {{4, 200}});
    CHECK(memory.keptTokens(old) == 200);
    CHECK(memory.keptTokens(fresh) == 0);
}

TEST_CASE("the store of parts is believed only while it answers, and is empty in another life")
{
    Gateway::PartStore store;
    store.configure(Http::parseEndpoint("127.0.0.1:9").value(), 10'000);
    const std::vector<PromptPart> parts {{1, 100}, {2, 200}};
    CHECK_FALSE(store.endpoint().has_value());
    CHECK(store.noteAnswer(7));
    store.noteStored(Gateway::PartStore::storedParts(parts, 3));
    CHECK(store.storedTokens(parts, 3) == 300);
    // Parts that other weights made are other parts.
    CHECK(store.storedTokens(parts, 4) == 0);
    CHECK(store.noteSilence());
    CHECK(store.storedTokens(parts, 3) == 0);
    CHECK_FALSE(store.endpoint().has_value());
    CHECK(store.noteAnswer(7));
    CHECK(store.storedTokens(parts, 3) == 300);
    CHECK(store.noteAnswer(8));
    CHECK(store.storedTokens(parts, 3) == 0);
}
