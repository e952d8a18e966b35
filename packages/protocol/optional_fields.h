#pragma once

#include <cstdint>
#include <vector>

// Message fields that a receiver may not know. Daemons of two builds run in one fleet during a release: a
// receiver skips tags that it doesn't know, and a missing tag stands for the field's default.
namespace briarhead {

struct optional_field
{
    std::uint32_t tag = 0;
    std::int64_t value = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(tag, value);
    }
};

using optional_fields = std::vector<optional_field>;

/// Appends a field unless it has its default value.
inline void addField(
    optional_fields &fields, std::uint32_t tag, std::int64_t value, std::int64_t defaultValue)
{
    if (value != defaultValue) {
        fields.push_back({tag, value});
    }
}

/// The value of the first field with the tag, or the default.
inline std::int64_t fieldValue(const optional_fields &fields, std::uint32_t tag, std::int64_t defaultValue)
{
    for (const optional_field &field : fields) {
        if (field.tag == tag) {
            return field.value;
        }
    }
    return defaultValue;
}

}
