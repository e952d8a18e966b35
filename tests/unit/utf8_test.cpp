#include "state/utf8.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace briarhead {

// Guards against names that pass the check and can't be written as JSON.
RC_GTEST_PROP(utf8_test, ATextIsValidExactlyIfJsonCanCarryIt, (const std::vector<std::uint8_t> &drawn))
{
    std::string text;
    for (const std::uint8_t byte : drawn) {
        // Mostly first and continuation bytes, which random bytes seldom join to a sequence.
        const std::uint8_t lead[] = {0x41, 0xC3, 0xE0, 0xED, 0xF0, 0xF4, 0x80, 0x9F, 0xA0, 0xBF};
        text += static_cast<char>(byte % 3 == 0 ? byte : lead[byte % std::size(lead)]);
    }
    bool fits = true;
    try {
        (void)nlohmann::json(text).dump();
    } catch (const nlohmann::json::type_error &) {
        fits = false;
    }
    RC_ASSERT(isUtf8(text) == fits);
}

TEST(utf8_test, EdgesOfEachRange)
{
    for (const char *valid : {"", "a1", "caf\xc3\xa9", "\xe0\xa0\x80", "\xed\x9f\xbf", "\xee\x80\x80",
             "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf"}) {
        EXPECT_TRUE(isUtf8(valid)) << valid;
    }
    for (const char *invalid : {"\xe9", "\xc0\xaf", "\xc1\xbf", "\xe0\x9f\xbf", "\xed\xa0\x80",
             "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "a\xc3", "\x80", "\xff"}) {
        EXPECT_FALSE(isUtf8(invalid)) << invalid;
    }
}

}
