#include "daemon/daemon.h"

#include <docopt/docopt.h>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <iostream>

namespace {

constexpr const char *usage = R"(briarheadd, the daemon that every entry instance runs.

Usage:
  briarheadd --settings=FILE [--check-settings]
  briarheadd (-h | --help)
  briarheadd --version

Options:
  --settings=FILE   Settings in JSON; docs/OPERATIONS.md lists each key.
  --check-settings  Check the settings and exit without starting.
  -h --help         Show this text.
  --version         Show the version.

Exit codes: 0 a graceful shutdown, 1 a shutdown that cut requests, 2 bad settings or usage,
3 a port could not be opened.
)";

constexpr int exitBadSettings = 2;
constexpr int exitNotStarted = 3;

}

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc});
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "briarheadd 0.1.0\n";
        return 0;
    } catch (const std::runtime_error &) {
        std::cerr << "briarheadd: Invalid arguments. 'briarheadd --help' lists the valid ones.\n";
        return exitBadSettings;
    }
    briarhead::error why;
    const auto settings = briarhead::readSettings(arguments.at("--settings").asString(), why);
    if (!settings) {
        std::cerr << "briarheadd: " << briarhead::message(why) << '\n';
        return exitBadSettings;
    }
    if (arguments.at("--check-settings").asBool()) {
        std::cout << "settings: valid\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_default_logger(spdlog::stderr_color_mt(settings->instance));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %n %l %v");
    spdlog::set_level(spdlog::level::from_str(settings->logLevel));
    const auto daemon = briarhead::daemon::start(*settings, why);
    if (!daemon) {
        std::cerr << "briarheadd: " << briarhead::message(why) << '\n';
        return exitNotStarted;
    }
    return daemon->run();
}
