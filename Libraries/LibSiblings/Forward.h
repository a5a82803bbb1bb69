#pragma once

namespace Siblings {

class SharedStateBridge;
class SiblingService;
class WarmStart;

} // namespace Siblings
