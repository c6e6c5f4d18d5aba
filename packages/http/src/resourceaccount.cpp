#include <sardinehinge/http/resourceaccount.h>

#include <utility>

namespace sardinehinge::http {

namespace {

core::Time steadyTime()
{
    return std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace

ResourceAccount::Share::Share(Share &&other) noexcept
    : m_account(std::exchange(other.m_account, nullptr))
    , m_id(std::exchange(other.m_id, 0))
{
}

ResourceAccount::Share &ResourceAccount::Share::operator=(Share &&other) noexcept
{
    if (this != &other) {
        reset();
        m_account = std::exchange(other.m_account, nullptr);
        m_id = std::exchange(other.m_id, 0);
    }
    return *this;
}

bool ResourceAccount::Share::resize(std::uint64_t bytes, std::uint64_t missing)
{
    return m_account == nullptr || m_account->resize(m_id, bytes, missing);
}

void ResourceAccount::Share::hold(std::uint64_t bytes)
{
    if (m_account == nullptr)
        return;
    if (const auto found = m_account->m_holders.find(m_id); found != m_account->m_holders.end())
        m_account->set(found->second, bytes);
}

void ResourceAccount::Share::setUse(core::HeldUse use)
{
    if (m_account == nullptr)
        return;
    const auto found = m_account->m_holders.find(m_id);
    if (found == m_account->m_holders.end())
        return;
    Holder &holder = found->second;
    m_account->countOf(holder.use) -= holder.bytes;
    holder.use = use;
    m_account->countOf(holder.use) += holder.bytes;
}

void ResourceAccount::Share::noteProgress(std::uint64_t bytes)
{
    if (m_account == nullptr)
        return;
    if (const auto found = m_account->m_holders.find(m_id); found != m_account->m_holders.end())
        found->second.progress.note(bytes, steadyTime());
}

double ResourceAccount::Share::bytesPerSecond() const
{
    if (m_account == nullptr)
        return 0;
    const auto found = m_account->m_holders.find(m_id);
    return found == m_account->m_holders.end() ? 0 : found->second.progress.bytesPerSecond(steadyTime());
}

std::uint64_t ResourceAccount::Share::bytes() const noexcept
{
    if (m_account == nullptr)
        return 0;
    const auto found = m_account->m_holders.find(m_id);
    return found == m_account->m_holders.end() ? 0 : found->second.bytes;
}

void ResourceAccount::Share::reset()
{
    ResourceAccount *account = std::exchange(m_account, nullptr);
    if (account == nullptr)
        return;
    if (const auto found = account->m_holders.find(m_id); found != account->m_holders.end()) {
        account->set(found->second, 0);
        account->m_holders.erase(found);
    }
}

ResourceAccount::Share ResourceAccount::open(core::HeldUse use, const std::string &peer, TakenBack takenBack)
{
    const std::uint64_t id = m_nextId++;
    m_holders.emplace(
        id,
        Holder{use, 0, 0, peer.substr(0, peer.rfind(':')), core::ProgressMeter(steadyTime()), std::move(takenBack)});
    return {this, id};
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
    const auto found = m_holders.find(id);
    if (found == m_holders.end())
        return false;
    Holder &holder = found->second;
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
