#include "standins/engine_batch.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhead {

namespace {

using nlohmann::json;

/// The first token says what the answer belongs to, so that a test can tell whose answer it holds.
std::string tokenText(const standin_run &run)
{
    if (run.made == 0) {
        return '[' + run.ran + ' ' + run.requestId + ' ' + run.promptHash + "] ";
    }
    return 't' + std::to_string(run.made) + ' ';
}

std::string chunkOf(const standin_run &run, const std::string &text, bool last)
{
    json choice{{"index", 0}, {"finish_reason", last ? json("stop") : json(nullptr)}};
    if (run.chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    json chunk{{"id", run.requestId}, {"object", run.chat ? "chat.completion.chunk" : "text_completion"},
        {"model", run.ran}, {"choices", json::array({choice})}};
    if (last) {
        chunk["usage"] = {{"completion_tokens", run.tokens}};
    }
    return "data: " + chunk.dump() + "\n\n";
}

}

engine_batch::engine_batch(loop &eventLoop, const batch_options &options, on_end onEnd, on_cache onCache)
    : m_loop(eventLoop)
    , m_options(options)
    , m_onEnd(std::move(onEnd))
    , m_onCache(std::move(onCache))
{
}

void engine_batch::accept(standin_run_ptr run)
{
    run->accepted = bootNow();
    const std::uint32_t rank = run->rank;
    m_queue.emplace(rank, std::move(run));
    if (!m_stepTimer && !m_paused) {
        m_nextStepMs = static_cast<double>(bootNow().count);
        admit();
        scheduleStep();
    }
}

void engine_batch::breakOff(const std::function<bool(const standin_run &)> &which, std::string_view how)
{
    std::vector<standin_run_ptr> broken;
    std::erase_if(m_running, [&](const standin_run_ptr &run) {
        return which(*run) && (broken.push_back(run), true);
    });
    std::erase_if(m_queue, [&](const auto &entry) {
        return which(*entry.second) && (broken.push_back(entry.second), true);
    });
    for (const standin_run_ptr &run : broken) {
        run->reply->abort();
        finishWith(run, how);
    }
}

bool engine_batch::serves(const std::string &adapter) const
{
    const auto isOnIt = [&](const standin_run_ptr &run) {
        return run->ran == adapter;
    };
    return std::any_of(m_running.begin(), m_running.end(), isOnIt)
        || std::any_of(m_queue.begin(), m_queue.end(), [&](const auto &entry) {
               return isOnIt(entry.second);
           });
}

void engine_batch::setPaused(bool paused)
{
    m_paused = paused;
    m_stepTimer = nullptr;
    if (!paused) {
        m_nextStepMs = static_cast<double>(bootNow().count);
        admit();
        scheduleStep();
    }
}

void engine_batch::dropInsideEvent(bool inside)
{
    m_dropInsideEvent = inside;
}

void engine_batch::dropAfter(std::int64_t tokens)
{
    m_dropAfter = tokens;
}

void engine_batch::clearCache()
{
    m_cache.clear();
}

const std::vector<standin_run_ptr> &engine_batch::running() const
{
    return m_running;
}

std::size_t engine_batch::queued() const
{
    return m_queue.size();
}

std::uint64_t engine_batch::busySteps() const
{
    return m_busySteps;
}

std::uint64_t engine_batch::tokensMade() const
{
    return m_tokensMade;
}

double engine_batch::meanFill() const
{
    return m_busySteps == 0 ? 0 : m_fillSum / static_cast<double>(m_busySteps);
}

void engine_batch::admit()
{
    dropExpired();
    while (!m_queue.empty() && m_running.size() < m_options.limit) {
        const standin_run_ptr run = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        start(run);
    }
}

void engine_batch::dropExpired()
{
    const millis now = bootNow();
    std::erase_if(m_queue, [&](const auto &entry) {
        const bool expired = entry.second->deadlineAt < now;
        if (expired) {
            finishWith(entry.second, "expired");
        }
        return expired;
    });
}

void engine_batch::start(const standin_run_ptr &run)
{
    run->started = bootNow();
    run->prefillLeft = touchPrefix(*run) ? 0 : m_options.prefillSteps;
    if (m_dropAfter == 0) {
        run->reply->abort();
        finishWith(run, "dropped");
        return;
    }
    header_list headers{{"Content-Type", "text/event-stream"}, {"X-Adapter", run->ran}};
    headers.insert(headers.end(), run->words.begin(), run->words.end());
    run->reply->begin(200, headers);
    m_running.push_back(run);
}

bool engine_batch::advance(const standin_run_ptr &run)
{
    if (run->prefillLeft > 0) {
        --run->prefillLeft;
        return true;
    }
    if (m_dropInsideEvent && m_dropAfter > 0 && run->made >= m_dropAfter) {
        run->reply->abort();
        finishWith(run, "dropped");
        return false;
    }
    emitToken(*run);
    if (run->made == run->tokens) {
        run->reply->write("data: [DONE]\n\n");
        run->reply->end();
        finishWith(run, "finished");
        return false;
    }
    if (m_dropInsideEvent && m_dropAfter > 0 && run->made >= m_dropAfter) {
        run->reply->write("data: {\"ha"); // leaves before the next step
        return true;
    }
    if (m_dropAfter > 0 && run->made >= m_dropAfter) {
        run->reply->abort();
        finishWith(run, "dropped");
        return false;
    }
    return true;
}

void engine_batch::emitToken(standin_run &run)
{
    const std::string text = tokenText(run);
    ++run.made;
    ++m_tokensMade;
    run.reply->write(chunkOf(run, text, run.made == run.tokens));
}

void engine_batch::step()
{
    m_stepTimer = nullptr;
    if (!m_running.empty()) {
        ++m_busySteps;
        m_fillSum += static_cast<double>(m_running.size()) / m_options.limit;
    }
    std::erase_if(m_running, [this](const standin_run_ptr &run) {
        return !advance(run);
    });
    admit();
    scheduleStep();
}

void engine_batch::scheduleStep()
{
    if (m_running.empty() || m_paused) {
        return;
    }
    // Counted from the last step's due time, so that the loop's own delay doesn't add up over steps.
    m_nextStepMs += m_options.stepMs + m_options.stepMsPerSequence * static_cast<double>(m_running.size());
    const auto now = static_cast<double>(bootNow().count);
    m_nextStepMs = std::max(m_nextStepMs, now);
    m_stepTimer = m_loop.timer({std::llround(m_nextStepMs - now)}, {}, [this] {
        step();
    });
}

void engine_batch::finishWith(const standin_run_ptr &run, std::string_view how)
{
    m_onEnd(*run, how);
    run->reply = nullptr;
}

bool engine_batch::touchPrefix(const standin_run &run)
{
    const std::pair key(run.ran, run.prefix);
    const auto found = std::find(m_cache.begin(), m_cache.end(), key);
    if (found != m_cache.end()) {
        m_cache.splice(m_cache.begin(), m_cache, found);
        return true;
    }
    m_cache.push_front(key);
    m_onCache(key.first, key.second, true);
    if (m_cache.size() > m_options.cachedPrefixes) {
        m_onCache(m_cache.back().first, m_cache.back().second, false);
        m_cache.pop_back();
    }
    return false;
}

}
