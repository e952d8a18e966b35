#pragma once

#include "state/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhead {

/// Which lines are dropped first when too many are written.
enum class log_priority : std::uint8_t
{
    Ordinary, ///< normal operation; dropped first
    Important, ///< refusals, failures and changes of state
};

/// Maximum rate of lines of one process. A line costs about 10 us of CPU time, so this stays below half a
/// percent of a quarter core.
constexpr double logLinesPerSecond = 120;
/// Tokens of the rate limit that are reserved for important lines.
constexpr double logLinesReserved = 40;
constexpr double logBurstLines = 300;
constexpr std::size_t logBufferBytes = 64 * 1024;

/// Writes structured log lines, one JSON object each, to a file descriptor. Never blocks: if the reader is
/// slow, output is buffered up to `logBufferBytes`; lines beyond that or over the rate limit are dropped, and
/// the next line written reports how many.
class decision_log
{
public:
    explicit decision_log(int fd, std::string node);

    /// One log line, written when it goes out of scope.
    class line
    {
    public:
        line(decision_log *log, log_priority priority, std::string_view event);
        ~line();
        line(const line &) = delete;
        line &operator=(const line &) = delete;
        line &add(std::string_view name, std::string_view value);
        line &add(std::string_view name, const char *value);
        line &add(std::string_view name, std::int64_t value);
        line &add(std::string_view name, std::uint64_t value);
        line &add(std::string_view name, int value);
        line &add(std::string_view name, double value);
        line &add(std::string_view name, millis value);

    private:
        void key(std::string_view name);
        decision_log *m_log; ///< null if the line is dropped
        std::string m_text;
    };

    line ordinary(std::string_view event);
    line important(std::string_view event);
    /// Number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    friend class line;
    bool admit(log_priority priority);
    void write(const std::string &text);
    void flush();

    int m_fd;
    std::string m_node;
    std::string m_buffer;
    double m_tokens = logBurstLines;
    millis m_refilledAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
};

}
