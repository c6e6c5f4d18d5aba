#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>

namespace sardinehinge::http::internal {

/// A body while it arrives. Grows with the bytes that arrive, not with the announced length, and never holds them
/// twice.
class BodyBuffer
{
public:
    std::uint64_t size() const noexcept { return m_size; }

    void append(const char *bytes, std::size_t count)
    {
        m_size += count;
        while (count != 0) {
            // A part that is full stays as it is: growing it would copy it.
            if (m_parts.empty() || m_parts.back().size() >= partBytes)
                m_parts.emplace_back();
            std::string &part = m_parts.back();
            const std::size_t taken = std::min(count, partBytes - part.size());
            if (part.size() + taken > part.capacity())
                part.reserve(std::min(std::max(part.size() + taken, 2 * part.capacity()), partBytes));
            part.append(bytes, taken);
            bytes += taken;
            count -= taken;
        }
    }

    /// Returns the whole body; the buffer is empty afterwards.
    std::string take()
    {
        std::string whole;
        if (m_parts.size() == 1) {
            whole = std::move(m_parts.front());
        } else if (!m_parts.empty()) {
            // The system gives pages to the reserved bytes only as they are written.
            whole.reserve(m_size);
            for (; !m_parts.empty(); m_parts.pop_front())
                whole += m_parts.front();
        }
        m_parts.clear();
        m_size = 0;
        return whole;
    }

private:
    /// The system takes parts of this size back when they are freed: the daemon sets the allocator so.
    static constexpr std::size_t partBytes = 256UL * 1024;

    std::deque<std::string> m_parts; ///< All but the last are full.
    std::uint64_t m_size = 0;
};

/// Body type of Beast for messages that are received.
struct ArrivingBody
{
    using value_type = BodyBuffer;

    static std::uint64_t size(const value_type &body) { return body.size(); }

    class reader // NOLINT(readability-identifier-naming): the name that Beast asks for.
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error) { error = {}; }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &m_body;
    };
};

/// Body type of Beast for messages that are sent: several can share one body.
struct SharedBody
{
    using value_type = std::shared_ptr<const std::string>;

    static std::uint64_t size(const value_type &body) { return body ? body->size() : 0; }

    class writer // NOLINT(readability-identifier-naming): the name that Beast asks for.
    {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template<bool isRequest, class Fields>
        writer(const boost::beast::http::header<isRequest, Fields> &, const value_type &body)
            : m_body(body)
        {
        }

        void init(boost::system::error_code &error) { error = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code &error)
        {
            error = {};
            if (!m_body)
                return boost::none;
            return {{const_buffers_type{m_body->data(), m_body->size()}, false}};
        }

    private:
        const value_type &m_body;
    };
};

} // namespace sardinehinge::http::internal
