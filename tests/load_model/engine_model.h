#pragma once

#include <cstdint>
#include <string>
#include <vector>

// A model server's batch, reduced to what decides how long a caller waits: each step gives every stream one
// token and reads prompts in between, so the more is read, the longer each step takes.
namespace briarhead::load_model {

/// Units: ms, tokens. Figures are those that a deployment publishes of its servers.
struct engine_figures
{
    double stepMs = 8.87;
    double stepMsPerRun = 0.0388;
    double contextMsPerThousand = 0.0227; ///< for each thousand tokens in memory
    double readTokensPerMs = 19.1;
    double pairsMsPerMillion = 1.47; ///< attention over a prompt, by the square of its length
    std::int64_t chunkTokens = 4'096; ///< read in one step at most
    int tokensPerEvent = 3;
    int slots = 64;
    std::int64_t memoryTokens = 120'000;
};

struct engine_run
{
    std::string id;
    std::int64_t promptTokens = 0;
    std::int64_t toRead = 0; ///< less than the prompt where a shared part is kept
    std::int64_t outputTokens = 0;
    std::int64_t made = 0;
    int rank = 0;
};

/// What a step did for one run.
struct engine_event
{
    std::string id;
    bool first = false;
    bool last = false;
    bool piece = false; ///< an event went to the caller
    double atMs = 0;
};

struct engine_model
{
    engine_figures figures;
    double slowness = 1; ///< a step takes so many times as long
    std::vector<engine_run> runs; ///< in the order in which they read
    double stepEndsMs = 0; ///< 0: idle
};

void addRun(engine_model &engine, const engine_run &run);
bool dropRun(engine_model &engine, const std::string &id);
/// Goes on to `nowMs`; what happened on the way, in order of time.
std::vector<engine_event> advance(engine_model &engine, double nowMs);

}
