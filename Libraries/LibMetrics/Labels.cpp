#include <LibMetrics/Labels.h>

namespace Metrics {

namespace {

std::string escaped(std::string_view value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            text += '\\';
        if (c == '\n')
            text += "\\n";
        else
            text += c;
    }
    return text;
}

void append(std::string &text, std::string_view name, std::string_view value)
{
    if (value.empty())
        return;
    text += text.size() > 1 ? "," : "";
    text += name;
    text += "=\"";
    text += escaped(value);
    text += '"';
}

} // namespace

std::string formatLabels(const Labels &labels, std::string_view extraName,
                         std::string_view extraValue)
{
    std::string text = "{";
    append(text, "team", labels.team);
    append(text, "class", labels.priorityClass);
    if (!extraName.empty())
        append(text, extraName, extraValue);
    return text.size() == 1 ? std::string() : text + "}";
}

std::string Family::header(std::string_view type) const
{
    std::string text = "# HELP " + m_name + ' ' + m_help + '\n';
    text += "# TYPE " + m_name + ' ';
    text += type;
    text += '\n';
    return text;
}

} // namespace Metrics
