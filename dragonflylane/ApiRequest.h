#pragma once

// API requests as their handlers see them.

#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflylane {

/// An API request with its authenticated operator and the callback for its response.
struct ApiRequest {
    HttpRequest http;
    OperatorName operatorName;
    /// Path segments after /v1, without the query.
    std::vector<std::string> path;
    /// Received from another daemon rather than from a client, which limits further forwarding.
    bool isForwarded { false };
    std::function<void(HttpResponse)> respond;

    /// Value of a query parameter, percent-decoded; empty if absent.
    std::string query(std::string_view name) const;
    void respondJson(std::string body, unsigned status = 200) const;
    /// Responds with the code's number, name and message, and with details if given.
    void respondError(ResultCode, const std::string& detail = {}) const;
};

/// Splits the target of a request into path segments; empty if it is not below /v1.
std::vector<std::string> splitApiPath(std::string_view target);

/// Returns a random plan id, such as "p-7c9e20b4be94".
std::string makePlanId();

} // namespace dragonflylane
