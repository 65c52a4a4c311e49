// Handlers for failed Boost assertions. The whole build defines
// BOOST_ENABLE_ASSERT_HANDLER, so that Boost calls these functions.
//
// The HTTP parser of Beast 1.74 asserts on lengths of input from the network,
// and makes an assertion that it doesn't need, so a caller or target could
// abort the process with a valid message and cut off every request in
// progress. Failed assertions of the parser are therefore ignored: it also
// checks its reads against the end of the input, and returns an error. All
// other Boost assertions concern how this project uses Boost; they abort.

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace boost {

// Boost leaves the definition of these functions to the program that defines
// the macro. They are declared here so that this library doesn't depend on
// Boost.
void assertion_failed(char const* expr, char const* function, char const* file,
                      long line);
void assertion_failed_msg(char const* expr, char const* msg,
                          char const* function, char const* file, long line);

namespace {

/// Whether `file` is one of the parser's two files, which read bytes from the
/// network.
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
