#pragma once

#include <sardinehinge/core/admission/memoryaccount.h>
#include <sardinehinge/core/admission/progress.h>
#include <sardinehinge/http/byteaccount.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace sardinehinge::http {

/// What callers and targets make the process hold, in bytes by use, and who holds how much.
///
/// A holder has a share, which it resizes as bytes come and go. If the account is short, core::makeRoom() decides whose
/// shares are taken back. Use it from one thread only, except for the functions that say otherwise.
class ResourceAccount : public ByteAccount
{
public:
    explicit ResourceAccount(core::AccountLimits limits)
        : m_limits(limits)
    {
    }
    /// Called for each share that is taken back or refused, with its use, its peer, the bytes that it has or asks for,
    /// and the bytes of all shares before.
    using RefusalObserver
        = std::function<void(core::HeldUse use, const std::string &peer, std::uint64_t bytes, std::uint64_t total)>;
    void onRefusal(RefusalObserver observer) { m_onRefusal = std::move(observer); }
    std::uint64_t limit() const noexcept { return m_limits.bytes; }
    std::unique_ptr<ByteShare> open(core::HeldUse use, const std::string &peer, TakenBack takenBack) override;
    /// Bytes held for a use. Safe to call from every thread.
    std::uint64_t bytes(core::HeldUse use) const noexcept { return m_bytes.at(static_cast<std::size_t>(use)).load(); }
    /// Shares that were taken back or refused, by use. Safe to call from every thread.
    std::uint64_t refusals(core::HeldUse use) const noexcept
    {
        return m_refusals.at(static_cast<std::size_t>(use)).load();
    }

private:
    class Share;

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
    Holder *find(std::uint64_t id);
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
