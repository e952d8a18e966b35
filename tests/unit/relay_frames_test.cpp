#include "protocol/codec.h"
#include "protocol/relay_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {

/// Guards against parts lost or altered when they arrive in pieces.
RC_GTEST_PROP(RelayFrames, PartsArriveWholeHoweverTheirBytesAreSplit, ())
{
    const auto body = *rc::gen::arbitrary<std::string>();
    const auto status = *rc::gen::inRange(100, 600);
    const std::string sent = frame(relay_head{status, "Reason", {{"X-Name", body}}}) + frame(relay_body{body})
        + frame(relay_end{false, body});
    std::string buffer;
    std::vector<relay_part> parts;
    for (const char byte : sent) {
        buffer.push_back(byte);
        bool valid = true;
        while (const auto part = takePart(buffer, valid)) {
            parts.push_back(*part);
        }
        RC_ASSERT(valid);
    }
    RC_ASSERT(buffer.empty());
    RC_ASSERT(parts.size() == 3U);
    RC_ASSERT(std::get<relay_head>(parts[0]).status == status);
    RC_ASSERT(std::get<relay_head>(parts[0]).fields[0].second == body);
    RC_ASSERT(std::get<relay_body>(parts[1]).bytes == body);
    RC_ASSERT(!std::get<relay_end>(parts[2]).complete);
    RC_ASSERT(std::get<relay_end>(parts[2]).detail == body);
}

/// Guards against hostile bytes that are taken for a part, or make the daemon wait for a huge one.
RC_GTEST_PROP(RelayFrames, MalformedPartsAreRecognised, ())
{
    std::string bytes = frame(relay_end{true, "x"});
    const std::size_t position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = static_cast<char>(bytes[position] ^ *rc::gen::inRange(1, 256));
    bool valid = true;
    while (takePart(bytes, valid)) { // must neither throw nor loop forever
    }
    std::string huge(4, '\x7f');
    takePart(huge, valid);
    RC_ASSERT(!valid);
}

}
