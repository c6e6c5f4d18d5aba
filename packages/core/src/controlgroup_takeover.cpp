#include <sardinehinge/core/controlgroup.h>

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/sharding.h>

#include <algorithm>
#include <iterator>

namespace sardinehinge::core {

namespace {

constexpr std::size_t fullWitnessCount = 5;
constexpr std::size_t reducedWitnessCount = 3;
constexpr Duration promiseRetryInterval = 40ms; ///< Until requests without a reply are sent again.
constexpr Duration candidacyTimeout = 400ms; ///< A candidate without a majority steps down after this.
constexpr Duration firstRecordRankDelay = 250ms; ///< Candidacy delay per rank in a group without a live witness.
constexpr Duration firstRecordMaxDelay = 30s;
constexpr Duration incarnationExchangeTime = 600ms; ///< Time in which started daemons exchange their incarnations.

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
    // An instance list older than the one that the witnesses were picked from may not contain them yet.
    return m_view.version >= m_record.listVersion && !m_listed.contains(witness.id);
}

bool ControlGroup::hasMajority(const std::vector<DaemonIdentity> &witnesses,
                               const std::set<DaemonIdentity> &confirmed) const
{
    const auto counts = [&](const DaemonIdentity &witness) { return confirmed.contains(witness) || isGone(witness); };
    const auto count = std::count_if(witnesses.begin(), witnesses.end(), counts);
    return witnesses.empty() || static_cast<std::size_t>(count) >= majorityOf(witnesses.size());
}

/// The latest send time such that a majority of `witnesses` acknowledged a heartbeat sent then or later. 0 without a
/// majority.
Time ControlGroup::majorityAckedSendTime(const std::vector<DaemonIdentity> &witnesses) const
{
    // Before the first record there are no witnesses, so no other daemon can hold conflicting authority.
    if (witnesses.empty())
        return m_now;
    std::vector<Time> confirmed;
    for (const DaemonIdentity &witness : witnesses) {
        const auto found = m_ackedSendTimes.find(witness);
        confirmed.push_back(found == m_ackedSendTimes.end() ? 0ms : found->second);
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

bool ControlGroup::isWitness(const ControlRecord &record) const
{
    return std::find(record.witnesses.begin(), record.witnesses.end(), m_self) != record.witnesses.end();
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
        std::size_t domainRank = 0; ///< Number of better-ranked choices in the same failure domain.
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
        choice.domainRank = used[choice.failureDomain]++;
    std::stable_sort(choices.begin(), choices.end(),
                     [](const Choice &a, const Choice &b) { return a.domainRank < b.domainRank; });
    choices.resize(std::min(choices.size(), witnessCountFor(choices.size())));
    std::vector<DaemonIdentity> witnesses;
    std::transform(choices.begin(), choices.end(), std::back_inserter(witnesses),
                   [](const Choice &choice) { return choice.identity; });
    return witnesses.empty() ? std::vector{m_self} : witnesses;
}

/// How long the controller must be silent before this daemon becomes a candidate. Empty when it may not become one.
std::optional<Duration> ControlGroup::candidacyDelay() const
{
    // The record holder is the controller that is silent, so it comes last.
    std::vector<DaemonIdentity> candidates = m_record.witnesses;
    std::stable_partition(candidates.begin(), candidates.end(),
                          [this](const DaemonIdentity &each) { return each != m_record.holder; });
    if (const auto place = std::find(candidates.begin(), candidates.end(), m_self); place != candidates.end())
        return m_timing.suspicionTimeout + m_timing.candidacyStagger * (place - candidates.begin());
    if (!allWitnessesGone())
        return std::nullopt;
    const std::uint64_t ownRank = rendezvousRank(m_group, m_self.id);
    const auto daemons = liveDaemons(m_view);
    const auto before = std::count_if(daemons.begin(), daemons.end(), [&](const Instance &daemon) {
        return daemon.id != m_self.id && rendezvousRank(m_group, daemon.id) < ownRank;
    });
    return incarnationExchangeTime + std::min<Duration>(firstRecordRankDelay * before, firstRecordMaxDelay);
}

void ControlGroup::adoptRecord(const ControlRecord &record, std::uint64_t revision)
{
    m_recordKnown = true;
    m_highestTermSeen = std::max(m_highestTermSeen, record.term);
    if (revision < m_recordRevision || (revision == m_recordRevision && revision != 0))
        return;
    m_recordRevision = revision;
    // A witness that the record names anew hasn't heard its controller yet, which is no silence.
    if (isWitness(record) && !isWitness(m_record))
        m_witnessSince = m_now;
    m_record = record;
    const bool isActing = m_role == ControlRole::Steward || m_role == ControlRole::Controller;
    if (record.holder == m_self && record.term == m_term && isActing)
        onOwnRecordStored();
    else if (m_role != ControlRole::Follower)
        stepDown("record of term " + std::to_string(record.term) + " by " + record.holder.id);
}

void ControlGroup::onOwnRecordStored()
{
    m_isRecordOurs = true;
    m_lastHeartbeat = 0ms; // Send heartbeats to the new witnesses at once.
}

void ControlGroup::startCandidacyIfDue()
{
    if (m_role != ControlRole::Follower || m_view.instances.empty() || m_isStopping)
        return;
    const auto delay = candidacyDelay();
    if (!delay)
        return;
    const Time silentSince
        = std::max({m_witness.lastHeard().value_or(m_startedAt), m_lastCandidacyEnd, m_witnessSince});
    if (m_now - silentSince < *delay)
        return;
    // A candidate needs to know the current record, or that none exists.
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
    m_lastPromiseRequests = 0ms;
    m_isRecordOurs = false;
    note(events::candidacyStarted, m_group + " term " + std::to_string(m_term));
}

void ControlGroup::requestPromises()
{
    const bool isElected
        = hasMajority(m_record.witnesses, m_promised) && hasMajority(m_record.previousWitnesses, m_promised);
    if (isElected)
        return becomeSteward();
    if (m_now - m_roleSince > candidacyTimeout)
        return stepDown("no majority of witnesses promised");
    if (m_lastPromiseRequests != 0ms && m_now - m_lastPromiseRequests < promiseRetryInterval)
        return;
    m_lastPromiseRequests = m_now;
    for (const DaemonIdentity &voter : electorate()) {
        if (!m_promised.contains(voter) && !isGone(voter))
            m_effects.push_back(SendPeer{voter.id, PromiseRequest{m_group, m_term, m_record.term}});
    }
}

void ControlGroup::becomeSteward()
{
    m_role = ControlRole::Steward;
    m_roleSince = m_now;
    m_electedAt = m_now;
    m_ackedSendTimes.clear();
    m_adoptedRecord.clear();
    m_lastHeartbeat = 0ms;
    m_lastAuthority = 0ms;
    m_assignmentFresh = false;
    m_assignmentWrittenThisTerm = false;
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
    m_isRecordOurs = false;
    m_lastCandidacyEnd = m_now;
    m_leases.clear();
    m_assignmentFresh = false;
    m_assignmentWrittenThisTerm = false;
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
    // If the store holds this term's record, the write only replaces its previous witnesses, which are no longer
    // needed: a majority of them has acknowledged the record.
    const auto witnesses = m_isRecordOurs ? m_record.witnesses : pickWitnesses();
    m_writingRecord = ControlRecord{m_term, m_self, witnesses, m_record.witnesses, m_view.version};
    m_effects.push_back(WriteRecord{m_writingRecord, m_recordRevision});
}

/// A steward becomes the controller once the store holds its record, a majority of the new witnesses confirms it, and a
/// majority of the previous witnesses has acknowledged the new record, so that no candidate can be elected with the old
/// one.
void ControlGroup::advanceTakeover()
{
    if (!m_recordKnown) {
        if (mayCall(m_recordRead)) {
            beginCall(m_recordRead);
            m_effects.push_back(ReadRecord{});
        }
        return;
    }
    if (!m_isRecordOurs)
        return writeRecord();
    const bool hasPreviousMajority = hasMajority(m_record.previousWitnesses, m_adoptedRecord);
    if (hasPreviousMajority && hasAuthority(m_now))
        becomeController();
}

/// Steps down after majorityLossTimeout without a majority of witnesses. A new election can count witnesses that are
/// gone as votes and then name others.
void ControlGroup::checkAuthority()
{
    if (hasAuthority(m_now) || m_lastAuthority == 0ms)
        m_lastAuthority = m_now;
    else if (m_now - m_lastAuthority > m_timing.majorityLossTimeout)
        stepDown("no majority of witnesses acknowledges its heartbeats");
}

void ControlGroup::replaceSilentWitnesses()
{
    for (const DaemonIdentity &witness : m_record.witnesses) {
        const auto confirmed = m_ackedSendTimes.find(witness);
        const Time heard = confirmed == m_ackedSendTimes.end() ? m_roleSince : std::max(confirmed->second, m_roleSince);
        const bool isSilent = isGone(witness) || m_now - heard > m_timing.witnessReplacementTimeout;
        const bool isNew = isSilent && m_silentWitnesses.insert(witness.id).second;
        if (isNew)
            note(events::witnessSilent, m_group + " " + witness.id);
    }
    // The set of silent witnesses is cleared after each review, so a witness that answers again becomes eligible. A
    // witness that is certainly gone is replaced sooner, since fewer remaining failures would lose the majority.
    const bool anyGone = std::any_of(m_record.witnesses.begin(), m_record.witnesses.end(),
                                     [this](const DaemonIdentity &witness) { return isGone(witness); });
    if (m_now - m_lastWitnessReview
        < (anyGone ? m_timing.exitedWitnessReplacementTimeout : m_timing.witnessReplacementTimeout))
        return;
    m_lastWitnessReview = m_now;
    const bool previousWitnessesCleared = m_record.previousWitnesses == m_record.witnesses;
    if (!previousWitnessesCleared && hasAuthority(m_now))
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
    // A witness that knows a later term or record never confirms this term again.
    const bool isSuperseded = message.promisedTerm > m_term || message.baseTerm > std::max(m_record.term, m_term);
    if (!message.granted && isSuperseded)
        stepDown("witness " + from.id + " knows term " + std::to_string(message.promisedTerm));
}

void ControlGroup::onMessage(const DaemonIdentity &from, const Heartbeat &message)
{
    if (message.group != m_group)
        return;
    m_highestTermSeen = std::max(m_highestTermSeen, message.term);
    const auto answer = m_witness.handle(from, message, m_now);
    std::visit([&](const auto &typed) { m_effects.push_back(SendPeer{from.id, typed}); }, answer);
    // The controller may have a later record than this daemon.
    if (std::holds_alternative<HeartbeatAck>(answer) && message.baseTerm > m_record.term)
        m_recordKnown = false;
}

void ControlGroup::onMessage(const DaemonIdentity &from, const HeartbeatAck &message)
{
    if (message.group != m_group || message.term != m_term || m_role == ControlRole::Follower)
        return;
    auto &confirmed = m_ackedSendTimes[from];
    confirmed = std::max(confirmed, Time(message.sentAt));
    if (message.baseTerm == m_term)
        m_adoptedRecord.insert(from);
}

} // namespace sardinehinge::core
