#include "bench/DemoObserver.h"

#include <boost/json.hpp>
#include <set>
#include <sstream>

namespace dragonflylane {

namespace json = boost::json;

void DemoObserver::start()
{
    m_thread = std::thread([this] { run(); });
}

void DemoObserver::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void DemoObserver::run()
{
    constexpr std::chrono::milliseconds interval { 100 };
    while (!m_isStopping) {
        for (const DemoDaemon& daemon : m_mesh.daemons()) {
            json::value routingTable = m_mesh.get(daemon, "/v1/routing-table");
            if (routingTable.is_object())
                check(daemon.name, routingTable);
        }
        std::this_thread::sleep_for(interval);
    }
}

void DemoObserver::check(const std::string& host, const json::value& routingTable)
{
    ++m_routingTables;
    m_danglingRoutes += countDanglingRoutes(routingTable);
    auto revision = routingTable.as_object().at("revision").to_number<int64_t>();
    auto first = m_contents.try_emplace(revision, configuredContent(routingTable)).first;
    m_inconsistent += first->second != configuredContent(routingTable) ? 1 : 0;
    int64_t& highest = m_highest[host];
    if (revision != 0 && revision < highest) {
        ++m_reverted;
        if (m_firstReversion.empty())
            m_firstReversion = host + " showed " + std::to_string(revision) + " after " + std::to_string(highest);
    }
    highest = std::max(highest, revision);
}

std::string configuredContent(const json::value& routingTable)
{
    const json::object& object = routingTable.as_object();
    std::set<std::string> names;
    for (const json::value& service : object.at("services").as_array())
        names.emplace(service.as_object().at("name").as_string());
    std::string content = json::serialize(object.at("digest")) + json::serialize(object.at("routes"));
    for (const std::string& name : names)
        content += " " + name;
    return content;
}

size_t countDanglingRoutes(const json::value& routingTable)
{
    std::set<std::string> services;
    for (const json::value& service : routingTable.as_object().at("services").as_array())
        services.emplace(service.as_object().at("name").as_string());
    size_t count = 0;
    for (const json::value& route : routingTable.as_object().at("routes").as_array()) {
        for (const json::value& part : route.as_object().at("split").as_array())
            count += services.contains(std::string(part.as_object().at("service").as_string())) ? 0 : 1;
    }
    return count;
}

size_t countUnknownUpstreams(const json::value& routingTable, const json::value& members)
{
    std::set<std::string> present;
    for (const json::value& member : members.as_object().at("members").as_array()) {
        const json::object& object = member.as_object();
        if (object.at("state").as_string() == "alive" || object.at("state").as_string() == "suspect")
            present.emplace(object.at("host").as_string());
    }
    size_t count = 0;
    for (const json::value& service : routingTable.as_object().at("services").as_array()) {
        for (const json::value& upstream : service.as_object().at("upstreams").as_array())
            count += present.contains(std::string(upstream.as_object().at("owner").as_string())) ? 0 : 1;
    }
    return count;
}

ControlSample sampleControlBytes(const DemoMesh& mesh)
{
    ControlSample sample { .time = BootClock::now() };
    for (const DemoDaemon& daemon : mesh.daemons()) {
        std::istringstream metrics(mesh.getText(daemon, "/v1/metrics"));
        ControlBytes bytes;
        bool isAnswered = false;
        std::string name;
        for (uint64_t value = 0; metrics >> name >> value; isAnswered = true) {
            bytes.sent += name.starts_with("control_bytes_sent_") ? value : 0;
            bytes.received += name.starts_with("control_bytes_received_") ? value : 0;
        }
        if (isAnswered)
            sample.daemons[daemon.name] = bytes;
    }
    return sample;
}

} // namespace dragonflylane
