#include "dragonflylane/CommandLine.h"

#include "dragonflylane/ApiClient.h"
#include "dragonflylane/ApiRequest.h"
#include "dragonflylane/CommandOutput.h"
#include "dragonflylane/DocumentCheck.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/Settings.h"

#include <boost/json.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <thread>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    constexpr const char* usage = R"(Commands:
  plan FILE              review the changes in FILE (JSON, - for standard input) and store them as a plan
  confirm PLAN           apply a plan
  drain UPSTREAM         create a plan that drains an upstream; with --confirm also confirm it
  undrain UPSTREAM       create a plan that undrains an upstream; with --confirm also confirm it
  show PLAN              state of a plan
  history                plans, newest first
  status                 quorum, leader, revision, convergence, drains, quarantine
  revision NUMBER        which daemons hold a revision
  routes                 routing table of the daemon at --api
  members                daemons known to the daemon at --api
  metrics                counters of the daemon at --api
  explain ID             decisions about a request, plan, daemon or upstream
  release FINGERPRINT    release a quarantined request
  rollout start SERVICE VERSION --duration SECONDS
                         move the requests of a service to another version of its upstreams
  rollout show SERVICE   state of the latest roll-out of a service
  check FILE             check the changes in FILE before they are sent; --against FILE names the changes that make up
                         the configuration in force
  check-settings FILE    check a settings file
)";

    struct Arguments {
        std::string command;
        std::string operand;
        /// Arguments after the operand.
        std::vector<std::string> furtherOperands;
        double durationSeconds { 0 };
        /// File with the configuration in force; empty: none.
        std::string against;
        std::vector<Endpoint> servers;
        std::string token;
        bool isJson { false };
        bool isWatching { false };
        bool isConfirming { false };
    };

    int fail(ResultCode code, const std::string& detail)
    {
        std::fprintf(stderr, "dragonflylane: %s: %s (%u %s)\n", detail.c_str(), std::string(message(code)).c_str(),
            static_cast<unsigned>(code), std::string(name(code)).c_str());
        return exitCode(code);
    }

    // Result code of a response: of its error, or of the document itself; Ok if it has none.
    ResultCode codeOf(const json::value& document)
    {
        const json::object* object = document.if_object();
        if (!object)
            return ResultCode::Ok;
        const json::value* error = object->if_contains("error");
        const json::object* details = error ? error->if_object() : object;
        const json::value* code = details ? details->if_contains("code") : nullptr;
        return code && code->is_int64() ? static_cast<ResultCode>(code->as_int64()) : ResultCode::Ok;
    }

    // Sends requests and prints the responses as JSON or as text.
    class Session {
    public:
        explicit Session(Arguments arguments)
            : m_arguments(std::move(arguments))
            , m_client({ .servers = m_arguments.servers, .token = m_arguments.token })
        {
        }

        int get(const std::string& target, const std::function<std::string(const json::value&)>& render)
        {
            return exchange({ .method = "GET", .target = target }, render);
        }

        int exchange(const HttpRequest& request, const std::function<std::string(const json::value&)>& render)
        {
            HttpResponse response;
            if (auto error = m_client.send(request, response))
                return fail(resultCode(error), request.method + " " + request.target);
            boost::system::error_code parseError;
            m_document = json::parse(response.body, parseError);
            if (parseError) {
                std::fputs(response.body.c_str(), stdout);
                return 0;
            }
            ResultCode code = codeOf(m_document);
            if (m_arguments.isJson)
                std::fputs(response.body.c_str(), stdout);
            else if (code == ResultCode::Ok)
                std::fputs(render(m_document).c_str(), stdout);
            else
                std::fputs(renderError(m_document).c_str(), stderr);
            return exitCode(code);
        }

        const json::value& document() const { return m_document; }
        const Arguments& arguments() const { return m_arguments; }

    private:
        Arguments m_arguments;
        ApiClient m_client;
        json::value m_document;
    };

    int confirm(Session& session, const std::string& plan)
    {
        return session.exchange({ .method = "POST", .target = "/v1/plans/" + plan + "/confirm" }, renderConfirmation);
    }

    int propose(Session& session, const std::string& changes)
    {
        // The client chooses the id, so that resending the request after a lost response cannot store a second plan.
        std::string id = makePlanId();
        HttpRequest request { .method = "POST", .target = "/v1/plans", .headers = { { "Dragonflylane-Plan", id } } };
        request.body = changes;
        int code = session.exchange(request, renderPlanText);
        if (code != 0 || !session.arguments().isConfirming)
            return code;
        return confirm(session, id);
    }

    // The path "-" stands for standard input. Empty if the file cannot be read.
    std::optional<std::string> readText(const std::string& path)
    {
        std::stringstream text;
        if (path == "-") {
            text << std::cin.rdbuf();
            return text.str();
        }
        std::ifstream stream(path);
        text << stream.rdbuf();
        return stream ? std::optional(text.str()) : std::nullopt;
    }

    int plan(Session& session)
    {
        const std::string& path = session.arguments().operand;
        auto text = readText(path);
        return text ? propose(session, *text) : fail(ResultCode::FileUnreadable, path);
    }

    int check(Session& session)
    {
        const Arguments& arguments = session.arguments();
        auto unreadable = [](const std::string& path) {
            fail(ResultCode::FileUnreadable, path);
            return static_cast<int>(CheckResult::Unreadable);
        };
        std::optional<ConfigState> base;
        if (!arguments.against.empty()) {
            auto text = readText(arguments.against);
            if (!text)
                return unreadable(arguments.against);
            CheckedDocument inForce = readPlanDocument(*text, ConfigState());
            if (!inForce.error.empty())
                return unreadable(arguments.against + ": " + inForce.error);
            base = std::move(inForce.state);
        }
        auto text = readText(arguments.operand);
        if (!text)
            return unreadable(arguments.operand);
        CheckReport report = reportOn(readPlanDocument(*text, base.value_or(ConfigState())), base);
        std::fputs((arguments.isJson ? report.json : report.text).c_str(), stdout);
        return static_cast<int>(report.result);
    }

    int drain(Session& session, const char* changeKind)
    {
        json::object change { { changeKind, session.arguments().operand } };
        json::array changes;
        changes.emplace_back(std::move(change));
        return propose(session, json::serialize(json::object { { "changes", std::move(changes) } }));
    }

    int status(Session& session)
    {
        constexpr std::chrono::seconds refreshInterval { 1 };
        for (;;) {
            if (session.arguments().isWatching)
                std::fputs("\033[H\033[2J", stdout);
            int code = session.get("/v1/status", renderStatusText);
            if (!session.arguments().isWatching)
                return code;
            std::fflush(stdout);
            std::this_thread::sleep_for(refreshInterval);
        }
    }

    int release(Session& session)
    {
        return session.exchange(
            { .method = "POST", .target = "/v1/quarantine/" + session.arguments().operand + "/release" },
            [](const json::value&) { return std::string("released\n"); });
    }

    int startRollout(Session& session, const std::string& service, const std::string& version)
    {
        constexpr double millisecondsPerSecond = 1000;
        json::object order { { "service", service }, { "version", version },
            { "durationMs", session.arguments().durationSeconds * millisecondsPerSecond } };
        return session.exchange({ .method = "POST", .target = "/v1/rollouts", .body = json::serialize(order) },
            [](const json::value&) { return std::string("started\n"); });
    }

    int rollout(Session& session)
    {
        const std::string& action = session.arguments().operand;
        const std::vector<std::string>& operands = session.arguments().furtherOperands;
        if (action == "start" && operands.size() == 2)
            return startRollout(session, operands[0], operands[1]);
        if (action == "show" && operands.size() == 1)
            return session.get("/v1/rollouts/" + operands[0], renderRolloutText);
        return fail(ResultCode::SettingMissing, "operands of rollout " + action);
    }

    int checkSettings(const std::string& path)
    {
        Settings settings;
        SettingsError error = readSettings(path, settings);
        if (error.code == ResultCode::Ok) {
            std::printf("%s: correct\n", path.c_str());
            return 0;
        }
        std::fprintf(stderr, "%s (%u %s)\n", error.text.c_str(), static_cast<unsigned>(error.code),
            std::string(name(error.code)).c_str());
        return exitCode(error.code);
    }

    struct Command {
        bool needsOperand;
        std::function<int(Session&)> run;
    };

    const std::map<std::string, Command>& commands()
    {
        static const std::map<std::string, Command> table {
            { "plan", { true, plan } },
            { "confirm", { true, [](Session& session) { return confirm(session, session.arguments().operand); } } },
            { "drain", { true, [](Session& session) { return drain(session, "drainUpstream"); } } },
            { "undrain", { true, [](Session& session) { return drain(session, "undrainUpstream"); } } },
            { "show",
                { true,
                    [](Session& session) {
                        return session.get("/v1/plans/" + session.arguments().operand, renderPlanRecordText);
                    } } },
            { "history", { false, [](Session& session) { return session.get("/v1/history", renderHistory); } } },
            { "status", { false, status } },
            { "revision",
                { true,
                    [](Session& session) {
                        return session.get("/v1/revisions/" + session.arguments().operand, renderConvergenceText);
                    } } },
            { "routes",
                { false, [](Session& session) { return session.get("/v1/routing-table", renderRoutingTableText); } } },
            { "members", { false, [](Session& session) { return session.get("/v1/members", renderMembersText); } } },
            { "metrics", { false, [](Session& session) { return session.get("/v1/metrics", renderPretty); } } },
            { "explain",
                { true,
                    [](Session& session) {
                        return session.get("/v1/explain?id=" + session.arguments().operand, renderExplanation);
                    } } },
            { "release", { true, release } },
            { "rollout", { true, rollout } },
            { "check", { true, check } },
            { "check-settings", { true, [](Session& session) { return checkSettings(session.arguments().operand); } } },
        };
        return table;
    }

    bool parseServers(const std::string& text, std::vector<Endpoint>& servers)
    {
        std::istringstream stream(text);
        for (std::string part; std::getline(stream, part, ',');) {
            auto endpoint = Endpoint::parse(part);
            if (!endpoint)
                return false;
            servers.push_back(*endpoint);
        }
        return !servers.empty();
    }

    bool readToken(const std::string& path, std::string& token)
    {
        std::ifstream stream(path);
        return static_cast<bool>(stream >> token);
    }

    int run(const cxxopts::ParseResult& parsed)
    {
        Arguments arguments { .command = parsed["command"].as<std::string>(),
            .operand = parsed["operand"].as<std::string>(),
            .furtherOperands = parsed["further"].as<std::vector<std::string>>(),
            .durationSeconds = parsed["duration"].as<double>(),
            .against = parsed["against"].as<std::string>(),
            .isJson = parsed.count("json") > 0,
            .isWatching = parsed.count("watch") > 0,
            .isConfirming = parsed.count("confirm") > 0 };
        if (!parseServers(parsed["api"].as<std::string>(), arguments.servers))
            return fail(ResultCode::SettingInvalid, "--api");
        if (parsed.count("token-file") > 0 && !readToken(parsed["token-file"].as<std::string>(), arguments.token))
            return fail(ResultCode::FileUnreadable, "--token-file");
        auto command = commands().find(arguments.command);
        if (command == commands().end())
            return fail(ResultCode::SettingUnknown, "command " + arguments.command);
        if (command->second.needsOperand && arguments.operand.empty())
            return fail(ResultCode::SettingMissing, "operand of " + arguments.command);
        Session session(std::move(arguments));
        return command->second.run(session);
    }

} // namespace

int runCommandLine(int argc, char** argv)
{
    cxxopts::Options options("dragonflylane", "Operators' tool of the dragonflylane service mesh");
    options.add_options()(
        "api", "API addresses, tried in order", cxxopts::value<std::string>()->default_value("127.0.0.1:7081"))(
        "token-file", "file with the operator's token", cxxopts::value<std::string>())("json", "print JSON")(
        "watch", "refresh status every second")("confirm", "confirm the plan of drain and undrain at once")(
        "command", "", cxxopts::value<std::string>()->default_value(""))(
        "operand", "", cxxopts::value<std::string>()->default_value(""))("further", "",
        cxxopts::value<std::vector<std::string>>()->default_value(""))("duration", "time of a roll-out in seconds",
        cxxopts::value<double>()->default_value("0"))("against", "configuration in force, for check",
        cxxopts::value<std::string>()->default_value(""))("help", "print this help");
    options.parse_positional({ "command", "operand", "further" });
    options.positional_help("COMMAND [OPERAND...]");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed["command"].as<std::string>().empty()) {
            std::printf("%s\n%s", options.help().c_str(), usage);
            return parsed.count("help") > 0 ? 0 : exitCode(ResultCode::SettingMissing);
        }
        return run(parsed);
    } catch (const cxxopts::exceptions::exception& error) {
        return fail(ResultCode::SettingUnknown, error.what());
    }
}

} // namespace dragonflylane
