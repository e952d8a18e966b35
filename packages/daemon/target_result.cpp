#include "daemon/target_result.h"

#include <algorithm>
#include <string_view>

namespace briarhead {

namespace {

constexpr std::string_view groupPrefix = "group:";

bool matchesCaller(std::string_view pattern, const config &configuration, const std::string &caller)
{
    if (pattern == "*" || pattern == caller) {
        return true;
    }
    if (!pattern.starts_with(groupPrefix)) {
        return false;
    }
    const auto found = configuration.callers.find(caller);
    if (found == configuration.callers.end()) {
        return false;
    }
    const auto &groups = found->second.groups;
    return std::find(groups.begin(), groups.end(), pattern.substr(groupPrefix.size())) != groups.end();
}

bool matchesAdapter(std::string_view pattern, std::string_view adapter)
{
    if (pattern.ends_with('*')) {
        return adapter.starts_with(pattern.substr(0, pattern.size() - 1));
    }
    return pattern == adapter;
}

/// Whether the caller caused the failure. KeyUnknown and KeyInProgress are responses to the repetition of a
/// request that is counted itself.
bool isCallersFault(error_kind why)
{
    switch (why) {
    case error_kind::BadRequest:
    case error_kind::Unauthorised:
    case error_kind::Forbidden:
    case error_kind::UnknownAdapter:
    case error_kind::UnknownService:
    case error_kind::TooLarge:
    case error_kind::KeyInProgress:
    case error_kind::KeyUnknown:
        return true;
    default:
        return false;
    }
}

burn_cause waitCause(const request_record &request)
{
    return request.stall > request.queued ? burn_cause::LoadStall : burn_cause::Queueing;
}

/// A timeout counts against the server unless no engine started the request or it waited at least half its
/// time.
burn_cause timeoutCause(const request_record &request)
{
    const millis waited = request.stall + request.queued;
    const bool mostlyWaited = waited > millis{0} && waited + waited >= request.endToEnd;
    return request.result == outcome::NotRun || mostlyWaited ? waitCause(request) : burn_cause::FailedServer;
}

burn_cause failureCause(const request_record &request)
{
    switch (request.why) {
    case error_kind::Overloaded:
    case error_kind::DeadlineTooShort:
    case error_kind::NotReady:
        return burn_cause::Refusal;
    case error_kind::LoadFailed:
        return burn_cause::LoadStall;
    case error_kind::NoServer:
    case error_kind::ConnectionLost:
        return burn_cause::FailedServer;
    case error_kind::Timeout:
        return timeoutCause(request);
    default:
        return burn_cause::Other;
    }
}

/// By how much the request exceeded the target, 0 if it met it. Plain services have no first token.
millis lateness(const target_config &target, const request_record &request)
{
    millis excess;
    if (target.firstToken > millis{0} && !request.service) {
        // A response without tokens reached its caller only when it was complete.
        const millis first = request.firstToken > millis{0} ? request.firstToken : request.endToEnd;
        excess = std::max(excess, first - target.firstToken);
    }
    if (target.endToEnd > millis{0}) {
        excess = std::max(excess, request.endToEnd - target.endToEnd);
    }
    return excess;
}

}

bool appliesTo(const target_config &target, const config &configuration, const request_record &request)
{
    if (!matchesCaller(target.callers, configuration, request.caller)) {
        return false;
    }
    return target.adapters.empty() || (!request.service && matchesAdapter(target.adapters, request.adapter));
}

std::optional<target_result> evaluate(const target_config &target, const request_record &request)
{
    if (request.result != outcome::Done) {
        if (isCallersFault(request.why)) {
            return std::nullopt;
        }
        return target_result{true, failureCause(request)};
    }
    const millis excess = lateness(target, request);
    if (excess <= millis{0}) {
        return target_result{};
    }
    // Waiting is the cause if the request would have met the target without it.
    const bool waited = request.stall + request.queued >= excess;
    return target_result{true, waited ? waitCause(request) : burn_cause::Other};
}

}
