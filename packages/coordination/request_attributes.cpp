#include "coordination/request_attributes.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <memory>

namespace briarhead {

namespace {

struct state_freer
{
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

/// Hashes the length first, so that bytes that move from one field to the next change the hash.
void addField(XXH3_state_t *state, std::string_view field)
{
    const std::uint64_t length = field.size();
    XXH3_128bits_update(state, &length, sizeof(length));
    XXH3_128bits_update(state, field.data(), field.size());
}

std::string hexOf(const XXH128_hash_t &hash)
{
    constexpr std::string_view digits = "0123456789abcdef";
    XXH128_canonical_t bytes;
    XXH128_canonicalFromHash(&bytes, hash);
    std::string text;
    text.reserve(2 * sizeof(bytes.digest));
    for (const unsigned char byte : bytes.digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string hashOf(std::initializer_list<std::string_view> fields)
{
    const std::unique_ptr<XXH3_state_t, state_freer> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (const std::string_view field : fields) {
        addField(state.get(), field);
    }
    return hexOf(XXH3_128bits_digest(state.get()));
}

}

std::string fingerprintOf(const request_content &content)
{
    return hashOf({content.caller, content.method, content.host, content.target, content.body});
}

std::string promptPartKey(std::string_view service, std::string_view part)
{
    return hashOf({"prompt part", service, part});
}

request_attributes attributesOf(
    const request_content &content, std::string_view service, const std::vector<std::string> &parts)
{
    request_attributes attributes{{fingerprintOf(content), contentRank}};
    for (std::size_t i = 0; i < std::min(parts.size(), maxPromptParts); ++i) {
        std::string key = promptPartKey(service, parts[i]);
        if (!hasAttribute(attributes, key)) {
            attributes.push_back({std::move(key), static_cast<std::uint8_t>(i)});
        }
    }
    return attributes;
}

bool hasAttribute(const request_attributes &attributes, std::string_view key)
{
    return std::any_of(attributes.begin(), attributes.end(), [key](const request_attribute &each) {
        return each.key == key;
    });
}

const std::string &contentKeyOf(const request_attributes &attributes)
{
    return attributes.front().key;
}

}
