#include "state/error.h"

#include <array>

namespace briarhead {

namespace {

struct error_row
{
    error_kind kind;
    error_text text;
};

constexpr std::array errorTable{
    error_row{error_kind::None, {"none", "Nothing to do."}},
    error_row{error_kind::BadSettings, {"bad_settings", "Correct the settings file and start again."}},
    error_row{error_kind::BadPatch, {"bad_patch", "Correct the patch and submit it again."}},
    error_row{error_kind::StalePatch,
        {"stale_patch", "Read the current configuration version and submit the patch against it."}},
    error_row{error_kind::UnknownVersion,
        {"unknown_version", "Read the current configuration version and name one that it lists."}},
    error_row{error_kind::BadRequest, {"bad_request", "Correct the request and send it again."}},
    error_row{error_kind::Unauthorised, {"unauthorised", "Send the token that was issued to this caller."}},
    error_row{error_kind::Forbidden, {"forbidden", "Ask an operator for a rule that allows this caller."}},
    error_row{error_kind::UnknownAdapter,
        {"unknown_adapter", "Check the adapter's name, or have an operator create it."}},
    error_row{error_kind::UnknownService,
        {"unknown_service", "Check the service's name, or have an operator add it."}},
    error_row{error_kind::TooLarge, {"too_large", "Send a smaller body, or have the limit raised."}},
    error_row{error_kind::Overloaded, {"overloaded", "Come back after the time in Retry-After."}},
    error_row{
        error_kind::DeadlineTooShort, {"deadline_too_short", "Send the request with a later deadline."}},
    error_row{error_kind::NotReady, {"not_ready", "Wait until the instance reports ready, or use another."}},
    error_row{error_kind::NoServer,
        {"no_server", "Come back after the time in Retry-After, or have backend servers added."}},
    error_row{error_kind::LoadFailed,
        {"load_failed", "Check the adapter's files in the weight store, then come back."}},
    error_row{error_kind::NotOwner, {"not_owner", "Send it to the instance that owns the backend server."}},
    error_row{error_kind::StaleFencing,
        {"stale_fencing", "Give the order up; the owner with the newer fencing token goes on."}},
    error_row{
        error_kind::Timeout, {"timeout", "Check that the peer is up and not overloaded, then come back."}},
    error_row{error_kind::ConnectionLost,
        {"connection_lost", "Check the network and the peer; repeat only what is idempotent."}},
    error_row{error_kind::ServiceDown,
        {"service_down", "Check the key-value service; the last configuration stays in force."}},
    error_row{error_kind::KeyInProgress,
        {"key_in_progress", "Wait for the first request with this idempotency key to end."}},
    error_row{error_kind::KeyUnknown,
        {"key_unknown", "Find out whether the request took effect before sending it under a new key."}},
    error_row{error_kind::CrashesServers,
        {"ends_servers", "Change the request, or have an operator clear it once the servers bear it."}},
    error_row{error_kind::BadFrame, {"bad_frame", "Run the same release on both instances."}},
    error_row{error_kind::Internal, {"internal", "Report this with the log lines around it."}},
};

constexpr bool inOrderOfKinds()
{
    for (std::size_t i = 0; i < errorTable.size(); ++i) {
        if (static_cast<std::size_t>(errorTable[i].kind) != i) {
            return false;
        }
    }
    return errorTable.back().kind == error_kind::Internal;
}
static_assert(inOrderOfKinds(), "textOf() indexes the table by kind, so it holds every kind in order");

}

const error_text &textOf(error_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    return index < errorTable.size() ? errorTable[index].text : errorTable.back().text;
}

std::string message(const error &why)
{
    std::string line;
    if (!why.where.empty()) {
        line += why.where + ": ";
    }
    // Falls back to the error code when there is no detail, so that the line always says what went wrong.
    line += why.detail.empty() ? std::string(textOf(why.kind).code) : why.detail;
    line += ". ";
    line += textOf(why.kind).remedy;
    return line;
}

}
