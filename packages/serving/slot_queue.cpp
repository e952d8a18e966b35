#include "serving/slot_queue.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// A word of an end may be lost; a grant is forgotten this long after its caller's deadline.
constexpr millis expiryMargin{500};
/// Measured speeds are mixed in at this share, from busy spans of at least the given length and tokens.
constexpr double speedShare = 0.3;
constexpr std::int64_t measuredSpanMs = 100;
constexpr double slowestSpeed = 1.0;
constexpr double fastestSpeed = 200.0;

bool goesBefore(const waiting_prompt &a, const waiting_prompt &b)
{
    return a.rank != b.rank ? a.rank < b.rank : a.arrived < b.arrived;
}

std::int64_t memoryInUse(const slot_queue &queue)
{
    std::int64_t sum = 0;
    for (const auto &[id, one] : queue.running) {
        sum += one.prompt.promptTokens + one.prompt.outputTokens;
    }
    return sum;
}

bool hasRoom(const slot_queue &queue, const waiting_prompt &prompt)
{
    if (queue.running.empty()) {
        return true;
    }
    const std::int64_t reading = readingTokens(queue);
    const auto window = static_cast<std::int64_t>(queue.tokensPerMs * maxReadAheadMs);
    const bool reads = reading == 0 || reading + prompt.promptTokens <= window;
    const auto memory =
        static_cast<std::int64_t>(maxMemoryFraction * static_cast<double>(queue.memoryTokens));
    const bool fits = memoryInUse(queue) + prompt.promptTokens + prompt.outputTokens <= memory;
    return reads && fits && queue.running.size() < static_cast<std::size_t>(queue.maxRunning);
}

/// Index of the prompt whose turn it is: the first that can be on time, else the first.
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

void measure(slot_queue &queue, std::int64_t tokens, millis now)
{
    queue.readTokens += tokens;
    const std::int64_t span = (now - queue.busySince).count;
    if (queue.busySince.count != 0 && span >= measuredSpanMs) {
        const double seen = static_cast<double>(queue.readTokens) / static_cast<double>(span);
        queue.tokensPerMs =
            std::clamp(queue.tokensPerMs * (1 - speedShare) + seen * speedShare, slowestSpeed, fastestSpeed);
        queue.busySince = now;
        queue.readTokens = 0;
    }
    if (readingTokens(queue) == 0) {
        queue.busySince = {};
        queue.readTokens = 0;
    }
}

}

std::int64_t readingTokens(const slot_queue &queue)
{
    std::int64_t sum = 0;
    for (const auto &[id, one] : queue.running) {
        sum += one.reading ? one.prompt.promptTokens : 0;
    }
    return sum;
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
    return std::any_of(queue.waiting.begin(), queue.waiting.end(), [&id](const waiting_prompt &each) {
        return each.id == id;
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
    const auto at = std::upper_bound(queue.waiting.begin(), queue.waiting.end(), prompt, goesBefore);
    queue.waiting.insert(at, prompt);
    return {true, false, wait};
}

std::vector<waiting_prompt> admitReady(slot_queue &queue,
    const std::function<bool(const waiting_prompt &)> &ready, std::vector<waiting_prompt> &late, millis now,
    std::size_t most)
{
    std::erase_if(queue.waiting, [&](const waiting_prompt &prompt) {
        const bool over = prompt.startBy < now;
        if (over) {
            late.push_back(prompt);
        }
        return over;
    });
    std::vector<waiting_prompt> in;
    while (in.size() < most) {
        const auto next = nextPrompt(queue, ready, now);
        if (!next) {
            break;
        }
        const waiting_prompt prompt = queue.waiting[*next];
        if (!hasRoom(queue, prompt)) {
            break; // a smaller one behind it must not starve the largest
        }
        if (queue.busySince.count == 0) {
            queue.busySince = now;
            queue.readTokens = 0;
        }
        queue.running.emplace(prompt.id, running_prompt{prompt, now, true});
        in.push_back(prompt);
        queue.waiting.erase(queue.waiting.begin() + static_cast<std::ptrdiff_t>(*next));
    }
    return in;
}

void onFirstToken(slot_queue &queue, const std::string &id, millis now)
{
    const auto found = queue.running.find(id);
    if (found != queue.running.end() && found->second.reading) {
        found->second.reading = false;
        measure(queue, found->second.prompt.promptTokens, now);
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
    running_prompt one = std::move(found->second);
    queue.running.erase(found);
    if (one.reading) {
        measure(queue, 0, now);
    }
    return one;
}

std::vector<running_prompt> removeExpired(slot_queue &queue, millis now)
{
    std::vector<std::string> ids;
    for (const auto &[id, one] : queue.running) {
        if (one.prompt.deadline + expiryMargin < now) {
            ids.push_back(id);
        }
    }
    std::vector<running_prompt> out;
    for (const std::string &id : ids) {
        if (auto one = removePrompt(queue, id, now)) {
            out.push_back(std::move(*one));
        }
    }
    return out;
}

}
