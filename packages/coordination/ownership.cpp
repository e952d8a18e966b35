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

/// Renewals that may fail in a row before the lease is lost.
constexpr std::int64_t renewalsPerLease = 3;

constexpr std::uint64_t hashBits = 16;
constexpr std::uint64_t hashMask = (1U << hashBits) - 1;
constexpr std::uint64_t roundMask = 0xff;

/// Clocks of two instances may run apart by this part of the time they measure.
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

/// What the holder of a server does about it.
ownership_step holdersStep(const ownership_view &view)
{
    // A release is a write to the record, so it waits for the service; meanwhile the server is served.
    if (!view.serviceUp) {
        return ownership_step::Keep;
    }
    if (view.holderSessionGone && !view.selfLeaving) {
        // Guards against two owners after a lapse: a new session doesn't bring the old tenure back, since
        // another daemon may have seen the old one gone and be writing its own name. Only the swap decides.
        return view.selfLeased ? ownership_step::TakeOver : ownership_step::Wait;
    }
    // Not settled: a release would tell the next owner that no unload is on its way, and one of the owner
    // before may be.
    const bool spare = view.proposed != view.self && !view.proposed.empty() && view.owned > view.fairShare;
    return (view.selfLeaving || spare) && view.settled ? ownership_step::Release : ownership_step::Keep;
}

/// Whether nobody can give orders by the record's present tenure, as far as that must be excluded.
///
/// An engine that checks fencing refuses the old owner from the new one's first order on, so there a dead
/// holder's lease need not be waited for. On any other engine a holder that looks dead may be paused and
/// wake up, which would show as an adapter unloaded under a request; there only the service's word counts.
bool orphaned(const ownership_view &view)
{
    return view.holder.empty() || view.holderSessionGone || (view.holderDead && view.checksFencing);
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

millis pacedPause(std::size_t members)
{
    return {static_cast<std::int64_t>(static_cast<double>(members) * 1000.0 / renewalsPerSecond)};
}

millis renewInterval(millis leaseTtl, std::size_t members)
{
    return {std::max(leaseTtl.count / renewalsPerLease, pacedPause(members).count)};
}

millis leaseLength(millis leaseTtl, std::size_t members)
{
    return {std::max(leaseTtl.count, renewInterval(leaseTtl, members).count * renewalsPerLease)};
}

ownership_step decideOwnership(const ownership_view &view)
{
    if (view.holderMine) {
        return holdersStep(view);
    }
    if (view.selfLeaving || view.proposed != view.self) {
        return ownership_step::Keep;
    }
    if (!orphaned(view)) {
        return view.holderDead ? ownership_step::Wait : ownership_step::Keep;
    }
    if (!view.serviceUp) {
        return view.checksFencing ? ownership_step::ClaimOnEngine : ownership_step::Wait;
    }
    return view.selfLeased ? ownership_step::TakeOver : ownership_step::Wait;
}

bool isOrderAllowed(order_kind kind, bool checksFencing, millis leaseUntil, millis now)
{
    if (checksFencing) {
        return true;
    }
    // Guards against an old owner that unloads what its successor serves: it would show as a stream broken in
    // its middle. An unload or a change of role ends with the lease; a run or a load into a free slot takes
    // nothing from a successor, which leaves the slots alone until earliestEvictionTime.
    const bool harmless = kind == order_kind::Run || kind == order_kind::LoadFree;
    return now < (harmless ? leaseUntil + millis{leaseExpiryGraceMs} : leaseUntil);
}

millis earliestRunTime(millis takenAt, bool checksFencing, bool oldReleasedInOrder)
{
    // On an engine that doesn't check fencing, an unload sent at the very end of the old lease may still be
    // on its way. A run admitted before it lands would be served by an adapter that is about to go.
    return checksFencing || oldReleasedInOrder ? takenAt : takenAt + millis{maxOrderLatencyMs};
}

millis earliestEvictionTime(millis takenAt, millis maxDeadline, bool oldReleasedInOrder, millis releasedDrain)
{
    if (oldReleasedInOrder) {
        return takenAt + releasedDrain;
    }
    // The old owner may be unaware that its tenure has ended. By mayOrder it admits runs for
    // leaseExpiryGraceMs after its lease's end, which the service saw no later than `takenAt`; the last of
    // these reaches the engine within maxOrderLatencyMs and ends by its deadline, at most maxDeadline later.
    // Its clock may be slower than ours, so the sum is stretched. Only then can no adapter be in use that we
    // don't know of.
    const std::int64_t tenureMs = leaseExpiryGraceMs + maxOrderLatencyMs + maxDeadline.count;
    return takenAt + millis{tenureMs + tenureMs * clockDriftPerThousand / 1000};
}

millis drainAtRelease(millis now, millis streamsEnd, millis earliestEvictAt)
{
    // Guards against a chain: a paused owner, its successor, and a third that takes the successor's release
    // for the end of all earlier work and unloads what the first, awake again within its grace, runs on.
    return std::max(std::max(streamsEnd, earliestEvictAt), now) - now;
}

}
