#include <LibConfiguration/Contract.h>

#include <algorithm>

namespace Configuration {

bool Contract::allows(const Core::PriorityClassId &id) const
{
    return std::find(allowedClasses.begin(), allowedClasses.end(), id) != allowedClasses.end();
}

} // namespace Configuration
