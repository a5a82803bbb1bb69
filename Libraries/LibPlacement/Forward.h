#pragma once

namespace Placement {

class BeliefIndex;
class CandidateSet;
class Placement;
class PromptPieces;
class UpstreamTable;
struct CacheScope;
struct Decision;
struct Explanation;
struct HotBelief;
struct LoadReport;
struct PlacementRequest;
struct PlacementSettings;
struct UpstreamView;

} // namespace Placement
