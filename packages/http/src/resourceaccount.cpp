#include <sardinehinge/http/resourceaccount.h>

#include <utility>

namespace sardinehinge::http {

namespace {

core::Time steadyTime()
{
    return std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace

class ResourceAccount::Share : public ByteShare
{
public:
    Share(ResourceAccount &account, std::uint64_t id)
        : m_account(account)
        , m_id(id)
    {
    }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    ~Share() override
    {
        if (Holder *holder = m_account.find(m_id)) {
            m_account.set(*holder, 0);
            m_account.m_holders.erase(m_id);
        }
    }

    bool resize(std::uint64_t bytes, std::uint64_t missing) override { return m_account.resize(m_id, bytes, missing); }

    void hold(std::uint64_t bytes) override
    {
        if (Holder *holder = m_account.find(m_id))
            m_account.set(*holder, bytes);
    }

    void setUse(core::HeldUse use) override
    {
        if (Holder *holder = m_account.find(m_id)) {
            const std::uint64_t bytes = holder->bytes;
            m_account.set(*holder, 0);
            holder->use = use;
            m_account.set(*holder, bytes);
        }
    }

    void noteProgress(std::uint64_t bytes) override
    {
        if (Holder *holder = m_account.find(m_id))
            holder->progress.note(bytes, steadyTime());
    }

private:
    ResourceAccount &m_account;
    std::uint64_t m_id;
};

std::unique_ptr<ByteShare> ResourceAccount::open(core::HeldUse use, const std::string &peer, TakenBack takenBack)
{
    const std::uint64_t id = m_nextId++;
    m_holders.emplace(
        id,
        Holder{use, 0, 0, peer.substr(0, peer.rfind(':')), core::ProgressMeter(steadyTime()), std::move(takenBack)});
    return std::make_unique<Share>(*this, id);
}

ResourceAccount::Holder *ResourceAccount::find(std::uint64_t id)
{
    const auto found = m_holders.find(id);
    return found == m_holders.end() ? nullptr : &found->second;
}

std::uint64_t ResourceAccount::total() const noexcept
{
    std::uint64_t sum = 0;
    for (const auto &bytes : m_bytes)
        sum += bytes.load();
    return sum;
}

bool ResourceAccount::resize(std::uint64_t id, std::uint64_t bytes, std::uint64_t missing)
{
    Holder *found = find(id);
    if (found == nullptr)
        return false;
    Holder &holder = *found;
    holder.missing = missing;
    // Most requests find room, without a look at the other holders.
    const std::uint64_t available = m_limits.bytes - std::min(m_limits.bytes, m_limits.keptForSmall);
    if (bytes <= holder.bytes || total() - holder.bytes + bytes <= available) {
        set(holder, bytes);
        return true;
    }
    const core::Time now = steadyTime();
    std::vector<core::HeldBytes> held;
    for (const auto &[each, its] : m_holders)
        held.push_back({each, its.use, its.bytes, its.peer, its.missing, its.progress.bytesPerSecond(now),
                        its.progress.stalledFor(now)});
    const core::RoomDecision decision = core::makeRoom(m_limits, held, id, bytes);
    if (!decision.isGranted) {
        noteRefusal(holder, bytes);
        return false;
    }
    set(holder, bytes);
    for (const std::uint64_t each : decision.toClose)
        close(each);
    return true;
}

void ResourceAccount::set(Holder &holder, std::uint64_t bytes)
{
    countOf(holder.use) += bytes - holder.bytes;
    holder.bytes = bytes;
}

void ResourceAccount::noteRefusal(const Holder &holder, std::uint64_t bytes)
{
    ++m_refusals.at(static_cast<std::size_t>(holder.use));
    if (m_onRefusal)
        m_onRefusal(holder.use, holder.peer, bytes, total());
}

void ResourceAccount::close(std::uint64_t id)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end())
        return;
    noteRefusal(found->second, found->second.bytes);
    set(found->second, 0);
    const TakenBack takenBack = std::move(found->second.takenBack);
    m_holders.erase(found);
    if (takenBack)
        takenBack();
}

} // namespace sardinehinge::http
