#pragma once

#include "state/clock.h"
#include "transport/http_server.h"
#include "transport/loop.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// How a stand-in engine makes tokens.
struct batch_options
{
    std::uint32_t limit = 16; ///< sequences that run at a time
    double stepMs = 9;
    double stepMsPerSequence = 0; ///< added to a step for each running sequence
    std::uint32_t prefillSteps = 0; ///< steps before the first token of a prompt whose head isn't cached
    std::size_t cachedPrefixes = 32;
};

/// One request on a stand-in engine.
struct standin_run
{
    std::string requestId;
    std::string asked; ///< "model" of the request
    std::string ran; ///< adapter and version it runs on
    std::string promptHash;
    std::uint64_t prefix = 0; ///< hash of the prompt's head
    std::uint64_t fencingToken = 0;
    std::uint32_t rank = 0;
    bool nonIdempotent = false;
    bool chat = false;
    std::uint32_t tokens = 0;
    std::uint32_t made = 0;
    std::uint32_t prefillLeft = 0;
    millis accepted;
    millis deadlineAt; ///< still queued by then: refused
    millis started; ///< 0: never
    std::shared_ptr<http_reply> reply;
    header_list words; ///< fields of its answer besides
};
using standin_run_ptr = std::shared_ptr<standin_run>;

/// Continuous batching: sequences join and leave at the boundary of a step, each step gives every running
/// sequence one token, and those beyond the limit queue by priority.
class engine_batch
{
public:
    /// How a run ended: "finished", "cancelled", "dropped", "broken" or "expired" (in the queue).
    using on_end = std::function<void(const standin_run &run, std::string_view how)>;
    using on_cache = std::function<void(const std::string &adapter, std::uint64_t prefix, bool stored)>;

    engine_batch(loop &eventLoop, const batch_options &options, on_end onEnd, on_cache onCache);

    void accept(standin_run_ptr run);
    /// Ends every run that `which` picks, running or queued, and breaks its stream off.
    void breakOff(const std::function<bool(const standin_run &)> &which, std::string_view how);
    bool serves(const std::string &adapter) const;
    void setPaused(bool paused);
    /// Breaks each stream off after so many tokens, before its first byte for 0; negative switches it off.
    void dropAfter(std::int64_t tokens);
    /// Dropped runs end in the middle of an event.
    void dropInsideEvent(bool inside);
    void clearCache();

    const std::vector<standin_run_ptr> &running() const;
    std::size_t queued() const;
    std::uint64_t busySteps() const;
    std::uint64_t tokensMade() const;
    /// Mean share of the limit that ran, over steps with work.
    double meanFill() const;

private:
    void admit();
    void dropExpired();
    void start(const standin_run_ptr &run);
    bool advance(const standin_run_ptr &run);
    void emitToken(standin_run &run);
    void step();
    void scheduleStep();
    void finishWith(const standin_run_ptr &run, std::string_view how);
    bool touchPrefix(const standin_run &run);

    loop &m_loop;
    batch_options m_options;
    on_end m_onEnd;
    on_cache m_onCache;
    std::multimap<std::uint32_t, standin_run_ptr> m_queue; ///< by rank, then order of arrival
    std::vector<standin_run_ptr> m_running;
    std::list<std::pair<std::string, std::uint64_t>> m_cache; ///< adapter and prefix, latest used first
    std::shared_ptr<void> m_stepTimer;
    double m_nextStepMs = 0;
    bool m_paused = false;
    std::int64_t m_dropAfter = -1;
    bool m_dropInsideEvent = false;
    std::uint64_t m_busySteps = 0;
    std::uint64_t m_tokensMade = 0;
    double m_fillSum = 0;
};

}
