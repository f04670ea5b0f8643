#include "dragonflylane/DocumentCheck.h"

#include "dragonflylane/JsonPlace.h"
#include "dragonflylane/PlanJson.h"
#include "dragonflylane/PlanReview.h"

#include <boost/json.hpp>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    // "line 12, changes[3]"; empty if the place is not known.
    std::string placeOf(const CheckedDocument& document, const ItemKey& item)
    {
        auto place = document.places.find(item);
        if (place == document.places.end())
            return {};
        std::string path = place->second.array + "[" + std::to_string(place->second.index) + "]";
        auto line = lineOfJsonElement(document.text, place->second.array, place->second.index);
        return line ? "line " + std::to_string(*line) + ", " + path : path;
    }

    std::vector<ConfigFinding> findingsOf(const CheckedDocument& document)
    {
        if (document.error.empty())
            return checkConfiguration(document.state);
        auto line = lineOfJsonError(document.text);
        std::string where = line ? "line " + std::to_string(*line) + ": " : std::string();
        return { { FindingKind::Error, {}, where + document.error } };
    }

    void addFinding(
        const CheckedDocument& document, const ConfigFinding& finding, CheckReport& report, json::array& list)
    {
        std::string item = finding.item.name.empty() && finding.item.kind == ItemKind::Service
            ? std::string()
            : finding.item.toString();
        std::string place = placeOf(document, finding.item);
        report.text += std::string(name(finding.kind)) + ": ";
        if (!place.empty())
            report.text += place + ": ";
        if (!item.empty())
            report.text += item + ": ";
        report.text += finding.text + "\n";
        list.push_back(json::object {
            { "kind", name(finding.kind) }, { "item", item }, { "place", place }, { "text", finding.text } });
    }

} // namespace

CheckReport reportOn(const CheckedDocument& document, const std::optional<ConfigState>& base)
{
    CheckReport report;
    json::array list;
    std::vector<ConfigFinding> findings = findingsOf(document);
    for (const ConfigFinding& finding : findings)
        addFinding(document, finding, report, list);
    if (!findings.empty())
        report.result = CheckResult::Findings;
    json::object rendered { { "findings", std::move(list) } };
    bool isValid = findings.empty() || findings.front().kind != FindingKind::Error;
    if (base && isValid) {
        Plan difference = planBetween(*base, document.state);
        report.text += renderDifferenceText(difference);
        rendered.emplace("difference", renderDifferenceText(difference));
    }
    report.json = json::serialize(rendered) + "\n";
    return report;
}

CheckedDocument readPlanDocument(std::string text, const ConfigState& base)
{
    CheckedDocument document { .text = std::move(text), .state = base };
    PlanRequest request;
    if (parsePlanRequest(document.text, &request, &document.error))
        return document;
    for (size_t i = 0; i < request.changes.size(); ++i) {
        if (const auto* set = std::get_if<SetItem>(&request.changes[i]))
            document.places[keyOf(set->item)] = { "changes", i };
    }
    Plan plan;
    if (PlanReview(base).review(request.changes, &plan, &document.error))
        return document;
    if (document.state.apply(plan.delta))
        document.error = "the changes cannot be applied to the configuration in force";
    return document;
}

} // namespace dragonflylane
