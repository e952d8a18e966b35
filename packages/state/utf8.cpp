#include "state/utf8.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace briarhead {

namespace {

/// The sequences whose first byte lies in a range: their length, and the range of the second byte. All
/// further bytes are continuation bytes.
struct utf8_row
{
    std::uint8_t firstMin;
    std::uint8_t firstMax;
    std::size_t length;
    std::uint8_t secondMin;
    std::uint8_t secondMax;
};

constexpr std::uint8_t continuationMin = 0x80;
constexpr std::uint8_t continuationMax = 0xBF;

constexpr std::array<utf8_row, 9> rows{
    {{0x00, 0x7F, 1, 0, 0}, {0xC2, 0xDF, 2, 0x80, 0xBF}, {0xE0, 0xE0, 3, 0xA0, 0xBF},
        {0xE1, 0xEC, 3, 0x80, 0xBF}, {0xED, 0xED, 3, 0x80, 0x9F}, {0xEE, 0xEF, 3, 0x80, 0xBF},
        {0xF0, 0xF0, 4, 0x90, 0xBF}, {0xF1, 0xF3, 4, 0x80, 0xBF}, {0xF4, 0xF4, 4, 0x80, 0x8F}}};

/// The length of the sequence at the start of a text that isn't empty; 0 if it is invalid.
std::size_t sequenceLength(std::string_view text)
{
    const auto byteAt = [text](std::size_t i) {
        return static_cast<std::uint8_t>(text[i]);
    };
    for (const utf8_row &row : rows) {
        if (byteAt(0) < row.firstMin || byteAt(0) > row.firstMax) {
            continue;
        }
        if (row.length > text.size()) {
            return 0;
        }
        for (std::size_t i = 1; i < row.length; ++i) {
            const std::uint8_t min = i == 1 ? row.secondMin : continuationMin;
            const std::uint8_t max = i == 1 ? row.secondMax : continuationMax;
            if (byteAt(i) < min || byteAt(i) > max) {
                return 0;
            }
        }
        return row.length;
    }
    return 0;
}

}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = sequenceLength(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

}
