#include <sardinehinge/core/controlgroup.h>

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/sharding.h>

#include <algorithm>
#include <iterator>

namespace sardinehinge::core {

namespace {

constexpr std::size_t fullWitnessCount = 5;
constexpr std::size_t reducedWitnessCount = 3;
constexpr Duration promiseRoundPeriod = 40ms;
constexpr Duration promiseRoundsLimit = 400ms; ///< After this long without a majority the candidate starts over.
constexpr Duration firstRecordStep = 250ms; ///< Wait per rank before a group without a live witness is taken up.
constexpr Duration firstRecordStepLimit = 30s;
constexpr Duration incarnationGather = 600ms; ///< Time for daemons to learn each other's incarnations after a start.

std::size_t majorityOf(std::size_t count) noexcept
{
    return count / 2 + 1;
}

std::size_t witnessCountFor(std::size_t daemons) noexcept
{
    if (daemons >= fullWitnessCount)
        return fullWitnessCount;
    return daemons >= reducedWitnessCount ? reducedWitnessCount : 1;
}

} // namespace

bool ControlGroup::isGone(const DaemonIdentity &witness) const
{
    if (const auto known = m_knownIncarnations.find(witness.id);
        known != m_knownIncarnations.end() && known->second > witness.incarnation)
        return true;
    // A list older than the one the witnesses were picked from may not show them yet.
    return m_view.version >= m_record.listVersion && !m_listed.contains(witness.id);
}

bool ControlGroup::hasMajority(const std::vector<DaemonIdentity> &witnesses,
                               const std::set<DaemonIdentity> &confirmed) const
{
    const auto counts = [&](const DaemonIdentity &witness) { return confirmed.contains(witness) || isGone(witness); };
    const auto count = std::count_if(witnesses.begin(), witnesses.end(), counts);
    return witnesses.empty() || static_cast<std::size_t>(count) >= majorityOf(witnesses.size());
}

/// The latest time from which a majority had confirmed this daemon: the majority-th latest heartbeat. 0 without one.
Time ControlGroup::majorityConfirmedFrom(const std::vector<DaemonIdentity> &witnesses) const
{
    // The first record of a group has no earlier witnesses: nobody can hold authority that this one could clash with.
    if (witnesses.empty())
        return m_now;
    std::vector<Time> confirmed;
    for (const DaemonIdentity &witness : witnesses) {
        const auto found = m_confirmedFrom.find(witness);
        confirmed.push_back(found == m_confirmedFrom.end() ? 0ms : found->second);
    }
    std::sort(confirmed.begin(), confirmed.end(), std::greater<>());
    return confirmed[majorityOf(witnesses.size()) - 1];
}

std::set<DaemonIdentity> ControlGroup::electorate() const
{
    std::set<DaemonIdentity> voters(m_record.witnesses.begin(), m_record.witnesses.end());
    voters.insert(m_record.previousWitnesses.begin(), m_record.previousWitnesses.end());
    return voters;
}

bool ControlGroup::allWitnessesGone() const
{
    return std::all_of(m_record.witnesses.begin(), m_record.witnesses.end(),
                       [this](const DaemonIdentity &witness) { return isGone(witness); });
}

std::vector<DaemonIdentity> ControlGroup::pickWitnesses() const
{
    struct Choice
    {
        std::size_t usedDomain = 0; ///< How many better choices share the failure domain.
        std::uint64_t rank = 0;
        DaemonIdentity identity;
        std::string failureDomain;
    };
    std::vector<Choice> choices;
    for (const Instance &daemon : liveDaemons(m_view)) {
        const auto known = m_knownIncarnations.find(daemon.id);
        if (known != m_knownIncarnations.end() && !m_silentWitnesses.contains(daemon.id))
            choices.push_back({0,
                               daemon.id == m_self.id ? 0 : rendezvousRank(m_group, daemon.id),
                               {daemon.id, known->second},
                               daemon.failureDomain});
    }
    const auto byRank = [](const Choice &a, const Choice &b) { return a.rank < b.rank; };
    std::sort(choices.begin(), choices.end(), byRank);
    std::map<std::string, std::size_t> used;
    for (Choice &choice : choices)
        choice.usedDomain = used[choice.failureDomain]++;
    std::stable_sort(choices.begin(), choices.end(),
                     [](const Choice &a, const Choice &b) { return a.usedDomain < b.usedDomain; });
    choices.resize(std::min(choices.size(), witnessCountFor(choices.size())));
    std::vector<DaemonIdentity> witnesses;
    std::transform(choices.begin(), choices.end(), std::back_inserter(witnesses),
                   [](const Choice &choice) { return choice.identity; });
    return witnesses.empty() ? std::vector{m_self} : witnesses;
}

/// How long this daemon waits before it becomes a candidate; nothing when that isn't its part.
std::optional<Duration> ControlGroup::candidacyDelay() const
{
    // The holder is the one that fell silent, so its place in the line is the last.
    std::vector<DaemonIdentity> line = m_record.witnesses;
    std::stable_partition(line.begin(), line.end(),
                          [this](const DaemonIdentity &each) { return each != m_record.holder; });
    if (const auto place = std::find(line.begin(), line.end(), m_self); place != line.end())
        return m_timing.suspicionTimeout + m_timing.candidacyStagger * (place - line.begin());
    if (!allWitnessesGone())
        return std::nullopt;
    const std::uint64_t ownRank = rendezvousRank(m_group, m_self.id);
    const auto daemons = liveDaemons(m_view);
    const auto before = std::count_if(daemons.begin(), daemons.end(), [&](const Instance &daemon) {
        return daemon.id != m_self.id && rendezvousRank(m_group, daemon.id) < ownRank;
    });
    return incarnationGather + std::min<Duration>(firstRecordStep * before, firstRecordStepLimit);
}

void ControlGroup::adoptRecord(const ControlRecord &record, std::uint64_t revision)
{
    m_recordKnown = true;
    m_highestTermSeen = std::max(m_highestTermSeen, record.term);
    if (revision < m_recordRevision || (revision == m_recordRevision && revision != 0))
        return;
    m_recordRevision = revision;
    m_record = record;
    const bool isActing = m_role == ControlRole::Steward || m_role == ControlRole::Controller;
    if (record.holder == m_self && record.term == m_term && isActing)
        acceptOwnRecord();
    else if (m_role != ControlRole::Follower)
        stepDown("record of term " + std::to_string(record.term) + " by " + record.holder.id);
}

void ControlGroup::acceptOwnRecord()
{
    m_recordIsOurs = true;
    m_lastHeartbeat = 0ms; // The new witnesses are asked at once.
}

void ControlGroup::considerCandidacy()
{
    if (m_role != ControlRole::Follower || m_view.instances.empty() || m_resigned)
        return;
    const auto delay = candidacyDelay();
    if (!delay)
        return;
    const Time silentSince = std::max(m_witness.lastHeard().value_or(m_startedAt), m_lastCandidacyEnd);
    if (m_now - silentSince < *delay)
        return;
    // Whether a record exists must be certain before a group is taken up from nothing.
    if (!m_recordKnown) {
        if (mayCall(m_recordRead)) {
            beginCall(m_recordRead);
            m_effects.push_back(ReadRecord{});
        }
        return;
    }
    becomeCandidate();
}

void ControlGroup::becomeCandidate()
{
    m_role = ControlRole::Candidate;
    m_roleSince = m_now;
    m_term = std::max({m_highestTermSeen, m_witness.promisedTerm(), m_record.term}) + 1;
    m_highestTermSeen = m_term;
    m_promised.clear();
    m_lastPromiseRound = 0ms;
    m_recordIsOurs = false;
    note(events::candidacyStarted, m_group + " term " + std::to_string(m_term));
}

void ControlGroup::askForPromises()
{
    const bool isElected
        = hasMajority(m_record.witnesses, m_promised) && hasMajority(m_record.previousWitnesses, m_promised);
    if (isElected)
        return becomeSteward();
    if (m_now - m_roleSince > promiseRoundsLimit)
        return stepDown("no majority of witnesses answered");
    if (m_lastPromiseRound != 0ms && m_now - m_lastPromiseRound < promiseRoundPeriod)
        return;
    m_lastPromiseRound = m_now;
    for (const DaemonIdentity &voter : electorate()) {
        if (!m_promised.contains(voter) && !isGone(voter))
            m_effects.push_back(SendPeer{voter.id, PromiseRequest{m_group, m_term, m_record.term}});
    }
}

void ControlGroup::becomeSteward()
{
    m_role = ControlRole::Steward;
    m_roleSince = m_now;
    m_fencedAt = m_now;
    m_confirmedFrom.clear();
    m_retired.clear();
    m_lastHeartbeat = 0ms;
    m_lastAuthority = 0ms;
    m_assignmentFresh = false;
    m_assignmentStamped = false;
    for (auto &[target, lease] : m_leases) {
        lease = TargetLease{};
    }
    note(events::stewardshipStarted, m_group + " term " + std::to_string(m_term));
}

void ControlGroup::becomeController()
{
    m_role = ControlRole::Controller;
    m_roleSince = m_now;
    note(events::controlStarted, m_group + " term " + std::to_string(m_term));
}

void ControlGroup::stepDown(const std::string &reason)
{
    note(events::steppedDown,
         m_group + " " + controlRoleName(m_role) + " term " + std::to_string(m_term) + ": " + reason);
    m_role = ControlRole::Follower;
    m_recordIsOurs = false;
    m_lastCandidacyEnd = m_now;
    m_leases.clear();
    m_assignmentFresh = false;
    m_assignmentStamped = false;
}

void ControlGroup::sendHeartbeats()
{
    if (m_lastHeartbeat != 0ms && m_now - m_lastHeartbeat < m_timing.heartbeatInterval)
        return;
    m_lastHeartbeat = m_now;
    const Heartbeat heartbeat{m_group, m_term, m_record.term, m_now.count()};
    for (const DaemonIdentity &witness : electorate()) {
        if (!isGone(witness))
            m_effects.push_back(SendPeer{witness.id, heartbeat});
    }
}

void ControlGroup::writeRecord()
{
    if (!mayCall(m_recordWrite))
        return;
    beginCall(m_recordWrite);
    // A record that is ours already is only tidied: its previous witnesses are retired by now.
    const auto witnesses = m_recordIsOurs ? m_record.witnesses : pickWitnesses();
    m_writingRecord = ControlRecord{m_term, m_self, witnesses, m_record.witnesses, m_view.version};
    m_effects.push_back(WriteRecord{m_writingRecord, m_recordRevision});
}

/// A steward becomes the controller once the store holds its record, a majority of the new witnesses confirms it, and a
/// majority of the previous ones has taken the new record as its base, so that none can be elected from the old one.
void ControlGroup::advanceTakeover()
{
    if (!m_recordKnown) {
        if (mayCall(m_recordRead)) {
            beginCall(m_recordRead);
            m_effects.push_back(ReadRecord{});
        }
        return;
    }
    if (!m_recordIsOurs)
        return writeRecord();
    const bool isRetired = hasMajority(m_record.previousWitnesses, m_retired);
    if (isRetired && hasAuthority(m_now))
        becomeController();
}

/// Without a majority of witnesses for long, the term is given up: a new election may count those that are gone, and
/// then name others.
void ControlGroup::checkAuthority()
{
    if (hasAuthority(m_now) || m_lastAuthority == 0ms)
        m_lastAuthority = m_now;
    else if (m_now - m_lastAuthority > m_timing.majorityLossTimeout)
        stepDown("no majority of witnesses confirms it");
}

void ControlGroup::replaceSilentWitnesses()
{
    for (const DaemonIdentity &witness : m_record.witnesses) {
        const auto confirmed = m_confirmedFrom.find(witness);
        const Time heard = confirmed == m_confirmedFrom.end() ? m_roleSince : std::max(confirmed->second, m_roleSince);
        const bool isSilent = isGone(witness) || m_now - heard > m_timing.witnessReplacementTimeout;
        const bool isNew = isSilent && m_silentWitnesses.insert(witness.id).second;
        if (isNew)
            note(events::witnessSilent, m_group + " " + witness.id);
    }
    // Witnesses that answer again later are eligible once the others have been given their chance. One that is gone for
    // certain is replaced sooner: the fewer are left, the less it takes to lose the majority.
    const bool anyGone = std::any_of(m_record.witnesses.begin(), m_record.witnesses.end(),
                                     [this](const DaemonIdentity &witness) { return isGone(witness); });
    if (m_now - m_lastWitnessReview
        < (anyGone ? m_timing.exitedWitnessReplacementTimeout : m_timing.witnessReplacementTimeout))
        return;
    m_lastWitnessReview = m_now;
    const bool recordIsTidy = m_record.previousWitnesses == m_record.witnesses;
    if (!recordIsTidy && hasAuthority(m_now))
        return writeRecord();
    auto picked = pickWitnesses();
    const auto isPresent = [&](const DaemonIdentity &witness) { return !m_silentWitnesses.contains(witness.id); };
    const auto present = std::count_if(m_record.witnesses.begin(), m_record.witnesses.end(), isPresent);
    m_silentWitnesses.clear();
    if (picked.size() > static_cast<std::size_t>(present) && mayCall(m_recordWrite) && hasAuthority(m_now))
        becomeCandidate();
}

void ControlGroup::onMessage(const DaemonIdentity &from, const PromiseRequest &message)
{
    if (message.group != m_group)
        return;
    m_highestTermSeen = std::max(m_highestTermSeen, message.term);
    m_effects.push_back(SendPeer{from.id, m_witness.handle(from, message, m_now)});
}

void ControlGroup::onMessage(const DaemonIdentity &from, const PromiseReply &message)
{
    if (message.group != m_group)
        return;
    m_highestTermSeen = std::max(m_highestTermSeen, message.promisedTerm);
    if (message.baseTerm > m_record.term)
        m_recordKnown = false;
    if (m_role == ControlRole::Follower || message.term != m_term)
        return;
    if (message.granted && m_role == ControlRole::Candidate)
        m_promised.insert(from);
    // A refused heartbeat, or a promise given to a later term, means that this term can't win any more.
    const bool isSuperseded = message.promisedTerm > m_term || message.baseTerm > std::max(m_record.term, m_term);
    if (!message.granted && isSuperseded)
        stepDown("witness " + from.id + " follows term " + std::to_string(message.promisedTerm));
}

void ControlGroup::onMessage(const DaemonIdentity &from, const Heartbeat &message)
{
    if (message.group != m_group)
        return;
    m_highestTermSeen = std::max(m_highestTermSeen, message.term);
    const auto answer = m_witness.handle(from, message, m_now);
    std::visit([&](const auto &typed) { m_effects.push_back(SendPeer{from.id, typed}); }, answer);
    // The witness's own record may be behind the one that the controller names.
    if (std::holds_alternative<HeartbeatAck>(answer) && message.baseTerm > m_record.term)
        m_recordKnown = false;
}

void ControlGroup::onMessage(const DaemonIdentity &from, const HeartbeatAck &message)
{
    if (message.group != m_group || message.term != m_term || m_role == ControlRole::Follower)
        return;
    auto &confirmed = m_confirmedFrom[from];
    confirmed = std::max(confirmed, Time(message.sentAt));
    if (message.baseTerm == m_term)
        m_retired.insert(from);
}

} // namespace sardinehinge::core
