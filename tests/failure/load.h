#pragma once

#include "failure/fleet.h"

#include <atomic>
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

/// How many of the answers had an outcome.
std::size_t countOf(const std::vector<told> &answers, const std::string &outcome);

}
