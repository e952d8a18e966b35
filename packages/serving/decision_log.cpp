#include "serving/decision_log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <utility>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;

std::string jsonText(std::string_view text)
{
    return nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

decision_log::decision_log(int fd, std::string node)
    : m_fd(fd)
    , m_node(std::move(node))
    , m_refilledAt(bootNow())
{
    const int flags = fcntl(fd, F_GETFL, 0);
    if (flags >= 0) {
        (void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
}

decision_log::line decision_log::ordinary(std::string_view event)
{
    return {admit(log_priority::Ordinary) ? this : nullptr, log_priority::Ordinary, event};
}

decision_log::line decision_log::important(std::string_view event)
{
    return {admit(log_priority::Important) ? this : nullptr, log_priority::Important, event};
}

std::uint64_t decision_log::dropped() const
{
    return m_dropped;
}

bool decision_log::admit(log_priority priority)
{
    const millis now = bootNow();
    const double refill = static_cast<double>((now - m_refilledAt).count) / msPerSecond * logLinesPerSecond;
    m_tokens = std::min(m_tokens + refill, logBurstLines);
    m_refilledAt = now;
    const double reserved = priority == log_priority::Ordinary ? logLinesReserved : 0;
    if (m_tokens < reserved + 1) {
        ++m_dropped;
        return false;
    }
    m_tokens -= 1;
    return true;
}

void decision_log::write(const std::string &text)
{
    if (m_buffer.size() + text.size() > logBufferBytes) {
        ++m_dropped;
        flush();
        return;
    }
    m_buffer += text;
    flush();
}

void decision_log::flush()
{
    while (!m_buffer.empty()) {
        const ssize_t written = ::write(m_fd, m_buffer.data(), m_buffer.size());
        if (written <= 0) {
            return; // the pipe is full; the next line tries again
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

decision_log::line::line(decision_log *log, log_priority, std::string_view event)
    : m_log(log)
{
    if (m_log == nullptr) {
        return;
    }
    m_text = "{\"t\":" + std::to_string(wallNow().count) + ",\"event\":" + jsonText(event)
        + ",\"node\":" + jsonText(m_log->m_node);
    if (m_log->m_dropped != m_log->m_droppedReported) {
        add("lines_dropped", m_log->m_dropped - m_log->m_droppedReported);
        m_log->m_droppedReported = m_log->m_dropped;
    }
}

decision_log::line::~line()
{
    if (m_log != nullptr) {
        m_log->write(m_text + "}\n");
    }
}

void decision_log::line::key(std::string_view name)
{
    m_text.append(",\"").append(name).append("\":");
}

decision_log::line &decision_log::line::add(std::string_view name, std::string_view value)
{
    if (m_log != nullptr) {
        key(name);
        m_text += jsonText(value);
    }
    return *this;
}

decision_log::line &decision_log::line::add(std::string_view name, const char *value)
{
    return add(name, std::string_view(value));
}

decision_log::line &decision_log::line::add(std::string_view name, std::int64_t value)
{
    if (m_log != nullptr) {
        key(name);
        m_text += std::to_string(value);
    }
    return *this;
}

decision_log::line &decision_log::line::add(std::string_view name, std::uint64_t value)
{
    return add(name, static_cast<std::int64_t>(value));
}

decision_log::line &decision_log::line::add(std::string_view name, int value)
{
    return add(name, static_cast<std::int64_t>(value));
}

decision_log::line &decision_log::line::add(std::string_view name, double value)
{
    if (m_log != nullptr) {
        key(name);
        m_text += std::isfinite(value) ? fmt::format("{:.3f}", value) : std::string("null");
    }
    return *this;
}

decision_log::line &decision_log::line::add(std::string_view name, millis value)
{
    return add(name, value.count);
}

}
