#pragma once

#include "failure/fleet.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace briarhead::testing {

/// One request as its caller saw it.
struct told
{
    std::string promptHash; ///< unique to the request; the engines' own record has it too
    std::string adapter; ///< with version, as the caller was told it ran; asked without one
    std::string outcome; ///< "done", "not_run", "unknown", or "" for a connection that broke
    std::string code;
    bool nonIdempotent = false;
    bool own = true; ///< the answer's text names this very prompt
    std::int64_t tookMs = 0;
    std::int64_t retryAfterMs = 0;
};

/// Sends one request with a prompt of its own and notes what the caller is told.
told ask(const fleet &to, std::size_t daemon, const std::string &adapter, int tokens,
    const std::vector<std::string> &headers = {}, long timeoutMs = 30'000);

/// Requests from several threads over several entries while failures are brought about.
class background_load
{
public:
    struct options
    {
        std::size_t threads = 4;
        std::size_t adapters = 6; ///< a0, a1, ... in turn
        std::vector<std::size_t> daemons{0};
        int tokens = 6;
        std::size_t nonIdempotentEach = 4; ///< every so manieth request is marked; 0: none
    };

    background_load(const fleet &to, options how);
    ~background_load();
    background_load(const background_load &) = delete;
    background_load &operator=(const background_load &) = delete;

    /// Ends the threads and gives what callers were told.
    std::vector<told> stop();
    std::size_t answered() const;
    /// Waits until `count` more answers have come.
    bool progress(std::size_t count, int boundMs = 30'000) const;
    /// Waits until the last `count` answers are all done, of those that came since the call.
    bool doneInARow(std::size_t count, int boundMs = 30'000) const;

private:
    void work(std::size_t thread);

    const fleet &m_fleet;
    options m_options;
    std::atomic<bool> m_stop{false};
    mutable std::mutex m_mutex;
    std::vector<told> m_told;
    std::vector<std::thread> m_threads;
};

/// Holds what callers were told against the engines' own records: each fault in words, none if all is well.
/// Nothing in it depends on the daemons' own word.
std::vector<std::string> faultsIn(const fleet &of, const std::vector<told> &answers);

/// What a fault cost, as callers and the engines' own records have it.
struct fault_cost
{
    std::size_t requests = 0;
    std::size_t lost = 0; ///< told done without a whole answer of their own, or left without any answer
    std::size_t doubled = 0; ///< non-idempotent and run more than once
    std::size_t wrong = 0; ///< answered from another adapter or version than they were told
    std::size_t unknown = 0;
    std::size_t notRun = 0;
    std::size_t delayed = 0; ///< answered after more than delayedMs
};

constexpr std::int64_t delayedMs = 1'000;

fault_cost costOf(const fleet &of, const std::vector<told> &answers);
/// One line for scripts/faults.sh. `wholeMs` is the time from the fault until all was served again, -1: the
/// test doesn't measure it.
void printCost(const std::string &fault, const fault_cost &cost, std::int64_t wholeMs);

/// Measures for the printed table; no test's verdict rests on it.
class stopwatch
{
public:
    std::int64_t elapsedMs() const;

private:
    std::chrono::steady_clock::time_point m_began = std::chrono::steady_clock::now();
};

/// How many of the answers had an outcome.
std::size_t countOf(const std::vector<told> &answers, const std::string &outcome);

}
