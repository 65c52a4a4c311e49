// A Beast body in a string whose memory grows as bytes arrive. With
// http::string_body, a caller that announces a long body makes the node reserve
// it, and the memory of a chunked one is up to twice its size.

#ifndef FENNELLADDER_EDGE_GROWING_BODY_HPP
#define FENNELLADDER_EDGE_GROWING_BODY_HPP

#include "fennelladder/edge/io.hpp"

#include <algorithm>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace fennelladder::edge {

/// Meets Beast's requirements of a Body that can be parsed. Not thread safe.
struct growing_body
{
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : body_(body)
        {}

        void init(const boost::optional<std::uint64_t>& length, net_error& ec)
        {
            announced_ = length.value_or(0);
            ec = {};
        }

        /// Once a quarter of an announced body is there, its whole length is
        /// reserved: growth then copies a quarter of it at most, and no memory
        /// is left over.
        template <class Buffers>
        std::size_t put(const Buffers& buffers, net_error& ec)
        {
            const std::size_t more = beast::buffer_bytes(buffers);
            const std::size_t size = body_.size() + more;
            if (size > body_.capacity() && announced_ >= size)
                body_.reserve(std::min<std::size_t>(announced_, 4 * size));
            for (const auto it : beast::buffers_range_ref(buffers))
                body_.append(static_cast<const char*>(it.data()), it.size());
            ec = {};
            return more;
        }

        void finish(net_error& ec)
        {
            // What doubling left over of a body of unknown length.
            if (body_.capacity() - body_.size() > max_unused)
                body_.shrink_to_fit();
            ec = {};
        }

    private:
        static constexpr std::size_t max_unused = 65'536;

        value_type& body_;
        std::uint64_t announced_ = 0;
    };
};

} // namespace fennelladder::edge

#endif
