#include "Table.h"

#include <array>
#include <cstdio>
#include <iostream>

namespace {

void printRow(const std::vector<std::string> &cells)
{
    std::cout << '|';
    for (const auto &cell : cells)
        std::cout << ' ' << cell << " |";
    std::cout << '\n';
}

} // namespace

void Table::print() const
{
    std::cout << "### " << title << "\n\n";
    printRow(header);
    printRow(std::vector<std::string>(header.size(), "---"));
    for (const auto &row : rows)
        printRow(row);
    std::cout << std::endl;
}

std::string formatNumber(double value)
{
    constexpr double Thousand = 1'000;
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), value >= Thousand ? "%.0f" : "%.3g", value);
    return buf.data();
}
