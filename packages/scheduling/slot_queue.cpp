#include "scheduling/slot_queue.h"

#include "scheduling/gap_forecast.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// The report of a prompt's end may be lost; its slot is reclaimed this long after the caller's deadline.
constexpr millis expiryGrace{500};
/// Weight of a new measurement of the prefill speed, taken over a busy span of at least minMeasuredSpanMs.
constexpr double speedWeight = 0.3;
constexpr std::int64_t minMeasuredSpanMs = 100;
constexpr double minTokensPerMs = 1.0;
constexpr double maxTokensPerMs = 200.0;
/// Routes of larger ranks count as equal within an account.
constexpr int maxRouteRank = 9;

constexpr std::uint32_t tagOf(slot_field field)
{
    return static_cast<std::uint32_t>(field);
}

bool precedes(const waiting_prompt &a, const waiting_prompt &b)
{
    return a.rank != b.rank ? a.rank < b.rank : a.arrived < b.arrived;
}

std::int64_t memoryInUse(const slot_queue &queue)
{
    std::int64_t sum = 0;
    for (const auto &[id, run] : queue.running) {
        sum += run.prompt.promptTokens + run.prompt.outputTokens;
    }
    return sum;
}

/// Whether the stream has a limit on its gaps that can still be kept.
bool hasGapLimit(const running_prompt &run)
{
    return !run.reading && !run.gapLost && run.prompt.terms.maxGap.count > 0;
}

/// Marks the streams whose limit the admitted prompt breaks by itself: no later prompt needs to spare them.
void recordLostGaps(slot_queue &queue, const waiting_prompt &admitted, millis now)
{
    const double gapMs = forecastGapMs({gapTokensPerMs(queue, now), 0}, admitted.promptTokens);
    for (auto &[id, run] : queue.running) {
        run.gapLost =
            run.gapLost || (hasGapLimit(run) && gapMs > static_cast<double>(run.prompt.terms.maxGap.count));
    }
}

bool hasCapacity(const slot_queue &queue, const waiting_prompt &prompt, millis now)
{
    if (queue.running.empty()) {
        return true;
    }
    const std::int64_t reading = readingTokens(queue);
    const bool withinReadAhead =
        reading == 0 || reading + prompt.promptTokens <= maxReadingTokens(queue, now);
    const auto memory =
        static_cast<std::int64_t>(maxMemoryFraction * static_cast<double>(queue.memoryTokens));
    const bool fits = memoryInUse(queue) + prompt.promptTokens + prompt.outputTokens <= memory;
    return withinReadAhead && fits && queue.running.size() < static_cast<std::size_t>(queue.maxRunning);
}

/// Index of the next prompt to admit: the first ready one that can meet its target, else the first ready one
/// of the lowest rank.
std::optional<std::size_t> nextPrompt(
    const slot_queue &queue, const std::function<bool(const waiting_prompt &)> &ready, millis now)
{
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < queue.waiting.size(); ++i) {
        if (!ready(queue.waiting[i])) {
            continue;
        }
        if (first && queue.waiting[*first].rank < queue.waiting[i].rank) {
            break;
        }
        if (canBeOnTime(queue, queue.waiting[i], now)) {
            return i;
        }
        first = first ? first : i;
    }
    return first;
}

void updateSpeed(slot_queue &queue, std::int64_t tokens, millis now)
{
    queue.readTokens += tokens;
    const std::int64_t span = (now - queue.busySince).count;
    if (queue.busySince.count != 0 && span >= minMeasuredSpanMs) {
        const double measured = static_cast<double>(queue.readTokens) / static_cast<double>(span);
        queue.tokensPerMs = std::clamp(
            queue.tokensPerMs * (1 - speedWeight) + measured * speedWeight, minTokensPerMs, maxTokensPerMs);
        queue.busySince = now;
        queue.readTokens = 0;
    }
    if (readingTokens(queue) == 0) {
        queue.busySince = {};
        queue.readTokens = 0;
    }
}

}

optional_fields encodeTerms(const slot_terms &terms)
{
    optional_fields fields;
    addField(fields, tagOf(slot_field::MaxGapMs), terms.maxGap.count, 0);
    addField(fields, tagOf(slot_field::RouteRank), terms.routeRank, noRouteRank);
    addField(fields, tagOf(slot_field::MaxRejections), terms.maxRejections, -1);
    return fields;
}

slot_terms decodeTerms(const optional_fields &fields)
{
    slot_terms terms;
    terms.maxGap = millis{std::max<std::int64_t>(fieldValue(fields, tagOf(slot_field::MaxGapMs), 0), 0)};
    const std::int64_t routeRank = fieldValue(fields, tagOf(slot_field::RouteRank), noRouteRank);
    terms.routeRank = static_cast<int>(std::clamp<std::int64_t>(routeRank, noRouteRank, maxRouteRank));
    terms.maxRejections =
        std::max<std::int64_t>(fieldValue(fields, tagOf(slot_field::MaxRejections), -1), -1);
    return terms;
}

int combinedRank(int rank, int routeRank)
{
    const int second = routeRank == noRouteRank ? rank : routeRank;
    return rank * (maxRouteRank + 1) + std::clamp(second, 0, maxRouteRank);
}

std::int64_t readingTokens(const slot_queue &queue)
{
    std::int64_t sum = 0;
    for (const auto &[id, run] : queue.running) {
        sum += run.reading ? run.prompt.promptTokens : 0;
    }
    return sum;
}

double gapTokensPerMs(const slot_queue &queue, millis now)
{
    const double learnt = prefillTokensPerMs(queue.speed, now);
    double slowest = learnt > 0 ? learnt : queue.tokensPerMs;
    for (const auto &[id, run] : queue.running) {
        if (run.reading && run.alone) {
            slowest = std::min(slowest,
                speedWithPrefillInProgress(
                    learnt > 0 ? learnt : queue.tokensPerMs, run.prompt.promptTokens, now - run.granted));
        }
    }
    return slowest;
}

std::uint32_t streamsWithGapLimit(const slot_queue &queue)
{
    return static_cast<std::uint32_t>(
        std::count_if(queue.running.begin(), queue.running.end(), [](const auto &each) {
            return hasGapLimit(each.second);
        }));
}

std::int64_t maxReadingTokens(const slot_queue &queue, millis now)
{
    double limitMs = 0;
    for (const auto &[id, run] : queue.running) {
        const auto maxGap = static_cast<double>(run.prompt.terms.maxGap.count);
        limitMs = hasGapLimit(run) && (limitMs == 0 || maxGap < limitMs) ? maxGap : limitMs;
    }
    const auto usual = static_cast<std::int64_t>(queue.tokensPerMs * maxReadAheadMs);
    return limitMs == 0
        ? usual
        : std::min(
            usual, maxTokensWithinGap({gapTokensPerMs(queue, now), 0}, limitMs * (1 - gapForecastError)));
}

std::int64_t backlogTokens(const slot_queue &queue)
{
    std::int64_t sum = readingTokens(queue);
    for (const waiting_prompt &prompt : queue.waiting) {
        sum += prompt.promptTokens;
    }
    return sum;
}

bool canBeOnTime(const slot_queue &queue, const waiting_prompt &prompt, millis now)
{
    const double readMs = static_cast<double>(readingTokens(queue) + prompt.promptTokens) / queue.tokensPerMs;
    return now + millis{std::llround(readMs)} + firstEventMargin <= prompt.targetAt;
}

bool isWaiting(const slot_queue &queue, const std::string &id)
{
    return std::any_of(queue.waiting.begin(), queue.waiting.end(), [&id](const waiting_prompt &prompt) {
        return prompt.id == id;
    });
}

enqueue_result enqueue(slot_queue &queue, const waiting_prompt &prompt, millis now)
{
    if (queue.running.count(prompt.id) != 0 || isWaiting(queue, prompt.id)) {
        return {true, true, {}};
    }
    std::int64_t ahead = readingTokens(queue);
    const bool onTime = canBeOnTime(queue, prompt, now);
    for (const waiting_prompt &other : queue.waiting) {
        const bool otherOnTime = canBeOnTime(queue, other, now);
        const bool before = other.rank == prompt.rank ? otherOnTime >= onTime : other.rank < prompt.rank;
        ahead += before ? other.promptTokens : 0;
    }
    const millis wait{std::llround(static_cast<double>(ahead) / queue.tokensPerMs)};
    if (now + wait > prompt.startBy) {
        return {false, false, wait};
    }
    const auto position = std::upper_bound(queue.waiting.begin(), queue.waiting.end(), prompt, precedes);
    queue.waiting.insert(position, prompt);
    return {true, false, wait};
}

std::vector<waiting_prompt> admitReady(slot_queue &queue,
    const std::function<bool(const waiting_prompt &)> &ready, std::vector<waiting_prompt> &late, millis now,
    std::size_t maxCount)
{
    std::erase_if(queue.waiting, [&](const waiting_prompt &prompt) {
        const bool expired = prompt.startBy < now;
        if (expired) {
            late.push_back(prompt);
        }
        return expired;
    });
    std::vector<waiting_prompt> admitted;
    while (admitted.size() < maxCount) {
        const auto next = nextPrompt(queue, ready, now);
        if (!next) {
            break;
        }
        const waiting_prompt prompt = queue.waiting[*next];
        if (!hasCapacity(queue, prompt, now)) {
            break; // admitting smaller prompts behind it would starve large ones
        }
        if (queue.busySince.count == 0) {
            queue.busySince = now;
            queue.readTokens = 0;
        }
        recordLostGaps(queue, prompt, now);
        const bool alone = readingTokens(queue) == 0;
        for (auto &[id, run] : queue.running) {
            run.alone = run.alone && !run.reading;
        }
        queue.running.emplace(prompt.id, running_prompt{prompt, now, true, alone});
        admitted.push_back(prompt);
        queue.waiting.erase(queue.waiting.begin() + static_cast<std::ptrdiff_t>(*next));
    }
    return admitted;
}

void onFirstToken(slot_queue &queue, const std::string &id, millis now)
{
    const auto found = queue.running.find(id);
    if (found != queue.running.end() && found->second.reading) {
        found->second.reading = false;
        if (found->second.alone) {
            recordPrefill(queue.speed, found->second.prompt.promptTokens, now - found->second.granted, now);
        }
        updateSpeed(queue, found->second.prompt.promptTokens, now);
    }
}

std::optional<running_prompt> removePrompt(slot_queue &queue, const std::string &id, millis now)
{
    std::erase_if(queue.waiting, [&id](const waiting_prompt &prompt) {
        return prompt.id == id;
    });
    const auto found = queue.running.find(id);
    if (found == queue.running.end()) {
        return std::nullopt;
    }
    running_prompt removed = std::move(found->second);
    queue.running.erase(found);
    if (removed.reading) {
        updateSpeed(queue, 0, now);
    }
    return removed;
}

std::vector<running_prompt> removeExpired(slot_queue &queue, millis now)
{
    std::vector<std::string> ids;
    for (const auto &[id, run] : queue.running) {
        if (run.prompt.deadline + expiryGrace < now) {
            ids.push_back(id);
        }
    }
    std::vector<running_prompt> out;
    for (const std::string &id : ids) {
        if (auto removed = removePrompt(queue, id, now)) {
            out.push_back(std::move(*removed));
        }
    }
    return out;
}

}
