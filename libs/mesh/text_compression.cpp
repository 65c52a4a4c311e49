#include "fennelladder/mesh/text_compression.hpp"

#include <algorithm>
#include <memory>
#include <zlib.h>

namespace fennelladder::mesh {

namespace {

/// On a made-up configuration of 995 kB, level 3 takes 7 ms of a core for
/// 126 kB, level 6 twice the time for 110 kB. A node does it on its one
/// thread, some with an eighth of a core.
constexpr int level = 3;

/// What the text's buffer grows by at a time.
constexpr std::size_t step_bytes = 262'144;

struct inflater
{
    inflater() { usable = inflateInit(&stream) == Z_OK; }
    ~inflater() { inflateEnd(&stream); }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;

    z_stream stream{};
    bool usable = false;
};

/// Appends what comes next, at most `room` bytes; zlib's code.
int inflate_some(z_stream& from, std::string& out, std::size_t room)
{
    const std::size_t before = out.size();
    out.resize(before + room);
    from.next_out = reinterpret_cast<Bytef*>(out.data() + before);
    from.avail_out = static_cast<uInt>(room);
    const int code = inflate(&from, Z_NO_FLUSH);
    out.resize(out.size() - from.avail_out);
    return code;
}

} // namespace

result<std::string> compress_text(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string out(size, '\0');
    const int code = compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                               reinterpret_cast<const Bytef*>(text.data()),
                               text.size(), level);
    if (code != Z_OK)
        return fail(error_code::exhausted,
                    "can't pack: " + std::to_string(code));
    out.resize(size);
    out.shrink_to_fit();
    return out;
}

result<std::string> decompress_text(std::string_view packed, std::size_t limit)
{
    inflater source;
    if (!source.usable)
        return fail(error_code::exhausted, "no memory to unpack");
    // zlib's structure is older than const.
    source.stream.next_in =
        reinterpret_cast<Bytef*>(const_cast<char*>(packed.data()));
    source.stream.avail_in = static_cast<uInt>(packed.size());
    std::string out;
    int code = Z_OK;
    while (code == Z_OK) {
        // One byte more than allowed shows that there is more.
        const std::size_t room = limit + 1 - out.size();
        code = inflate_some(source.stream, out, std::min(room, step_bytes));
        if (out.size() > limit)
            return fail(error_code::too_large, "unpacks to too much");
    }
    if (code != Z_STREAM_END || source.stream.avail_in != 0)
        return fail(error_code::corrupt, "no packed text");
    out.shrink_to_fit();
    return out;
}

} // namespace fennelladder::mesh
