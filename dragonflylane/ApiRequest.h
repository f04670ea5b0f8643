#pragma once

// One API request on its way to a handler.

#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflylane {

/// Request, operator and the way back.
struct ApiRequest {
    HttpRequest http;
    OperatorName operatorName;
    /// Path segments after /v1, without the query.
    std::vector<std::string> path;
    /// Another daemon passed it on, so it is not passed on again.
    bool isForwarded { false };
    std::function<void(HttpResponse)> respond;

    /// Value of a query parameter, percent-decoded; empty if absent.
    std::string query(std::string_view name) const;
    void respondJson(std::string body, unsigned status = 200) const;
    /// A numbered code, one sentence and, if given, what exactly was wrong.
    void respondError(ResultCode, const std::string& detail = {}) const;
};

/// Splits the target of a request into path segments; empty if it is not below /v1.
std::vector<std::string> splitApiPath(std::string_view target);

/// A random plan id, such as "p-7c9e20b4be94".
std::string makePlanId();

} // namespace dragonflylane
