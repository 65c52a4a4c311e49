// One contract, held to by every implementation of object_store: the store in
// memory, the fault wrapper without faults, and the HTTP client in front of
// the stand-in platform.

#include "fennelladder/http/client.hpp"
#include "fennelladder/platform/fault_object_store.hpp"
#include "fennelladder/platform/memory_object_store.hpp"
#include "fennelladder/platform/platform_client.hpp"
#include "fennelladder/standin/platform_server.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <thread>

using namespace fennelladder;
using namespace fennelladder::platform;

namespace {

// An implementation with whatever it needs to live.
struct subject
{
    virtual ~subject() = default;
    virtual object_store& store() = 0;
};

struct memory_subject : subject
{
    object_store& store() override { return inner; }
    memory_object_store inner;
};

struct wrapped_subject : memory_subject
{
    object_store& store() override { return wrapper; }
    fault_object_store wrapper{inner, 1};
};

struct http_subject : subject
{
    object_store& store() override { return client; }
    standin::platform_server server{{}};
    http::client connections;
    platform_client client{connections, {.url = server.url()}};
};

template <class T>
std::unique_ptr<subject> make()
{
    return std::make_unique<T>();
}

struct implementation
{
    const char* name;
    std::unique_ptr<subject> (*make)();
};

constexpr implementation implementations[] = {
    {"memory", make<memory_subject>},
    {"fault wrapper", make<wrapped_subject>},
    {"http", make<http_subject>},
};

const object_key a("a/1");
const object_key odd("a/2 ?&%#\xc3\xa9//..");

template <class T>
bool failed_with(const T& got, error_code code)
{
    return !got && got.error().code == code;
}

} // namespace

TEST_GROUP(object_store_contract){
    // Runs one clause of the contract against every implementation.
    template <class F> static void each(F clause){
        for (const implementation& it
             : implementations){const auto subject = it.make();
clause(subject->store(), it.name);
}
}
}
;

TEST(object_store_contract, keeps_what_was_put_byte_by_byte)
{
    each([](object_store& store, const char* name) {
        std::string bytes;
        for (int n = 0; n < 256; ++n)
            bytes += static_cast<char>(n);
        for (const std::string& value :
             {std::string(), bytes, std::string(max_value_bytes, 'x')}) {
            const auto put = store.put(odd, value, write_condition::always());
            CHECK_TEXT(put.has_value(), name);
            const auto got = store.get(odd);
            CHECK_TEXT(got && got->value == value, name);
            CHECK_TEXT(got->version == *put && got->key == odd, name);
        }
        CHECK_TEXT(
            failed_with(store.put(a, std::string(max_value_bytes + 1, 'x'),
                                  write_condition::always()),
                        error_code::too_large),
            name);
        CHECK_TEXT(failed_with(store.get(a), error_code::not_found), name);
    });
}

TEST(object_store_contract, conditions_decide_who_wins)
{
    each([](object_store& store, const char* name) {
        const auto absent = write_condition::absent();
        const auto first = store.put(a, "1", absent);
        CHECK_TEXT(first.has_value(), name);
        CHECK_TEXT(failed_with(store.put(a, "2", absent), error_code::conflict),
                   name);
        const auto was_first = write_condition::unchanged(*first);
        const auto second = store.put(a, "2", was_first);
        CHECK_TEXT(second && *second > *first, name);
        CHECK_TEXT(
            failed_with(store.put(a, "3", was_first), error_code::conflict),
            name);
        CHECK_TEXT(failed_with(store.erase(a, was_first), error_code::conflict),
                   name);
        CHECK_TEXT(store.get(a)->value == "2", name);
        CHECK_TEXT(
            store.erase(a, write_condition::unchanged(*second)).has_value(),
            name);
        CHECK_TEXT(failed_with(store.erase(a, write_condition::always()),
                               error_code::not_found),
                   name);
        CHECK_TEXT(
            failed_with(store.put(a, "4", was_first), error_code::conflict),
            name);
    });
}

TEST(object_store_contract, lists_by_prefix_in_order_and_in_pages)
{
    each([](object_store& store, const char* name) {
        for (const char* key : {"p/3", "p/1", "q/1", "p/2", "o/9"})
            CHECK_TEXT(
                store.put(object_key(key), key, write_condition::always()),
                name);
        auto page = store.list("p/", object_key(), 2);
        CHECK_TEXT(page && page->objects.size() == 2 && page->more, name);
        CHECK_TEXT(page->objects[0].key.str() == "p/1", name);
        CHECK_TEXT(page->objects[1].value == "p/2", name);
        page = store.list("p/", object_key("p/2"), 2);
        CHECK_TEXT(page && page->objects.size() == 1 && !page->more, name);
        CHECK_TEXT(page->objects[0].key.str() == "p/3", name);
    });
}

TEST(object_store_contract, watch_tells_of_changes_after_a_revision)
{
    each([](object_store& store, const char* name) {
        CHECK_TEXT(store.put(a, "1", write_condition::always()), name);
        const auto revision = store.list("a/", object_key(), 9)->revision;
        const auto none = store.watch("a/", revision, milliseconds(5));
        CHECK_TEXT(none && none->changes.empty() && !none->reset, name);
        std::thread writer([&] {
            store.put(object_key("b"), "x", write_condition::always());
            store.put(a, "2", write_condition::always());
        });
        const auto page = store.watch("a/", revision, seconds(10));
        writer.join();
        CHECK_TEXT(page && page->changes.size() == 1, name);
        CHECK_TEXT(page->changes[0].object.value == "2", name);
        CHECK_TEXT(store.erase(a, write_condition::always()), name);
        const auto after = store.watch("a/", page->revision, seconds(10));
        CHECK_TEXT(after && after->changes.size() == 1, name);
        CHECK_TEXT(after->changes[0].erased, name);
        const auto ahead = store.watch("a/", after->revision + 9, seconds(10));
        CHECK_TEXT(ahead && ahead->reset, name);
    });
}
