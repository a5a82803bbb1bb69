#pragma once

namespace Claims {

class AnswerStore;
class ClaimAttempt;
class ClaimCoordinator;
class ClaimEngine;
class ClaimIndex;
class ClaimPartition;
class ClaimWriter;
class KeyWindow;
struct AttemptId;
struct ClaimCounters;
struct ClaimKey;
struct ClaimRecord;
struct ClaimSettings;
struct Holder;
struct HolderQuery;
struct HolderReply;
struct KeyId;
struct Outcome;
struct SendResult;
struct StoredAnswer;
struct Verdict;

} // namespace Claims
