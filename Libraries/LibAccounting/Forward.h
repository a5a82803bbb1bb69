#pragma once

namespace Accounting {

class UsageLedger;
class UsageMeter;
class UsageOutbox;
struct UsageBatch;
struct UsageRecord;
struct UsageReport;

} // namespace Accounting
