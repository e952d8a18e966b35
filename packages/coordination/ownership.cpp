#include "coordination/ownership.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace briarhead {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> stepNames{
    "keep", "take_over", "claim_on_engine", "release", "wait"};
static_assert(stepNames.size() == static_cast<std::size_t>(ownership_step::Wait) + 1);

/// Renewals in a row that must fail before the lease is lost.
constexpr std::int64_t renewalsPerLease = 3;

constexpr std::uint64_t hashBits = 16;
constexpr std::uint64_t hashMask = (1U << hashBits) - 1;
constexpr std::uint64_t roundMask = 0xff;

/// Upper bound of the drift between the clocks of two instances.
constexpr std::int64_t clockDriftPerThousand = 1;

std::optional<json> parseObject(std::string_view text, const char *where, error &why)
{
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        why = {error_kind::BadFrame, where, "not a JSON object"};
        return std::nullopt;
    }
    return parsed;
}

bool readText(const json &from, const char *name, std::string &into)
{
    const auto field = from.find(name);
    if (field == from.end() || !field->is_string()) {
        return false;
    }
    into = field->get<std::string>();
    return true;
}

bool readCount(const json &from, const char *name, std::uint64_t &into)
{
    const auto field = from.find(name);
    if (field == from.end() || !field->is_number_unsigned()) {
        return false;
    }
    into = field->get<std::uint64_t>();
    return true;
}

bool readSpan(const json &from, const char *name, std::int64_t &into)
{
    std::uint64_t count = 0;
    if (!readCount(from, name, count) || !std::in_range<std::int64_t>(count)) {
        return false;
    }
    into = static_cast<std::int64_t>(count);
    return true;
}

bool readTexts(const json &from, const char *name, std::vector<std::string> &into)
{
    const auto field = from.find(name);
    if (field == from.end() || !field->is_array()) {
        return false;
    }
    for (const json &text : *field) {
        if (!text.is_string()) {
            return false;
        }
        into.push_back(text.get<std::string>());
    }
    return true;
}

/// The next step of the daemon that owns the server by the record.
ownership_step ownersStep(const ownership_view &view)
{
    // A release writes the record, so it waits until the service is reachable; meanwhile this daemon goes on
    // serving the server.
    if (!view.serviceReachable) {
        return ownership_step::Keep;
    }
    if (view.ownerSessionEnded && !view.selfLeaving) {
        // Guards against two owners after the lease has expired: a new session doesn't restore the ownership,
        // since another daemon may have seen the old session end and be writing its own name. Only the
        // compare-and-swap decides.
        return view.selfHasLease ? ownership_step::TakeOver : ownership_step::Wait;
    }
    // A release states that no unload is in flight, so it must wait until those of the predecessor can no
    // longer arrive.
    const bool aboveFairShare =
        view.preferredOwner != view.self && !view.preferredOwner.empty() && view.ownedCount > view.fairShare;
    return (view.selfLeaving || aboveFairShare) && view.predecessorUnloadsDone ? ownership_step::Release
                                                                               : ownership_step::Keep;
}

/// Whether the server can be taken over as far as its recorded owner is concerned.
///
/// An engine that checks fencing refuses the old owner from the new owner's first order on, so a dead owner's
/// lease need not expire first. On any other engine, an owner that looks dead may only be paused and resume
/// later, and would then unload an adapter while a request runs on it; so its session must have ended.
bool hasNoOwner(const ownership_view &view)
{
    return view.owner.empty() || view.ownerSessionEnded || (view.ownerDead && view.checksFencing);
}

}

std::string_view nameOf(ownership_step value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < stepNames.size() ? stepNames[index] : stepNames.back();
}

std::string ownerRecordKey(std::string_view server)
{
    return "briarhead/owner/" + std::string(server);
}

std::string ownerSessionKey(std::string_view instance)
{
    return "briarhead/session/" + std::string(instance);
}

std::string toJson(const owner_record &record)
{
    const json text{{"owner", record.owner}, {"incarnation", record.incarnation}, {"epoch", record.epoch},
        {"drain_ms", record.drainMs}, {"pinned", record.pinned}};
    return text.dump();
}

std::optional<owner_record> parseOwnerRecord(std::string_view text, error &why)
{
    const auto from = parseObject(text, "owner record", why);
    if (!from) {
        return std::nullopt;
    }
    owner_record record;
    const bool whole = readText(*from, "owner", record.owner)
        && readCount(*from, "incarnation", record.incarnation) && readCount(*from, "epoch", record.epoch)
        && readSpan(*from, "drain_ms", record.drainMs) && readTexts(*from, "pinned", record.pinned);
    if (!whole || record.epoch > epochOf(~std::uint64_t{0})) {
        why = {error_kind::BadFrame, "owner record",
            "expected owner, incarnation, epoch (40 bits), drain_ms and pinned"};
        return std::nullopt;
    }
    return record;
}

std::string toJson(const session_record &record)
{
    return json{{"incarnation", record.incarnation}, {"lease_ttl_ms", record.leaseTtlMs}}.dump();
}

std::optional<session_record> parseSessionRecord(std::string_view text, error &why)
{
    const auto from = parseObject(text, "session record", why);
    if (!from) {
        return std::nullopt;
    }
    session_record record;
    if (!readCount(*from, "incarnation", record.incarnation)
        || !readSpan(*from, "lease_ttl_ms", record.leaseTtlMs)) {
        why = {error_kind::BadFrame, "session record", "expected incarnation and lease_ttl_ms"};
        return std::nullopt;
    }
    return record;
}

std::optional<std::uint64_t> outageFencingToken(std::uint64_t seen, std::string_view instance)
{
    const std::uint64_t round = ((seen >> hashBits) & roundMask) + 1;
    if (round > roundMask) {
        return std::nullopt;
    }
    const std::uint64_t hash = XXH3_64bits(instance.data(), instance.size()) & hashMask;
    return fencingTokenOf(epochOf(seen)) | (round << hashBits) | hash;
}

millis fleetCallInterval(std::size_t members)
{
    return {static_cast<std::int64_t>(static_cast<double>(members) * 1000.0 / maxFleetCallsPerSecond)};
}

millis renewIntervalFor(millis leaseTtl, std::size_t members)
{
    return {std::max(leaseTtl.count / renewalsPerLease, fleetCallInterval(members).count)};
}

millis leaseTtlFor(millis leaseTtl, std::size_t members)
{
    return {std::max(leaseTtl.count, renewIntervalFor(leaseTtl, members).count * renewalsPerLease)};
}

ownership_step decideOwnership(const ownership_view &view)
{
    if (view.ownedBySelf) {
        return ownersStep(view);
    }
    if (view.selfLeaving || view.preferredOwner != view.self) {
        return ownership_step::Keep;
    }
    if (!hasNoOwner(view)) {
        return view.ownerDead ? ownership_step::Wait : ownership_step::Keep;
    }
    if (!view.serviceReachable) {
        return view.checksFencing ? ownership_step::ClaimOnEngine : ownership_step::Wait;
    }
    return view.selfHasLease ? ownership_step::TakeOver : ownership_step::Wait;
}

bool isOrderAllowed(order_kind kind, bool checksFencing, millis leaseUntil, millis now)
{
    if (checksFencing) {
        return true;
    }
    // Guards against an old owner that unloads an adapter on which its successor runs a request, which breaks
    // the stream. Unloads and role changes end with the lease. A run or a load into a free slot can't harm
    // the successor, which evicts nothing before its earliestEvictionTime.
    const bool harmless = kind == order_kind::Run || kind == order_kind::LoadFree;
    return now < (harmless ? leaseUntil + millis{leaseExpiryGraceMs} : leaseUntil);
}

millis earliestRunTime(millis takeoverAt, bool checksFencing, bool predecessorReleased)
{
    // On an engine that doesn't check fencing, an unload sent at the very end of the old lease may still be
    // in flight. A run admitted before it arrives would lose its adapter.
    return checksFencing || predecessorReleased ? takeoverAt : takeoverAt + millis{maxOrderLatencyMs};
}

millis earliestEvictionTime(
    millis takeoverAt, millis maxDeadline, bool predecessorReleased, millis releasedDrain)
{
    if (predecessorReleased) {
        return takeoverAt + releasedDrain;
    }
    // The previous owner may not know that its ownership has ended. By isOrderAllowed() it admits runs until
    // leaseExpiryGraceMs after its lease's end, which was no later than `takeoverAt`; the last of these
    // reaches the engine within maxOrderLatencyMs and ends by its deadline, at most maxDeadline later. Its
    // clock may be slower than this daemon's, so the sum is extended by the clock drift. Before then an
    // adapter may be in use without this daemon's knowledge.
    const std::int64_t remainingUseMs = leaseExpiryGraceMs + maxOrderLatencyMs + maxDeadline.count;
    return takeoverAt + millis{remainingUseMs + remainingUseMs * clockDriftPerThousand / 1000};
}

millis drainAtRelease(millis now, millis streamsEnd, millis earliestEvictAt)
{
    // Guards against a chain of three owners: the first is paused, the second releases the server, and the
    // third takes that release for the end of all earlier requests and unloads an adapter on which the first,
    // resumed within its grace period, still runs requests.
    return std::max(std::max(streamsEnd, earliestEvictAt), now) - now;
}

}
