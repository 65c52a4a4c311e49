#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>

namespace fennelladder::testing {

void check_property(const property_options& options,
                    const std::function<void()>& body)
{
    rc::detail::TestMetadata metadata;
    metadata.id = options.name;
    metadata.description = options.name;
    rc::detail::TestParams params;
    params.seed = options.seed;
    params.maxSuccess = options.cases;
    params.maxSize = options.max_size;
    const auto outcome =
        rc::detail::checkTestable([&body] { body(); }, metadata, params);
    rc::detail::SuccessResult success;
    if (outcome.match(success))
        return;
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    text << "\nseed " << options.seed << " of property '" << options.name
         << "'\n";
    FAIL(text.str().c_str());
}

} // namespace fennelladder::testing
