#include "load_model/engine_model.h"

#include <algorithm>

namespace briarhead::load_model {

namespace {

/// Length of the step that begins now; takes what it reads off the prompts.
double beginStep(engine_model &engine)
{
    const engine_figures &figures = engine.figures;
    std::int64_t budget = figures.chunkTokens;
    std::int64_t context = 0;
    double readMs = 0;
    for (engine_run &run : engine.runs) {
        const std::int64_t part = std::min(run.toRead, budget);
        const double length = static_cast<double>(run.promptTokens) / 1e3;
        const double share =
            run.promptTokens == 0 ? 0 : static_cast<double>(part) / static_cast<double>(run.promptTokens);
        readMs += static_cast<double>(part) / figures.readTokensPerMs
            + figures.pairsMsPerMillion * length * length * share;
        run.toRead -= part;
        budget -= part;
        context += run.promptTokens - run.toRead + run.made;
    }
    return engine.slowness
        * (figures.stepMs + figures.stepMsPerRun * static_cast<double>(engine.runs.size())
            + figures.contextMsPerThousand * static_cast<double>(context) / 1e3 + readMs);
}

void endStep(engine_model &engine, std::vector<engine_event> &events)
{
    const int perEvent = engine.figures.tokensPerEvent;
    for (engine_run &run : engine.runs) {
        if (run.toRead > 0) {
            continue;
        }
        ++run.made;
        const bool last = run.made >= run.outputTokens;
        if (last || run.made % perEvent == 0) {
            const bool first = run.made == perEvent || (last && run.made <= perEvent);
            events.push_back({run.id, first, last, true, engine.stepEndsMs});
        }
    }
    std::erase_if(engine.runs, [](const engine_run &run) {
        return run.toRead == 0 && run.made >= run.outputTokens;
    });
}

}

void addRun(engine_model &engine, const engine_run &run)
{
    const auto at = std::upper_bound(
        engine.runs.begin(), engine.runs.end(), run, [](const engine_run &a, const engine_run &b) {
            return a.rank < b.rank;
        });
    engine.runs.insert(at, run);
}

bool dropRun(engine_model &engine, const std::string &id)
{
    return std::erase_if(engine.runs, [&id](const engine_run &run) {
        return run.id == id;
    }) > 0;
}

std::vector<engine_event> advance(engine_model &engine, double nowMs)
{
    std::vector<engine_event> events;
    while (true) {
        if (engine.stepEndsMs == 0) {
            if (engine.runs.empty()) {
                return events;
            }
            engine.stepEndsMs = nowMs + beginStep(engine);
        }
        if (engine.stepEndsMs > nowMs) {
            return events;
        }
        endStep(engine, events);
        engine.stepEndsMs = engine.runs.empty() ? 0 : engine.stepEndsMs + beginStep(engine);
    }
}

}
