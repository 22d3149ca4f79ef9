/*
 * Two entries that share the limit of a target. Each may lend its part to the other in
 * its reports. A part is divided among the entries that are not known to lend, so the
 * parts add up to the limit at most if each entry that takes its part counts every other
 * one that does. It is enough to look at two.
 *
 * Time passes in ticks. A report may be lost, or under way for up to DELAY ticks; late
 * ones do not overtake others. An entry may fall silent for any time and may restart,
 * also while it lends. That a restarted entry has heard of the other by the end of its
 * pause is assumed.
 *
 * Property: of two entries that take their parts, each counts the other.
 *
 * Each variant below, set as a preprocessor symbol, removes one guard and must
 * violate the property:
 *   NO_STALENESS    a loan counts however old the report is
 *   NO_LOAN_DELAY   an entry takes its part again as soon as it ends a loan
 *   NO_SETTLE_TIME  a restarted entry takes its part at once
 */

#define DELAY 1               /* longest time that a report is under way */
#define STALE 2               /* age up to which a report lends */
#define LOAN  4               /* time from the end of a loan, or a start, until the part is taken */

#ifdef NO_LOAN_DELAY
#define LOAN_DELAY 0
#else
#define LOAN_DELAY LOAN
#endif
#ifdef NO_SETTLE_TIME
#define SETTLE_TIME 0
#else
#define SETTLE_TIME LOAN
#endif

bool lends[2];                /* the entry leaves its part to the other */
byte pause[2];                /* ticks until the entry takes its part */

bool sent[2];                 /* a report of the entry is under way */
bool sentLends[2];
byte sentFor[2];              /* ticks for which it has been */

bool knownLends[2];           /* what the entry knows of the other, from a report */
byte knownAge[2];             /* of age knownAge, at most STALE + 1 */

#define other(e) (1 - (e))
#define takes(e) (!lends[e] && pause[e] == 0)
#ifdef NO_STALENESS
#define counts(e) (!knownLends[e])
#else
#define counts(e) (!(knownLends[e] && knownAge[e] <= STALE))
#endif

inline check() {
	assert(!(takes(0) && takes(1)) || (counts(0) && counts(1)))
}

/* An entry begins or ends a loan, reports or restarts. */
inline act(e) {
	if
	:: !lends[e] -> lends[e] = true
	:: lends[e] -> lends[e] = false; pause[e] = LOAN_DELAY
	:: !sent[e] -> sent[e] = true; sentLends[e] = lends[e]; sentFor[e] = 0
	:: lends[e] = false; pause[e] = SETTLE_TIME; knownLends[e] = false; knownAge[e] = 0
	fi
}

/* The report of an entry arrives at the other or is lost. */
inline arrive(e) {
	sent[e] = false;
	if
	:: knownLends[other(e)] = sentLends[e]; knownAge[other(e)] = 0
	:: skip
	fi
}

inline pass(e) {
	if
	:: pause[e] > 0 -> pause[e]--
	:: else -> skip
	fi;
	if
	:: knownAge[e] <= STALE -> knownAge[e]++
	:: else -> skip
	fi;
	if
	:: sent[e] -> sentFor[e]++
	:: else -> skip
	fi
}

/* A report that has been under way for DELAY arrives or is lost before time passes. */
#define maySleep(e) (!sent[e] || sentFor[e] < DELAY)

init {
	do
	:: atomic { act(0); check() }
	:: atomic { act(1); check() }
	:: atomic { sent[0] -> arrive(0); check() }
	:: atomic { sent[1] -> arrive(1); check() }
	:: atomic { maySleep(0) && maySleep(1) -> pass(0); pass(1); check() }
	od
}
