#pragma once

#include <string>

namespace Processes {

/// A document with the engine group "engines" (model "model"), the service group "prints" (service
/// "prints", orders at most once) and one team whose key is "example-key". The timeouts are short
/// to keep the tests fast.
inline std::string testDocument(const std::string &weightsVersion = "1")
{
    return R"(format = 1
[[priority_class]]
id = "urgent"
rank = 0
target_first_token_ms = 1000
[[priority_class]]
id = "batch"
rank = 1
target_first_token_ms = 60000
floor_share = 0.1
[[upstream_group]]
id = "engines"
kind = "engine"
slots_per_worker = 16
retries_per_second = 100
[[upstream_group]]
id = "prints"
kind = "service"
slots_per_worker = 64
[[model]]
id = "model"
weights_version = ")"
           + weightsVersion + R"("
upstream_group = "engines"
first_token_timeout_ms = 2000
next_token_timeout_ms = 300
[[service]]
name = "prints"
upstream_group = "prints"
timeout_ms = 5000
[[service.route]]
method = "POST"
path_prefix = "/orders"
[[service.route]]
method = "GET"
path_prefix = "/proofs"
repeat = "idempotent"
[[team]]
id = "site"
key_hashes = ["c018c41c1afaf2c0b66c64f97d0ee135657b699ad260f299234cd40a5d625e0e"]
[[contract]]
team = "site"
upstream_group = "engines"
owned_share = 1.0
default_class = "urgent"
allowed_classes = ["urgent", "batch"]
[[contract]]
team = "site"
upstream_group = "prints"
owned_share = 1.0
default_class = "urgent"
allowed_classes = ["urgent"]
)";
}

} // namespace Processes
