#pragma once

namespace Placement {

class PrefixCacheIndex;
class CandidateSet;
class Placement;
class PromptBlocks;
class UpstreamTable;
struct CacheScope;
struct Decision;
struct Explanation;
struct FrequentPrefix;
struct LoadReport;
struct PlacementRequest;
struct PlacementSettings;
struct UpstreamView;

} // namespace Placement
