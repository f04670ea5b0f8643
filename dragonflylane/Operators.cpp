#include "dragonflylane/Operators.h"

#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/MeshSecret.h"
#include "dragonflylane/ResultCode.h"

#include <fstream>
#include <sstream>

namespace dragonflylane {

namespace {

    constexpr size_t minTokenLength = 16;
    constexpr std::string_view scheme = "Bearer ";

} // namespace

std::error_code Operators::readFile(const std::string& path, Operators& operators, std::string& detail)
{
    std::ifstream stream(path);
    if (!stream) {
        detail = path + ": cannot be read";
        return ResultCode::FileUnreadable;
    }
    operators = {};
    operators.m_acceptsAnyClient = false;
    size_t number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream fields(line);
        std::string name;
        std::string token;
        std::string excess;
        bool isComplete = (fields >> name >> token) && !(fields >> excess);
        bool isDuplicate = false;
        for (const Entry& entry : operators.m_entries)
            isDuplicate = isDuplicate || entry.name.value() == name || entry.token == token;
        if (!isComplete || isDuplicate || !isValidName(name) || token.size() < minTokenLength) {
            detail = path + ": line " + std::to_string(number)
                + ": expected a unique name and a unique token of at least 16 characters";
            return ResultCode::SettingInvalid;
        }
        operators.m_entries.push_back({ OperatorName(name), token });
    }
    return {};
}

std::optional<OperatorName> Operators::authenticate(std::string_view authorization) const
{
    if (m_acceptsAnyClient)
        return OperatorName("local");
    if (!authorization.starts_with(scheme))
        return std::nullopt;
    std::string_view token = authorization.substr(scheme.size());
    std::optional<OperatorName> found;
    for (const Entry& entry : m_entries) {
        if (equalInConstantTime(entry.token, token))
            found = entry.name;
    }
    return found;
}

} // namespace dragonflylane
