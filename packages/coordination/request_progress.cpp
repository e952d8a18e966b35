#include "coordination/request_progress.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace briarhead {

namespace {

constexpr std::size_t stageCount = static_cast<std::size_t>(lastOf(request_stage{})) + 1;

constexpr unsigned bitOf(request_stage stage)
{
    return 1U << static_cast<unsigned>(stage);
}

/// The stages that may follow each stage.
constexpr std::array<unsigned, stageCount> followers{
    // Choosing; it follows itself where a server is left out before anything was requested from its owner
    bitOf(request_stage::Choosing) | bitOf(request_stage::AwaitingSlot) | bitOf(request_stage::AwaitingUnits)
        | bitOf(request_stage::Sent) | bitOf(request_stage::Finished),
    // AwaitingSlot
    bitOf(request_stage::Choosing) | bitOf(request_stage::AwaitingUnits) | bitOf(request_stage::Sent)
        | bitOf(request_stage::Finished),
    // AwaitingUnits
    bitOf(request_stage::Choosing) | bitOf(request_stage::AwaitingUnits) | bitOf(request_stage::Sent)
        | bitOf(request_stage::Finished),
    // Sent
    bitOf(request_stage::CheckingEnd) | bitOf(request_stage::Judged) | bitOf(request_stage::Finished),
    // CheckingEnd
    bitOf(request_stage::Judged) | bitOf(request_stage::Finished),
    // Judged
    bitOf(request_stage::Choosing) | bitOf(request_stage::Finished),
    // Finished
    0,
};

}

std::string_view nameOf(request_stage value)
{
    static constexpr std::array<std::string_view, stageCount> names{
        "choosing", "awaiting_slot", "awaiting_units", "sent", "checking_end", "judged", "finished"};
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(send_objection value)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(lastOf(send_objection{})) + 1>
        names{"none", "in_progress", "caller_has_bytes", "may_have_run", "servers_used_up", "same_server"};
    return names[static_cast<std::size_t>(value)];
}

bool mayChange(request_stage from, request_stage to)
{
    return (followers[static_cast<std::size_t>(from)] & bitOf(to)) != 0;
}

bool changeStage(request_progress &progress, request_stage next)
{
    if (!mayChange(progress.stage, next)) {
        return false;
    }
    progress.stage = next;
    return true;
}

bool isAtServer(const request_progress &progress)
{
    return progress.stage == request_stage::Sent || progress.stage == request_stage::CheckingEnd;
}

bool isBeforeSend(const request_progress &progress)
{
    return !isAtServer(progress) && progress.stage != request_stage::Finished;
}

void recordSend(request_progress &progress, const std::string &server)
{
    progress.sentTo.insert(server);
    progress.mayHaveRunOn.insert(server);
}

void recordNotSent(request_progress &progress, const std::string &server)
{
    progress.sentTo.erase(server);
    progress.mayHaveRunOn.erase(server);
}

void recordNotRun(request_progress &progress, const std::string &server)
{
    progress.mayHaveRunOn.erase(server);
}

void recordForwarded(request_progress &progress, caller_content content)
{
    progress.callerHas = std::max(progress.callerHas, content);
}

bool canBeContinued(const request_progress &progress, repeatability repeats)
{
    return progress.callerHas == caller_content::Nothing
        || (progress.callerHas == caller_content::Events && repeats == repeatability::AfterLastEvent);
}

bool mayRepeat(const request_progress &progress, repeatability repeats)
{
    return repeats != repeatability::Never && canBeContinued(progress, repeats);
}

bool mayHaveRun(const request_progress &progress)
{
    return !progress.mayHaveRunOn.empty();
}

bool mayTryAnotherServer(const request_progress &progress, int maxServers)
{
    return static_cast<int>(progress.sentTo.size()) < std::max(maxServers, 1);
}

send_objection objectionToSend(const request_progress &progress, repeatability repeats, int maxServers)
{
    if (!isBeforeSend(progress)) {
        return send_objection::InProgress;
    }
    if (!canBeContinued(progress, repeats)) {
        return send_objection::CallerHasBytes;
    }
    if (mayHaveRun(progress) && repeats == repeatability::Never) {
        return send_objection::MayHaveRun;
    }
    return mayTryAnotherServer(progress, maxServers) ? send_objection::None : send_objection::ServersUsedUp;
}

send_objection objectionToSend(
    const request_progress &progress, repeatability repeats, int maxServers, const std::string &server)
{
    const send_objection objection = objectionToSend(progress, repeats, maxServers);
    const bool again = objection == send_objection::None && progress.sentTo.count(server) != 0;
    return again ? send_objection::SameServer : objection;
}

}
