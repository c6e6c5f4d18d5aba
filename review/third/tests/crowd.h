#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// What each caller of a crowd sends: a head, then `bytes` of its body in pieces. It stays open behind them.
struct CrowdBehaviour
{
    std::string head;
    std::uint64_t bytes = 0;
    std::size_t pieceBytes = 16384;
    std::chrono::milliseconds pause{0}; ///< Between two pieces.
    std::chrono::milliseconds comesAgainAfter{0}; ///< After its connection has ended; 0: never.
};

class Crowd
{
public:
    Crowd(boost::asio::io_context &context, const std::string &address, const CrowdBehaviour &behaviour,
          std::size_t callers);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    std::size_t open() const; ///< Connections that are open.
    std::uint64_t sent() const; ///< Bytes of bodies.
    std::size_t ended() const; ///< Connections that the daemon has ended.

private:
    class Caller;
    std::vector<std::shared_ptr<Caller>> m_callers;
};

/// Lets this process and its children open as many descriptors as the system allows them.
bool allowDescriptors(std::size_t wanted);

} // namespace review
