#pragma once

#include "state/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhead {

/// Which lines go first when there are too many.
enum class log_priority : std::uint8_t
{
    Ordinary, ///< what went well
    Important, ///< refusals, failures, changes of belief
};

/// Lines and bytes a second that one process writes at most; a line costs about 10 us of processor time,
/// so this is under half a percent of a quarter core.
constexpr double logLinesPerSecond = 120;
/// Of these, ordinary lines leave so many to the important ones.
constexpr double logLinesReserved = 40;
constexpr double logBurstLines = 300;
constexpr std::size_t logBufferBytes = 64 * 1024;

/// Structured lines on standard output, one JSON object each. Never blocks: what the reader doesn't take is
/// buffered up to a bound and then dropped, counted, and told of by the next line that goes through.
class decision_log
{
public:
    explicit decision_log(int fd, std::string node);

    /// One line, written when it goes out of scope.
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
        decision_log *m_log; ///< null: dropped
        std::string m_text;
    };

    line ordinary(std::string_view event);
    line important(std::string_view event);
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
