#include "fennelladder/mesh/text_compression.hpp"

#include <algorithm>
#include <memory>
#include <zlib.h>

namespace fennelladder::mesh {

namespace {

/// On a synthetic configuration of 995 kB, level 3 takes 7 ms of a core and
/// yields 126 kB; level 6 takes twice the time and yields 110 kB. A node
/// compresses on its only thread, and some have an eighth of a core.
constexpr int compression_level = 3;

/// Increment by which the output buffer grows.
constexpr std::size_t buffer_increment_bytes = 262'144;

struct inflater
{
    inflater() { usable = inflateInit(&stream) == Z_OK; }
    ~inflater() { inflateEnd(&stream); }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;

    z_stream stream{};
    bool usable = false;
};

/// Appends the next output, at most `room` bytes. Returns zlib's code.
int inflate_chunk(z_stream& from, std::string& out, std::size_t room)
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
                               text.size(), compression_level);
    if (code != Z_OK)
        return fail(error_code::exhausted,
                    "compression failed, zlib code " + std::to_string(code));
    out.resize(size);
    out.shrink_to_fit();
    return out;
}

result<std::string> decompress_text(std::string_view compressed,
                                    std::size_t limit)
{
    inflater source;
    if (!source.usable)
        return fail(error_code::exhausted, "no memory to decompress");
    // zlib's API isn't const-correct.
    source.stream.next_in =
        reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
    source.stream.avail_in = static_cast<uInt>(compressed.size());
    std::string out;
    int code = Z_OK;
    while (code == Z_OK) {
        // Allows one byte beyond the limit, to detect that the text exceeds it.
        const std::size_t room = limit + 1 - out.size();
        code = inflate_chunk(source.stream, out,
                             std::min(room, buffer_increment_bytes));
        if (out.size() > limit)
            return fail(error_code::too_large,
                        "decompressed text exceeds the limit");
    }
    if (code != Z_STREAM_END || source.stream.avail_in != 0)
        return fail(error_code::corrupt,
                    "compressed text is corrupt, incomplete or has extra "
                    "bytes at its end");
    out.shrink_to_fit();
    return out;
}

} // namespace fennelladder::mesh
