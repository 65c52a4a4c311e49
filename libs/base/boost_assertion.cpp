// What follows a failed assertion inside Boost. The whole build defines
// BOOST_ENABLE_ASSERT_HANDLER, so that Boost calls these functions.
//
// Failure they guard against: Beast 1.74's parser of HTTP asserts lengths of
// what came from outside, and one that it doesn't need; a caller or target
// could end the process by a proper message, and cut every request under way.
// The parser is made to run without its assertions: it checks what it reads
// against the end of what was read, and answers an error. All other
// assertions of Boost are about its use by this code, and hold.

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace boost {

// Declared here: a library of the project needs no Boost for them, and they
// have to be defined by whoever sets the flag.
void assertion_failed(char const* expr, char const* function, char const* file,
                      long line);
void assertion_failed_msg(char const* expr, char const* msg,
                          char const* function, char const* file, long line);

namespace {

/// The parser's two files, which read bytes from outside.
bool is_in_http_parser(std::string_view file)
{
    return file.ends_with("boost/beast/http/impl/basic_parser.ipp") ||
           file.ends_with("boost/beast/http/detail/basic_parser.ipp");
}

} // namespace

void assertion_failed(char const* expr, char const* function, char const* file,
                      long line)
{
    assertion_failed_msg(expr, "", function, file, line);
}

void assertion_failed_msg(char const* expr, char const* msg,
                          char const* function, char const* file, long line)
{
    if (is_in_http_parser(file))
        return;
    std::fprintf(stderr, "%s:%ld: %s: Assertion `%s' failed. %s\n", file, line,
                 function, expr, msg);
    std::abort();
}

} // namespace boost
