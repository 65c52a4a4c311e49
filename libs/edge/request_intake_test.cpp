// The framing of requests, valid and not, in pieces of any size.

#include "fennelladder/edge/request_intake.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstring>
#include <random>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr std::uint32_t header_limit = 4'096;
constexpr std::uint64_t body_limit = 65'536;

catalog::caller_limits sample_limits()
{
    catalog::caller_limits out;
    out.header_bytes = header_limit;
    out.body_bytes = body_limit;
    return out;
}

const std::string chunked_head = "POST /x HTTP/1.1\r\nHost: h.example\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

/// What became of a request, and the most memory that it held meanwhile.
struct intake_result
{
    bool whole = false;
    intake_fault fault = intake_fault::none;
    std::string body;
    std::string trailer;
    std::size_t unread = 0;
    std::size_t most_held = 0;

    bool operator==(const intake_result& other) const
    {
        return whole == other.whole && fault == other.fault &&
               body == other.body && trailer == other.trailer &&
               unread == other.unread;
    }
};

/// Feeds up to `bytes_at` of the size that `piece` says, but never more than
/// the intake asks for.
template <class Piece>
intake_result read(const std::string& bytes, Piece piece,
                   const catalog::caller_limits& limits = sample_limits())
{
    beast::flat_buffer buf;
    request_intake intake(buf, limits);
    intake_result out;
    std::size_t at = 0;
    for (;;) {
        intake.parse_all();
        out.most_held = std::max(out.most_held, intake.held());
        if (intake.is_whole() || intake.fault() != intake_fault::none ||
            at == bytes.size())
            break;
        const std::size_t n =
            std::min({intake.read_size(), std::max<std::size_t>(piece(), 1),
                      bytes.size() - at});
        std::memcpy(buf.prepare(n).data(), bytes.data() + at, n);
        buf.commit(n);
        at += n;
    }
    out.whole = intake.is_whole();
    out.fault = intake.fault();
    out.unread = buf.size() + bytes.size() - at;
    if (out.whole) {
        const auto value = intake.parsed().get()["X-Trailer"];
        out.trailer = std::string(value.data(), value.size());
        out.body = intake.take_body();
    }
    return out;
}

intake_result read_at_once(const std::string& bytes)
{
    return read(bytes, [&] { return bytes.size(); });
}

std::string chunk(const std::string& data, const std::string& extension = "")
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx", data.size());
    return size + extension + "\r\n" + data + "\r\n";
}

std::string repeat(const std::string& text, std::size_t size)
{
    std::string out;
    while (out.size() < size)
        out += text;
    return out;
}

} // namespace

TEST_GROUP(request_intake){};

TEST(request_intake, reads_each_framing)
{
    const std::string lines = "Host: h.example\r\n";
    const struct
    {
        const char* name;
        std::string bytes;
        std::string body;
        std::string trailer;
        std::size_t unread;
    } cases[] = {
        {"no body", "GET /x HTTP/1.1\r\n" + lines + "\r\n", "", "", 0},
        {"a length",
         "POST /x HTTP/1.1\r\n" + lines + "Content-Length: 5\r\n\r\nhello",
         "hello", "", 0},
        {"pipelined",
         "POST /x HTTP/1.1\r\n" + lines +
             "Content-Length: 5\r\n\r\nhelloGET /y",
         "hello", "", 6},
        {"chunks", chunked_head + chunk("hel") + chunk("lo") + "0\r\n\r\n",
         "hello", "", 0},
        {"extensions",
         chunked_head + chunk("hello", ";a=b;c=\"d e\"") + "0;z=1\r\n\r\n",
         "hello", "", 0},
        {"trailers",
         chunked_head + chunk("hello") + "0\r\nX-Trailer: t\r\n\r\nGET",
         "hello", "t", 3},
        {"zeros before a size",
         chunked_head + "0000005\r\nhello\r\n000\r\n\r\n", "hello", "", 0},
    };
    for (const auto& it : cases)
        for (const std::size_t size : {1, 2, 3, 7, 100'000}) {
            const intake_result got = read(it.bytes, [&] { return size; });
            CHECK_TEXT(got.whole, it.name);
            STRCMP_EQUAL(it.body.c_str(), got.body.c_str());
            STRCMP_EQUAL(it.trailer.c_str(), got.trailer.c_str());
            if (size == 100'000)
                UNSIGNED_LONGS_EQUAL(it.unread, got.unread);
        }
}

// Failure: a part of a message that has no end is held whole.
TEST(request_intake, what_has_no_end_is_refused_soon)
{
    constexpr std::size_t endless = 10'000'000;
    const struct
    {
        const char* name;
        std::string begin;
        std::string repeated;
        intake_fault fault;
    } cases[] = {
        {"request line", "GET /", "x", intake_fault::head_too_large},
        {"field", "GET / HTTP/1.1\r\nX: ", "x", intake_fault::head_too_large},
        {"fields", "GET / HTTP/1.1\r\n", "a:b\r\n",
         intake_fault::head_too_large},
        {"chunk size", chunked_head, "0", intake_fault::chunk_line_too_long},
        {"chunk extension", chunked_head + "5;a=", "e",
         intake_fault::chunk_line_too_long},
        {"later chunk extension", chunked_head + chunk("hello") + "5;a=", "e",
         intake_fault::chunk_line_too_long},
        {"extension of the last chunk", chunked_head + "0;a=", "e",
         intake_fault::chunk_line_too_long},
        {"trailer", chunked_head + "0\r\nX: ", "t",
         intake_fault::trailers_too_large},
        {"trailers", chunked_head + chunk("hello") + "0\r\n",
         "X-Trailer: 1\r\n", intake_fault::trailers_too_large},
        {"small trailers", chunked_head + "0\r\n", "a:\r\n",
         intake_fault::trailers_too_large},
        {"chunks", chunked_head, chunk(std::string(1'000, 'x')),
         intake_fault::body_too_large},
        {"chunks of one byte", chunked_head, "1\r\nx\r\n",
         intake_fault::body_too_large},
        {"long extensions", chunked_head,
         "1;a=" + std::string(1'000, 'e') + "\r\nx\r\n",
         intake_fault::too_much_framing},
    };
    for (const auto& it : cases)
        for (const std::size_t size : {13, 1'000, 100'000}) {
            const std::string bytes = it.begin + repeat(it.repeated, endless);
            const intake_result got = read(bytes, [&] { return size; });
            CHECK_TEXT(got.fault == it.fault, it.name);
            CHECK_TEXT(got.most_held < 500'000, it.name);
            CHECK_TEXT(bytes.size() - got.unread <
                           header_limit + framing_allowance + 32'768 +
                               (framing_per_byte + 1) * body_limit,
                       it.name);
        }
}

// Failure: a body that is only announced occupies its memory.
TEST(request_intake, an_announced_body_is_held_as_it_arrives)
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h.example\r\n"
                             "Content-Length: 65536\r\n\r\n";
    CHECK(read_at_once(head + std::string(100, 'x')).most_held < 8'192);
    const intake_result got = read_at_once(head + std::string(65'536, 'x'));
    CHECK(got.whole);
    CHECK(got.most_held < 65'536 + 32'768);
}

TEST(request_intake, a_body_over_the_limit_is_refused_on_its_head)
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h.example\r\n"
                             "Content-Length: 65537\r\n\r\n";
    CHECK(read_at_once(head).fault == intake_fault::body_too_large);
    UNSIGNED_LONGS_EQUAL(413, status_of(intake_fault::body_too_large));
}

TEST(request_intake, the_largest_body_may_come_in_chunks_of_one_byte)
{
    catalog::caller_limits limits;
    limits.body_bytes = 4'194'304;
    std::string bytes = chunked_head;
    for (std::uint64_t i = 0; i < limits.body_bytes; ++i)
        bytes += "0001\r\nx\r\n";
    bytes += "0\r\n\r\n";
    const intake_result got = read(
        bytes, [] { return 100'000; }, limits);
    CHECK(got.whole);
    UNSIGNED_LONGS_EQUAL(limits.body_bytes, got.body.size());
    CHECK(got.most_held < 2 * limits.body_bytes + 65'536);
}

// Random requests with proper framing: however they are split, the same body,
// trailers and rest come out.
TEST(request_intake, proper_framing_is_read_alike_however_it_is_split)
{
    std::mt19937 random(1); // NOLINT: the same requests in each run
    for (int i = 0; i < 3'000; ++i) {
        std::string body;
        std::string bytes = chunked_head;
        for (std::size_t left = random() % 20; left > 0; --left) {
            const std::string data(1 + random() % 700, char('a' + left));
            std::string extension;
            for (std::size_t n = random() % 3; n > 0; --n)
                extension += random() % 2 == 0 ? ";name" : ";a=\"q;\\\"\"";
            bytes += chunk(data, extension);
            body += data;
        }
        bytes += "0\r\n";
        std::string trailer;
        for (std::size_t n = random() % 4; n > 0; --n) {
            trailer = std::string(random() % 50, 't');
            bytes += "X-Other: 1\r\n";
        }
        bytes += "X-Trailer: " + trailer + "\r\n\r\n";
        const std::size_t size = 1 + random() % 600;
        const intake_result got =
            read(bytes, [&] { return random() % (2 * size); });
        CHECK(got.whole);
        STRCMP_EQUAL(body.c_str(), got.body.c_str());
        STRCMP_EQUAL(trailer.c_str(), got.trailer.c_str());
        UNSIGNED_LONGS_EQUAL(0, got.unread);
        // Cut anywhere it isn't whole, and no more is held than arrived.
        const std::string part = bytes.substr(0, random() % bytes.size());
        const intake_result cut = read(part, [&] { return size; });
        CHECK(!cut.whole);
        CHECK(cut.most_held < 4 * part.size() + 65'536);
    }
}

// Random bytes: the result doesn't depend on how they are split, and memory is
// bounded by the limits.
TEST(request_intake, any_bytes_are_handled_alike_however_they_are_split)
{
    static const std::vector<std::string> parts = {"0",
                                                   "0\r\n",
                                                   "\r",
                                                   "\n",
                                                   "\r\n",
                                                   "\r\n\r\n",
                                                   "5\r\nhello\r\n",
                                                   "5",
                                                   ";a",
                                                   "=\"b",
                                                   "\"",
                                                   "\\",
                                                   "X-Trailer: 1\r\n",
                                                   " ",
                                                   ":",
                                                   "x",
                                                   "ffff",
                                                   "fffffffffffffffff\r\n",
                                                   "\t",
                                                   std::string(1, '\0'),
                                                   std::string(3'000, 'y'),
                                                   "1\r\nz\r\n"};
    std::mt19937 random(2); // NOLINT: the same bytes in each run
    int whole = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes = random() % 8 == 0 ? "" : chunked_head;
        for (std::size_t left = random() % 12; left > 0; --left)
            bytes += parts[random() % parts.size()];
        const intake_result at_once = read_at_once(bytes);
        whole += at_once.whole ? 1 : 0;
        for (const std::size_t size : {1, 2, 5}) {
            const intake_result got = read(bytes, [&] { return size; });
            CHECK_TEXT(got.whole == at_once.whole, bytes.c_str());
            CHECK_TEXT(got.body == at_once.body, bytes.c_str());
            CHECK(got.most_held < 500'000);
        }
    }
    CHECK(whole > 100);
}

// Guards against a field that the parser's container can't hold, which is lost
// or changed where its bytes are split, and against a message that is read
// differently because of it.
TEST(request_intake, reads_long_fields_in_pieces_of_any_size)
{
    catalog::caller_limits limits;
    limits.header_bytes = 400'000;
    const std::string value = repeat("0123456789", 70'000);
    const std::string more = repeat("abc", 90'000);
    const std::string bytes =
        "POST /x HTTP/1.1\r\nHost: h.example\r\nX-Long: " + value +
        "\r\nX-Short: 1\r\nX-Last: " + more +
        "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("hello") +
        "0\r\nX-Trailer: 2\r\nX-Long-Trailer: " + value + "\r\n\r\nGET /";
    std::mt19937 random(7);
    for (int round = 0; round < 40; ++round) {
        beast::flat_buffer buf;
        request_intake intake(buf, limits);
        const std::size_t most =
            std::size_t(1) << std::uniform_int_distribution(9, 15)(random);
        std::uniform_int_distribution<std::size_t> size(1, most);
        for (std::size_t at = 0; at < bytes.size() && !intake.is_whole();) {
            const std::size_t n =
                std::min({intake.read_size(), size(random), bytes.size() - at});
            std::memcpy(buf.prepare(n).data(), bytes.data() + at, n);
            buf.commit(n);
            at += n;
            intake.parse_all();
            CHECK(intake.fault() == intake_fault::none);
        }
        CHECK(intake.is_whole());
        STRCMP_EQUAL("hello", intake.take_body().c_str());
        CHECK(intake.parsed().get()["X-Short"] == "1");
        CHECK(intake.parsed().get()["X-Trailer"] == "2");
        const auto longer = intake.take_long_fields();
        UNSIGNED_LONGS_EQUAL(3, longer.size());
        STRCMP_EQUAL("X-Long", longer[0].name.c_str());
        CHECK(longer[0].value == value);
        CHECK(longer[1].value == more);
        STRCMP_EQUAL("X-Long-Trailer", longer[2].name.c_str());
        CHECK(longer[2].value == value);
    }
}
