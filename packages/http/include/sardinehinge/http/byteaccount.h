#pragma once

#include <sardinehinge/core/admission/helduse.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sardinehinge::http {

/// A holder's part of an account. Its end gives the bytes back.
class ByteShare
{
public:
    ByteShare() = default;
    ByteShare(const ByteShare &) = delete;
    ByteShare &operator=(const ByteShare &) = delete;
    virtual ~ByteShare() = default;

    /// Asks for `bytes` instead of what the share has; fewer are always granted. `missing`: bytes that the holder will
    /// ask for beyond that, or an upper bound. Returns false if there is no room: the share is unchanged, and its
    /// holder must end. A share that was taken back gets nothing.
    [[nodiscard]] virtual bool resize(std::uint64_t bytes, std::uint64_t missing) = 0;
    /// Takes bytes that the process holds already, also beyond the account.
    virtual void hold(std::uint64_t bytes) = 0;
    /// Changes the use, with the same bytes.
    virtual void setUse(core::HeldUse use) = 0;
    /// Notes that bytes arrived or left.
    virtual void noteProgress(std::uint64_t bytes) = 0;
};

/// Counts what callers and targets make the process hold.
class ByteAccount
{
public:
    /// Called when a share is taken back: its holder must free the bytes soon and end. The share is empty by then.
    using TakenBack = std::function<void()>;

    ByteAccount() = default;
    ByteAccount(const ByteAccount &) = delete;
    ByteAccount &operator=(const ByteAccount &) = delete;
    virtual ~ByteAccount() = default;

    /// Opens a share without bytes for `peer`, an IP address with or without a port. It must not outlive the account.
    virtual std::unique_ptr<ByteShare> open(core::HeldUse use, const std::string &peer, TakenBack takenBack) = 0;
};

} // namespace sardinehinge::http
