#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace briarhead {

/// Exit codes of briarheadctl. Scripts depend on the values.
enum class exit_code : int
{
    Ok = 0,
    Usage = 1, ///< invalid arguments, or a file or key that cannot be read or written
    Refused = 2, ///< rejected or not found: certainly not carried out, and a retry would fail again
    Unknown = 3, ///< may or may not have been carried out; a patch can be sent again with the same id
    Unreachable = 4, ///< not carried out: no daemon responded, or it was not ready
};

/// Help text of briarheadctl, from which docopt also parses the arguments.
inline constexpr const char *commandUsage = R"(briarheadctl, the operator's command for briarhead.

Usage:
  briarheadctl patch FILE [--dry-run] [--by=NAME] [options]
  briarheadctl show [SECTION [NAME]] [--version-number=N] [options]
  briarheadctl history [--limit=N] [options]
  briarheadctl instances [options]
  briarheadctl servers [options]
  briarheadctl adapters [NAME] [options]
  briarheadctl drain (server|instance) NAME [--undo] [options]
  briarheadctl burn [--html=FILE] [options]
  briarheadctl hash-key
  briarheadctl story ID LOG...
  briarheadctl (-h | --help)
  briarheadctl --version

Commands:
  patch      Submit a patch against a version of the configuration; FILE is '-' for standard input.
  show       The configuration in force, or at a version, or one section or entry of it.
  history    Accepted patches, with who and when.
  instances  Which instance has reached which version, and how its peers see it.
  servers    Backend servers with owner, role, slots and batch fill.
  adapters   Where adapters are resident.
  drain      Send a backend server no new work, or shut an instance down in order.
  burn       The report on service-level burn, as a table, as JSON or as a page for a browser.
  hash-key   Read a key from standard input and print the hash that configuration and settings hold.

  story      What the logs in LOG... ('-' for standard input) tell of the request with that id.

Options:
  --daemon=URL          Any daemon's address; else $BRIARHEAD_DAEMON, else http://127.0.0.1:8080.
  --key-file=FILE       File with the operator's key; else it is read from $BRIARHEAD_OPERATOR_KEY.
  --json                Print JSON for scripts instead of a table.
  --dry-run             Show what the patch would change, and change nothing.
  --by=NAME             Who submits; else $USER.
  --version-number=N    A version of the configuration.
  --limit=N             How many patches [default: 20].
  --undo                Let a drained server take work again.
  --html=FILE           Write the burn report as a self-contained page.

Exit codes: 0 done, 1 usage, 2 refused, 3 outcome unknown, 4 no daemon reachable or none ready.
)";

/// Runs a parsed command line and returns the exit code (see exit_code). Results are printed to standard
/// output, errors with a remedy to standard error.
int runCommand(const std::map<std::string, docopt::value> &arguments);

}
