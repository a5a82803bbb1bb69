#pragma once

namespace PlatformPartsTests {

constexpr auto SoundUpstream =
    R"({"Service":"app","Address":"10.0.0.1:80","Zone":"a","Slots":8,"State":"ready",)"
    R"("Models":[{"Name":"model","Version":3}],"born":1700000000000,"Seq":12})";

constexpr auto SoundConfiguration =
    R"({"Version":4,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/a/",)"
    R"("Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":300,"GapAimMs":90,"Priority":2,)"
    R"("MaxAttempts":2,"Backends":[{"Service":"llm","Weight":3}]}],)"
    R"("Services":[{"Name":"llm","MaxConns":230,"Engine":{"Slots":8,"KvCapacity":200000,)"
    R"("TokenKvBytes":327680,"LinkMbps":1500000.0}},)"
    R"({"Name":"kv","KvStoreAddr":"10.0.0.2:90","KvCapacity":5,"Zone":"a","LinkMbps":2.5}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,)"
    R"("IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"liit","ApiKeys":["k"],"RatePerS":5,"Burst":10,"PlainTokens":9}]})";

constexpr auto SoundTarget = R"({"Model":"model","Version":2})";

} // namespace PlatformPartsTests
