#pragma once

#include <string>
#include <vector>

/// One table of the capacity page.
struct Table
{
    std::string title;
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;

    /// Prints the table as Markdown on standard output.
    void print() const;
};

/// A number with three significant digits or, from a thousand on, without a fraction.
std::string figure(double value);
