#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Jujubectl {

/// A text table whose columns are as wide as their longest cell.
class Table
{
public:
    explicit Table(std::vector<std::string> header);

    void add(std::vector<std::string> row);
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Jujubectl
