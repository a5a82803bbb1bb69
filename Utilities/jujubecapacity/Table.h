#pragma once

#include <string>
#include <vector>

/// Holds one table of the capacity page.
struct Table
{
    std::string title;
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;

    /// Prints the table as Markdown on standard output.
    void print() const;
};

/// Formats a number with three significant digits, or without a fraction from 1000 on.
std::string formatNumber(double value);
