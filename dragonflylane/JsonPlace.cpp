#include "dragonflylane/JsonPlace.h"

#include <algorithm>
#include <boost/json.hpp>

namespace dragonflylane {

namespace {

    size_t lineAt(std::string_view text, size_t offset)
    {
        return 1
            + static_cast<size_t>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(offset), '\n'));
    }

    /// Walks over valid JSON text by its punctuation.
    class Scanner {
    public:
        explicit Scanner(std::string_view text)
            : m_text(text)
        {
        }

        // Offset of the element, or npos.
        size_t find(std::string_view array, size_t index)
        {
            bool isWanted = false;
            size_t element = 0;
            for (; m_position < m_text.size(); ++m_position) {
                char c = m_text[m_position];
                bool isElementStart = isWanted && m_depth == 2 && !isPunctuation(c);
                if (isElementStart && element == index)
                    return m_position;
                if (c == '"') {
                    std::string_view string = readString();
                    isWanted = isWanted || (m_depth == 1 && string == array);
                } else if (c == '{' || c == '[') {
                    ++m_depth;
                } else if (c == '}' || c == ']') {
                    --m_depth;
                    if (isWanted && m_depth == 1)
                        return std::string_view::npos;
                } else if (c == ',' && isWanted && m_depth == 2) {
                    ++element;
                }
            }
            return std::string_view::npos;
        }

    private:
        static bool isPunctuation(char c)
        {
            return c == ',' || c == ':' || c == ']' || c == '}' || c == ' ' || c == '\n' || c == '\r' || c == '\t';
        }

        // Leaves the position at the closing quote.
        std::string_view readString()
        {
            size_t begin = ++m_position;
            while (m_position < m_text.size() && m_text[m_position] != '"')
                m_position += m_text[m_position] == '\\' ? 2 : 1;
            return m_text.substr(begin, m_position - begin);
        }

        std::string_view m_text;
        size_t m_position { 0 };
        size_t m_depth { 0 };
    };

} // namespace

std::optional<size_t> lineOfJsonError(std::string_view json)
{
    boost::json::stream_parser parser;
    boost::system::error_code error;
    size_t consumed = parser.write_some(json.data(), json.size(), error);
    if (!error && consumed == json.size())
        parser.finish(error);
    else if (!error)
        return lineAt(json, consumed);
    if (!error)
        return std::nullopt;
    return lineAt(json, std::min(consumed, json.size()));
}

std::optional<size_t> lineOfJsonElement(std::string_view json, std::string_view array, size_t index)
{
    size_t offset = Scanner(json).find(array, index);
    if (offset == std::string_view::npos)
        return std::nullopt;
    return lineAt(json, offset);
}

} // namespace dragonflylane
