// Runs a function if a scope is left by an exception.
//
//     is_asking_ = true;
//     const on_failure failed([this] { is_asking_ = false; });
//     ... co_await ...
//     is_asking_ = false;
//
// In a coroutine it doesn't run when the coroutine is destroyed while it waits,
// as at the end of the process, when what the function refers to may be gone.
// The function must not throw.

#ifndef FENNELLADDER_BASE_ON_FAILURE_HPP
#define FENNELLADDER_BASE_ON_FAILURE_HPP

#include <exception>
#include <utility>

namespace fennelladder {

template <class Function>
class on_failure
{
public:
    explicit on_failure(Function then) : then_(std::move(then)) {}
    ~on_failure()
    {
        if (std::uncaught_exceptions() > exceptions_)
            then_();
    }
    on_failure(const on_failure&) = delete;
    on_failure& operator=(const on_failure&) = delete;

private:
    Function then_;
    int exceptions_ = std::uncaught_exceptions();
};

} // namespace fennelladder

#endif
