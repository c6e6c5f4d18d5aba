#pragma once

#include <sardinehinge/core/admission/memoryaccount.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sardinehinge::http {

/// What callers and targets make the process hold, in bytes by use, and who holds how much.
///
/// A holder has a Share, which it resizes as bytes come and go. If the account is short, core::makeRoom() decides whose
/// shares are taken back. Use it from one thread only, except for the functions that say otherwise.
class ResourceAccount
{
public:
    /// Called when a share is taken back: its holder must free the bytes soon and end. The share is empty by then.
    using TakenBack = std::function<void()>;

    /// A holder's part of the account. Gives it back at its end. It must not outlive the account.
    class Share
    {
    public:
        Share() = default;
        Share(Share &&other) noexcept;
        Share &operator=(Share &&other) noexcept;
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;
        ~Share() { reset(); }

        /// Asks for `bytes` instead of what the share has; fewer are always granted. `missing`: bytes that the holder
        /// will ask for beyond that, or an upper bound. Returns false if there is no room: the share is unchanged, and
        /// its holder must end. A share that was taken back gets nothing.
        [[nodiscard]] bool resize(std::uint64_t bytes, std::uint64_t missing = 0);
        /// Takes bytes that the process holds already, also beyond the account.
        void hold(std::uint64_t bytes);
        /// Changes the use, with the same bytes.
        void setUse(core::HeldUse use);
        /// Notes that bytes arrived or left.
        void noteProgress(std::uint64_t bytes);
        double bytesPerSecond() const;
        std::uint64_t bytes() const noexcept;
        /// Gives the bytes back.
        void reset();

    private:
        friend class ResourceAccount;
        Share(ResourceAccount *account, std::uint64_t id)
            : m_account(account)
            , m_id(id)
        {
        }

        ResourceAccount *m_account = nullptr;
        std::uint64_t m_id = 0;
    };

    explicit ResourceAccount(core::AccountLimits limits)
        : m_limits(limits)
    {
    }
    ResourceAccount(const ResourceAccount &) = delete;
    ResourceAccount &operator=(const ResourceAccount &) = delete;

    /// Called for each share that is taken back or refused, with its use, its peer, the bytes that it has or asks for,
    /// and the bytes of all shares before.
    using RefusalObserver
        = std::function<void(core::HeldUse use, const std::string &peer, std::uint64_t bytes, std::uint64_t total)>;
    void onRefusal(RefusalObserver observer) { m_onRefusal = std::move(observer); }
    std::uint64_t limit() const noexcept { return m_limits.bytes; }
    /// Opens a share without bytes for `peer`, an IP address with or without a port.
    Share open(core::HeldUse use, const std::string &peer, TakenBack takenBack);
    /// Bytes held for a use. Safe to call from every thread.
    std::uint64_t bytes(core::HeldUse use) const noexcept { return m_bytes.at(static_cast<std::size_t>(use)).load(); }
    /// Shares that were taken back or refused, by use. Safe to call from every thread.
    std::uint64_t refusals(core::HeldUse use) const noexcept
    {
        return m_refusals.at(static_cast<std::size_t>(use)).load();
    }

private:
    struct Holder
    {
        core::HeldUse use{};
        std::uint64_t bytes = 0;
        std::uint64_t missing = 0;
        std::string peer;
        core::ProgressMeter progress;
        TakenBack takenBack;
    };

    std::atomic<std::uint64_t> &countOf(core::HeldUse use) { return m_bytes.at(static_cast<std::size_t>(use)); }
    std::uint64_t total() const noexcept;
    bool resize(std::uint64_t id, std::uint64_t bytes, std::uint64_t missing);
    void set(Holder &holder, std::uint64_t bytes);
    void close(std::uint64_t id);
    void noteRefusal(const Holder &holder, std::uint64_t bytes);

    core::AccountLimits m_limits;
    std::map<std::uint64_t, Holder> m_holders; ///< By id.
    std::uint64_t m_nextId = 1;
    RefusalObserver m_onRefusal;
    std::array<std::atomic<std::uint64_t>, core::heldUses> m_bytes{};
    std::array<std::atomic<std::uint64_t>, core::heldUses> m_refusals{};
};

} // namespace sardinehinge::http
