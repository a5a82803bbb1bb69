#include <LibConfiguration/NestingCheck.h>

namespace Configuration {

namespace {

constexpr int MaxBrackets = 16;
constexpr int MaxDotsPerLine = 32;

/// Counts brackets and dots outside strings and comments.
class NestingScanner
{
public:
    explicit NestingScanner(std::string_view text)
        : m_text(text)
    { }

    std::optional<Fault> run()
    {
        while (m_position < m_text.size()) {
            step();
            if (m_brackets > MaxBrackets || m_dots > MaxDotsPerLine)
                return Fault {m_line, column(), {}, "is nested too deeply"};
        }
        return std::nullopt;
    }

private:
    std::uint32_t column() const { return static_cast<std::uint32_t>(m_position - m_lineStart); }

    void step()
    {
        const char it = m_text[m_position];
        if (it == '#') {
            skipComment();
            return;
        }
        if (it == '"' || it == '\'') {
            skipString(it);
            return;
        }
        ++m_position;
        if (it == '\n')
            startLine();
        if (it == '[' || it == '{')
            ++m_brackets;
        if ((it == ']' || it == '}') && m_brackets > 0)
            --m_brackets;
        if (it == '.')
            ++m_dots;
    }

    void startLine()
    {
        ++m_line;
        m_lineStart = m_position;
        m_dots = 0;
    }

    void skipComment()
    {
        const auto end = m_text.find('\n', m_position);
        m_position = end == std::string_view::npos ? m_text.size() : end;
    }

    void skipString(char quote)
    {
        const std::string_view tripleQuote = m_text.substr(m_position, 3);
        if (tripleQuote.size() == 3 && tripleQuote == std::string(3, quote)) {
            skipMultiLineString(tripleQuote);
            return;
        }
        ++m_position;
        while (m_position < m_text.size() && m_text[m_position] != '\n') {
            const char it = m_text[m_position++];
            if (it == quote)
                return;
            if (it == '\\' && quote == '"' && m_position < m_text.size()
                && m_text[m_position] != '\n')
                ++m_position;
        }
    }

    void skipMultiLineString(std::string_view delimiter)
    {
        m_position += delimiter.size();
        while (m_position < m_text.size()) {
            if (m_text.substr(m_position).starts_with(delimiter)) {
                m_position += delimiter.size();
                return;
            }
            const bool escaped = m_text[m_position] == '\\' && delimiter.front() == '"';
            if (escaped && m_position + 1 < m_text.size() && m_text[m_position + 1] != '\n')
                ++m_position;
            if (m_text[m_position++] == '\n')
                startLine();
        }
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    std::size_t m_lineStart = 0;
    std::uint32_t m_line = 1;
    int m_brackets = 0;
    int m_dots = 0;
};

} // namespace

std::optional<Fault> findDeepNesting(std::string_view text)
{
    return NestingScanner(text).run();
}

} // namespace Configuration
