/* Ownership of one shard: grant, renewal, loss of the owner and takeover by a second controller.
 *
 * Two daemons (0 is the controller of term 1, 1 may take over in term 2), three witnesses, two targets. Time is a count
 * of ticks; between two ticks any steps may happen in any order. Orders travel in channels and may be late by any time.
 * A daemon that pauses simply takes no step; a cut or a loss is a step not taken. The claim: target 0 and target 1 never
 * hold the shard at once.
 *
 * MUTANT 1: a loss isn't confirmed by a majority, and witnesses aren't sticky. 2: the earlier controller's lease is
 * ignored at a takeover. 3: leases count from receipt. 4: a renewal revives a grant that has ended.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#ifndef LIMIT
#define LIMIT 9           /* ticks that are explored */
#endif
#define AUTHORITY 2       /* ticks of authority after a confirmed heartbeat */
#define STICKY 3          /* ticks of silence before a witness promises */
#define LEASE 3           /* ticks of a grant after its anchor */
#define WITNESSES 3

byte now;
byte expiry[2];           /* of each target's grant; holds while now < expiry */
byte seenTerm[2];         /* highest term that each target has seen */
byte promised[WITNESSES]; /* term that each witness follows */
byte heard[WITNESSES];    /* tick of the latest heartbeat */
byte storeTerm = 1;
byte owner = 0;           /* as recorded in the store: 0, or 1 after the move */
bool moved;

/* Per daemon. */
byte confirmed[2];        /* latest tick at which a majority confirmed it */
byte anchor[2];           /* latest tick of target 0's clock that it knows */
byte endsBy[2];           /* no grant that it gave target 0 holds after this */
bool reported[2];         /* target 0 reported in its term */
byte fencedAt;            /* tick of daemon 1's majority */
bool steward;
bool controller;

chan orders = [2] of { byte, byte, byte, bool }; /* target, term, anchor, grants */

#define HOLDS(t) (now < expiry[t])
#define TERM(d) ((d) + 1)
#define HAS_AUTHORITY(d) (now < confirmed[d] + AUTHORITY)

inline heartbeat(d) {
  /* Sent and acknowledged within a tick by the witnesses that still follow it. */
  acks = 0; w = 0;
  do
  :: w < WITNESSES ->
     if
     :: promised[w] <= TERM(d) -> promised[w] = TERM(d); heard[w] = now; acks++
     :: skip /* lost */
     fi;
     w++
  :: else -> break
  od;
  if
  :: acks >= 2 -> confirmed[d] = now
  :: else -> skip
  fi
}

inline report(d) {
  /* Target 0 answers an order of this daemon: a fresh reading of its clock. */
  if
  :: seenTerm[0] <= TERM(d) ->
     seenTerm[0] = TERM(d); anchor[d] = now;
     if
     :: !reported[d] -> endsBy[d] = now + LEASE; reported[d] = true
     :: else -> skip
     fi
  :: else -> skip
  fi
}

inline sendRenewal(d) {
  if
  :: nfull(orders) && reported[d] ->
     orders ! 0, TERM(d), anchor[d], false;
     if
     :: anchor[d] + LEASE > endsBy[d] -> endsBy[d] = anchor[d] + LEASE
     :: else -> skip
     fi
  :: else -> skip
  fi
}

/* Target 0's grants have surely ended, by what daemon d knows. */
#if MUTANT == 2
#define END(d) endsBy[d]
#else
#define END(d) ((reported[d] || d == 0) -> endsBy[d] : fencedAt + AUTHORITY + LEASE)
#endif
#if MUTANT == 1
#define SURELY_ENDED(d) (now > END(d))
#else
#define SURELY_ENDED(d) (confirmed[d] > END(d))
#endif

proctype Clock() {
  do
  :: atomic { now < LIMIT -> now++ }
  :: now >= LIMIT -> break
  od
}

proctype Network() {
  byte target, term, reading; bool grants;
  do
  :: atomic {
       orders ? target, term, reading, grants ->
       if
       :: term >= seenTerm[target] ->
          seenTerm[target] = term;
#if MUTANT == 3
          reading = now;
#endif
          if
#if MUTANT == 4
          :: (grants || expiry[target] > 0) && reading + LEASE > expiry[target] -> expiry[target] = reading + LEASE
#else
          :: (grants || HOLDS(target)) && reading + LEASE > expiry[target] -> expiry[target] = reading + LEASE
#endif
          :: else -> skip
          fi
       :: else -> skip
       fi
     }
  :: atomic { orders ? target, term, reading, grants -> skip } /* lost */
  :: now >= LIMIT -> break
  od
}

proctype First() {
  byte acks, w;
  do
  :: atomic { now < LIMIT -> heartbeat(0) }
  :: atomic { now < LIMIT && HAS_AUTHORITY(0) -> report(0) }
  :: atomic { now < LIMIT && HAS_AUTHORITY(0) && owner == 0 -> sendRenewal(0) }
  :: atomic { HAS_AUTHORITY(0) && reported[0] && SURELY_ENDED(0) && storeTerm == 1 && owner == 0 -> owner = 1; moved = true }
  :: atomic { HAS_AUTHORITY(0) && owner == 1 && storeTerm == 1 && nfull(orders) -> orders ! 1, 1, now, true }
  :: now >= LIMIT -> break
  od
}

proctype Second() {
  byte acks, w;
  do
  :: atomic {
       now < LIMIT && !steward ->
       acks = 0; w = 0;
       do
       :: w < WITNESSES ->
          if
#if MUTANT == 1
          :: promised[w] <= 2 -> promised[w] = 2; acks++
#else
          :: promised[w] <= 2 && now >= heard[w] + STICKY -> promised[w] = 2; acks++
#endif
          :: skip
          fi;
          w++
       :: else -> break
       od;
       if
       :: acks >= 2 -> steward = true; fencedAt = now; confirmed[1] = now
       :: else -> skip
       fi
     }
  :: atomic { now < LIMIT && steward -> heartbeat(1) }
  :: atomic { steward && HAS_AUTHORITY(1) -> report(1) }
  :: atomic { steward && HAS_AUTHORITY(1) && !(controller && owner == 1) -> sendRenewal(1) }
  :: atomic { steward && !controller -> storeTerm = 2; controller = true }
  :: atomic { controller && HAS_AUTHORITY(1) && owner == 0 && SURELY_ENDED(1) -> owner = 1; moved = true }
  :: atomic { controller && HAS_AUTHORITY(1) && owner == 1 && SURELY_ENDED(1) && nfull(orders) -> orders ! 1, 2, now, true }
  :: now >= LIMIT -> break
  od
}

init {
  atomic {
    /* Daemon 0 has just renewed target 0 on the witnesses' word. */
    expiry[0] = LEASE; endsBy[0] = LEASE; reported[0] = true; seenTerm[0] = 1;
    promised[0] = 1; promised[1] = 1; promised[2] = 1;
    run Clock(); run Network(); run First(); run Second()
  }
}

/* The claim, as a process that watches every state. */
active proctype Monitor() {
  atomic { HOLDS(0) && HOLDS(1) -> assert(false) }
}
