/*
 * Claims of one key by two entries, decided by log order. Each entry has a target
 * of its own.
 *
 * One entry serves the caller's first call and the other its retry; either may come
 * first. An entry may pause at any step, so a dispatch may follow its claim
 * arbitrarily late. Dispatches are delayed without bound. Append acknowledgements
 * may be lost, so the entry reads the log to learn who holds the key. A target may
 * restart.
 *
 * Property: the request with the key runs at most once.
 *
 * Each variant below, set as a preprocessor symbol, removes one guard and must
 * violate the property:
 *   NO_VOID             a receipt is taken without voiding the attempt at the target
 *   NO_LOG_ORDER        an entry takes the key without reading the log behind its append
 *   NO_HORIZON          an entry reads only records behind its own start
 *   RESTART_IS_RECEIPT  a restart of the other entry's target counts as a receipt
 */

#define ENTRIES 2
#define LOGSIZE 6

/* Log records: the entry that claims the key, and the number of the placement that
 * it claims. A claim of placement 2 needs a receipt, which proves that placement 1
 * will never run; the entry checks that it has one before it appends the claim. */
byte logEntry[LOGSIZE];
byte logPlacement[LOGSIZE];
byte logEnd = 0;

/* Targets, by the entry whose attempt they receive. */
byte incarnation[ENTRIES];
bool voided[ENTRIES];
bool executed[ENTRIES];   /* in the target's current incarnation */
bool inFlight[ENTRIES];
byte sentIncarnation[ENTRIES];
byte claimedIncarnation[ENTRIES];   /* incarnation that the claim names */
bool restarted[ENTRIES];

byte ghostRuns = 0;

/* Appends entry e's claim of placement p. */
inline appendClaim(e, p) {
	atomic {
		if
		:: logEnd < LOGSIZE -> logEntry[logEnd] = e; logPlacement[logEnd] = p; logEnd++
		:: else -> skip
		fi
	}
}

/* Sets holder to the entry that holds placement p: the one with the first claim of it
 * in log order at or behind offset from; ENTRIES for none. */
inline findHolder(p, from, holder) {
	atomic {
		holder = ENTRIES;
		pos = from;
		do
		:: pos < logEnd && holder == ENTRIES ->
			if
			:: logPlacement[pos] == p -> holder = logEntry[pos]
			:: else -> skip
			fi;
			pos++
		:: else -> break
		od;
		pos = 0
	}
}

proctype Target(byte t) {
end:
	do
	:: atomic { inFlight[t] ->
		inFlight[t] = false;
		if
		:: sentIncarnation[t] == incarnation[t] && !voided[t] && !executed[t] ->
			executed[t] = true;
			ghostRuns++;
			assert(ghostRuns <= 1)
		:: else -> skip
		fi }
	:: atomic { !restarted[t] ->
		restarted[t] = true;
		incarnation[t]++;
		voided[t] = false;
		executed[t] = false }
	od
}

proctype Entry(byte e) {
	byte pos = 0;
	byte readFrom = 0;
	byte holder1 = ENTRIES;
	byte holder2 = ENTRIES;
	byte otherEntry = 1 - e;
	bool hasReceipt = false;

#ifdef NO_HORIZON
	readFrom = logEnd;           /* reads only records behind its own start */
#endif
	claimedIncarnation[e] = incarnation[e];
	findHolder(1, readFrom, holder1);
	if
	:: holder1 == ENTRIES ->
		appendClaim(e, 1);          /* the acknowledgement may be lost, so the log decides */
#ifdef NO_LOG_ORDER
		holder1 = e
#else
		findHolder(1, readFrom, holder1)
#endif
	:: else -> skip
	fi;
	if
	:: holder1 == e -> goto dispatch
	:: holder1 == ENTRIES -> goto done
	:: else -> skip
	fi;

	/* The other entry holds the key; take over only with a receipt for placement 1. */
	atomic {
		if
		:: incarnation[otherEntry] != claimedIncarnation[otherEntry] ->
#ifdef RESTART_IS_RECEIPT
			hasReceipt = true
#else
			hasReceipt = false
#endif
		:: else ->
			if
			:: executed[otherEntry] -> hasReceipt = false
			:: else ->
#ifndef NO_VOID
				voided[otherEntry] = true;
#endif
				hasReceipt = true
			fi
		fi
	};
	if
	:: !hasReceipt -> goto done
	:: else -> skip
	fi;
	appendClaim(e, 2);
	findHolder(2, readFrom, holder2);
	if
	:: holder2 == e -> skip
	:: else -> goto done
	fi;
dispatch:
	atomic { inFlight[e] = true; sentIncarnation[e] = claimedIncarnation[e] };
done:
	skip
}

init {
	atomic {
		incarnation[0] = 1; incarnation[1] = 1;
		run Target(0); run Target(1);
		run Entry(0); run Entry(1)
	}
}
