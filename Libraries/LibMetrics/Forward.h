#pragma once

namespace Metrics {

class Counter;
class DurationHistogram;
class Family;
class RatioHistogram;
class Registry;
struct Labels;

} // namespace Metrics
